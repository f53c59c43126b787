package streamorigin

import "time"

// MaxEntries limits a table: more streams than one instance of a deployment of the usual size has to
// hold within the longest deadlines of callers.
const MaxEntries = 1 << 15

// maxNames limits the origins that entries share.
const maxNames = 1 << 10

type entry struct {
	origin    *Origin
	beganAt   int64
	expiresAt time.Time
}

// Table holds the origins of streams until they expire. It isn't safe for concurrent use.
type Table struct {
	entries map[uint64]entry
	// order holds the keys in the order of their first insertion; the oldest entry is evicted first.
	order []uint64
	// shared holds one copy of each server's origin, without the time.
	shared map[Origin]*Origin
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[uint64]entry{}, shared: map[Origin]*Origin{}} }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Put records the origin of a stream.
func (t *Table) Put(now time.Time, key uint64, o Origin, expiresAt time.Time) {
	t.evict(now)
	e := entry{beganAt: o.BeganAtMillis, expiresAt: expiresAt}
	o.BeganAtMillis = 0
	e.origin = t.share(o)
	if _, ok := t.entries[key]; !ok {
		t.order = append(t.order, key)
	}
	t.entries[key] = e
}

// Get returns the origin of a stream.
func (t *Table) Get(now time.Time, key uint64) (Origin, bool) {
	e, ok := t.entries[key]
	if !ok || !now.Before(e.expiresAt) {
		return Origin{}, false
	}
	o := *e.origin
	o.BeganAtMillis = e.beganAt
	return o, true
}

// Entry is an entry that is sent to another instance.
type Entry struct {
	Key    uint64 `json:"key"`
	Origin Origin `json:"origin"`
	// TTLMillis is how long the entry is held from now on.
	TTLMillis int64 `json:"ttlMillis"`
}

// Entry returns the entry of a stream as it is sent to another instance.
func (t *Table) Entry(now time.Time, key uint64) (Entry, bool) {
	o, ok := t.Get(now, key)
	if !ok {
		return Entry{}, false
	}
	return Entry{Key: key, Origin: o, TTLMillis: t.entries[key].expiresAt.Sub(now).Milliseconds()}, true
}

// Entries returns all entries that haven't expired.
func (t *Table) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, key := range t.order {
		if e, ok := t.Entry(now, key); ok {
			out = append(out, e)
		}
	}
	return out
}

// evict removes the oldest entries that have expired, and one that hasn't if the table is full.
func (t *Table) evict(now time.Time) {
	for len(t.order) > 0 && (len(t.entries) >= MaxEntries || !now.Before(t.entries[t.order[0]].expiresAt)) {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *Table) share(o Origin) *Origin {
	if known, ok := t.shared[o]; ok {
		return known
	}
	if len(t.shared) >= maxNames {
		clear(t.shared)
	}
	t.shared[o] = &o
	return &o
}
