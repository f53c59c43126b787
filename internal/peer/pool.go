package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/httptransport"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// Pool holds the clients of all peers. It is safe for concurrent use.
type Pool struct {
	self      string
	key       Key
	transport httptransport.Transport
	options   connect.ClientOption
	mu        sync.Mutex
	clients   map[string]*Client
}

// NewPool returns the pool of clients with which instance self calls its peers. The further
// options, such as [WithMetering], are applied before the calls are signed.
func NewPool(self string, key Key, scope tally.Scope, extra ...connect.ClientOption) *Pool {
	count := newByteCounter(scope)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		self:    self,
		key:     key,
		clients: map[string]*Client{},
		options: connect.WithClientOptions(append([]connect.ClientOption{connect.WithReadMaxBytes(maxMessageBytes)}, extra...)...),
		transport: httptransport.Transport{Transport: &http.Transport{
			Protocols:              protocols(),
			HTTP2:                  clientHTTP2Config(),
			IdleConnTimeout:        clientIdleTimeout,
			MaxResponseHeaderBytes: maxHeadBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return countingConn{conn, count}, nil
			},
		}},
	}
}

// Client returns the client of the peer at address, in the form host:port.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = p.newClient(address)
		p.clients[address] = c
	}
	return c
}

func (p *Pool) newClient(address string) *Client {
	client, url := &http.Client{Transport: p.transport}, "http://"+address
	options := connect.WithClientOptions(p.options, connect.WithInterceptors(traceCalls(), sign(p.key, p.self)))
	return &Client{
		rpc:            peerv1connect.NewPeerServiceClient(client, url, options),
		queries:        peerv1connect.NewQueryServiceClient(client, url, options),
		engineCommands: peerv1connect.NewOrderServiceClient(client, url, options),
	}
}

// KeepOnly removes the clients of all other addresses. Otherwise the clients of replaced instances
// would accumulate.
func (p *Pool) KeepOnly(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.clients {
		if !addresses[address] {
			delete(p.clients, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// Client calls one peer. The timeout is that of the context. Errors are
// [ErrUnreachable], [ErrRejected] or [ErrUnauthenticated].
type Client struct {
	rpc            peerv1connect.PeerServiceClient
	queries        peerv1connect.QueryServiceClient
	engineCommands peerv1connect.OrderServiceClient
}

// Heartbeat tells the peer that the sender is running.
func (c *Client) Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	res, err := c.rpc.Heartbeat(ctx, req)
	return res, convertError(err)
}

// Acquire asks the peer for a permit.
func (c *Client) Acquire(ctx context.Context, req *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	res, err := c.rpc.Acquire(ctx, req)
	return res, convertError(err)
}

// Release gives permits back to the peer.
func (c *Client) Release(ctx context.Context, req *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	res, err := c.rpc.Release(ctx, req)
	return res, convertError(err)
}

// FetchConfig asks the peer for newer configuration objects.
func (c *Client) FetchConfig(ctx context.Context, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	res, err := c.rpc.FetchConfig(ctx, req)
	return res, convertError(err)
}

// FetchRoster asks the peer for a newer roster.
func (c *Client) FetchRoster(ctx context.Context, req *peerv1.FetchRosterRequest) (*peerv1.FetchRosterResponse, error) {
	res, err := c.rpc.FetchRoster(ctx, req)
	return res, convertError(err)
}

// HandOver tells the peer that the sender no longer issues permits.
func (c *Client) HandOver(ctx context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	res, err := c.rpc.HandOver(ctx, req)
	return res, convertError(err)
}
