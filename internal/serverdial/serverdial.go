// Package serverdial opens the connections of an instance to backend servers, and logs and counts
// what they say about the instance's links.
//
// # Usage
//
//	d := serverdial.New(serverdial.Options{Links: links, Log: log, Scope: scope, Now: time.Now})
//	client := httpclient.New(httpclient.Options{Dial: d.Dial})
package serverdial

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/serverlink"
)

// Options configures a [Dialer].
type Options struct {
	Links *serverlink.Links
	// Direct dials over the instance's own link; nil for plain TCP.
	Direct httpclient.DialFunc
	Log    zerolog.Logger
	Scope  tally.Scope
	Now    func() time.Time
}

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct{ opts Options }

// New returns a dialer.
func New(opts Options) *Dialer {
	if opts.Direct == nil {
		opts.Direct = httpclient.DialTCP
	}
	return &Dialer{opts: opts}
}

// Dial opens a connection to a server. It implements [httpclient.DialFunc].
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
	return d.dialDirect(ctx, address, timeout)
}

func (d *Dialer) dialDirect(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
	conn, err := d.opts.Direct(ctx, address, timeout)
	now := d.opts.Now()
	outcome := "connected"
	if err != nil {
		outcome = "failed"
	}
	d.opts.Scope.Tagged(map[string]string{"path": "direct", "outcome": outcome}).Counter("dials").Inc(1)
	before := d.opts.Links.Status()
	switch d.opts.Links.RecordDirect(now, address, err == nil) {
	case serverlink.Lost:
		status := d.opts.Links.Status()
		d.opts.Log.Warn().Str("address", address).Int("servers", status.FailedServers).Dur("sinceConnected", now.Sub(status.ConnectedAt)).Err(err).
			Msg("links to all backend servers lost")
	case serverlink.Restored:
		d.opts.Log.Info().Str("address", address).Int("servers", before.FailedServers).Dur("sinceConnected", now.Sub(before.ConnectedAt)).
			Msg("links to backend servers restored")
	}
	return conn, err
}
