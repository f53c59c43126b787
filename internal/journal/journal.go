// Package journal records the history of the most recent requests of this entry instance, so that
// operators can find out hours later why one of them was slow or rejected. It stores IDs, names,
// times and counts, never a prompt, a token or a body. It is kept in memory only.
//
// # Usage
//
//	j := journal.New(journal.DefaultLimits)
//	e := j.Begin(now, "req-1", "chat")
//	ctx = journal.NewContext(ctx, e)
//	e.SetSubject(journal.Subject{Workspace: "club", Model: "briefing"})
//	journal.FromContext(ctx).Add(journal.Step{At: now, Kind: journal.Sent, Server: "engine-1"})
//	e.End(now, journal.Finished, "")
//	records := j.Find("req-1")
package journal

import (
	"slices"
	"sync"
	"time"
)

// Limits are the memory limits of a journal, in bytes: Ordinary for requests that succeeded,
// Notable for those that were rejected, failed, stalled, restarted or resumed. They are separate
// because operators ask about notable requests hours later: in a single ring, an hour of ordinary
// requests would evict them.
type Limits struct {
	Ordinary int
	Notable  int
}

// DefaultLimits fits an instance with a budget of 32 MB for control. A request takes about 1 kB, so
// 350 instances with 1,000 requests/s in total keep ordinary requests for about 20 minutes, and
// notable ones for a night if one request in 10 is notable.
var DefaultLimits = Limits{Ordinary: 4 << 20, Notable: 8 << 20}

const (
	// maxSteps is the maximum number of steps of a request. If a request that waits for long or
	// stalls often has more, steps after the first keptFirstSteps are dropped, since the first
	// steps show why it waited and the last ones how it ended.
	maxSteps       = 48
	keptFirstSteps = 32
	// recordBytes and stepBytes are the sizes of a request and a step, including maps and strings.
	recordBytes = 640
	stepBytes   = 96
)

// Journal holds the records of recent requests. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	byName   map[string][]*Entry
	ordinary ring
	notable  ring
}

// New returns an empty journal.
func New(limits Limits) *Journal {
	return &Journal{
		byName:   map[string][]*Entry{},
		ordinary: ring{limit: limits.Ordinary},
		notable:  ring{limit: limits.Notable},
	}
}

// Begin returns the entry of a request that was received at now. [Journal.Find] finds it only after
// [Entry.SetSubject]: unauthenticated requests could otherwise evict all others.
func (j *Journal) Begin(now time.Time, id, route string) *Entry {
	if j == nil {
		return nil
	}
	return &Entry{journal: j, record: Record{
		ID: id, Route: route, State: Queued, Steps: []Step{{At: now, Kind: Received}},
	}}
}

// Find returns the requests with the given name, the ID of a request or a generation. A generation
// that was resumed on this instance has several.
func (j *Journal) Find(name string) []Record {
	if j == nil {
		return nil
	}
	j.mu.Lock()
	entries := slices.Clone(j.byName[name])
	j.mu.Unlock()
	var records []Record
	for _, e := range entries {
		records = append(records, e.snapshot())
	}
	return records
}

// index adds e to the entries with the given name.
func (j *Journal) index(e *Entry, name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byName[name] = append(j.byName[name], e)
}

// finish adds e to its ring and evicts the oldest requests that exceed the limit.
func (j *Journal) finish(e *Entry, notable bool, size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	target := &j.ordinary
	if notable {
		target = &j.notable
	}
	for _, old := range target.push(endedEntry{e, size}) {
		j.evict(old)
	}
}

func (j *Journal) evict(e *Entry) {
	for _, name := range e.markEvicted() {
		remaining := slices.DeleteFunc(slices.Clone(j.byName[name]), func(o *Entry) bool { return o == e })
		if len(remaining) == 0 {
			delete(j.byName, name)
			continue
		}
		j.byName[name] = remaining
	}
}

// endedEntry is an ended request with its size at the end.
type endedEntry struct {
	entry *Entry
	size  int
}

// ring holds ended requests up to a size limit in bytes, oldest first.
type ring struct {
	limit   int
	bytes   int
	entries []endedEntry
}

// push adds e and returns the entries that exceed the limit.
func (r *ring) push(e endedEntry) []*Entry {
	r.entries = append(r.entries, e)
	r.bytes += e.size
	var evicted []*Entry
	for r.bytes > r.limit && len(r.entries) > 1 {
		evicted = append(evicted, r.entries[0].entry)
		r.bytes -= r.entries[0].size
		r.entries[0] = endedEntry{}
		r.entries = r.entries[1:]
	}
	return evicted
}
