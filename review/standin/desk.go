//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server got and ran.
type arrival struct {
	id, method, path string
	at               time.Time
}

// desk is a plain server of a service.
type desk struct {
	id, service, zone string
	// work is how long a request takes.
	work func(r *http.Request) time.Duration
	rec  *record

	address  string
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	working  atomic.Int64
	mu       sync.Mutex
	arrivals []arrival
	// onRun, if set, is called when a request begins to run, and reports whether it ends there.
	onRun   func(r *http.Request) bool
	started time.Time
}

// deskSlots and deskQueue are the slots of a server and its queue.
const (
	deskSlots = 6
	deskQueue = 24
)

func newDesk(rec *record, id, service, zone string, work func(r *http.Request) time.Duration) (*desk, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return newDeskAt(rec, address, id, service, zone, work)
}

// newDeskAt starts a server at an address.
func newDeskAt(rec *record, address, id, service, zone string, work func(r *http.Request) time.Duration) (*desk, error) {
	d := &desk{id: id, service: service, zone: zone, work: work, rec: rec, slots: make(chan struct{}, deskSlots), started: time.Now()}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// entry returns the server's entry in the store.
func (d *desk) entry(state string) string {
	return fmt.Sprintf(entryText,
		d.service, d.address, d.zone, deskSlots, state, d.started.UnixMilli())
}

// exit ends the server: it closes its listener and all its connections.
func (d *desk) exit() {
	d.rec.add("server %s exits with %d requests in work", d.id, d.working.Load())
	_ = d.server.Close()
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.Fields.Instance, d.id)
	w.Header().Set(wire.Fields.ServerLoad, fmt.Sprintf("%d,%d,%d", d.working.Load(), d.waiting.Load(), deskSlots))
	id := r.Header.Get(wire.Fields.RequestID)
	if id != "" {
		w.Header().Set(wire.Fields.RequestID, id)
	}
	switch expected := r.Header.Get(wire.Fields.ExpectInstance); {
	case r.URL.Path == "/health":
		return
	case id == "":
		reject(w, http.StatusBadRequest)
		return
	case expected != "" && expected != d.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case d.waiting.Load() >= deskQueue:
		reject(w, http.StatusServiceUnavailable)
		return
	}
	d.waiting.Add(1)
	d.slots <- struct{}{}
	d.waiting.Add(-1)
	d.working.Add(1)
	defer func() { d.working.Add(-1); <-d.slots }()
	d.mu.Lock()
	d.arrivals = append(d.arrivals, arrival{id, r.Method, r.URL.Path, time.Now()})
	d.mu.Unlock()
	d.rec.add("server %s runs %s %s id=%s", d.id, r.Method, r.URL.Path, id)
	if d.onRun != nil && d.onRun(r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(d.work(r))
	text := fmt.Sprintf("%s %s %s %d %s", d.id, r.Method, r.URL.Path, len(body), id)
	w.Header().Set(wire.Fields.Seal, seal(id, text))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set(wire.Fields.NotExecuted, "1")
	w.WriteHeader(status)
}

func seal(id, text string) string { return fmt.Sprintf("%s.%x", id, len(text)) }

// runs returns the requests that ran on the server.
func (d *desk) runs() []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]arrival(nil), d.arrivals...)
}
