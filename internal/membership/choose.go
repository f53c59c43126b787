package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// Running returns all instances that aren't known to be down, this one included.
func (t *Table) Running() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Record{t.self.Record}
	for _, e := range t.rest {
		if !e.Down {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
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

// OwnerIn returns the ready instance of an availability zone for a key.
func (t *Table) OwnerIn(zone, key string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := zone + "\n" + key
	owners, ok := t.derived.owners[cached]
	if !ok {
		owners = t.ownersIn(zone, key)
		t.derived.owners[cached] = owners
	}
	if len(owners) == 0 {
		return Record{}, false
	}
	return owners[0], true
}

func (t *Table) ownersIn(zone, key string) []Record {
	var best *Record
	add := func(r *Record) {
		if r.Zone == zone && r.Ready && !r.Down && (best == nil || weight(key, r.ID) > weight(key, best.ID)) {
			best = r
		}
	}
	add(&t.self.Record)
	for _, e := range t.rest {
		add(&e.Record)
	}
	if best == nil {
		return nil
	}
	return []Record{*best}
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
