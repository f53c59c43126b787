// Package objectapi is the client of the platform's object API: objects with
// versions, conditional writes, lists and long-poll watches.
//
// Each call has a deadline and its errors say what became of a write, so that
// callers can tell "certainly not done" from "perhaps done". It uses the
// transport of net/http: cancelling a long poll there closes its connection,
// and its trace tells whether a call had a connection at all.
//
// # Usage
//
//	client := objectapi.NewClient("http://127.0.0.1:7000", objectapi.Options{})
//	o, err := client.Create(ctx, "claim", name, value)
//	var conflict *objectapi.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.Current is the object that is there.
//	}
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/control"
)

const (
	// defaultTimeout bounds a call. The platform answers in milliseconds, so
	// two seconds of silence mean an outage or a lost connection.
	defaultTimeout = 2 * time.Second
	// defaultReadsPerSecond and defaultReadBurst bound the reads of one
	// instance, watches included: a start needs a few dozen at once and
	// ordinary service about one a second. They keep a fault in one instance,
	// or a recovery of all, from taking the reads that the others need.
	defaultReadsPerSecond = 10
	defaultReadBurst      = 40
	// maxAnswerBytes bounds an answer: a page of large values.
	maxAnswerBytes = 64 << 20
	// pageLimit is the number of objects asked for at a time.
	pageLimit = 500
	// maxRetryAfter bounds what the platform may ask of a reader. Held back
	// for longer, an instance couldn't confirm its configuration within the
	// 3 s after which it takes no new work.
	maxRetryAfter = 1500 * time.Millisecond
)

// Object is a value with its version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Created tells apart objects that had the same name one after the other, where
	// the platform says so.
	Created json.RawMessage `json:"created,omitempty"`
	// Status is what the object's keeper says of it, where the platform has it
	// apart from the value.
	Status json.RawMessage `json:"status,omitempty"`
}

// EventType tells puts from deletes.
type EventType string

// The types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change that a watch saw. The object of a delete has no value.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Call describes one call to the platform, for metrics.
type Call struct {
	// Op is get, list, create, update, status, delete or watch.
	Op       string
	Kind     string
	Duration time.Duration
	// Sent and Received are the bytes of the exchange, headers included.
	Sent, Received int64
	Err            error
}

// Options are the limits of a client. Zero fields take defaults.
type Options struct {
	// Timeout bounds a call; a watch may take its wait and Timeout. Calls under
	// [WithTimeout] have their own.
	Timeout time.Duration
	// ReadsPerSecond and ReadBurst bound reads, watches included. A read
	// above them waits for its turn, at most Timeout.
	ReadsPerSecond float64
	ReadBurst      int
	// OnCall is told of each call that left; it must not block.
	OnCall func(Call)
	// Form is how calls are written; nil takes that of the product's own
	// interface.
	Form Form
}

// The names of operations.
const (
	opGet    = "get"
	opList   = "list"
	opCreate = "create"
	opUpdate = "update"
	opDelete = "delete"
	opStatus = "status"
	opWatch  = "watch"
)

// reader takes in the body of a successful call.
type reader func(body []byte) error

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base      string
	opts      Options
	transport *http.Transport
	reads     *rate.Limiter
	// heldUntil is the time, in Unix nanoseconds, before which the platform
	// asked for no further reads.
	heldUntil atomic.Int64
}

// NewClient makes a client of the platform at baseURL.
func NewClient(baseURL string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = defaultReadsPerSecond
	}
	if opts.Form == nil {
		opts.Form = ownForm{}
	}
	if opts.ReadBurst == 0 {
		opts.ReadBurst = defaultReadBurst
	}
	return &Client{
		base:      baseURL,
		opts:      opts,
		transport: &http.Transport{DialContext: control.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second},
		reads:     rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadBurst),
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Get reads one object, or answers [ErrNotFound].
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, Operation{Op: opGet, Kind: kind, Name: name}, func(body []byte) (err error) {
		o, err = c.opts.Form.Object(kind, body)
		return err
	})
	return o, err
}

// Page is one page of a list.
type Page struct {
	// Version is the store's version when the page was read. A watch from
	// the version of the first page misses nothing.
	Version int64    `json:"version"`
	Objects []Object `json:"objects"`
	// Cursor asks for the next page; empty on the last one.
	Cursor string `json:"cursor"`
}

// ListPage reads one page of at most limit objects in order of name.
func (c *Client) ListPage(ctx context.Context, kind, cursor string, limit int) (Page, error) {
	var p Page
	err := c.read(ctx, Operation{Op: opList, Kind: kind, Cursor: cursor, Limit: limit}, func(body []byte) (err error) {
		p, err = c.opts.Form.Page(kind, body)
		return err
	})
	return p, err
}

// List reads all objects of a kind. The pages are read one after the other,
// so the list isn't of one moment; version is that of the first page.
func (c *Client) List(ctx context.Context, kind string) (version int64, objects []Object, err error) {
	for cursor := ""; ; {
		p, err := c.ListPage(ctx, kind, cursor, pageLimit)
		if err != nil {
			return 0, nil, err
		}
		if cursor == "" {
			version = p.Version
		}
		objects = append(objects, p.Objects...)
		if p.Cursor == "" {
			return version, objects, nil
		}
		cursor = p.Cursor
	}
}

// Create stores a new object, or answers *[ConflictError] if there is one.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opCreate, Kind: kind, Name: name, Value: value})
}

// Update replaces the object that has the given version, or answers
// *[ConflictError].
func (c *Client) Update(ctx context.Context, kind, name string, version int64, value []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opUpdate, Kind: kind, Name: name, Version: version, Value: value})
}

// UpdateStatus replaces the status of the object that has the given version, or
// answers *[ConflictError].
func (c *Client) UpdateStatus(ctx context.Context, kind, name string, version int64, status []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opStatus, Kind: kind, Name: name, Version: version, Value: status})
}

func (c *Client) put(ctx context.Context, op Operation) (Object, error) {
	var o Object
	err := c.write(ctx, op, func(body []byte) (err error) {
		o, err = c.opts.Form.Object(op.Kind, body)
		return err
	})
	return o, err
}

// Delete removes the object that has the given version, or answers
// *[ConflictError].
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	op := Operation{Op: opDelete, Kind: kind, Name: name, Version: version}
	return c.write(ctx, op, func(body []byte) error {
		if !json.Valid(body) {
			return merry.New("answer is no JSON")
		}
		return nil
	})
}

// Changes is the answer of a watch.
type Changes struct {
	// Version is the version to watch from next.
	Version int64   `json:"version"`
	Events  []Event `json:"events"`
}

// Watch waits, at most for wait, until an object of the kind changes after a
// version. No events mean that nothing changed up to the answer.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error) {
	var changes Changes
	err := c.read(ctx, Operation{Op: opWatch, Kind: kind, After: after, Wait: wait}, func(body []byte) (err error) {
		changes, err = c.opts.Form.Changes(kind, body)
		return err
	})
	return changes, err
}

// read sends a call without effect, within the budget of reads. Every
// failure to get an answer is ErrUnavailable.
func (c *Client) read(ctx context.Context, o Operation, answer reader) error {
	o.Stale = stale(ctx)
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx)+o.Wait)
	defer cancel()
	if time.Now().UnixNano() < c.heldUntil.Load() {
		return merry.Wrap(ErrUnavailable, merry.AppendMessage("asked to wait"))
	}
	if err := c.reads.Wait(ctx); err != nil {
		return merry.Wrap(ErrUnavailable, merry.AppendMessage("budget of reads spent"))
	}
	err := c.send(ctx, o, answer)
	if errors.Is(err, ErrUnknownOutcome) {
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return err
}

func (c *Client) write(ctx context.Context, o Operation, answer reader) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx))
	defer cancel()
	return c.send(ctx, o, answer)
}

// send makes the call, tells the hook and turns failures into errors of this
// package.
func (c *Client) send(ctx context.Context, o Operation, answer reader) error {
	start := time.Now()
	var exchange control.Exchange
	err := c.roundTrip(ctx, o, &exchange, answer)
	if c.opts.OnCall != nil {
		sent, received := exchange.Bytes()
		c.opts.OnCall(Call{Op: o.Op, Kind: o.Kind, Duration: time.Since(start), Sent: sent, Received: received, Err: err})
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, o Operation, exchange *control.Exchange, answer reader) error {
	m := c.opts.Form.Encode(o)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			exchange.Begin(info.Conn, info.Reused)
		},
	})
	req, err := http.NewRequestWithContext(ctx, m.Method, c.base+m.Path, bytes.NewReader(m.Body))
	if err != nil {
		return merry.Wrap(ErrRefused, merry.WithCause(err))
	}
	for name, values := range m.Header {
		req.Header[name] = values
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return c.lost(connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.lost(true, err)
	}
	return c.decode(resp, o, body, answer)
}

// lost turns a missing answer into an error. Without a connection no byte of
// the call left, so that a write certainly had no effect.
//
// Idle connections are dropped as well: a connection that something between
// the two ends has forgotten goes silent for good, and the others of the pool
// are likely to be as old. The next call then dials anew instead of spending
// its deadline on another dead one.
func (c *Client) lost(connected bool, cause error) error {
	c.transport.CloseIdleConnections()
	if !connected {
		return merry.Wrap(ErrUnavailable, merry.WithCause(cause))
	}
	return merry.Wrap(ErrUnknownOutcome, merry.WithCause(cause))
}

func (c *Client) decode(resp *http.Response, o Operation, body []byte, answer reader) error {
	if c.opts.Form.Conflict(resp.StatusCode) {
		current, err := c.opts.Form.Object(o.Kind, body)
		if err != nil {
			return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
		}
		return &ConflictError{Current: current}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if err := answer(body); err != nil {
			return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
		}
		return nil
	case http.StatusNotFound:
		return merry.Wrap(ErrNotFound)
	case http.StatusGone:
		return merry.Wrap(ErrCompacted)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if resp.Request.Method == http.MethodGet {
			c.hold(resp.Header.Get("Retry-After"))
		}
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return merry.Wrap(ErrUnknownOutcome, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	return merry.Wrap(ErrRefused, merry.AppendMessagef("status %d", resp.StatusCode))
}

// hold stops reads for as long as the platform asks a reader. Writes go on,
// and a refused one holds nothing back: each has a caller who waits and is
// told at once, and the rates of reads and writes are apart.
func (c *Client) hold(retryAfter string) {
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil || seconds < 0 {
		return
	}
	d := min(time.Duration(seconds)*time.Second, maxRetryAfter)
	c.heldUntil.Store(time.Now().Add(jitter(d)).UnixNano())
}
