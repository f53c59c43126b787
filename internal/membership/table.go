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
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Status is what an instance says of itself.
type Status struct {
	// Ready instances take callers.
	Ready bool `json:"ready,omitempty"`
	// Leaving instances take no more duties.
	Leaving bool `json:"leaving,omitempty"`
	// Blind instances aren't answered by the platform.
	Blind bool `json:"blind,omitempty"`
}

// Record is what is known of one instance.
type Record struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Zone   string `json:"zone"`
	// Started is the start of the process, in milliseconds since 1970.
	Started int64 `json:"started"`
	// Change counts the changes of the record by its instance.
	Change int64 `json:"change"`
	Status
	// Down says that the instance doesn't answer others.
	Down bool `json:"down,omitempty"`
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// newer compares records of one instance: the later start, then the later
// change, then the mark that it is down.
func (r *Record) newer(than *Record) bool {
	return cmp.Or(
		cmp.Compare(r.Started, than.Started), cmp.Compare(r.Change, than.Change), cmp.Compare(bit(r.Down), bit(than.Down)),
	) > 0
}

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

// Recent returns what another instance is told with a probe: this instance's
// record, those that changed lately, the latest first, and that the other one is
// taken for down, so that it can say otherwise.
func (t *Table) Recent(now time.Time, other string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []*entry
	for _, e := range t.rest {
		if e.ID != other && now.Sub(e.changed) < recentFor {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *entry) int {
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.ID, b.ID))
	})
	out := []Record{t.self.Record}
	if e, ok := t.rest[other]; ok && e.Down {
		out = append(out, e.Record)
	}
	for _, e := range recent[:min(len(recent), maxRecent)] {
		out = append(out, e.Record)
	}
	return out
}

// Has reports whether an instance has this peer address.
func (t *Table) Has(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Peer == peer {
		return true
	}
	for _, e := range t.rest {
		if e.Peer == peer {
			return true
		}
	}
	return false
}

// All returns the records of all instances but those that have been down for
// some time, whose news mustn't go round for ever.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Record{t.self.Record}
	for _, e := range t.rest {
		if !e.Down || now.Sub(e.changed) < tellDownFor {
			out = append(out, e.Record)
		}
	}
	return out
}

// heardFor is how long it counts how many instances another one knows.
const heardFor = 10 * time.Second

// Heard notes how many instances another one knows: one that has just started
// knows few, and must not take a share of common limits as if there were no more.
func (t *Table) Heard(now time.Time, instances int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instances >= t.heard || now.Sub(t.heardAt) >= heardFor {
		t.heard, t.heardAt = instances, now
	}
}

// Count returns how many instances share common limits: all that are known,
// since one that is down may be cut off and go on by itself.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1 + len(t.rest)
	if now.Sub(t.heardAt) < heardFor {
		n = max(n, t.heard)
	}
	return n
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

// NextProbe returns the instance to probe next: each in turn, in an order that
// is drawn anew for each round.
func (t *Table) NextProbe(rng *rand.Rand) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[len(t.order)-1]
			t.order = t.order[:len(t.order)-1]
			if e, ok := t.rest[id]; ok && !e.Down {
				return e.Record, true
			}
		}
		for id, e := range t.rest {
			if !e.Down {
				t.order = append(t.order, id)
			}
		}
		slices.Sort(t.order)
		rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	return Record{}, false
}

// NextDown returns an instance that is down, at random: it may be back.
func (t *Table) NextDown(rng *rand.Rand) (Record, bool) {
	return t.random(rng, func(e *entry) bool { return e.Down })
}

// Any returns an instance that runs, at random.
func (t *Table) Any(rng *rand.Rand) (Record, bool) {
	return t.random(rng, func(e *entry) bool { return !e.Down })
}

// Helpers returns up to n instances that may try to reach another one. Those of
// other availability zones than this one's and the other one's come first, as
// links between two zones fail together, and each of a zone of its own.
func (t *Table) Helpers(rng *rand.Rand, other Record, n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	for id, e := range t.rest {
		if !e.Down && id != other.ID {
			all = append(all, e.Record)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	used := map[string]int{t.self.Zone: 1, other.Zone: 1}
	out := make([]Record, 0, n)
	for len(out) < n && len(all) > 0 {
		best := 0
		for i := range all {
			if used[all[i].Zone] < used[all[best].Zone] {
				best = i
			}
		}
		out = append(out, all[best])
		used[all[best].Zone]++
		all = slices.Delete(all, best, best+1)
	}
	return out
}

func (t *Table) random(rng *rand.Rand, fits func(*entry) bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.rest {
		if fits(e) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Record{}, false
	}
	slices.Sort(ids)
	return t.rest[ids[rng.IntN(len(ids))]].Record, true
}

// Digest tells apart which processes are known to run.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest()
}

func (t *Table) digest() uint64 {
	if t.derived.digest != 0 {
		return t.derived.digest
	}
	sum := digestOf(&t.self.Record)
	for _, e := range t.rest {
		if !e.Down {
			sum += digestOf(&e.Record)
		}
	}
	t.derived.digest = sum
	return sum
}

func digestOf(r *Record) uint64 {
	return xxhash.Sum64String(r.ID + "\n" + strconv.FormatInt(r.Started, 36))
}

// Sync reports whether all records are to be exchanged with an instance that has
// this digest: it knows others, and the last such exchange is some time ago.
func (t *Table) Sync(now time.Time, digest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.synced) < syncLeast || digest == t.digest() {
		return false
	}
	t.synced = now
	return true
}

// Callers returns the addresses of up to most ready instances that a caller may
// use, drawn at random: those of the caller's availability zone alone where there
// are two or more, as bytes between zones are dear, and one address would leave
// a caller with nowhere to turn.
func (t *Table) Callers(rng *rand.Rand, zone string, most int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all, near []string
	add := func(r *Record) {
		if !r.Ready || r.Down {
			return
		}
		all = append(all, r.Caller)
		if r.Zone == zone {
			near = append(near, r.Caller)
		}
	}
	add(&t.self.Record)
	for _, e := range t.rest {
		add(&e.Record)
	}
	if len(near) >= 2 {
		all = near
	}
	slices.Sort(all)
	if len(all) > most {
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:most]
	}
	return all
}

// Owners returns up to n ready instances for a key, the first to be asked first.
// Instances that know of each other choose the same ones for a key (rendezvous
// hashing), and different ones for others.
func (t *Table) Owners(key string, n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners, ok := t.derived.owners[key]
	if !ok {
		owners = t.owners(key)
		t.derived.owners[key] = owners
	}
	return owners[:min(n, len(owners))]
}

// maxOwners is how many owners of a key are remembered.
const maxOwners = 3

func (t *Table) owners(key string) []Record {
	type owner struct {
		record *Record
		weight uint64
	}
	var owners []owner
	add := func(r *Record) {
		if r.Ready && !r.Down {
			owners = append(owners, owner{r, weight(key, r.ID)})
		}
	}
	add(&t.self.Record)
	for _, e := range t.rest {
		add(&e.Record)
	}
	slices.SortFunc(owners, func(a, b owner) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]Record, 0, maxOwners)
	for _, o := range owners[:min(maxOwners, len(owners))] {
		out = append(out, *o.record)
	}
	return out
}

func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\n" + id) }

// Rank returns the place of this instance, for a key, among those that run: those
// that reach the platform before those that don't. Blind reports whether one of
// the others doesn't reach it.
func (t *Table) Rank(key string) (rank int, blind bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.derived.ranks[key]
	if !ok {
		p = t.rankOf(key)
		t.derived.ranks[key] = p
	}
	return p.rank, p.blind
}

func (t *Table) rankOf(key string) place {
	var p place
	own := weight(key, t.self.ID)
	class := func(s Status) int {
		switch {
		case s.Leaving:
			return 2
		case s.Blind:
			return 1
		}
		return 0
	}
	for id, e := range t.rest {
		if e.Down {
			continue
		}
		p.blind = p.blind || e.Blind
		c := cmp.Or(cmp.Compare(class(e.Status), class(t.self.Status)), cmp.Compare(own, weight(key, id)))
		if c < 0 {
			p.rank++
		}
	}
	return p
}
