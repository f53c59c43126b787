// Package service is a client for plain HTTP services: it forwards one request and, if that fails,
// says whether the service may have run it.
//
// # Usage
//
//	c := service.NewClient(service.Options{})
//	defer c.Close()
//	resp, err := c.Do(ctx, "10.0.0.9:8000", service.Request{
//		Method: "POST", Path: "/bookings", Body: body, FreshConnection: true,
//	})
//	switch {
//	case errors.Is(err, service.ErrNotSent), errors.Is(err, service.ErrRefused):
//		// not run
//	case errors.Is(err, service.ErrUnknownOutcome):
//		// unknown
//	}
package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

// The kinds of failure of a call to a plain service. They determine what a caller may learn about
// its request.
var (
	// ErrNotSent means that no byte of the request left for the service.
	ErrNotSent = merry.Sentinel("service: request not sent")
	// ErrRefused means that the service refused the request before running
	// it. errors.As with a *Refusal gives the details.
	ErrRefused = merry.Sentinel("service: request refused")
	// ErrUnknownOutcome means that no response arrived. The service may have run the request, or
	// may still be running it.
	ErrUnknownOutcome = merry.Sentinel("service: response lost")
	// ErrTooLarge means that the service ran the request and the response exceeds the size limit.
	ErrTooLarge = merry.Sentinel("service: response too large")
	// ErrBadRequest means that the request can't be written as HTTP.
	ErrBadRequest = merry.Sentinel("service: bad request")
	// ErrInvalidReport means that a load report is invalid.
	ErrInvalidReport = merry.Sentinel("service: invalid load report")
)

// headerNotRun marks the refusal of a request that wasn't run.
const headerNotRun = "X-Not-Run"

// Refusal is the response of a service that did not run a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the value of the Retry-After field; 0 if there is none.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("service: request refused with status %d, retry after %s", r.Status, r.RetryAfter)
}

// Is makes errors.Is(err, ErrRefused) true for a Refusal.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// Options are the limits of a [Client].
type Options struct {
	HTTP httpclient.Options
	// LoadMeter measures the cost of load reports; it may be nil.
	LoadMeter *controlcost.Meter
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	http      *httpclient.Client
	loadMeter *controlcost.Meter
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	return &Client{http: httpclient.New(opts.HTTP), loadMeter: opts.LoadMeter}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Request is forwarded as it is, except for the header fields that belong to a connection. The
// caller's credentials for pollenspindle are not meant for the service and must not be in Header.
type Request struct {
	Method string
	// Path is the escaped path, beginning with a slash.
	Path string
	// Query is the escaped query without the question mark.
	Query  string
	Header []Header
	Body   []byte
	// FreshConnection opens a connection for this request only. Requests of callers need one: on an
	// idle connection that the service has closed in the meantime, a request would fail without
	// telling whether it ran, and a late response on a reused connection would go to the wrong
	// caller.
	FreshConnection bool
}

// Response is the response of the service.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// Do forwards a request. Every response except a refusal before running is returned as a Response,
// whatever its status. The time is limited by ctx.
func (c *Client) Do(ctx context.Context, address string, req Request) (Response, error) {
	return c.do(ctx, address, req, nil)
}

func (c *Client) do(ctx context.Context, address string, req Request, meter *controlcost.Meter) (Response, error) {
	r, err := encode(address, req)
	if err != nil {
		return Response{}, err
	}
	defer httpclient.ReleaseRequest(r, len(req.Header))
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{SingleUse: req.FreshConnection})
	if err != nil {
		return Response{}, classifyError(err)
	}
	defer resp.Close()
	if meter != nil {
		meter.AddBytes(httpclient.Size(r, resp))
	}
	if refusal := parseRefusal(resp); refusal != nil {
		return Response{}, refusal
	}
	return decode(resp), nil
}

func parseRefusal(resp *httpclient.Response) *Refusal {
	status := resp.StatusCode()
	if status < http.StatusBadRequest || resp.Header.Get(headerNotRun) != "true" {
		return nil
	}
	refusal := &Refusal{Status: status}
	refusal.RetryAfter, _ = pushback.ParseRetryAfter(resp.Header.Get("Retry-After"))
	return refusal
}

func classifyError(err error) error {
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	case errors.Is(err, httpclient.ErrTooLarge):
		return merry.Wrap(ErrTooLarge, merry.WithCause(err))
	default:
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
}

// LoadState is the readiness that a service reports.
type LoadState string

// The states in load reports.
const (
	LoadCold    LoadState = "cold"
	LoadWarm    LoadState = "warm"
	LoadLeaving LoadState = "leaving"
)

// LoadReport is the load that a service reports, measured MeasuredMillisAgo before.
type LoadReport struct {
	Incarnation       string `json:"incarnation"`
	MeasuredMillisAgo int64  `json:"measuredMillisAgo"`
	// State may be empty: old services don't report it.
	State         LoadState `json:"state,omitempty"`
	Running       int       `json:"running"`
	AcceptedTotal int64     `json:"acceptedTotal"`
	FinishedTotal int64     `json:"finishedTotal"`
	// MaxPerSecond is the number of requests per second that the service takes from all instances
	// together; 0 for no limit.
	MaxPerSecond float64 `json:"maxPerSecond,omitempty"`
}

// Load reads the load report of a service.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	resp, err := c.do(ctx, address, Request{Method: http.MethodGet, Path: "/load"}, c.loadMeter)
	if err != nil {
		return LoadReport{}, err
	}
	if resp.Status != http.StatusOK {
		return LoadReport{}, merry.Wrap(ErrInvalidReport, merry.AppendMessagef("status %d", resp.Status))
	}
	var report LoadReport
	c.loadMeter.Run(func() { err = json.Unmarshal(resp.Body, &report) })
	if err != nil {
		return LoadReport{}, merry.Wrap(ErrInvalidReport, merry.WithCause(err))
	}
	return report, nil
}

// encode converts the request to the codec's form. The path is sent unchanged; parsing it as a URL
// would resolve its dots and escapes, and the service could see a path other than the one whose
// route was checked.
func encode(address string, req Request) (*protocol.Request, error) {
	if !strings.HasPrefix(req.Path, "/") || !isRequestTarget(req.Path) || !isRequestTarget(req.Query) || !isMethod(req.Method) {
		return nil, merry.Wrap(ErrBadRequest)
	}
	r := protocol.AcquireRequest()
	r.SetMethod(req.Method)
	r.Header.SetHost(address)
	target := req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	r.SetRequestURI(target)
	drop := ConnectionFields(req.Header)
	for _, h := range req.Header {
		if !drop[strings.ToLower(h.Name)] {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.SetBody(req.Body)
	return r, nil
}

// decode copies the response out of the codec's buffers.
func decode(resp *httpclient.Response) Response {
	var header []Header
	resp.Header.VisitAll(func(name, value []byte) {
		header = append(header, Header{Name: string(name), Value: string(value)})
	})
	drop := ConnectionFields(header)
	kept := header[:0]
	for _, h := range header {
		if !drop[strings.ToLower(h.Name)] {
			kept = append(kept, h)
		}
	}
	return Response{
		Status: resp.StatusCode(),
		Header: kept,
		Body:   append([]byte(nil), resp.Bytes()...),
	}
}
