package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	respcodec "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// Response is the answer to one exchange. Close must be called once, by the
// goroutine that reads.
type Response struct {
	*protocol.Response
	client  *Client
	conn    *pooledConn
	address string
	stop    func() bool
	abort   context.CancelFunc
	stream  bool
	alone   bool
}

// forceCloser is what the codec's body streams offer to be given up unread.
type forceCloser interface{ ForceClose() error }

// Bytes returns the whole body of a response that was not streamed. It is valid
// until Close.
func (r *Response) Bytes() []byte { return r.Response.Body() }

// Body returns the body of a response that was asked for with [Call.Stream].
func (r *Response) Body() io.Reader {
	if r.unframed() {
		return unframedBody{r.conn}
	}
	return r.BodyStream()
}

// codecIdentity is how the codec tells a body that ends with its connection.
const codecIdentity = -2

// unframed reports whether the body ends with its connection. Some answers have
// no body and need no length; there is nothing to wait for then.
func (r *Response) unframed() bool {
	return r.Header.ContentLength() == codecIdentity && !r.SkipBody && !bodiless(r.StatusCode())
}

// bodiless reports whether answers with a status never have a body (RFC 9110,
// 6.4.1).
func bodiless(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// unframedBody is a body that ends with its connection. The codec takes any end
// for the end of such a body, also a reset: an answer that was broken off would
// look whole to the caller.
type unframedBody struct{ conn io.Reader }

// Read implements io.Reader; io.EOF means that the server closed in order.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.conn.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = merry.Wrap(ErrLost, merry.WithCause(err))
	}
	return n, err
}

// readUnframed reads a whole body that ends with its connection.
func (r *Response) readUnframed(limit int) error {
	body, err := io.ReadAll(io.LimitReader(unframedBody{r.conn}, int64(limit)+1))
	switch {
	case err != nil:
		return err
	case len(body) > limit:
		return merry.Wrap(ErrTooLarge)
	}
	r.SetBody(body)
	return nil
}

// Close releases the response. A connection whose body was not read to its end
// is closed, which tells the server that nobody listens.
func (r *Response) Close() {
	if r.Response == nil {
		return
	}
	if r.stream {
		// The codec would read a streamed body to its end to reuse the
		// connection; for a generation that could be minutes away.
		r.conn.Close()
		if r.unframed() {
			r.stream = false
			r.discard()
			return
		}
		if body, ok := r.BodyStream().(forceCloser); ok {
			_ = body.ForceClose()
		}
		_ = r.CloseBodyStream()
		r.stream = false
	}
	r.discard()
}

// drainTimeout is how long Drain waits for the end of a body whose content has
// come. Reusing a connection saves less than a longer wait would cost.
const drainTimeout = 20 * time.Millisecond

// Drain reads the little that is left behind the content of a streamed body, so
// that Close keeps the connection for another exchange. The end may never come
// on a link that went silent, so it waits only shortly.
func (r *Response) Drain() {
	if !r.stream || r.unframed() || r.conn.SetReadTimeout(drainTimeout) != nil {
		return
	}
	var rest [1]byte
	if _, err := r.BodyStream().Read(rest[:]); !errors.Is(err, io.EOF) {
		return
	}
	r.stream = false
	closing := r.ConnectionClose()
	if err := r.CloseBodyStream(); err != nil {
		closing = true
	}
	closing = closing || r.conn.SetReadTimeout(0) != nil
	r.finish(closing)
}

func (r *Response) openBody() error {
	if r.unframed() {
		r.stream = true
		return nil
	}
	err := respcodec.ReadRespBodyStream(r.Response, r.conn, 0, func(bool) error { return nil })
	if err != nil {
		return merry.Wrap(ErrLost, merry.WithCause(err))
	}
	r.stream = r.IsBodyStream()
	return nil
}

// finish gives the connection back, or closes it.
func (r *Response) finish(closing bool) {
	if r.conn == nil {
		return
	}
	defer r.abort()
	// When the context has ended in between, its function closes the
	// connection at any moment, so it must not be handed out again.
	if stopped := r.stop(); closing || r.alone || !stopped {
		r.conn.Close()
	} else {
		r.client.pool.put(r.address, r.conn)
	}
	r.conn = nil
}

func (r *Response) discard() {
	r.finish(true)
	if r.Response != nil {
		protocol.ReleaseResponse(r.Response)
		r.Response = nil
	}
}

func readError(err error) error {
	if errors.Is(err, herrors.ErrBodyTooLarge) {
		return merry.Wrap(ErrTooLarge, merry.WithCause(err))
	}
	return merry.Wrap(ErrLost, merry.WithCause(err))
}

// Abort closes the connection from another goroutine, which ends a read that
// waits on it. Close must still be called.
func (r *Response) Abort() { r.abort() }

// ReadAll returns the whole body, also of a response that was asked for as a
// stream, as failures are.
func (r *Response) ReadAll() ([]byte, error) {
	if !r.stream {
		return r.Bytes(), nil
	}
	limit := r.client.opts.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(r.Body(), int64(limit)+1))
	switch {
	case err != nil:
		return nil, merry.Wrap(ErrLost, merry.WithCause(err))
	case len(body) > limit:
		return nil, merry.Wrap(ErrTooLarge)
	}
	return body, nil
}
