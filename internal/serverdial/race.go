package serverdial

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"

	"pollenspindle.example/pollenspindle/internal/dialpeer"
)

// path is a way to a server.
type path int

const (
	ownLink path = iota
	// otherInstance is each time another one: the links of the first may have failed, too.
	otherInstance
)

// maxRelays is the number of other instances that are asked for one connection.
const maxRelays = 3

// dialed is the outcome of one dial.
type dialed struct {
	path path
	conn network.Conn
	err  error
}

// race dials a server over several paths until there is a connection.
type race struct {
	d        *Dialer
	address  string
	deadline time.Time
	// order holds the paths that weren't tried yet; each is started when a dial before it has failed or
	// has taken headStart.
	order []path
	// probe tries the own link at the start, whatever the order.
	probe bool

	// relays are the instances that weren't asked yet; nil before they are chosen.
	relays  []dialpeer.Instance
	results chan dialed
	pending int
	// ownLinkTried says that the own link was dialed.
	ownLinkTried bool
}

var (
	// errSlow means that a dial over the own link took longer than one through another instance.
	errSlow = merry.Sentinel("dial over the own link took too long")
	// errNoPath means that no path was left to be tried.
	errNoPath = merry.Sentinel("no path to the backend server")
)

// run returns the first connection. Those that come later are closed.
func (r *race) run(ctx context.Context) (network.Conn, error) {
	r.results = make(chan dialed, len(r.order)+1)
	if r.probe {
		r.start(ctx, ownLink)
	}
	r.startNext(ctx)
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	unreachable, err := false, errNoPath
	for r.pending > 0 {
		var outcome dialed
		select {
		case <-ctx.Done():
			go r.closeLate(r.pending)
			return nil, ctx.Err()
		case <-timer.C:
			r.startNext(ctx)
			timer.Reset(headStart)
			continue
		case outcome = <-r.results:
			r.pending--
		}
		if outcome.err == nil {
			r.recordWinner(outcome.path)
			go r.closeLate(r.pending)
			return outcome.conn, nil
		}
		err = outcome.err
		// An instance that is busy or slow says nothing about the server.
		unreachable = unreachable || errors.Is(err, dialpeer.ErrLink)
		r.startNext(ctx)
		timer.Reset(headStart)
	}
	if unreachable {
		r.d.opts.Links.RecordRelayed(r.d.opts.Now(), r.address, false)
	}
	return nil, err
}

// startNext starts the dial over the next path that is left.
func (r *race) startNext(ctx context.Context) {
	for len(r.order) > 0 {
		next := r.order[0]
		r.order = r.order[1:]
		if r.start(ctx, next) {
			return
		}
	}
}

// start starts a dial and reports whether there is such a path.
func (r *race) start(ctx context.Context, p path) bool {
	timeout := max(time.Millisecond, r.deadline.Sub(r.d.opts.Now()))
	var dial func() (network.Conn, error)
	if p == ownLink {
		if r.ownLinkTried {
			return false
		}
		r.ownLinkTried = true
		dial = func() (network.Conn, error) { return r.d.DialDirect(ctx, r.address, timeout) }
	} else {
		through, ok := r.nextRelay()
		if !ok {
			return false
		}
		dial = func() (network.Conn, error) { return r.d.opts.Peers.Dial(ctx, through, r.address, timeout) }
	}
	r.pending++
	go func() {
		conn, err := dial()
		r.results <- dialed{p, conn, err}
	}()
	return true
}

// nextRelay returns an instance that wasn't asked yet.
func (r *race) nextRelay() (dialpeer.Instance, bool) {
	if r.d.opts.Peers == nil {
		return dialpeer.Instance{}, false
	}
	if r.relays == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		r.relays = append([]dialpeer.Instance{}, r.d.opts.Peers.Relays(r.d.opts.Now(), rng, maxRelays)...)
	}
	if len(r.relays) == 0 {
		return dialpeer.Instance{}, false
	}
	next := r.relays[0]
	r.relays = r.relays[1:]
	return next, true
}

// recordWinner records what a connection through another instance says about the own link. A dial
// over it may still succeed, which is recorded then.
func (r *race) recordWinner(p path) {
	if p == ownLink {
		return
	}
	r.d.opts.Links.RecordRelayed(r.d.opts.Now(), r.address, true)
	if r.ownLinkTried {
		r.d.recordDirect(r.address, errSlow)
	}
}

// closeLate closes the connections of the dials that are still running.
func (r *race) closeLate(pending int) {
	for range pending {
		if late := <-r.results; late.err == nil {
			_ = late.conn.Close()
		}
	}
}
