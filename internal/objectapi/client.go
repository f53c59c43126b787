// Package objectapi is the client of the platform's object API: objects with
// versions, conditional writes, lists and long-poll watches.
//
// Each call has a timeout, and its error tells whether a write certainly had no effect or may have
// had one. The client uses the transport of net/http: cancelling a long poll there closes its
// connection, and its trace reports whether a call got a connection at all.
//
// # Usage
//
//	client := objectapi.NewClient("http://127.0.0.1:7000", objectapi.Options{})
//	o, err := client.Create(ctx, "claim", name, value)
//	var conflict *objectapi.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.Current is the existing object.
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

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/httptransport"
)

const (
	// defaultTimeout limits a call. The platform responds within milliseconds, so two seconds
	// without a response mean an outage or a lost connection.
	defaultTimeout = 2 * time.Second
	// defaultReadsPerSecond and defaultReadBurst limit the reads of one instance, including
	// watches: a start needs a burst of a few dozen, normal operation about one a second. They
	// keep a fault in one instance, or a recovery of all, from using up the platform's capacity
	// for reads.
	defaultReadsPerSecond = 10
	defaultReadBurst      = 40
	// defaultMaxAnswerBytes limits the body of a response; the largest is a page of large values. maxHeadBytes
	// limits its head.
	defaultMaxAnswerBytes = 16 << 20
	maxHeadBytes          = 64 << 10
	// pageLimit is the number of objects requested per page.
	pageLimit = 500
	// maxRetryAfter limits the Retry-After that the client follows for reads. With a longer wait,
	// an instance couldn't confirm its configuration within the 3 s after which it refuses new
	// requests.
	maxRetryAfter = 1500 * time.Millisecond
)

// Object is a stored value with its version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Created distinguishes successive objects of the same name, if the platform provides it.
	Created json.RawMessage `json:"created,omitempty"`
	// Status is the status that the object's controller reports, if the platform stores it
	// separately from the value.
	Status json.RawMessage `json:"status,omitempty"`
}

// EventType distinguishes puts from deletes.
type EventType string

// The types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change that a watch returned. The object of a delete has no value.
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
	// Sent and Received are the bytes of the exchange, including headers.
	Sent, Received int64
	Err            error
}

// Options configures a [Client]. Zero fields take defaults.
type Options struct {
	// Timeout limits a call; a watch may take its wait plus Timeout. [WithTimeout] overrides it
	// for the calls of a context.
	Timeout time.Duration
	// ReadsPerSecond and ReadBurst limit reads, including watches. A read above the limit waits
	// for at most Timeout.
	ReadsPerSecond float64
	ReadBurst      int
	// MaxAnswerBytes limits the body of a response.
	MaxAnswerBytes int64
	// OnCall is called after each call that was sent; it must not block.
	OnCall func(Call)
	// Codec encodes calls and decodes their responses; nil means the format of this project's own
	// object API.
	Codec Codec
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

// decodeFunc decodes the body of a successful response.
type decodeFunc func(body []byte) error

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base      string
	opts      Options
	transport httptransport.Transport
	reads     *rate.Limiter
	// readsBlockedUntil is the time, in Unix nanoseconds, until which reads fail because of the
	// platform's Retry-After.
	readsBlockedUntil atomic.Int64
}

// NewClient returns a client of the platform at baseURL.
func NewClient(baseURL string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = defaultReadsPerSecond
	}
	if opts.MaxAnswerBytes == 0 {
		opts.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if opts.Codec == nil {
		opts.Codec = defaultCodec{}
	}
	if opts.ReadBurst == 0 {
		opts.ReadBurst = defaultReadBurst
	}
	return &Client{
		base: baseURL,
		opts: opts,
		transport: httptransport.Transport{Transport: &http.Transport{
			DialContext: controlcost.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
		}},
		reads: rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadBurst),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Get reads one object. It returns [ErrNotFound] if there is none.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, Operation{Op: opGet, Kind: kind, Name: name}, func(body []byte) (err error) {
		o, err = c.opts.Codec.DecodeObject(kind, body)
		return err
	})
	return o, err
}

// Page is one page of a list.
type Page struct {
	// Version is the version of the store when the page was read. A watch from the version of the
	// first page misses no changes.
	Version int64    `json:"version"`
	Objects []Object `json:"objects"`
	// Cursor requests the next page; it is empty on the last one.
	Cursor string `json:"cursor"`
}

// ListPage reads one page of at most limit objects, ordered by name.
func (c *Client) ListPage(ctx context.Context, kind, cursor string, limit int) (Page, error) {
	var p Page
	err := c.read(ctx, Operation{Op: opList, Kind: kind, Cursor: cursor, Limit: limit}, func(body []byte) (err error) {
		p, err = c.opts.Codec.DecodePage(kind, body)
		return err
	})
	return p, err
}

// List reads all objects of a kind. It reads page by page, so the list isn't a consistent snapshot;
// version is that of the first page.
func (c *Client) List(ctx context.Context, kind string) (version int64, objects []Object, err error) {
	version, err = c.ListPages(ctx, kind, func(page []Object) { objects = append(objects, page...) })
	if err != nil {
		return 0, nil, err
	}
	return version, objects, nil
}

// ListPages is [Client.List] for kinds with many objects: it calls each with the objects of one page
// after the other, also if a later page fails.
func (c *Client) ListPages(ctx context.Context, kind string, each func(page []Object)) (version int64, err error) {
	for cursor := ""; ; {
		p, err := c.ListPage(ctx, kind, cursor, pageLimit)
		if err != nil {
			return 0, err
		}
		if cursor == "" {
			version = p.Version
		}
		each(p.Objects)
		if p.Cursor == "" {
			return version, nil
		}
		cursor = p.Cursor
	}
}

// Create stores a new object. It returns [*ConflictError] if the object exists.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opCreate, Kind: kind, Name: name, Value: value})
}

// Update replaces the object if it has the given version, and returns [*ConflictError] otherwise.
func (c *Client) Update(ctx context.Context, kind, name string, version int64, value []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opUpdate, Kind: kind, Name: name, Version: version, Value: value})
}

// UpdateStatus replaces the status of the object if it has the given version, and returns
// [*ConflictError] otherwise.
func (c *Client) UpdateStatus(ctx context.Context, kind, name string, version int64, status []byte) (Object, error) {
	return c.put(ctx, Operation{Op: opStatus, Kind: kind, Name: name, Version: version, Value: status})
}

func (c *Client) put(ctx context.Context, op Operation) (Object, error) {
	var o Object
	err := c.write(ctx, op, func(body []byte) (err error) {
		o, err = c.opts.Codec.DecodeObject(op.Kind, body)
		return err
	})
	return o, err
}

// Delete removes the object if it has the given version, and returns [*ConflictError] otherwise.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	op := Operation{Op: opDelete, Kind: kind, Name: name, Version: version}
	return c.write(ctx, op, func(body []byte) error {
		if !json.Valid(body) {
			return merry.New("response is not JSON")
		}
		return nil
	})
}

// Changes is the result of a watch.
type Changes struct {
	// Version is the version to watch from next.
	Version int64   `json:"version"`
	Events  []Event `json:"events"`
}

// Watch returns the changes to objects of a kind after a version, and waits for at most wait if
// there are none. No events mean that nothing changed until the response. It returns [ErrWatchEnded]
// if the platform cuts it off while it may wait; the changes since then are in the next watch after the
// same version. After [ErrUnreadable] they are in a list only.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error) {
	var changes Changes
	err := c.read(ctx, Operation{Op: opWatch, Kind: kind, After: after, Wait: wait}, func(body []byte) (err error) {
		changes, err = c.opts.Codec.DecodeChanges(kind, body)
		return err
	})
	return changes, err
}

// read sends a read-only call within the rate limit of reads. Every failure to get a response is
// [ErrUnavailable].
func (c *Client) read(ctx context.Context, o Operation, decode decodeFunc) error {
	o.AllowStale = staleAllowed(ctx)
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx)+o.Wait)
	defer cancel()
	if time.Now().UnixNano() < c.readsBlockedUntil.Load() {
		return merry.Wrap(ErrUnavailable, merry.AppendMessage("reads are blocked by Retry-After"))
	}
	if err := c.reads.Wait(ctx); err != nil {
		return merry.Wrap(ErrUnavailable, merry.AppendMessage("rate limit of reads exceeded"))
	}
	err := c.send(ctx, o, decode)
	if errors.Is(err, ErrUnknownOutcome) {
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return err
}

func (c *Client) write(ctx context.Context, o Operation, decode decodeFunc) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx))
	defer cancel()
	return c.send(ctx, o, decode)
}

// send makes the call and reports it to OnCall. Failures are errors of this package.
func (c *Client) send(ctx context.Context, o Operation, decode decodeFunc) error {
	start := time.Now()
	var exchange controlcost.Exchange
	err := c.roundTrip(ctx, o, &exchange, decode)
	if o.Wait > 0 && errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnreadable) && ctx.Err() == nil {
		err = merry.Wrap(ErrWatchEnded, merry.AppendMessage(err.Error()))
	}
	if c.opts.OnCall != nil {
		sent, received := exchange.Bytes()
		c.opts.OnCall(Call{Op: o.Op, Kind: o.Kind, Duration: time.Since(start), Sent: sent, Received: received, Err: err})
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, o Operation, exchange *controlcost.Exchange, decode decodeFunc) error {
	m := c.opts.Codec.Encode(o)
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
		return c.noResponse(connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > c.opts.MaxAnswerBytes {
		err = merry.Wrap(ErrUnreadable, merry.AppendMessage("too large"))
	}
	if err != nil {
		return c.noResponse(true, err)
	}
	return c.decodeResponse(resp, o, body, decode)
}

// noResponse returns the error of a call without a response. If there was no connection, nothing
// was sent, so a write certainly had no effect.
//
// It also closes idle connections: a connection whose state a middlebox lost goes silent for good,
// and the others of the pool are likely to be as old. The next call then dials instead of waiting
// for its timeout on another dead connection.
func (c *Client) noResponse(connected bool, cause error) error {
	c.transport.CloseIdleConnections()
	if !connected {
		return merry.Wrap(ErrUnavailable, merry.WithCause(cause))
	}
	return merry.Wrap(ErrUnknownOutcome, merry.WithCause(cause))
}

func (c *Client) decodeResponse(resp *http.Response, o Operation, body []byte, decode decodeFunc) error {
	if c.opts.Codec.IsConflict(resp.StatusCode) {
		current, err := c.opts.Codec.DecodeObject(o.Kind, body)
		if err != nil {
			return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
		}
		return &ConflictError{Current: current}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if err := decode(body); err != nil {
			if len(body) > 0 {
				err = merry.Wrap(ErrUnreadable, merry.WithCause(err))
			}
			return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
		}
		return nil
	case http.StatusNotFound:
		return merry.Wrap(ErrNotFound)
	case http.StatusGone:
		return merry.Wrap(ErrCompacted)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if resp.Request.Method == http.MethodGet {
			c.blockReads(resp.Header.Get("Retry-After"))
		}
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return merry.Wrap(ErrUnknownOutcome, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	return merry.Wrap(ErrRefused, merry.AppendMessagef("status %d", resp.StatusCode))
}

// blockReads makes reads fail for the time of the platform's Retry-After, up to maxRetryAfter.
// Writes are not blocked, and a refused write blocks nothing: each has a waiting caller who gets
// the error immediately, and the platform limits reads and writes separately.
func (c *Client) blockReads(retryAfter string) {
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil || seconds < 0 {
		return
	}
	d := min(time.Duration(seconds)*time.Second, maxRetryAfter)
	c.readsBlockedUntil.Store(time.Now().Add(jitter(d)).UnixNano())
}
