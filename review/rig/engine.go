//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is the run of one request on one engine.
type run struct {
	engine, id, path string
	// after is the event after which the run goes on; 0 for a new stream.
	after      int
	begin, end time.Time
	events     int
	lost       bool
	stop       context.CancelFunc
}

// ledger holds all runs of all engines.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// poisonPath marks the requests that crash each engine that runs them, poisonEvents is the number of
// events until then, longEvents that of a whole answer of theirs, downTime how long a crashed engine is
// down.
const (
	poisonPath   = "poison"
	poisonEvents = 114
	longEvents   = 900
	downTime     = 2 * time.Second
)

// modelEngine is a model engine. A run ends with its connection, or when a move stops it. A run whose
// answer is lost goes on to its end.
type modelEngine struct {
	id       string
	events   int
	interval time.Duration
	ledger   *ledger
	d        *deployment
	entry    *entry

	mu      sync.Mutex
	server  *http.Server
	conns   map[net.Conn]struct{}
	running map[string]*run
	// loses is the share of the requests whose answers are lost.
	loses   float64
	crashes []time.Time
}

func newModelEngine(d *deployment, l *ledger, id, zone string, events int, interval time.Duration) (*modelEngine, error) {
	e := &modelEngine{id: id, events: events, interval: interval, ledger: l, d: d}
	e.entry = &entry{id: id, service: modelName, address: "127.0.0.1:0", zone: zone, state: "ready", slots: 24}
	if err := e.boot(); err != nil {
		return nil, err
	}
	return e, nil
}

// boot starts the engine as a new incarnation at the address that it had.
func (e *modelEngine) boot() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.entry.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running, e.conns = map[string]*run{}, map[net.Conn]struct{}{}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, ConnState: e.track}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.entry.address, e.entry.born = l.Addr().String(), time.Now().UnixMilli()
	e.d.list(e.entry)
	return nil
}

func (e *modelEngine) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(e.conns, conn)
	default:
	}
}

// crash resets all connections, and starts the engine again after some seconds.
func (e *modelEngine) crash() {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	e.d.unlist(e.id)
	_ = server.Close()
	time.AfterFunc(downTime, func() { _ = e.boot() })
}

func (e *modelEngine) setLoses(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loses = share
}

// ServeHTTP serves streams, reports and moves.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == wire.Paths.Report:
		e.report(w)
	case r.URL.Path == wire.Paths.Migrate:
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, wire.Paths.Handle):
		w.WriteHeader(http.StatusOK)
	default:
		e.stream(w, r)
	}
}

func (e *modelEngine) report(w io.Writer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, g := range e.running {
		runs = append(runs, []any{id, 100 + 4*g.events, g.events, 1})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "colocated", "running_requests": len(runs), "queued_requests": 0, "runs": runs, "state": "ready"})
}

// move stops a run if it is the last move.
func (e *modelEngine) move(w http.ResponseWriter, r *http.Request) {
	var command struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	_ = json.NewDecoder(r.Body).Decode(&command)
	e.mu.Lock()
	g, ok := e.running[command.ID]
	if ok && command.Last {
		g.stop()
	}
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintf(w, `{"handle":"h-%s","created":%d}`, command.ID, g.events)
}

func (e *modelEngine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Fields.RequestID)
	if expected := r.Header.Get(wire.Fields.ExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get(wire.Fields.LastEventID))
	working, stop := context.WithCancel(context.Background())
	defer stop()
	g := &run{engine: e.id, id: id, path: r.URL.Path, after: after, begin: time.Now(), stop: stop}
	e.ledger.add(g)
	e.mu.Lock()
	e.running[id] = g
	loseAt := 0
	if rand.Float64() < e.loses {
		loseAt = after + 1 + rand.IntN(max(1, e.events-after))
	}
	e.mu.Unlock()
	defer e.end(g)
	w.Header().Set(wire.Fields.RequestID, id)
	w.Header().Set(wire.Fields.Seal, e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	left := r.Context().Done()
	last := e.events
	if strings.Contains(r.URL.Path, poisonPath) {
		last = longEvents
	}
	for n := after + 1; n <= last; n++ {
		select {
		case <-time.After(e.interval):
		case <-working.Done():
			panic(http.ErrAbortHandler)
		case <-left:
			return
		}
		e.mu.Lock()
		g.events = n
		e.mu.Unlock()
		if strings.Contains(r.URL.Path, poisonPath) && n == after+poisonEvents {
			e.crash()
			return
		}
		if left == nil {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
		if n == loseAt {
			conn, _, err := control.Hijack()
			if err != nil {
				return
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			e.mu.Lock()
			g.lost = true
			e.mu.Unlock()
			left = nil
		}
	}
}

func (e *modelEngine) end(g *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[g.id] == g {
		delete(e.running, g.id)
	}
	g.end = time.Now()
}
