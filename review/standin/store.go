//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historySeconds is the history that the store keeps, as the platform's settings say.
const historySeconds = 20

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	at      time.Time
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// store is the platform's metadata store, as far as the instances call it: lists and watches.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
	// watchLimit, if set, is how long a watch may wait before the store cuts it off.
	watchLimit time.Duration
	// cuts counts the watches that were cut off, calls all calls.
	cuts, calls int
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates an object or replaces its specification. The change is acknowledged when put returns.
func (s *store) put(kind, name, specification string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Specification: json.RawMessage(specification)}
	if known, ok := s.objects[kind][name]; ok {
		o.Metadata.Created = known.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(storeEvent{kind: kind, at: time.Now(), Object: o})
}

// remove removes an object. The removal is acknowledged when remove returns.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(storeEvent{kind: kind, at: time.Now(), Removed: true, Object: o})
}

func (s *store) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setWatchLimit(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLimit = d
}

func (s *store) counts() (calls, cuts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.cuts
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	kind, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	s.list(w, kind, r.URL.Query().Get("after"))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const pageSize = 500
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	items = items[:min(len(items), pageSize)]
	writeJSON(w, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	from, err := strconv.ParseInt(watch, 10, 64)
	wait, werr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || werr != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	s.mu.Lock()
	limit := s.watchLimit
	s.mu.Unlock()
	var cut <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		cut = timer.C
	}
	for {
		s.mu.Lock()
		events, at, changed := s.eventsSince(kind, from), s.revision, s.changed
		gone := len(s.history) > 0 && from < s.history[0].Object.Metadata.Revision-1 && time.Since(s.history[0].at) > historySeconds*time.Second
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, map[string]any{"events": []storeEvent{}, "at": at})
			return
		case <-r.Context().Done():
			return
		case <-cut:
			s.cutOff(w)
			return
		}
	}
}

// cutOff ends a waiting watch by closing its connection.
func (s *store) cutOff(w http.ResponseWriter) {
	s.mu.Lock()
	s.cuts++
	s.mu.Unlock()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (s *store) eventsSince(kind string, revision int64) []storeEvent {
	events := []storeEvent{}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > revision {
			events = append(events, e)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
