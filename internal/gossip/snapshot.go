package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	gojson "github.com/goccy/go-json"

	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

const (
	configurationProcedure = servicePath + "Configuration"
	snapshotProcedure      = servicePath + "Snapshot"
	// ageField says how old a snapshot is, in milliseconds.
	ageField = "Snapshot-Age-Millis"
	// fetchTimeout bounds a fetch, which is some tens of kilobytes as it is sent.
	fetchTimeout = 1500 * time.Millisecond
	// snapshotTTL is for how long a snapshot is handed out: what has changed since
	// follows with the news.
	snapshotTTL = 400 * time.Millisecond
	// snapshotFrom is from how many servers on they are fetched as a snapshot.
	snapshotFrom = 100
	// servedPerSecond bounds the bytes that are handed out: where hundreds start in
	// the same moment, those that have something hand it on to a few each.
	servedPerSecond = 512 << 10
)

// ErrFetch means that another instance didn't hand over what it has.
var ErrFetch = merry.Sentinel("not fetched from another instance")

// packed holds what is handed over as it is sent: compressed once for all that
// fetch it.
type packed struct {
	mu      sync.Mutex
	version int64
	at      time.Time
	data    []byte
}

// configuration returns the packed configuration.
func (p *packed) configuration(state *observed.State) ([]byte, error) {
	raw, version := state.RawConfiguration()
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.version {
		return p.data, nil
	}
	data, err := compress(raw)
	if err != nil {
		return nil, err
	}
	p.version, p.data = version, data
	return p.data, nil
}

// snapshot returns all that is known of the platform but the configuration, packed,
// and how old it is.
func (p *packed) snapshot(now time.Time, state *observed.State) ([]byte, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if age := now.Sub(p.at); p.data != nil && age >= 0 && age < snapshotTTL {
		return p.data, age, nil
	}
	u := state.UpdateSince(now, 0)
	raw, err := json.Marshal(&u)
	if err != nil {
		return nil, 0, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	data, err := compress(raw)
	if err != nil {
		return nil, 0, err
	}
	p.at, p.data = now, data
	return p.data, 0, nil
}

func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	return out.Bytes(), nil
}

// serveConfiguration and serveSnapshot hand over what this instance has to one that
// holds the key.
func (g *Gossip) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	g.servePacked(w, r, configurationProcedure, func() ([]byte, time.Duration, error) {
		data, err := g.packed.configuration(g.opts.State)
		return data, 0, err
	})
}

func (g *Gossip) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	g.servePacked(w, r, snapshotProcedure, func() ([]byte, time.Duration, error) {
		return g.snapshot.snapshot(g.opts.Now(), g.opts.State)
	})
}

func (g *Gossip) servePacked(w http.ResponseWriter, r *http.Request, procedure string, get func() ([]byte, time.Duration, error)) {
	if peerrpc.Check(g.opts.Key, g.opts.Now(), r.Header, procedure) != nil {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if !g.opts.State.Known() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, age, err := get()
	switch {
	case err != nil || len(data) == 0:
		w.WriteHeader(http.StatusNotFound)
		return
	case !g.served.AllowN(g.opts.Now(), min(len(data), servedPerSecond)):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	w.Header().Set(ageField, strconv.FormatInt(age.Milliseconds(), 10))
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
	raw, _, err := g.fetchPacked(ctx, address, configurationProcedure)
	if err != nil {
		g.opts.Log.Info().Str("peer", address).Err(err).Msg("configuration not fetched from another instance")
		return
	}
	g.opts.TakeRaw(g.opts.Now(), raw, address)
}

// takeSnapshot fetches all that another instance knows of the platform but its
// configuration.
func (g *Gossip) takeSnapshot(ctx context.Context, address, from string) (*observed.Update, error) {
	raw, age, err := g.fetchPacked(ctx, address, snapshotProcedure)
	if err != nil {
		return nil, err
	}
	var u observed.Update
	if err := gojson.Unmarshal(raw, &u); err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	g.takeUpdate(g.opts.Now().Add(-age), &u, from)
	return &u, nil
}

// fetchPacked fetches what another instance hands over, and how old it is.
func (g *Gossip) fetchPacked(ctx context.Context, address, procedure string) ([]byte, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := g.opts.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+procedure, nil)
	if err != nil {
		return nil, 0, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	g.caller.Sign(asked, req.Header, procedure)
	res, err := g.caller.HTTP.Do(req)
	if err != nil {
		return nil, 0, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	defer res.Body.Close()
	g.refused.Store(res.StatusCode == http.StatusServiceUnavailable)
	if res.StatusCode != http.StatusOK {
		return nil, 0, merry.Wrap(ErrFetch, merry.AppendMessagef("status %d", res.StatusCode))
	}
	unpacked, err := gzip.NewReader(res.Body)
	if err != nil {
		return nil, 0, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	raw, err := io.ReadAll(io.LimitReader(unpacked, peerrpc.MaxBytes))
	if err != nil {
		return nil, 0, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	millis, _ := strconv.ParseInt(res.Header.Get(ageField), 10, 64)
	// The transfer counts towards the age.
	return raw, time.Duration(millis)*time.Millisecond + g.opts.Now().Sub(asked), nil
}
