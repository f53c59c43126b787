// Package httpclient does HTTP/1.1 exchanges with backend servers and, if one fails, says whether
// bytes of the request had left. It is built from the codec and the connections of hertz. The hertz
// client itself is unsuitable, because it repeats some requests on its own and can't be interrupted
// before the response headers have arrived. The codec writes requests and parses complete heads; bodies
// are read here, so that the end of a connection is never taken for the end of an answer that has another.
//
// # Usage
//
//	c := httpclient.New(httpclient.Options{})
//	defer c.Close()
//	resp, err := c.Do(ctx, "10.0.0.7:8000", req, httpclient.Call{Stream: true})
//	if errors.Is(err, httpclient.ErrNotSent) { ... }
//	defer resp.Close()
package httpclient

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	reqcodec "github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

// The kinds of failure of an exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrUnknownOutcome means that the exchange failed after bytes may have left. The server may
	// have run the request, or may still be running it.
	ErrUnknownOutcome = merry.Sentinel("exchange lost")
	// ErrTooLarge means that the response exceeds the size limit. The server has run the request.
	ErrTooLarge = merry.Sentinel("response too large")
	// ErrMalformed means that the server sent the head of a response that isn't HTTP, or that doesn't say for
	// certain where its body ends. Like a lost response it says nothing of the request; it is the cause of
	// [ErrUnknownOutcome].
	ErrMalformed = merry.Sentinel("head of the response is malformed")
)

// Options are the limits of a [Client]. Zero fields take the defaults.
type Options struct {
	// DialTimeout limits the opening of a connection; 1 s by default. The cancellation of a context
	// doesn't interrupt it, only the context's deadline shortens it.
	DialTimeout time.Duration
	// WriteTimeout limits the sending of a request; 5 s by default. Without it, a request larger
	// than the socket's buffer would block forever on a broken link.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 2 s by default. It is shorter than the
	// usual idle timeouts of servers, 5 s and more, so that a request rarely uses a connection that
	// the server is closing.
	IdleTimeout time.Duration
	// MaxIdle limits the idle connections per address; 64 by default.
	MaxIdle int
	// MaxResponseBytes limits a response that isn't streamed; 8 MiB by default.
	MaxResponseBytes int
	// Dial opens connections; [DialTCP] by default.
	Dial DialFunc
}

// DialFunc opens a connection to address, host:port, within timeout.
type DialFunc func(ctx context.Context, address string, timeout time.Duration) (network.Conn, error)

// DialTCP is the default [DialFunc]. Cancelling ctx doesn't interrupt it.
func DialTCP(_ context.Context, address string, timeout time.Duration) (network.Conn, error) {
	conn, err := standard.NewDialer().DialConnection("tcp", address, timeout, nil)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = 5 * time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 2 * time.Second
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 64
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = 8 << 20
	}
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	return o
}

// Call holds the options of one exchange.
type Call struct {
	// FreshConnection opens a new connection instead of reusing an idle one. Open connections can
	// stop delivering data permanently while new ones work.
	FreshConnection bool
	// SingleUse opens a new connection too, and closes it afterwards. A late response on a reused
	// connection would be read as the response to the next request; where responses don't name
	// their request, nothing else distinguishes the two.
	SingleUse bool
	// Stream leaves the body to be read from [Response.Body].
	Stream bool
	// MaxBuffered, if not 0, does so too if the body is longer, in bytes, or of unknown length.
	MaxBuffered int
	// BeforeSend, if set, is called once the connection is open, before the first byte of the request is sent.
	// Its error ends the exchange as not sent.
	BeforeSend func() error
}

// Client does HTTP exchanges. It is safe for concurrent use.
type Client struct {
	opts Options
	pool *pool
}

// New returns a Client.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, pool: newPool(opts.MaxIdle, opts.IdleTimeout)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Do sends req to address and reads the response headers, and the body too unless call.Stream is
// set. Cancelling ctx ends the exchange, even while the body is read.
func (c *Client) Do(ctx context.Context, address string, req *protocol.Request, call Call) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	conn, err := c.connect(ctx, address, call.FreshConnection || call.SingleUse)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	r := &Response{Response: protocol.AcquireResponse(), client: c, conn: conn, address: address, singleUse: call.SingleUse}
	// Only closing the connection interrupts a read from a silent server; the codec would overwrite
	// a read deadline.
	callCtx, abort := context.WithCancel(ctx)
	r.abort = abort
	r.stop = context.AfterFunc(callCtx, func() { conn.Close() })
	if err := c.exchange(r, req, call); err != nil {
		r.release()
		if ctxErr := ctx.Err(); ctxErr != nil {
			err = merry.Wrap(err, merry.WithCause(ctxErr))
		}
		return nil, err
	}
	return r, nil
}

func (c *Client) connect(ctx context.Context, address string, fresh bool) (*pooledConn, error) {
	now := time.Now()
	if !fresh {
		if conn := c.pool.take(address, now); conn != nil {
			return conn, nil
		}
	}
	timeout := c.opts.DialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(min(timeout, deadline.Sub(now)), time.Millisecond)
	}
	conn, err := c.opts.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Conn: conn}, nil
}

func (c *Client) exchange(r *Response, req *protocol.Request, call Call) error {
	if err := r.conn.SetWriteTimeout(c.opts.WriteTimeout); err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			return merry.Wrap(ErrNotSent, merry.WithCause(err))
		}
	}
	if err := reqcodec.Write(req, r.conn); err != nil {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	if err := r.conn.Flush(); err != nil {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	if err := r.readHead(); err != nil {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	r.SkipBody = req.Header.IsHead()
	r.openBody()
	if r.body == nil {
		r.releaseConn(r.ConnectionClose())
		return nil
	}
	if call.Stream || call.MaxBuffered > 0 && !r.isShort(call.MaxBuffered) {
		r.stream = true
		return nil
	}
	if r.Header.ContentLength() > c.opts.MaxResponseBytes {
		return merry.Wrap(ErrTooLarge)
	}
	if err := r.hold(c.opts.MaxResponseBytes); err != nil {
		return err
	}
	r.releaseConn(r.mustClose())
	return nil
}

// maxPooledFields is the number of header fields up to which a request is kept for others.
const maxPooledFields = 128

// ReleaseRequest releases a request with a number of header fields. Those of large heads aren't kept: the codec would
// hold their memory for as long.
func ReleaseRequest(r *protocol.Request, fields int) {
	if fields <= maxPooledFields {
		protocol.ReleaseRequest(r)
	}
}
