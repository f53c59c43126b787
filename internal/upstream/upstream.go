// Package upstream sends requests of callers, and orders of this instance, to
// backend servers, each on a connection of its own, and says how far a failed
// one got.
//
// A request never travels on a connection that was used before. Something may
// have dropped it, a late answer on it would be read as this request's, and a
// request that isn't idempotent could not be told from one that has run. A new
// connection costs one way to the server and back, about a millisecond.
//
// # Usage
//
//	c := upstream.New()
//	a, err := c.Do(ctx, "10.0.0.7:8000", upstream.Request{...}, true)
//	if errors.Is(err, httpclient.ErrNotSent) { ... }
//	defer a.Close()
package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/service"
)

// ErrStatus means that a server answered an order with a failure.
var ErrStatus = merry.Sentinel("backend server refused the order")

const (
	// dialTimeout bounds the opening of a connection. A lost packet is sent
	// again after a second, which is more than another server takes.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the sending of a request.
	writeTimeout = 2 * time.Second
)

// Request is what goes to a backend server.
type Request struct {
	Method string
	// URI is the escaped path with the query, as the caller sent it.
	URI    string
	Host   string
	Header []service.Header
	Body   []byte
}

// Answer is a backend server's answer. Close must be called.
type Answer struct {
	Status int
	Header []service.Header
	// Body is the whole body of an answer that isn't streamed.
	Body []byte
	resp *httpclient.Response
}

// Get returns the first value of a header field.
func (a *Answer) Get(name string) string {
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Stream returns the body of an answer that is streamed.
func (a *Answer) Stream() io.Reader { return a.resp.Body() }

// Abort ends a read of the stream from another goroutine.
func (a *Answer) Abort() { a.resp.Abort() }

// Close ends the exchange and its connection.
func (a *Answer) Close() { a.resp.Close() }

// Client sends requests. It is safe for concurrent use.
type Client struct{ http *httpclient.Client }

// New returns a client.
func New() *Client {
	return &Client{http: httpclient.New(httpclient.Options{DialTimeout: dialTimeout, WriteTimeout: writeTimeout})}
}

// Close closes the client.
func (c *Client) Close() { c.http.Close() }

// Do sends a request. With stream, the body of a successful answer is left to
// be read; every other answer comes whole.
func (c *Client) Do(ctx context.Context, address string, req Request, stream bool) (*Answer, error) {
	r := encode(address, req)
	defer protocol.ReleaseRequest(r)
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{Alone: true, Stream: stream})
	if err != nil {
		return nil, err
	}
	a := &Answer{Status: resp.StatusCode(), Header: fields(resp), resp: resp}
	if stream && a.Status < http.StatusMultipleChoices {
		return a, nil
	}
	body, err := resp.ReadAll()
	if err != nil {
		resp.Close()
		return nil, err
	}
	a.Body = append([]byte(nil), body...)
	return a, nil
}

// Order sends a call of this instance's own and returns the body of a success.
// A failure that the server answered is [ErrStatus] with its status.
func (c *Client) Order(ctx context.Context, address, method, path string, body []byte) (int, []byte, error) {
	req := Request{Method: method, URI: path, Host: address, Body: body}
	if len(body) > 0 {
		req.Header = []service.Header{{Name: "Content-Type", Value: "application/json"}}
	}
	a, err := c.Do(ctx, address, req, false)
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	if a.Status >= http.StatusMultipleChoices {
		return a.Status, a.Body, merry.Wrap(ErrStatus, merry.AppendMessagef("status %d", a.Status))
	}
	return a.Status, a.Body, nil
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

// fields copies the header out of the codec's buffers, without the fields that
// belong to the connection.
func fields(resp *httpclient.Response) []service.Header {
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
