// Package membership holds what an instance knows of the others: which of them run, accept
// callers and reach the platform. It does no I/O; the present time is an argument.
//
// Instances probe each other in turn and exchange the records that changed, so that the
// traffic of an instance doesn't grow with their number. Only its own instance changes a
// record, except that others mark it as down if neither their probes nor their indirect
// probes are answered. An instance that learns that it is marked as down refutes that with
// a newer record.
//
// # Usage
//
//	table := membership.NewTable(self)
//	changed := table.Merge(now, records)
//	target, ok := table.NextProbe(rng)
//	table.MarkDown(now, target)
//	children := table.Children(origin)
package membership

import (
	"maps"
	"sync"
	"time"
)

const (
	// forgetAfter is how long the record of an instance that is down is kept. It counts in
	// shares of common limits until then, since it may be partitioned and still running.
	forgetAfter = 60 * time.Second
	// downRecordTTL is how long the record of an instance that is down is sent to others.
	downRecordTTL = 10 * time.Second
	// recentTime is how long a changed record is sent with probes: a few times as long as it
	// takes to reach several hundred instances.
	recentTime = 4 * time.Second
	// maxRecent limits the number of records sent with one probe.
	maxRecent = 48
	// minSyncInterval is the minimum time between two exchanges of all records.
	minSyncInterval = time.Second
)

type entry struct {
	Record
	// changed is when the record last changed in this table.
	changed time.Time
}

// Table holds the records of all instances. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	self   entry
	others map[string]*entry
	// probeOrder holds the remaining instances of the current round of probes.
	probeOrder []string
	// syncedAt is when all records were last exchanged.
	syncedAt time.Time
	// reportedCount is how many instances another one knows, as of reportedAt.
	reportedCount int
	reportedAt    time.Time
	// limitCount is the number of instances that limits were shared by last, confirmed at limitCountAt.
	limitCount   int
	limitCountAt time.Time
	// mostReachedAt is when this instance last reached most of the instances that share limits.
	mostReachedAt time.Time
	// cache holds results computed from the records since they last changed.
	cache cache
}

// cache holds frequently requested results that depend only on the records.
type cache struct {
	owners     map[string][]Record
	holders    map[string][]Record
	collectors []Record
	ranks      map[string]rankResult
	// shareRanks holds the ranks of this instance among all known ones.
	shareRanks map[string]int
	children   map[string][]Record
	digest     uint64
}

// rankResult is the rank of this instance, and whether the platform doesn't answer another
// one.
type rankResult struct {
	rank        int
	unreachable bool
}

// invalidate clears the cache after a change of the records.
func (t *Table) invalidate() { t.cache = newCache() }

func newCache() cache {
	return cache{owners: map[string][]Record{}, holders: map[string][]Record{}, ranks: map[string]rankResult{}, shareRanks: map[string]int{}, children: map[string][]Record{}}
}

// NewTable returns a table that holds only this instance.
func NewTable(self Record) *Table {
	return &Table{self: entry{Record: self}, others: map[string]*entry{}, cache: newCache()}
}

// SetStatus changes the status of this instance and reports whether it differs.
func (t *Table) SetStatus(now time.Time, s Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Status == s {
		return false
	}
	t.self.Status = s
	t.self.Change++
	t.self.changed = now
	t.invalidate()
	return true
}

// Self returns the record of this instance.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Record
}

// Merge applies the records that are newer than the known ones and returns them. If this
// instance is marked as down, its own newer record is returned.
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
			if r.StartedAt == t.self.StartedAt && r.Down && r.Change >= t.self.Change {
				t.self.Change, t.self.changed = r.Change+1, now
				changed = append(changed, t.self.Record)
			}
			continue
		}
		known, ok := t.others[r.ID]
		if ok && !r.Newer(&known.Record) {
			continue
		}
		t.others[r.ID] = &entry{Record: *r, changed: now}
		changed = append(changed, *r)
	}
	if t.removeExpired(now) || len(changed) > 0 {
		t.invalidate()
	}
	return changed
}

// removeExpired removes instances that have been down for long, and reports whether there
// were any.
func (t *Table) removeExpired(now time.Time) bool {
	n := len(t.others)
	maps.DeleteFunc(t.others, func(_ string, e *entry) bool { return e.Down && now.Sub(e.changed) > forgetAfter })
	return len(t.others) != n
}

// MarkDown marks an instance as down that answered no probe since it had this record, and
// returns the record to send.
func (t *Table) MarkDown(now time.Time, r Record) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.others[r.ID]
	if !ok || e.Down || e.StartedAt != r.StartedAt || e.Change != r.Change {
		return Record{}, false
	}
	e.Down, e.changed = true, now
	t.invalidate()
	return e.Record, true
}

// Get returns the record of an instance.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return t.self.Record, true
	}
	e, ok := t.others[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}
