// Package gossip keeps the instances of a deployment informed of each other
// without a coordinator: which of them run, what load each has put on the
// backend servers, and, where the platform doesn't answer, what others have
// learned from it.
//
// Each instance counts a heartbeat and exchanges what it knows with a few
// others at a time. Of two records of an instance the later start, then the
// higher count, is the newer. An instance whose count stands still is dead to
// the one that looks, whichever way the news would have come.
//
// # Usage
//
//	table := gossip.NewTable(self)
//	table.Beat(now)
//	table.Merge(now, records)
//	addresses := table.Callers(now, "kigali-a")
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deadAfter is how long a count may stand still. Between a dozen instances
	// a heartbeat takes about a second to reach all, among a hundred two; a
	// caller that is sent to a dead instance loses up to a second.
	deadAfter = 2500 * time.Millisecond
	// forgetAfter is how long the record of a dead instance is kept. Shares of
	// common limits are counted with it until then, since it may be cut off
	// and go on by itself.
	forgetAfter = 60 * time.Second
)

// NewsTime returns how long news of one of n instances takes to reach all, as a
// rule. Each round triples those that have it, and it waits for the first.
func NewsTime(n int) time.Duration {
	rounds := 1
	for reached := 1; reached < n; reached *= 3 {
		rounds++
	}
	return time.Duration(rounds) * period
}

// Load is what one instance has put on one backend server.
type Load struct {
	Running int `json:"running"`
	Tokens  int `json:"tokens"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{Running: l.Running + m.Running, Tokens: l.Tokens + m.Tokens}
}

// Record is what is known of one instance.
type Record struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Zone   string `json:"zone"`
	// Started is the start of the process, in milliseconds since 1970.
	Started int64 `json:"started"`
	Beat    int64 `json:"beat"`
	Ready   bool  `json:"ready"`
	// Load is by backend server.
	Load map[string]Load `json:"load,omitempty"`
}

func (r *Record) newer(than *Record) bool {
	return cmp.Or(cmp.Compare(r.Started, than.Started), cmp.Compare(r.Beat, than.Beat)) > 0
}

type entry struct {
	Record
	// heard is when the count last rose here.
	heard time.Time
}

// Table holds the records of all instances. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	self Record
	rest map[string]*entry
	// load is the sum of the loads of the others that live.
	load   map[string]Load
	loadAt time.Time
}

// NewTable returns a table that knows only its own instance.
func NewTable(self Record) *Table {
	return &Table{self: self, rest: map[string]*entry{}}
}

// Beat counts a heartbeat of this instance, with its state and load.
func (t *Table) Beat(ready bool, load map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.Ready = ready
	t.self.Load = load
}

// SetReady changes the state of this instance at once.
func (t *Table) SetReady(ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.Ready = ready
}

// Merge takes in the records that another instance knows.
func (t *Table) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		r := &records[i]
		if r.ID == "" || r.ID == t.self.ID {
			continue
		}
		known, ok := t.rest[r.ID]
		switch {
		case !ok:
			t.rest[r.ID] = &entry{Record: *r, heard: now}
		case r.newer(&known.Record):
			known.Record, known.heard = *r, now
		}
	}
	for id, e := range t.rest {
		if now.Sub(e.heard) > forgetAfter {
			delete(t.rest, id)
		}
	}
	t.loadAt = time.Time{}
}

// Records returns what to tell others: this instance and those that live. A
// dead one isn't told of, so that its record can't go round for ever.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Record{t.self}
	for _, e := range t.rest {
		if now.Sub(e.heard) < deadAfter {
			out = append(out, e.Record)
		}
	}
	return out
}

// Count returns how many instances share common limits: this one, those that
// live and those that may be cut off.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + len(t.rest)
}

// Callers returns the addresses of ready instances that callers may use, those
// of the caller's availability zone alone where there are two or more: the
// bytes between zones are dear, and one address would leave a caller with
// nowhere to turn.
func (t *Table) Callers(now time.Time, zone string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all, near []string
	add := func(r *Record) {
		if !r.Ready {
			return
		}
		all = append(all, r.Caller)
		if r.Zone == zone {
			near = append(near, r.Caller)
		}
	}
	add(&t.self)
	for _, e := range t.rest {
		if now.Sub(e.heard) < deadAfter {
			add(&e.Record)
		}
	}
	if len(near) >= 2 {
		all = near
	}
	slices.Sort(all)
	return all
}

// Planner returns the address of the ready instance that plans for a key, or
// nothing where it is this one. Instances that know of each other choose the
// same one for a key (rendezvous hashing), and different ones for others.
func (t *Table) Planner(now time.Time, key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, best := "", xxhash.Sum64String(key+"\n"+t.self.ID)
	if !t.self.Ready {
		best = 0
	}
	for id, e := range t.rest {
		if !e.Ready || now.Sub(e.heard) >= deadAfter {
			continue
		}
		if n := xxhash.Sum64String(key + "\n" + id); n > best {
			address, best = e.Peer, n
		}
	}
	return address
}

// Rank returns the place of this instance among those that are ready and live,
// in an order of the key's own.
func (t *Table) Rank(now time.Time, key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := xxhash.Sum64String(key + "\n" + t.self.ID)
	rank := 0
	for id, e := range t.rest {
		if e.Ready && now.Sub(e.heard) < deadAfter && xxhash.Sum64String(key+"\n"+id) > own {
			rank++
		}
	}
	return rank
}

// BeatOf identifies a state of an instance: its process and its count.
type BeatOf struct{ Started, Beat int64 }

// BeatOf returns the newest state of another instance that is known here.
func (t *Table) BeatOf(id string) BeatOf {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.rest[id]; ok {
		return BeatOf{e.Started, e.Beat}
	}
	return BeatOf{}
}

// Peers returns the addresses of up to n others, at random: mostly of those
// that live, and one of those that don't now and then, as it may be back.
func (t *Table) Peers(now time.Time, rng *rand.Rand, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live, dead []string
	for _, e := range t.rest {
		if now.Sub(e.heard) < deadAfter {
			live = append(live, e.Peer)
		} else {
			dead = append(dead, e.Peer)
		}
	}
	slices.Sort(live)
	slices.Sort(dead)
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	live = live[:min(n, len(live))]
	if len(dead) > 0 && (len(live) == 0 || rng.IntN(4) == 0) {
		live = append(live, dead[rng.IntN(len(dead))])
	}
	return live
}

// Load returns what the other instances have put on a backend server.
func (t *Table) Load(now time.Time, server string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loadAt.IsZero() {
		t.load = map[string]Load{}
		for _, e := range t.rest {
			if now.Sub(e.heard) >= deadAfter {
				continue
			}
			for id, l := range e.Load {
				t.load[id] = t.load[id].Plus(l)
			}
		}
		t.loadAt = now
	}
	return t.load[server]
}
