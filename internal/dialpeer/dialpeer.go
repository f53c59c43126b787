// Package dialpeer opens connections to backend servers through other instances, for an instance
// whose own links to the servers are down, and does the same for others.
//
// The instance that relays a connection copies bytes and knows nothing of the requests: what may be
// repeated, the limits of servers and the retry budget stay with the instance that took the request
// from its caller. A connection is relayed by one instance at most.
//
// A request to open a connection is an HTTP upgrade at the peer address, signed with the peers' key.
// Until it has succeeded, no byte of the caller's request has left, so that a failure is always a
// request that wasn't sent. The bytes of the server come back in frames, so that the end of its
// connection differs from that of the instance in between: a response that ends with its connection
// would look complete otherwise.
//
// # Usage
//
//	p := dialpeer.New(dialpeer.Options{Relays: relays, Key: key, Links: links, Direct: dialer.DialDirect, ...})
//	mux.Handle(dialpeer.Path, p)
//	conn, err := p.Dial(ctx, relays[0], "10.0.0.7:8000", timeout)
//	...
//	p.Drain()
//	p.Close()
package dialpeer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	reqcodec "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/serverlink"
)

// Path is the path of requests to open a connection.
const Path = "/pollenspindle.dial.v1.Dial/Open"

const (
	protocolName  = "pollenspindle-dial"
	authHeader    = "Peer-Auth"
	addressHeader = "Server-Address"
	timeoutHeader = "Dial-Timeout-Ms"
	// causeHeader says why a connection wasn't opened.
	causeHeader = "Dial-Failure"
	// causeLink means that this server can't be reached, though others can; causeInstance that the
	// instance opens no connections at present.
	causeLink     = "link"
	causeInstance = "instance"

	// peerBackoff is how long an instance isn't asked again that has failed to open a connection.
	peerBackoff = time.Second
	// openTimeoutMargin is the part of a dial's timeout that is reserved for the answer.
	openTimeoutMargin = 20 * time.Millisecond
	minOpenTimeout    = 10 * time.Millisecond
)

// The reasons why another instance didn't open a connection. In both cases no byte has reached the
// server.
var (
	// ErrLink means that the other instance doesn't reach this server either.
	ErrLink = merry.Sentinel("backend server can't be reached from another instance")
	// ErrPeer means that the other instance can't be reached, or opens no connections.
	ErrPeer = merry.Sentinel("another instance opens no connections")
)

// Instance is another instance.
type Instance struct {
	ID string
	// Address is where it serves other instances, host:port.
	Address string
}

// Options configures a [Peer].
type Options struct {
	Self string
	Key  peer.Key
	// Relays returns up to n random other instances that may reach backend servers, without those that
	// exclude reports.
	Relays func(rng *rand.Rand, n int, exclude func(id string) bool) []Instance
	Links  *serverlink.Links
	// Direct dials a server over this instance's own link.
	Direct httpclient.DialFunc
	Log    zerolog.Logger
	Scope  tally.Scope
	Now    func() time.Time
}

// Peer opens connections through other instances and for them. It is safe for concurrent use.
type Peer struct {
	opts Options

	mu sync.Mutex
	// open counts the connections through each other instance, backoffUntil is when one may be asked
	// again.
	open         map[string]int
	backoffUntil map[string]time.Time
	// relayed holds the connections of other instances.
	relayed  map[*relay]struct{}
	draining bool
}

// New returns a Peer.
func New(opts Options) *Peer {
	return &Peer{opts: opts, open: map[string]int{}, backoffUntil: map[string]time.Time{}, relayed: map[*relay]struct{}{}}
}

// Relays returns up to n instances that may open a connection, in the order in which they are asked:
// of each two drawn at random the one with fewer connections of this instance, so that they spread
// over all instances that reach servers. Those that have just failed to open one come last.
func (p *Peer) Relays(now time.Time, rng *rand.Rand, n int) []Instance {
	out := p.spread(p.opts.Relays(rng, 2*n, func(id string) bool { return p.inBackoff(now, id) }), n)
	if len(out) == n {
		return out
	}
	return append(out, p.opts.Relays(rng, n-len(out), func(id string) bool { return !p.inBackoff(now, id) })...)
}

// spread returns up to n of the candidates, of each two the one with fewer connections.
func (p *Peer) spread(candidates []Instance, n int) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Instance
	for len(candidates) > 0 && len(out) < n {
		first := candidates[0]
		rest := candidates[1:]
		if len(rest) > 0 {
			if second := rest[0]; p.open[second.ID] < p.open[first.ID] {
				first, rest[0] = second, first
			}
		}
		out = append(out, first)
		candidates = rest
	}
	return out
}

func (p *Peer) inBackoff(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.backoffUntil[id])
}

// Dial opens a connection to a server through another instance.
func (p *Peer) Dial(ctx context.Context, through Instance, address string, timeout time.Duration) (network.Conn, error) {
	conn, err := p.dial(ctx, through, address, timeout)
	result := "connected"
	if err != nil {
		result = "failed"
		p.recordFailure(through.ID, err)
	}
	p.opts.Scope.Tagged(map[string]string{"kind": "relayed", "result": result}).Counter("dials").Inc(1)
	return conn, err
}

func (p *Peer) recordFailure(id string, err error) {
	if errors.Is(err, ErrLink) {
		return
	}
	now := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.backoffUntil, func(_ string, until time.Time) bool { return now.After(until) })
	p.backoffUntil[id] = now.Add(peerBackoff)
}

func (p *Peer) dial(ctx context.Context, through Instance, address string, timeout time.Duration) (network.Conn, error) {
	deadline := p.opts.Now().Add(timeout)
	conn, err := httpclient.DialTCP(ctx, through.Address, timeout)
	if err != nil {
		return nil, merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	remaining := deadline.Sub(p.opts.Now())
	if err := p.requestOpen(conn, through, address, remaining); err != nil {
		_ = conn.Close()
		return nil, err
	}
	p.addOpen(through.ID, 1)
	return newFramedConn(conn, func() { p.addOpen(through.ID, -1) }), nil
}

func (p *Peer) addOpen(id string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] += n; p.open[id] == 0 {
		delete(p.open, id)
	}
}

// requestOpen asks the instance at the other end to open a connection to a server.
func (p *Peer) requestOpen(conn network.Conn, through Instance, address string, timeout time.Duration) error {
	timeout = max(timeout, minOpenTimeout)
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodGet)
	req.Header.SetHost(through.Address)
	req.SetRequestURI(Path)
	for name, value := range map[string]string{
		"Connection": "Upgrade", "Upgrade": protocolName, addressHeader: address,
		authHeader:    p.opts.Key.Token(p.opts.Now(), p.opts.Self, procedure(address)),
		timeoutHeader: strconv.FormatInt(max(minOpenTimeout, timeout-openTimeoutMargin).Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	exchange := func() error {
		if err := conn.SetWriteTimeout(timeout); err != nil {
			return err
		}
		if err := conn.SetReadTimeout(timeout); err != nil {
			return err
		}
		if err := reqcodec.Write(req, conn); err != nil {
			return err
		}
		if err := conn.Flush(); err != nil {
			return err
		}
		return httpclient.ReadHead(resp, conn)
	}
	if err := exchange(); err != nil {
		return merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	switch {
	case resp.StatusCode() == http.StatusSwitchingProtocols:
		return conn.SetReadTimeout(0)
	case resp.Header.Get(causeHeader) == causeLink:
		return merry.Wrap(ErrLink)
	}
	return merry.Wrap(ErrPeer, merry.AppendMessagef("status %d", resp.StatusCode()))
}

// procedure binds the token of a request to the server's address.
func procedure(address string) string { return Path + " " + address }
