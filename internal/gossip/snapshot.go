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

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	configurationProcedure = servicePath + "Configuration"
	snapshotProcedure      = servicePath + "Snapshot"
	// ageHeader is the header for the age of a snapshot in milliseconds.
	ageHeader = "Snapshot-Age-Millis"
	// fetchTimeout limits a fetch, which is some tens of kilobytes when compressed.
	fetchTimeout = 1500 * time.Millisecond
	// snapshotTTL is how long a snapshot is served: later changes follow with broadcasts.
	// fetchedSnapshotTTL is the same for one that was fetched, which is served as it came: when all
	// instances start, each passes it on.
	snapshotTTL        = 400 * time.Millisecond
	fetchedSnapshotTTL = 3 * time.Second
	// defaultServedPerSecond limits the bytes served: if hundreds of instances start at once, each
	// instance that has the state passes it on to a few.
	defaultServedPerSecond = 512 << 10
)

// ErrFetch means that another instance didn't return its state.
var ErrFetch = merry.Sentinel("failed to fetch from another instance")

// compressedCache holds state as it is served: compressed once for all that fetch it.
type compressedCache struct {
	mu      sync.Mutex
	version int64
	// at is when the data was current, until when it is served.
	at, until time.Time
	data      []byte
}

// configuration returns the compressed configuration.
func (p *compressedCache) configuration(state *platformstate.State) ([]byte, error) {
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

// snapshot returns a compressed snapshot of the platform state without the configuration,
// and its age.
func (p *compressedCache) snapshot(clock func() time.Time, state *platformstate.State) ([]byte, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock()
	if age := now.Sub(p.at); p.data != nil && age >= 0 && now.Before(p.until) {
		return p.data, age, nil
	}
	data, err := packSnapshot(now, state)
	if err != nil {
		return nil, 0, err
	}
	// Those that have waited for it get it too, however long it took.
	p.at, p.until, p.data = now, clock().Add(snapshotTTL), data
	return p.data, 0, nil
}

// setFetched makes the cache serve a snapshot that was fetched.
func (p *compressedCache) setFetched(now time.Time, age time.Duration, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.until, p.data = now.Add(-age), now.Add(fetchedSnapshotTTL), data
}

// expire frees a snapshot that isn't served any more.
func (p *compressedCache) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && !now.Before(p.until) {
		p.data = nil
	}
}

// packSnapshot returns a compressed snapshot: an update without servers, then each server, so that
// neither side holds more than one of them uncompressed.
func packSnapshot(now time.Time, state *platformstate.State) ([]byte, error) {
	u, servers := state.Snapshot(now)
	var out bytes.Buffer
	packed := gzip.NewWriter(&out)
	encoder := json.NewEncoder(packed)
	err := encoder.Encode(&u)
	for i := 0; i < len(servers) && err == nil; i++ {
		err = encoder.Encode(servers[i].Outgoing(now))
	}
	if err := errors.Join(err, packed.Close()); err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	return out.Bytes(), nil
}

// unpackSnapshot reads an uncompressed snapshot. It uses a faster decoder than the other messages: a
// start decodes all servers.
func unpackSnapshot(raw io.Reader) (*platformstate.Update, error) {
	decoder := gojson.NewDecoder(raw)
	var u platformstate.Update
	if err := decoder.Decode(&u); err != nil {
		return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	for {
		var server dialect.Server
		switch err := decoder.Decode(&server); {
		case errors.Is(err, io.EOF):
			return &u, nil
		case err != nil:
			return nil, merry.Wrap(ErrFetch, merry.WithCause(err))
		}
		u.Servers = append(u.Servers, server)
	}
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

// serveConfiguration and serveSnapshot serve this instance's state to instances that have
// the key.
func (g *Gossip) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	g.serveCompressed(w, r, configurationProcedure, func() ([]byte, time.Duration, error) {
		data, err := g.configurationCache.configuration(g.opts.State)
		return data, 0, err
	})
}

func (g *Gossip) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	g.serveCompressed(w, r, snapshotProcedure, func() ([]byte, time.Duration, error) {
		return g.snapshotCache.snapshot(g.opts.Now, g.opts.State)
	})
}

func (g *Gossip) serveCompressed(w http.ResponseWriter, r *http.Request, procedure string, get func() ([]byte, time.Duration, error)) {
	if instancerpc.Verify(g.opts.Key, g.opts.Now(), r.Header, procedure) != nil {
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
	case !g.serveLimiter.AllowN(g.opts.Now(), min(len(data), g.opts.ServeBytesPerSecond)):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	_, _ = w.Write(data)
}

// lacksConfiguration reports whether another instance has a newer configuration.
func (g *Gossip) lacksConfiguration(v *platformstate.Versions) bool {
	version, _ := g.opts.State.Version(platformstate.Configuration)
	return v[platformstate.Configuration].Version > version
}

// fetchNewerConfiguration fetches the configuration of another instance in the background
// if it is newer.
func (g *Gossip) fetchNewerConfiguration(ctx context.Context, v *platformstate.Versions, address string) {
	if g.lacksConfiguration(v) {
		g.submit("configuration", func() { g.fetchConfiguration(ctx, address) })
	}
}

// fetchConfiguration fetches the configuration of another instance, one fetch at a time:
// concurrent calls wait, as they usually want the same one.
func (g *Gossip) fetchConfiguration(ctx context.Context, address string) {
	before, _ := g.opts.State.Version(platformstate.Configuration)
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	if now, _ := g.opts.State.Version(platformstate.Configuration); now != before {
		return
	}
	var raw []byte
	_, _, err := g.fetchCompressed(ctx, address, configurationProcedure, func(unpacked io.Reader) (err error) {
		raw, err = io.ReadAll(unpacked)
		return err
	})
	if err != nil {
		g.opts.Log.Info().Str("peer", address).Err(err).Msg("configuration not fetched from another instance")
		return
	}
	g.opts.ApplyConfiguration(g.opts.Now(), raw, address)
}

// fetchSnapshot fetches and applies another instance's platform state without the
// configuration.
func (g *Gossip) fetchSnapshot(ctx context.Context, address, from string) (*platformstate.Update, error) {
	var u *platformstate.Update
	age, packed, err := g.fetchCompressed(ctx, address, snapshotProcedure, func(raw io.Reader) (err error) {
		u, err = unpackSnapshot(raw)
		return err
	})
	if err != nil {
		return nil, err
	}
	g.applyUpdate(g.opts.Now().Add(-age), u, from)
	g.snapshotCache.setFetched(g.opts.Now(), age, packed)
	u.Servers = nil
	return u, nil
}

// fetchCompressed fetches state from another instance, lets read read it uncompressed, and returns
// its age and its compressed form.
func (g *Gossip) fetchCompressed(ctx context.Context, address, procedure string, read func(raw io.Reader) error) (age time.Duration, packed []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := g.opts.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+procedure, nil)
	if err != nil {
		return 0, nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	g.client.Sign(sentAt, req.Header, procedure)
	res, err := g.client.HTTP.Do(req)
	if err != nil {
		return 0, nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, nil, merry.Wrap(ErrFetch, merry.AppendMessagef("status %d", res.StatusCode))
	}
	var kept bytes.Buffer
	unpacked, err := gzip.NewReader(io.TeeReader(res.Body, &kept))
	if err != nil {
		return 0, nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	if err := read(io.LimitReader(unpacked, instancerpc.MaxBytes)); err != nil {
		return 0, nil, merry.Wrap(ErrFetch, merry.WithCause(err))
	}
	millis, _ := strconv.ParseInt(res.Header.Get(ageHeader), 10, 64)
	// The transfer time is part of the age.
	return time.Duration(millis)*time.Millisecond + g.opts.Now().Sub(sentAt), kept.Bytes(), nil
}
