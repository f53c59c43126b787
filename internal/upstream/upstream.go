// Package upstream sends requests of callers, and this instance's own calls, to backend servers,
// each on a new connection, and says whether the server may have run a request that failed.
//
// Connections are never reused. A reused connection may have been dropped silently, a late response
// on it would be read as the response to this request, and it would be unknown whether a request
// that isn't idempotent has run. A new connection costs one round trip, about a millisecond.
//
// # Usage
//
//	c := upstream.New(memory, dialer.Dial)
//	resp, err := c.Do(ctx, "10.0.0.7:8000", upstream.Request{...}, true)
//	if errors.Is(err, httpclient.ErrNotSent) { ... }
//	defer resp.Close()
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/service"
)

// ErrStatus means that a server answered a call with a failure status.
var ErrStatus = merry.Sentinel("backend server answered with a failure")

const (
	// dialTimeout limits the opening of a connection. A lost packet is retransmitted after a
	// second; trying another server is faster.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout limits the sending of a request.
	writeTimeout = 2 * time.Second
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// URI is the escaped path with the query, as the caller sent it.
	URI    string
	Host   string
	Header []service.Header
	Body   []byte
	// BeforeSend, if set, is called once the connection is open, before the first byte is sent. Its error ends
	// the exchange as not sent.
	BeforeSend func() error
}

// Response is the response of a backend server. Close must be called.
type Response struct {
	Status int
	Header []service.Header
	// Body is the complete body of a response that isn't streamed, or its beginning if it is partial.
	Body []byte
	// Partial means that the rest of the body has to be read from [Response.Stream].
	Partial bool
	resp    *httpclient.Response
	// reserved is the number of bytes of the body that are reserved in memory.
	reserved int
	memory   Memory
	onClose  func()
}

// Memory bounds the bytes of bodies that are held.
type Memory interface {
	// Reserve reports false if there is no memory for n more bytes.
	Reserve(n int) bool
	Release(n int)
}

// Get returns the first value of a header field, or an empty string.
func (r *Response) Get(name string) string {
	for _, h := range r.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Stream returns the body of a streamed response.
func (r *Response) Stream() io.Reader { return r.resp.Body() }

// IsCloseDelimited reports whether the body ends with its connection, so that its end doesn't show that
// it is complete.
func (r *Response) IsCloseDelimited() bool { return r.resp.IsCloseDelimited() }

// Abort interrupts a read of the stream from another goroutine.
func (r *Response) Abort() { r.resp.Abort() }

// OnClose makes Close call a function.
func (r *Response) OnClose(f func()) { r.onClose = f }

// Close closes the response and its connection.
func (r *Response) Close() {
	r.resp.Close()
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
	if r.onClose != nil {
		r.onClose()
	}
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	http   *httpclient.Client
	memory Memory
}

// New returns a client that opens connections with dial, nil for plain TCP, and holds bodies as far
// as there is memory.
func New(memory Memory, dial httpclient.DialFunc) *Client {
	opts := httpclient.Options{DialTimeout: dialTimeout, WriteTimeout: writeTimeout, Dial: dial}
	return &Client{http: httpclient.New(opts), memory: memory}
}

// Close closes the client.
func (c *Client) Close() { c.http.Close() }

// Do sends a request. With stream, the body of a response with status 200 is left to be read by the
// caller; every other response is read completely, or as far as there is memory for its body.
func (c *Client) Do(ctx context.Context, address string, req Request, stream bool) (*Response, error) {
	r := encode(address, req)
	defer httpclient.ReleaseRequest(r, len(req.Header))
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{SingleUse: true, Stream: stream, MaxBuffered: ShortBody, BeforeSend: req.BeforeSend})
	if err != nil {
		return nil, err
	}
	response := &Response{Status: resp.StatusCode(), Header: responseHeader(resp), resp: resp, memory: c.memory}
	switch {
	case stream && response.Status == http.StatusOK:
		return response, nil
	case !resp.Streamed():
		response.Body = append([]byte(nil), resp.Bytes()...)
		return response, nil
	}
	err = response.readBody()
	if err == nil && len(response.Body) >= maxHeldBytes && response.Partial && response.Status >= http.StatusInternalServerError {
		// A failure is held until no other server can answer.
		err = httpclient.ErrTooLarge
	}
	if err != nil {
		response.Close()
		return nil, merry.Wrap(httpclient.ErrUnknownOutcome, merry.WithCause(err))
	}
	return response, nil
}

// ShortBody is the size in bytes up to which a body of known length is read without a reservation.
const ShortBody = 4 << 10

// maxHeldBytes limits the body that is held whole; the rest of a longer one is left to be read.
const maxHeldBytes = 1 << 20

// readBody reads the body as far as there is memory for it.
func (r *Response) readBody() error {
	for {
		if len(r.Body) == cap(r.Body) {
			if len(r.Body) >= maxHeldBytes {
				r.Partial = true
				return nil
			}
			more := max(ShortBody, len(r.Body))
			if !r.memory.Reserve(more) {
				r.Partial = true
				return nil
			}
			r.reserved += more
			r.Body = slices.Grow(r.Body, more)
		}
		n, err := r.resp.Body().Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Call sends a request of this instance's own, in JSON, and returns the status and the body. A
// failure status is returned as [ErrStatus].
func (c *Client) Call(ctx context.Context, address, method, path string, body []byte) (int, []byte, error) {
	req := Request{Method: method, URI: path, Host: address, Body: body}
	if len(body) > 0 {
		req.Header = []service.Header{{Name: "Content-Type", Value: "application/json"}}
	}
	response, err := c.Do(ctx, address, req, false)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	if response.Partial {
		return response.Status, nil, merry.Wrap(httpclient.ErrTooLarge)
	}
	if response.Status >= http.StatusMultipleChoices {
		return response.Status, response.Body, merry.Wrap(ErrStatus, merry.AppendMessagef("status %d", response.Status))
	}
	return response.Status, response.Body, nil
}

func encode(address string, req Request) *protocol.Request {
	r := protocol.AcquireRequest()
	r.SetMethod(req.Method)
	host := req.Host
	if host == "" {
		host = address
	}
	r.Header.SetHost(host)
	r.SetRequestURI(req.URI)
	for _, h := range req.Header {
		r.Header.Add(h.Name, h.Value)
	}
	r.SetBody(req.Body)
	return r
}

// responseHeader copies the header out of the codec's buffers, without the fields that belong to
// the connection.
func responseHeader(resp *httpclient.Response) []service.Header {
	var header []service.Header
	resp.Header.VisitAll(func(name, value []byte) {
		header = append(header, service.Header{Name: string(name), Value: string(value)})
	})
	drop := service.ConnectionFields(header)
	kept := header[:0]
	for _, h := range header {
		if !drop[strings.ToLower(h.Name)] {
			kept = append(kept, h)
		}
	}
	return kept
}
