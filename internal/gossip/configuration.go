package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

const (
	configurationProcedure = servicePath + "Configuration"
	// configurationTimeout bounds the fetch of a configuration, which is some tens
	// of kilobytes as it is sent.
	configurationTimeout = 800 * time.Millisecond
)

// ErrFetch means that another instance didn't hand its configuration over.
var ErrFetch = merry.Sentinel("configuration not fetched")

// packed holds the configuration as it is sent: compressed once for all that fetch
// it.
type packed struct {
	mu      sync.Mutex
	version int64
	data    []byte
}

func (p *packed) of(state *observed.State) ([]byte, error) {
	raw, version := state.RawConfiguration()
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.version {
		return p.data, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	p.version, p.data = version, out.Bytes()
	return p.data, nil
}

// serveConfiguration hands the configuration over to an instance that holds the
// key.
func (g *Gossip) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	if peerrpc.Check(g.opts.Key, g.opts.Now(), r.Header, configurationProcedure) != nil {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	data, err := g.packed.of(g.opts.State)
	if err != nil || len(data) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(data)
}

// lacksConfiguration reports whether another instance has a newer configuration.
func (g *Gossip) lacksConfiguration(v *observed.Versions) bool {
	version, _ := g.opts.State.Version(observed.Configuration)
	return v[observed.Configuration].Version > version
}

// configure fetches the configuration of another instance in the background where
// that one's is newer.
func (g *Gossip) configure(ctx context.Context, v *observed.Versions, address string) {
	if g.lacksConfiguration(v) {
		g.submit("configuration", func() { g.configureFrom(ctx, address) })
	}
}

// configureFrom fetches the configuration of another instance, one fetch at a time:
// those that come meanwhile wait for it, as it is the same as a rule.
func (g *Gossip) configureFrom(ctx context.Context, address string) {
	before, _ := g.opts.State.Version(observed.Configuration)
	g.configuring.Lock()
	defer g.configuring.Unlock()
	if now, _ := g.opts.State.Version(observed.Configuration); now != before {
		return
	}
	raw, err := g.fetchConfiguration(ctx, address)
	if err != nil {
		g.opts.Log.Info().Str("peer", address).Err(err).Msg("configuration not fetched from another instance")
		return
	}
	g.opts.TakeRaw(g.opts.Now(), raw, address)
}

func (g *Gossip) fetchConfiguration(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationProcedure, nil)
	if err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	g.caller.Sign(g.opts.Now(), req.Header, configurationProcedure)
	res, err := g.caller.HTTP.Do(req)
	if err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, merry.Wrap(ErrFetch, merry.AppendMessagef("status %d", res.StatusCode))
	}
	unpacked, err := gzip.NewReader(res.Body)
	if err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	raw, err := io.ReadAll(io.LimitReader(unpacked, peerrpc.MaxBytes))
	if err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	return raw, nil
}
