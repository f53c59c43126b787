// Package engine is the client of model engines: it starts, resumes and cancels generations, reads
// load reports and cache events, and sends engine commands.
//
// # Usage
//
//	c := engine.NewClient(engine.Options{})
//	defer c.Close()
//	s, err := c.Start(ctx, "10.0.0.7:8000", engine.Request{ID: "r1", Body: body})
//	if err != nil {
//		// ErrNotSent, ErrRefused, ErrBadRequest, ErrUnknownModel: not run.
//		// ErrUnknownOutcome: it may run.
//	}
//	defer s.Close()
//	for {
//		ev, err := s.Next()
//		if err == io.EOF {
//			break // complete
//		}
//		if errors.Is(err, engine.ErrStreamInterrupted) {
//			s, err = c.Resume(ctx, "10.0.0.7:8000", "r1", s.LastPosition(), false)
//		}
//		// forward ev
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

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

// Headers specific to engines.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderNotRun      = "X-Not-Run"
)

// Options configures a [Client].
type Options struct {
	HTTP httpclient.Options
	// LoadMeter counts the cost of load reports; it may be nil.
	LoadMeter *controlcost.Meter
}

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	http      *httpclient.Client
	loadMeter *controlcost.Meter
	loadCache loadCache
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	return &Client{http: httpclient.New(opts.HTTP), loadMeter: opts.LoadMeter}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Path is the endpoint of an engine for a kind of generation.
type Path string

// Endpoints for generations.
const (
	PathChat       Path = "/v1/chat/completions"
	PathCompletion Path = "/v1/completions"
)

// Request starts a generation.
type Request struct {
	// ID is the X-Request-Id, unique per generation.
	ID string
	// Path defaults to PathChat.
	Path Path
	// Body is the JSON request body, with stream set to true and, optionally, a priority.
	Body []byte
	// FreshConnection opens a new connection.
	FreshConnection bool
}

// Start starts a generation. It returns when the engine has sent the response headers. ctx limits
// the wait for them and also ends the stream.
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
	injectTraceContext(ctx, r)
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

// Resume continues reading a generation after the given position. Probes set fresh to open a new
// connection, since a kept one may be silent too.
func (c *Client) Resume(ctx context.Context, address, requestID string, after int64, fresh bool) (*Stream, error) {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?after=" + strconv.FormatInt(after, 10)
	r := newRequest(http.MethodGet, address, path)
	defer protocol.ReleaseRequest(r)
	injectTraceContext(ctx, r)
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

// Cancel ends a generation and frees its memory. Cancelling an unknown generation succeeds.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	r := newRequest(http.MethodDelete, address, "/v1/streams/"+url.PathEscape(requestID))
	defer protocol.ReleaseRequest(r)
	// A cancellation mostly follows a connection problem, so it uses a new connection.
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

// newStream checks that the response belongs to this request.
//
// A late response on a reused connection would be read as the response to the next request, and a
// caller would get another caller's text. The engine puts the request ID into its response, so a
// mismatch is found before the first token.
func newStream(resp *httpclient.Response, requestID string, after int64) (*Stream, error) {
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != requestID {
		resp.Close()
		return nil, merry.Wrap(ErrUnknownOutcome, merry.AppendMessage("response to another request"))
	}
	return &Stream{
		resp:        resp,
		events:      eventstream.NewReader(resp.Body()),
		sequence:    NewSequence(after),
		incarnation: resp.Header.Get(HeaderIncarnation),
		requestID:   requestID,
	}, nil
}

// injectTraceContext adds the span context of ctx to a request as a W3C trace context.
func injectTraceContext(ctx context.Context, r *protocol.Request) {
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
	return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
}

// statusError converts a failure status to an error of this package.
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
		// Other statuses don't tell whether the request has run.
		return merry.Wrap(ErrUnknownOutcome, merry.AppendMessagef("status %d", status))
	}
}

func retryAfter(resp *httpclient.Response) time.Duration {
	d, _ := pushback.ParseRetryAfter(resp.Header.Get("Retry-After"))
	return d
}

// getJSON decodes the JSON response to a GET into v. meter counts the cost.
func (c *Client) getJSON(ctx context.Context, address, path string, meter *controlcost.Meter, v any) error {
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
		return merry.Wrap(ErrInvalidResponse, merry.WithCause(err))
	}
	return nil
}
