// Package membership holds what one instance knows of the others: which of them
// run, take callers and reach the platform. It has no sockets; the present time
// is an argument.
//
// Instances probe each other in turn and pass on the records that changed, so
// that an instance's part of the traffic doesn't grow with their number. A
// record is changed by its own instance alone, but for the mark that it is down,
// which others set when it answers neither them nor those whom they asked to try.
// An instance that hears that it is down says otherwise with a newer record.
//
// # Usage
//
//	table := membership.NewTable(self)
//	changed := table.Merge(now, records)
//	target, ok := table.NextProbe(now, rng)
//	table.MarkDown(now, target)
//	children := table.Children(now, origin, self)
package membership

import (
	"maps"
	"sync"
	"time"
)

const (
	// forgetAfter is how long the record of an instance that is down is kept.
	// Shares of common limits are counted with it until then, since it may be
	// cut off and go on by itself.
	forgetAfter = 60 * time.Second
	// tellDownFor is how long others are told that an instance is down.
	tellDownFor = 10 * time.Second
	// recentFor is how long a changed record is passed on with probes: a few
	// times what it takes to reach several hundred instances.
	recentFor = 4 * time.Second
	// maxRecent bounds the records passed on with one probe.
	maxRecent = 48
	// syncLeast is the least time between two exchanges of all records.
	syncLeast = time.Second
)

type entry struct {
	Record
	// changed is when the record last changed here.
	changed time.Time
}

// Table holds the records of all instances. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	self entry
	rest map[string]*entry
	// order is the rest of the present round of probes.
	order []string
	// synced is when all records were last exchanged.
	synced time.Time
	// heard is how many instances another one knows, as of heardAt.
	heard   int
	heardAt time.Time
	// derived is what was worked out from the records since they last changed.
	derived derived
}

// derived holds answers that many requests ask for and that depend on nothing but
// the records.
type derived struct {
	owners   map[string][]Record
	ranks    map[string]place
	children map[string][]Record
	digest   uint64
}

// place is the rank of this instance, and whether another one is blind.
type place struct {
	rank  int
	blind bool
}

// alter forgets what was worked out from the records before.
func (t *Table) alter() { t.derived = newDerived() }

func newDerived() derived {
	return derived{owners: map[string][]Record{}, ranks: map[string]place{}, children: map[string][]Record{}}
}

// NewTable returns a table that knows only its own instance.
func NewTable(self Record) *Table {
	return &Table{self: entry{Record: self}, rest: map[string]*entry{}, derived: newDerived()}
}

// Set changes the record of this instance and reports whether it differs.
func (t *Table) Set(now time.Time, s Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Status == s {
		return false
	}
	t.self.Status = s
	t.self.Change++
	t.self.changed = now
	t.alter()
	return true
}

// Self returns the record of this instance.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Record
}

// Merge takes over the records that are newer than those known and returns
// them. Where this instance is said to be down, its own newer record is returned.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for i := range records {
		r := &records[i]
		if r.ID == "" {
			continue
		}
		if r.ID == t.self.ID {
			if r.Started == t.self.Started && r.Down && r.Change >= t.self.Change {
				t.self.Change, t.self.changed = r.Change+1, now
				changed = append(changed, t.self.Record)
			}
			continue
		}
		known, ok := t.rest[r.ID]
		if ok && !r.newer(&known.Record) {
			continue
		}
		t.rest[r.ID] = &entry{Record: *r, changed: now}
		changed = append(changed, *r)
	}
	if t.forget(now) || len(changed) > 0 {
		t.alter()
	}
	return changed
}

// forget drops instances that have been down for long, and reports whether any
// was.
func (t *Table) forget(now time.Time) bool {
	n := len(t.rest)
	maps.DeleteFunc(t.rest, func(_ string, e *entry) bool { return e.Down && now.Sub(e.changed) > forgetAfter })
	return len(t.rest) != n
}

// MarkDown notes that an instance answered nobody who tried since it had this
// record, and returns the record to pass on.
func (t *Table) MarkDown(now time.Time, r Record) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.rest[r.ID]
	if !ok || e.Down || e.Started != r.Started || e.Change != r.Change {
		return Record{}, false
	}
	e.Down, e.changed = true, now
	t.alter()
	return e.Record, true
}

// Get returns the record of an instance.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return t.self.Record, true
	}
	e, ok := t.rest[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}
