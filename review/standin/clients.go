//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

var nextID atomic.Int64

// call is one request of a client.
type call struct {
	method, path string
	body         []byte
	deadline     time.Duration
	fields       map[string]string
	// chunked sends the body in chunks.
	chunked bool
}

// reader returns the body; the transport sends a body of unknown length in chunks.
func (c *call) reader() io.Reader {
	if c.chunked {
		return &linkReader{r: bytes.NewReader(c.body), start: time.Now()}
	}
	return bytes.NewReader(c.body)
}

// linkReader reads as fast as a client's link takes the bytes.
type linkReader struct {
	r     io.Reader
	start time.Time
	read  int
}

// clientBytesPerSecond is the rate of a client's link: a tenth of that of a machine.
const clientBytesPerSecond = 100e6 / 8

func (l *linkReader) Read(p []byte) (int, error) {
	due := l.start.Add(time.Duration(float64(l.read) / clientBytesPerSecond * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := l.r.Read(p)
	l.read += n
	return n, err
}

// outcome is what a client saw of a request; status is 0 if the connection ended without an answer.
type outcome struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	sentAt time.Time
	took   time.Duration
	// reused is set if the request was sent on a kept connection.
	reused bool
}

// send sends one request to an instance and reads the answer.
func send(ctx context.Context, client *http.Client, rec *record, address string, c call) outcome {
	o := outcome{id: fmt.Sprintf("%016x", nextID.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.reused = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, c.reader())
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set(wire.Fields.RequestID, o.id)
	req.Header.Set(wire.Fields.Key, key)
	req.Header.Set(wire.Fields.DeadlineMillis, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.fields {
		req.Header.Set(name, value)
	}
	rec.add("client sends %s %s id=%s to %s", c.method, c.path, o.id, address)
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body, o.header = resp.StatusCode, string(body), resp.Header
	}
	o.err, o.took = err, time.Since(o.sentAt)
	rec.add("client got status=%d err=%v for id=%s after %d ms", o.status, err, o.id, o.took.Milliseconds())
	return o
}

// clients are the clients of one zone, or of all. They look up the instances as the pages say, and send
// requests to a random one.
type clients struct {
	f    *fleet
	rec  *record
	zone string

	mu        sync.Mutex
	addresses []string
}

// follow looks up the instances once per second until ctx ends. It asks up to three, those of the own
// zone first.
func (c *clients) follow(ctx context.Context) {
	for ctx.Err() == nil {
		nearest := slices.Clone(c.f.instances)
		rand.Shuffle(len(nearest), func(i, j int) { nearest[i], nearest[j] = nearest[j], nearest[i] })
		slices.SortStableFunc(nearest, func(a, b *instance) int { return distance(c.zone, a.zone) - distance(c.zone, b.zone) })
		for _, in := range nearest[:min(3, len(nearest))] {
			if addresses := in.lookUp(); len(addresses) > 0 {
				c.mu.Lock()
				c.addresses = addresses
				c.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func distance(zone, other string) int {
	if zone == "" || zone == other {
		return 0
	}
	return 1
}

// address returns an instance of the last answer, or an empty string before the first.
func (c *clients) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// load sends requests at a rate until ctx ends, and passes on the outcomes.
func (c *clients) load(ctx context.Context, perSecond float64, next func() call, done func(call, outcome)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		address := c.address()
		if address == "" {
			continue
		}
		pending.Go(func() {
			cl := next()
			done(cl, send(context.WithoutCancel(ctx), client, c.rec, address, cl))
		})
	}
}
