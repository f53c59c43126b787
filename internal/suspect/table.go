package suspect

import (
	"container/list"
	"slices"
	"time"
)

// Table holds the suspects known to one instance. It is not safe for
// concurrent use.
type Table struct {
	params  Params
	entries map[uint64]*record
	// news are the records to tell others of, the one that changed last in
	// front; quiet are those that a lost zone explains. Each heartbeat reads the
	// front of news; looking through all would take 0.3 ms at 4,000.
	news, quiet *list.List
	zones       zones
}

// record is an entry and its place in one of the lists.
type record struct {
	Entry
	in *list.List
	at *list.Element
}

// NewTable returns an empty table.
func NewTable(p Params) *Table {
	return &Table{params: p, entries: map[uint64]*record{}, news: list.New(), quiet: list.New(), zones: zones{}}
}

// Crash notes that a request was running when a backend server was last seen at
// at before it crashed. [CrashName] gives the crash's name.
func (t *Table) Crash(at time.Time, crash string, fingerprint uint64) {
	t.merge(at, Entry{Fingerprint: fingerprint, Crashes: []Crash{{Name: crash, At: at}}})
}

// Finished clears a request that has run to its end.
func (t *Table) Finished(now time.Time, fingerprint uint64) {
	if _, ok := t.entries[fingerprint]; ok {
		t.merge(now, Entry{Fingerprint: fingerprint, ClearedAt: now})
	}
}

// Check says what to do with a request.
func (t *Table) Check(now time.Time, fingerprint uint64) Verdict {
	e, ok := t.entries[fingerprint]
	switch {
	case !ok || len(e.Crashes) == 0 || t.expired(now, e.Entry) || t.explained(e.Entry):
		return Clear
	case len(e.Crashes) >= t.params.Crashes:
		return Refused
	}
	return Suspected
}

// explained reports whether the loss of a zone explains the only crash of a
// request.
//
// Else a lost zone would make suspects of thousands of requests. A request that ran
// on two servers when they ended stays one, whatever else ended with them.
func (t *Table) explained(e Entry) bool {
	return len(e.Crashes) == 1 && t.zones.together(e.Crashes[0], t.params.Together, t.params.Within)
}

// RetryAfter returns how long a refused request stays refused.
func (t *Table) RetryAfter(now time.Time, fingerprint uint64) time.Duration {
	e, ok := t.entries[fingerprint]
	if !ok {
		return 0
	}
	return max(0, changed(e.Entry).Add(t.params.Keep).Sub(now))
}

// Newest returns at most n entries, those that changed last first, for a
// heartbeat.
func (t *Table) Newest(now time.Time, n int) []Entry {
	var out []Entry
	for at := t.news.Front(); at != nil && len(out) < n; {
		e := at.Value.(*record)
		at = at.Next()
		if t.expired(now, e.Entry) {
			break
		}
		if t.explained(e.Entry) {
			t.put(e)
			continue
		}
		out = append(out, Entry{Fingerprint: e.Fingerprint, Crashes: slices.Clone(e.Crashes), ClearedAt: e.ClearedAt})
	}
	return out
}

// Merge takes in what another instance knows.
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
		t.zones.note(now, t.params.Keep, c)
	}
	e, ok := t.entries[in.Fingerprint]
	if !ok {
		t.makeRoom()
		e = &record{Entry: Entry{Fingerprint: in.Fingerprint}}
		t.entries[in.Fingerprint] = e
	}
	e.join(in, t.params.Crashes)
	t.put(e)
}

// put puts a record at its place. What changes mostly changed last, so that
// its place is near the front.
func (t *Table) put(e *record) {
	to := t.news
	if t.explained(e.Entry) {
		to = t.quiet
	}
	if e.in != nil {
		e.in.Remove(e.at)
	}
	e.in = to
	last := changed(e.Entry)
	for at := to.Front(); at != nil; at = at.Next() {
		if !changed(at.Value.(*record).Entry).After(last) {
			e.at = to.InsertBefore(e, at)
			return
		}
	}
	e.at = to.PushBack(e)
}

func (t *Table) expired(now time.Time, e Entry) bool {
	return now.Sub(changed(e)) > t.params.Keep
}

// makeRoom drops the oldest of what a lost zone explains, or else the oldest.
func (t *Table) makeRoom() {
	if len(t.entries) < t.params.MaxEntries {
		return
	}
	from := t.quiet
	if from.Len() == 0 {
		from = t.news
	}
	e := from.Remove(from.Back()).(*record)
	delete(t.entries, e.Fingerprint)
}
