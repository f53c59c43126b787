package platform

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
)

// object is a stored value with its version.
type object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// event is one change in the store.
type event struct {
	Type   string `json:"type"`
	Object object `json:"object"`
}

type key struct{ kind, name string }

// store holds the objects and their most recent changes.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[key]object
	events  []event
	// compacted is the version of the newest dropped event.
	compacted int64
	history   int
	// changed is closed and replaced on each change to wake watches.
	changed chan struct{}
}

func newStore(history int) *store {
	return &store{objects: map[key]object{}, history: history, changed: make(chan struct{})}
}

func (s *store) get(k key) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	return o, ok
}

// put stores value if the object has the expected version; 0 means that it must not
// exist. It returns the object now stored and whether the condition held.
func (s *store) put(k key, expected int64, value json.RawMessage) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[k]
	if current.Version != expected {
		return current, false
	}
	s.version++
	o := object{Kind: k.kind, Name: k.name, Version: s.version, Value: value}
	s.objects[k] = o
	s.record(event{Type: "put", Object: o})
	return o, true
}

func (s *store) remove(k key, expected int64) (int64, object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[k]
	if !ok || current.Version != expected {
		return 0, current, false
	}
	s.version++
	delete(s.objects, k)
	s.record(event{Type: "delete", Object: object{Kind: k.kind, Name: k.name, Version: s.version}})
	return s.version, object{}, true
}

// record appends e, drops the oldest events and wakes the watches. The caller
// must hold mu.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*s.history {
		s.dropOldest(len(s.events) - s.history)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) dropOldest(n int) {
	if n <= 0 {
		return
	}
	s.compacted = s.events[n-1].Object.Version
	s.events = slices.Clone(s.events[n:])
}

// compact drops all recorded events, so that a watch from an older version gets
// status 410.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldest(len(s.events))
}

// list returns up to limit objects of kind, sorted by name, whose names follow cursor.
func (s *store) list(kind, cursor string, limit int) (version int64, page []object, next string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page = []object{}
	for k, o := range s.objects {
		if k.kind == kind && k.name > cursor {
			page = append(page, o)
		}
	}
	slices.SortFunc(page, func(a, b object) int { return strings.Compare(a.Name, b.Name) })
	if len(page) > limit {
		page = page[:limit]
		next = page[limit-1].Name
	}
	return s.version, page, next
}

// changesSince returns the changes of kind after a version, and a channel that is
// closed on the next change. ok is false if that version was compacted or is
// higher than the current one, as after a loss of the store.
func (s *store) changesSince(kind string, after int64) (version int64, events []event, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.version {
		return s.version, nil, nil, false
	}
	events = []event{}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Object.Version > after })
	for _, e := range s.events[first:] {
		if e.Object.Kind == kind {
			events = append(events, e)
		}
	}
	return s.version, events, s.changed, true
}
