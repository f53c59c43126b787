// Package serverdial opens the connections of an instance to backend servers, over its own links or
// through other instances, as [serverlink] decides.
//
// Dials are started one after the other, each if those before have failed or take long, and the first
// connection is used. No byte of a request is sent before that, so that any request may be dialed in
// this way.
//
// # Usage
//
//	d := serverdial.New(serverdial.Options{Links: links, Peers: peers, Log: log, Scope: scope, Now: time.Now})
//	client := httpclient.New(httpclient.Options{Dial: d.Dial})
package serverdial

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/serverlink"
)

// headStart is how long a dial may take before the next one is started. A working link takes a few
// milliseconds.
const headStart = 80 * time.Millisecond

// Options configures a [Dialer].
type Options struct {
	Links *serverlink.Links
	// Peers opens connections through other instances; nil for none.
	Peers *dialpeer.Peer
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

// SetPeers sets what opens connections through other instances. It must be called before Dial.
func (d *Dialer) SetPeers(p *dialpeer.Peer) { d.opts.Peers = p }

// Dial opens a connection to a server. It implements [httpclient.DialFunc].
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
	now := d.opts.Now()
	r := &race{d: d, address: address, deadline: now.Add(timeout)}
	switch route := d.opts.Links.Route(now, address).(type) {
	case serverlink.DirectOnly:
		return d.DialDirect(ctx, address, timeout)
	case serverlink.DirectFirst:
		r.order = []path{ownLink, otherInstance, otherInstance, otherInstance}
	case serverlink.RelayedFirst:
		r.order, r.probe = []path{otherInstance, otherInstance, otherInstance}, route.Probe
		if route.OwnLinkLast {
			r.order = append(r.order, ownLink)
		}
	}
	return r.run(ctx)
}

// DialDirect opens a connection over the own link.
func (d *Dialer) DialDirect(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
	conn, err := d.opts.Direct(ctx, address, timeout)
	result := "connected"
	if err != nil {
		result = "failed"
	}
	d.opts.Scope.Tagged(map[string]string{"kind": "direct", "result": result}).Counter("dials").Inc(1)
	d.recordDirect(address, err)
	return conn, err
}

// recordDirect records a dial over the own link and logs a change of all links.
func (d *Dialer) recordDirect(address string, err error) {
	now := d.opts.Now()
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
}
