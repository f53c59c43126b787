// Package service speaks to plain HTTP services: it passes one request on and
// says, when that fails, whether the service may have run it.
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
//	case errors.Is(err, service.ErrLost):
//		// unknown
//	}
package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// The kinds of failure of a call to a plain service. They decide what a caller
// may be told about its request.
var (
	// ErrNotSent means that no byte of the request left for the service.
	ErrNotSent = merry.Sentinel("service: request not sent")
	// ErrRefused means that the service refused the request before running
	// it. errors.As with a *Refusal gives the details.
	ErrRefused = merry.Sentinel("service: request refused")
	// ErrLost means that the answer did not come. The service may have run the
	// request, or run it still.
	ErrLost = merry.Sentinel("service: answer lost")
	// ErrTooLarge means that the service ran the request and its answer is
	// larger than allowed.
	ErrTooLarge = merry.Sentinel("service: answer too large")
	// ErrBadRequest means that the request can't be written as HTTP.
	ErrBadRequest = merry.Sentinel("service: bad request")
	// ErrBadAnswer means that a load report can't be understood.
	ErrBadAnswer = merry.Sentinel("service: answer not understood")
)

// headerNotRun marks a refusal before running.
const headerNotRun = "X-Not-Run"

// Refusal is the answer of a service that did not run a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is when the service wants to be asked again; 0 if not said.
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
	// Loads counts what load reports cost; it may be nil.
	Loads *control.Meter
}

// Client calls plain services. It is safe for use by several goroutines.
type Client struct {
	http  *httpclient.Client
	loads *control.Meter
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	return &Client{http: httpclient.New(opts.HTTP), loads: opts.Loads}
}

// Close closes unused connections.
func (c *Client) Close() { c.http.Close() }

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Request is passed on as it is but for the fields that belong to a
// connection. The caller's credentials for pollenspindle are not for the
// service; leave them out of Header.
type Request struct {
	Method string
	// Path is the escaped path, beginning with a slash.
	Path string
	// Query is the escaped query without the question mark.
	Query  string
	Header []Header
	Body   []byte
	// FreshConnection opens a connection for this request alone. A caller's
	// request takes one: on an unused connection that the service has closed
	// meanwhile it would fail without telling whether it has run, and an answer
	// that comes late on a used one would go to the wrong caller.
	FreshConnection bool
}

// Response is the service's answer.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// Do passes a request on. Every answer but a refusal before running is a
// Response, whatever its status. The time is bounded by ctx.
func (c *Client) Do(ctx context.Context, address string, req Request) (Response, error) {
	return c.do(ctx, address, req, nil)
}

func (c *Client) do(ctx context.Context, address string, req Request, meter *control.Meter) (Response, error) {
	r, err := encode(address, req)
	if err != nil {
		return Response{}, err
	}
	defer protocol.ReleaseRequest(r)
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{Alone: req.FreshConnection})
	if err != nil {
		return Response{}, callError(err)
	}
	defer resp.Close()
	if meter != nil {
		meter.AddBytes(httpclient.Size(r, resp))
	}
	if refusal := refusalOf(resp); refusal != nil {
		return Response{}, refusal
	}
	return decode(resp), nil
}

func refusalOf(resp *httpclient.Response) *Refusal {
	status := resp.StatusCode()
	if status < http.StatusBadRequest || resp.Header.Get(headerNotRun) != "true" {
		return nil
	}
	refusal := &Refusal{Status: status}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

func callError(err error) error {
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	case errors.Is(err, httpclient.ErrTooLarge):
		return merry.Wrap(ErrTooLarge, merry.WithCause(err))
	default:
		return merry.Wrap(ErrLost, merry.WithCause(err))
	}
}

// LoadState is what a service says about its readiness.
type LoadState string

// The states in load reports.
const (
	LoadCold    LoadState = "cold"
	LoadWarm    LoadState = "warm"
	LoadLeaving LoadState = "leaving"
)

// LoadReport is a service's view of its load, late by MeasuredMillisAgo.
type LoadReport struct {
	Incarnation       string `json:"incarnation"`
	MeasuredMillisAgo int64  `json:"measuredMillisAgo"`
	// State may be missing: old services don't report it.
	State         LoadState `json:"state,omitempty"`
	Running       int       `json:"running"`
	AcceptedTotal int64     `json:"acceptedTotal"`
	FinishedTotal int64     `json:"finishedTotal"`
}

// Load reads the load report of a service.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	resp, err := c.do(ctx, address, Request{Method: http.MethodGet, Path: "/load"}, c.loads)
	if err != nil {
		return LoadReport{}, err
	}
	if resp.Status != http.StatusOK {
		return LoadReport{}, merry.Wrap(ErrBadAnswer, merry.AppendMessagef("status %d", resp.Status))
	}
	var report LoadReport
	c.loads.Run(func() { err = json.Unmarshal(resp.Body, &report) })
	if err != nil {
		return LoadReport{}, merry.Wrap(ErrBadAnswer, merry.WithCause(err))
	}
	return report, nil
}

// encode writes the request in the codec's form. The path goes out unchanged;
// parsing it as a URL would resolve its dots and escapes, so that the service
// could see another path than the one whose route was checked.
func encode(address string, req Request) (*protocol.Request, error) {
	if !strings.HasPrefix(req.Path, "/") || !printable(req.Path) || !printable(req.Query) || !token(req.Method) {
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

// decode copies the answer out of the codec's buffers.
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
