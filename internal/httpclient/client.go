// Package httpclient does one HTTP/1.1 exchange with a backend server at a
// time and says how far it got when it fails: before the first byte left, or
// after. It is built from the codec and connections of hertz. The hertz client
// itself doesn't serve here, because it repeats some requests by itself and
// cannot be interrupted before the response headers have come.
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
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	reqcodec "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	respcodec "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// The kinds of failure of an exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrLost means that the exchange failed after bytes may have left. The
	// server may have run the request, or run it still.
	ErrLost = merry.Sentinel("exchange lost")
	// ErrTooLarge means that the response is larger than allowed. The server
	// has run the request.
	ErrTooLarge = merry.Sentinel("response too large")
)

// Options are the limits of a [Client]. Zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection; 1 s by default. The end
	// of a context doesn't interrupt it, only its deadline shortens it.
	DialTimeout time.Duration
	// WriteTimeout bounds the sending of a request; 5 s by default. A request
	// larger than the socket's buffer would otherwise wait for ever on a link
	// that went silent.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 2 s by default. It
	// is shorter than the idle timeouts of usual servers, 5 s and more, so that
	// a request rarely meets a connection that the server is closing.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections kept per address; 64 by default.
	MaxIdle int
	// MaxResponseBytes bounds a response that isn't streamed; 8 MiB by default.
	MaxResponseBytes int
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
	return o
}

// Call says how one exchange is done.
type Call struct {
	// FreshConnection opens a new connection instead of taking an unused one.
	// Open connections can go silent for good while new ones work.
	FreshConnection bool
	// Alone opens a new connection too, and closes it afterwards. An answer that
	// comes late on a kept connection would be read as the next request's; where
	// answers don't name their request, nothing else tells the two apart.
	Alone bool
	// Stream leaves the body to be read from [Response.Body].
	Stream bool
}

// Client does exchanges. It is safe for use by several goroutines.
type Client struct {
	opts Options
	pool *pool
}

// New returns a Client.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, pool: newPool(opts.MaxIdle, opts.IdleTimeout)}
}

// Close closes the unused connections.
func (c *Client) Close() { c.pool.close() }

// Do sends req to address and reads the response headers, and the body too
// unless call.Stream is set. Cancelling ctx ends the exchange, also while the
// body is read.
func (c *Client) Do(ctx context.Context, address string, req *protocol.Request, call Call) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	conn, err := c.connect(ctx, address, call.FreshConnection || call.Alone)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	r := &Response{Response: protocol.AcquireResponse(), client: c, conn: conn, address: address, alone: call.Alone}
	// Only closing the connection interrupts a read that waits for a silent
	// server; a deadline would be set anew by the codec.
	callCtx, abort := context.WithCancel(ctx)
	r.abort = abort
	r.stop = context.AfterFunc(callCtx, func() { conn.Close() })
	if err := c.exchange(r, req, call); err != nil {
		r.discard()
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
	conn, err := standard.NewDialer().DialConnection("tcp", address, timeout, nil)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Conn: conn}, nil
}

func (c *Client) exchange(r *Response, req *protocol.Request, call Call) error {
	if err := r.conn.SetWriteTimeout(c.opts.WriteTimeout); err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if err := reqcodec.Write(req, r.conn); err != nil {
		return merry.Wrap(ErrLost, merry.WithCause(err))
	}
	if err := r.conn.Flush(); err != nil {
		return merry.Wrap(ErrLost, merry.WithCause(err))
	}
	if err := respcodec.ReadHeaders(r.Response, r.conn); err != nil {
		return merry.Wrap(ErrLost, merry.WithCause(err))
	}
	if call.Stream {
		return r.openBody()
	}
	r.SkipBody = req.Header.IsHead()
	if !r.SkipBody && r.Header.ContentLength() > c.opts.MaxResponseBytes {
		return merry.Wrap(ErrTooLarge)
	}
	if r.unframed() {
		err := r.readUnframed(c.opts.MaxResponseBytes)
		r.finish(true)
		return err
	}
	if err := respcodec.ReadRespBody(r.Response, r.conn, c.opts.MaxResponseBytes); err != nil {
		return readError(err)
	}
	r.finish(r.ConnectionClose())
	return nil
}
