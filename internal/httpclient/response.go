package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// Response is the response to one exchange. Close must be called once, by the goroutine that reads.
type Response struct {
	*protocol.Response
	client    *Client
	conn      *pooledConn
	address   string
	stop      func() bool
	abort     context.CancelFunc
	stream    bool
	singleUse bool
	// body is nil if the response has none.
	body io.Reader
}

// Bytes returns the complete body of a response that was not streamed. It is valid until Close.
func (r *Response) Bytes() []byte { return r.Response.Body() }

// Body returns the body of a response that was requested with [Call.Stream].
func (r *Response) Body() io.Reader {
	if r.body == nil {
		return http.NoBody
	}
	return r.body
}

// codecIdentity is the content length with which the codec marks a close-delimited body.
const codecIdentity = -2

// IsCloseDelimited reports whether the end of the connection is the end of the body. Responses
// without a body need no length either and are excluded.
func (r *Response) IsCloseDelimited() bool {
	return r.Header.ContentLength() == codecIdentity && !r.SkipBody && !hasNoBody(r.StatusCode())
}

// isShort reports whether the body is known to have at most limit bytes.
func (r *Response) isShort(limit int) bool {
	n := r.Header.ContentLength()
	return n >= 0 && n <= limit
}

// Streamed reports whether the body is left to be read from [Response.Body].
func (r *Response) Streamed() bool { return r.stream }

// hasNoBody reports whether responses with a status never have a body (RFC 9110, 6.4.1).
func hasNoBody(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// closeDelimitedBody is a body that ends with its connection. The codec takes any error for the end
// of such a body, including a reset, and a truncated response would look complete to the caller.
type closeDelimitedBody struct{ conn io.Reader }

// Read implements io.Reader; io.EOF means that the server closed the connection normally.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.conn.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	return n, err
}

// lengthBody is a body of known length; left is the number of bytes that weren't read yet. The codec reads on into
// what follows.
type lengthBody struct {
	conn io.Reader
	left int
}

// Read implements io.Reader; io.EOF means that the body is complete.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		return n, nil
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		err = merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	return n, err
}

// hold reads the complete body.
func (r *Response) hold(limit int) error {
	n, err := r.BodyBuffer().ReadFrom(io.LimitReader(r.body, int64(limit)+1))
	switch {
	case err != nil:
		return err
	case n > int64(limit):
		return merry.Wrap(ErrTooLarge)
	}
	return nil
}

// mustClose reports whether the connection can't be used any more after the complete body.
func (r *Response) mustClose() bool {
	chunked, ok := r.body.(*chunkedBody)
	return r.ConnectionClose() || r.IsCloseDelimited() || ok && chunked.conn.Buffered() > 0
}

// Close releases the response. If the body was not read to its end, the connection is closed, which
// tells the server that the response is no longer read.
func (r *Response) Close() {
	if r.Response == nil {
		return
	}
	if r.stream {
		r.conn.Close()
		r.stream = false
	}
	r.release()
}

// drainTimeout is how long Drain waits for the end of a body whose content has been read. Waiting
// longer would cost more than a new connection.
const drainTimeout = 20 * time.Millisecond

// Drain reads what follows the content of a streamed body, so that Close keeps the connection for
// another exchange. It waits only briefly, because the end may never arrive on a broken link.
func (r *Response) Drain() {
	if !r.stream || r.IsCloseDelimited() || r.conn.SetReadTimeout(drainTimeout) != nil {
		return
	}
	var rest [1]byte
	if _, err := r.body.Read(rest[:]); !errors.Is(err, io.EOF) {
		return
	}
	r.stream = false
	r.releaseConn(r.mustClose() || r.conn.SetReadTimeout(0) != nil)
}

// openBody sets the body, as the head says.
func (r *Response) openBody() {
	switch n := r.Header.ContentLength(); {
	case r.SkipBody || hasNoBody(r.StatusCode()):
	case n == codecIdentity:
		r.body = closeDelimitedBody{r.conn}
	case n == codecChunked:
		r.body = newChunkedBody(r.conn)
	default:
		r.body = &lengthBody{r.conn, n}
	}
}

// releaseConn returns the connection to the pool, or closes it.
func (r *Response) releaseConn(closing bool) {
	if r.conn == nil {
		return
	}
	defer r.abort()
	// If the context has ended in the meantime, its function may close the connection at any
	// moment, so the connection must not be reused.
	if stopped := r.stop(); closing || r.singleUse || !stopped {
		r.conn.Close()
	} else {
		r.client.pool.put(r.address, r.conn)
	}
	r.conn = nil
}

func (r *Response) release() {
	r.releaseConn(true)
	if r.Response != nil {
		protocol.ReleaseResponse(r.Response)
		r.Response = nil
	}
}

// Abort closes the connection from another goroutine, which interrupts a pending read. Close must
// still be called.
func (r *Response) Abort() { r.abort() }

// ReadAll returns the complete body, also of a response that was requested as a stream, for
// instance a failure.
func (r *Response) ReadAll() ([]byte, error) {
	if !r.stream {
		return r.Bytes(), nil
	}
	limit := r.client.opts.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(r.body, int64(limit)+1))
	switch {
	case err != nil:
		return nil, merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	case len(body) > limit:
		return nil, merry.Wrap(ErrTooLarge)
	}
	return body, nil
}
