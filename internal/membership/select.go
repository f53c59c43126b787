package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NextProbe returns the instance to probe next: each once per round, in a random order.
func (t *Table) NextProbe(rng *rand.Rand) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[len(t.probeOrder)-1]
			t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
			if e, ok := t.others[id]; ok && !e.Down {
				return e.Record, true
			}
		}
		for id, e := range t.others {
			if !e.Down {
				t.probeOrder = append(t.probeOrder, id)
			}
		}
		slices.Sort(t.probeOrder)
		rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return Record{}, false
}

// RandomDown returns a random instance that is down, which may have restarted.
func (t *Table) RandomDown(rng *rand.Rand) (Record, bool) {
	return t.random(rng, func(e *entry) bool { return e.Down })
}

// RandomRunning returns a random running instance.
func (t *Table) RandomRunning(rng *rand.Rand) (Record, bool) {
	return t.random(rng, func(e *entry) bool { return !e.Down })
}

// IndirectProbers returns up to n instances for an indirect probe of another one. As links between
// two zones fail together, it prefers zones other than those of this instance and the
// other one, and a different zone for each.
func (t *Table) IndirectProbers(rng *rand.Rand, other Record, n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	for id, e := range t.others {
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

// Relays returns up to n random instances that run, don't leave and reach backend servers, without
// those that exclude reports.
func (t *Table) Relays(rng *rand.Rand, n int, exclude func(id string) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	seen := 0
	for id, e := range t.others {
		if e.Down || e.Leaving || !e.Ready || e.ServersUnreachable || exclude(id) {
			continue
		}
		seen++
		if len(out) < n {
			out = append(out, e.Record)
		} else if i := rng.IntN(seen); i < n {
			out[i] = e.Record
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (t *Table) random(rng *rand.Rand, match func(*entry) bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.others {
		if match(e) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Record{}, false
	}
	slices.Sort(ids)
	return t.others[ids[rng.IntN(len(ids))]].Record, true
}

// CallerAddresses returns the addresses of up to limit random ready instances for a caller. It
// returns only those of the caller's availability zone if there are at least two:
// cross-zone traffic is expensive, but a single address would leave the caller without an
// alternative.
func (t *Table) CallerAddresses(rng *rand.Rand, zone string, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all, sameZone []string
	add := func(r *Record) {
		if !r.Ready || r.Down {
			return
		}
		all = append(all, r.Caller)
		if r.Zone == zone {
			sameZone = append(sameZone, r.Caller)
		}
	}
	add(&t.self.Record)
	for _, e := range t.others {
		add(&e.Record)
	}
	if len(sameZone) >= 2 {
		all = sameZone
	}
	slices.Sort(all)
	if len(all) > limit {
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:limit]
	}
	return all
}

// Running returns all instances that aren't known to be down, including this one.
func (t *Table) Running() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Record{t.self.Record}
	for _, e := range t.others {
		if !e.Down {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Owners returns up to n ready instances for a key, in order of preference. Instances with
// the same records return the same owners for a key (rendezvous hashing), and different
// ones for other keys.
func (t *Table) Owners(key string, n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners, ok := t.cache.owners[key]
	if !ok {
		owners = t.owners(key)
		t.cache.owners[key] = owners
	}
	return owners[:min(n, len(owners))]
}

// OwnerIn returns the first ready instance of an availability zone for a key.
func (t *Table) OwnerIn(zone, key string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := zone + "\n" + key
	owners, ok := t.cache.owners[cached]
	if !ok {
		owners = t.ownersIn(zone, key)
		t.cache.owners[cached] = owners
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
	for _, e := range t.others {
		add(&e.Record)
	}
	if best == nil {
		return nil
	}
	return []Record{*best}
}

// Collectors returns up to n instances, maxOwners at most, that collect the changed records of all, in
// order of preference: the first ones in an order by hash of those that run and don't leave.
func (t *Table) Collectors(n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cache.collectors == nil {
		t.cache.collectors = t.first("collectors", func(r *Record) bool { return !r.Down && !r.Leaving })
	}
	return t.cache.collectors[:min(n, len(t.cache.collectors))]
}

// maxOwners is the number of owners that are cached for each key.
const maxOwners = 3

func (t *Table) owners(key string) []Record {
	return t.first(key, func(r *Record) bool { return r.Ready && !r.Down })
}

// first returns the first maxOwners of the matching instances in the order of a key (rendezvous
// hashing).
func (t *Table) first(key string, match func(r *Record) bool) []Record {
	type owner struct {
		record *Record
		weight uint64
	}
	best := make([]owner, 0, maxOwners+1)
	add := func(r *Record) {
		if !match(r) {
			return
		}
		o := owner{r, weight(key, r.ID)}
		at, _ := slices.BinarySearchFunc(best, o, func(a, b owner) int { return cmp.Compare(b.weight, a.weight) })
		best = slices.Insert(best, at, o)
		best = best[:min(maxOwners, len(best))]
	}
	add(&t.self.Record)
	for _, e := range t.others {
		add(&e.Record)
	}
	out := make([]Record, len(best))
	for i, o := range best {
		out[i] = *o.record
	}
	return out
}

// weight returns the weight of an instance for a key, the hash of both.
func weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// ShareRank returns the rank of this instance for a key among all known ones. As with [Table.Count],
// instances marked as down count, since they may be partitioned and still running.
func (t *Table) ShareRank(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank, ok := t.cache.shareRanks[key]
	if !ok {
		own := weight(key, t.self.ID)
		for id := range t.others {
			if weight(key, id) > own {
				rank++
			}
		}
		t.cache.shareRanks[key] = rank
	}
	return rank
}

// Rank returns the rank of this instance for a key among the running ones: those that
// reach the platform rank before those that don't, and instances that shut down last.
// unreachable reports whether the platform doesn't answer one of the others.
func (t *Table) Rank(key string) (rank int, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.cache.ranks[key]
	if !ok {
		p = t.rankOf(key)
		t.cache.ranks[key] = p
	}
	return p.rank, p.unreachable
}

func (t *Table) rankOf(key string) rankResult {
	var p rankResult
	own := weight(key, t.self.ID)
	class := func(s Status) int {
		switch {
		case s.Leaving:
			return 2
		case s.PlatformUnreachable:
			return 1
		}
		return 0
	}
	for id, e := range t.others {
		if e.Down {
			continue
		}
		p.unreachable = p.unreachable || e.PlatformUnreachable
		c := cmp.Or(cmp.Compare(class(e.Status), class(t.self.Status)), cmp.Compare(own, weight(key, id)))
		if c < 0 {
			p.rank++
		}
	}
	return p
}
