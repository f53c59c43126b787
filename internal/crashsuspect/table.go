package crashsuspect

import (
	"container/list"
	"time"
)

// Table holds the crash suspects known to one instance. It is not safe for
// concurrent use.
type Table struct {
	params  Params
	entries map[uint64]*record
	// active lists the records to send to other instances, the last changed first;
	// zoneLoss lists those explained by the loss of a zone. Each heartbeat reads
	// the front of active; scanning all records would take 0.3 ms at 4,000.
	active, zoneLoss *list.List
	zones            zones
	// blamed has the crashes that are blamed on a part; nil after a change. See [Table.countOfUnexplained].
	blamed map[string]bool
}

// record is an entry and its position in one of the lists.
type record struct {
	Entry
	list    *list.List
	element *list.Element
}

// NewTable returns an empty table.
func NewTable(p Params) *Table {
	return &Table{params: p, entries: map[uint64]*record{}, active: list.New(), zoneLoss: list.New(), zones: zones{}}
}

// RecordCrash records that a request was running when a backend server crashed. The server
// was last seen at the time at; crash is the name from [CrashName].
func (t *Table) RecordCrash(at time.Time, crash string, fingerprint uint64) {
	t.merge(at, Entry{Fingerprint: fingerprint, Crashes: []Crash{{Name: crash, At: at}}})
}

// RecordFinished clears a request that has finished.
func (t *Table) RecordFinished(now time.Time, fingerprint uint64) {
	if _, ok := t.entries[fingerprint]; ok {
		t.merge(now, Entry{Fingerprint: fingerprint, ClearedAt: now})
	}
}

// Check returns whether a request may run.
func (t *Table) Check(now time.Time, fingerprint uint64) Verdict {
	e, ok := t.entries[fingerprint]
	if !ok || t.expired(now, e.Entry) || t.causedByZoneLoss(e.Entry) {
		return Clear
	}
	switch n := t.countOfUnexplained(e); {
	case n == 0:
		return Clear
	case n >= t.params.Crashes:
		return Refused
	}
	return Suspected
}

// causedByZoneLoss reports whether the loss of a zone explains the only crash of a request.
// Otherwise a lost zone would make thousands of requests suspects. A request that ran
// on two servers when they crashed remains a suspect in any case.
func (t *Table) causedByZoneLoss(e Entry) bool {
	crashes := e.Uncleared()
	return len(crashes) == 1 && t.zones.crashedTogether(crashes[0], t.params.ZoneCrashes, t.params.ZoneWindow)
}

// RetryAfter returns how long a refused request stays refused.
func (t *Table) RetryAfter(now time.Time, fingerprint uint64) time.Duration {
	e, ok := t.entries[fingerprint]
	if !ok {
		return 0
	}
	return max(0, lastChange(e.Entry).Add(t.params.Retention).Sub(now))
}

// Newest returns at most n entries for a heartbeat, the last changed first.
func (t *Table) Newest(now time.Time, n int) []Entry {
	var out []Entry
	for at := t.active.Front(); at != nil && len(out) < n; {
		e := at.Value.(*record)
		at = at.Next()
		if t.expired(now, e.Entry) {
			break
		}
		if t.causedByZoneLoss(e.Entry) {
			t.reposition(e)
			continue
		}
		out = append(out, e.clone())
	}
	return out
}

// Merge merges entries of another instance.
func (t *Table) Merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		t.merge(now, e)
	}
}

func (t *Table) merge(now time.Time, in Entry) {
	if t.expired(now, in) {
		return
	}
	for _, c := range in.Crashes {
		t.zones.record(now, t.params.Retention, c)
	}
	e, ok := t.entries[in.Fingerprint]
	if !ok {
		t.evictIfFull()
		e = &record{Entry: Entry{Fingerprint: in.Fingerprint, Part: in.Part}}
		t.entries[in.Fingerprint] = e
	}
	keep := t.params.Crashes
	if e.Part {
		keep = keptPartCrashes
	}
	e.merge(now, in, keep)
	t.blamed = nil
	t.reposition(e)
}

// reposition moves a record to its position in its list. A changed record is mostly
// the newest, so that its position is near the front.
func (t *Table) reposition(e *record) {
	to := t.active
	if t.causedByZoneLoss(e.Entry) {
		to = t.zoneLoss
	}
	if e.list != nil {
		e.list.Remove(e.element)
	}
	e.list = to
	last := lastChange(e.Entry)
	for at := to.Front(); at != nil; at = at.Next() {
		if !lastChange(at.Value.(*record).Entry).After(last) {
			e.element = to.InsertBefore(e, at)
			return
		}
	}
	e.element = to.PushBack(e)
}

func (t *Table) expired(now time.Time, e Entry) bool {
	return now.Sub(lastChange(e)) > t.params.Retention
}

// evictIfFull evicts the oldest record that the loss of a zone explains, or else the
// oldest one, if the table is full.
func (t *Table) evictIfFull() {
	if len(t.entries) < t.params.MaxEntries {
		return
	}
	from := t.zoneLoss
	if from.Len() == 0 {
		from = t.active
	}
	e := from.Remove(from.Back()).(*record)
	delete(t.entries, e.Fingerprint)
	t.blamed = nil
}
