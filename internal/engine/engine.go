// Package engine speaks to model engines: it starts, resumes and cancels
// generations, reads load reports and cache events and gives orders.
//
// # Usage
//
//	c := engine.NewClient(engine.Options{})
//	defer c.Close()
//	s, err := c.Start(ctx, "10.0.0.7:8000", engine.Request{ID: "r1", Body: body})
//	if err != nil {
//		// ErrNotSent, ErrRefused, ErrBadRequest, ErrUnknownModel: not run.
//		// ErrLost: it may run.
//	}
//	defer s.Close()
//	for {
//		ev, err := s.Next()
//		if err == io.EOF {
//			break // whole
//		}
//		if errors.Is(err, engine.ErrStreamCut) {
//			s, err = c.Resume(ctx, "10.0.0.7:8000", "r1", s.Last())
//		}
//		// pass ev on
//	}
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.opentelemetry.io/otel/propagation"

	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// The headers that engines use beside the usual ones.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderNotRun      = "X-Not-Run"
)

// Options are the limits of a [Client].
type Options struct {
	HTTP httpclient.Options
	// Loads counts what load reports cost; it may be nil.
	Loads *control.Meter
}

// Client calls model engines. It is safe for use by several goroutines.
type Client struct {
	http  *httpclient.Client
	loads *control.Meter
	last  lastLoads
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	return &Client{http: httpclient.New(opts.HTTP), loads: opts.Loads}
}

// Close closes unused connections.
func (c *Client) Close() { c.http.Close() }

// Path is the endpoint of an engine for a kind of generation.
type Path string

// The endpoints for generations.
const (
	PathChat       Path = "/v1/chat/completions"
	PathCompletion Path = "/v1/completions"
)

// Request starts a generation.
type Request struct {
	// ID is the X-Request-Id, unique per generation.
	ID string
	// Path is PathChat if empty.
	Path Path
	// Body is the JSON body for the engine, with stream true and, where it is
	// wanted, priority.
	Body []byte
	// FreshConnection opens a new connection.
	FreshConnection bool
}

// Start starts a generation. It returns when the engine has answered with the
// response headers; the time to wait for them is bounded by ctx, which also
// ends the stream.
func (c *Client) Start(ctx context.Context, address string, req Request) (*Stream, error) {
	path := req.Path
	if path == "" {
		path = PathChat
	}
	r := newRequest(http.MethodPost, address, string(path))
	defer protocol.ReleaseRequest(r)
	r.SetBody(req.Body)
	r.Header.SetContentTypeBytes([]byte("application/json"))
	r.Header.Set(HeaderRequestID, req.ID)
	trace(ctx, r)
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{Stream: true, FreshConnection: req.FreshConnection})
	if err != nil {
		return nil, callError(err)
	}
	if resp.StatusCode() != http.StatusOK {
		defer resp.Close()
		return nil, statusError(resp)
	}
	return newStream(resp, req.ID, 0)
}

// Resume goes on reading a generation after the position after. A probe passes
// fresh, so that it doesn't meet another silent connection.
func (c *Client) Resume(ctx context.Context, address, requestID string, after int64, fresh bool) (*Stream, error) {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?after=" + strconv.FormatInt(after, 10)
	r := newRequest(http.MethodGet, address, path)
	defer protocol.ReleaseRequest(r)
	trace(ctx, r)
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{Stream: true, FreshConnection: fresh})
	if err != nil {
		return nil, callError(err)
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		return newStream(resp, requestID, after)
	case http.StatusNotFound:
		resp.Close()
		return nil, merry.Wrap(ErrUnknownStream)
	default:
		defer resp.Close()
		return nil, statusError(resp)
	}
}

// Cancel ends a generation and frees its memory. Cancelling an unknown one
// succeeds.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	r := newRequest(http.MethodDelete, address, "/v1/streams/"+url.PathEscape(requestID))
	defer protocol.ReleaseRequest(r)
	// A cancel mostly follows trouble with a connection, so it takes a new one.
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{FreshConnection: true})
	if err != nil {
		return callError(err)
	}
	defer resp.Close()
	if resp.StatusCode() != http.StatusNoContent {
		return statusError(resp)
	}
	return nil
}

// newStream checks that the answer is to this request.
//
// An answer that comes late on a connection used before would be read as the
// next request's, and a caller would get another's words. The engine names the
// request in its answer, so a crossed one is found before its first token.
func newStream(resp *httpclient.Response, requestID string, after int64) (*Stream, error) {
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != requestID {
		resp.Close()
		return nil, merry.Wrap(ErrLost, merry.AppendMessage("answer to another request"))
	}
	return &Stream{
		resp:        resp,
		events:      eventstream.NewReader(resp.Body()),
		sequence:    NewSequence(after),
		incarnation: resp.Header.Get(HeaderIncarnation),
		requestID:   requestID,
	}, nil
}

// trace sends the identity of the span in ctx along, as W3C trace context.
func trace(ctx context.Context, r *protocol.Request) {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	for name, value := range carrier {
		r.Header.Set(name, value)
	}
}

func newRequest(method, address, path string) *protocol.Request {
	r := protocol.AcquireRequest()
	r.SetMethod(method)
	r.Header.SetHost(address)
	r.SetRequestURI(path)
	return r
}

func callError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	return merry.Wrap(ErrLost, merry.WithCause(err))
}

// statusError turns an answer that is no success into this layer's error.
func statusError(resp *httpclient.Response) error {
	status := resp.StatusCode()
	switch {
	case status == http.StatusTooManyRequests:
		return &Refusal{Status: status, Overload: true, RetryAfter: retryAfter(resp)}
	case status == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return &Refusal{Status: status, RetryAfter: retryAfter(resp)}
	case status == http.StatusNotFound:
		return merry.Wrap(ErrUnknownModel)
	case status == http.StatusBadRequest:
		return merry.Wrap(ErrBadRequest)
	default:
		// Any other answer doesn't say whether the request has run.
		return merry.Wrap(ErrLost, merry.AppendMessagef("status %d", status))
	}
}

func retryAfter(resp *httpclient.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// getJSON reads the JSON answer to a GET into v. Meter counts what that costs.
func (c *Client) getJSON(ctx context.Context, address, path string, meter *control.Meter, v any) error {
	r := newRequest(http.MethodGet, address, path)
	defer protocol.ReleaseRequest(r)
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{})
	if err != nil {
		return callError(err)
	}
	defer resp.Close()
	if resp.StatusCode() != http.StatusOK {
		return statusError(resp)
	}
	meter.AddBytes(httpclient.Size(r, resp))
	meter.Run(func() { err = json.Unmarshal(resp.Bytes(), v) })
	if err != nil {
		return merry.Wrap(ErrBadAnswer, merry.WithCause(err))
	}
	return nil
}
