package membership

import (
	"cmp"
	"slices"
	"strconv"
)

// holderBuckets is the number of buckets of keys with the same holders: few enough to keep the holders
// of all, and enough to spread keys over the instances of a large deployment.
const holderBuckets = 512

// Holders returns up to n running instances that hold what is recorded under a key, in order of
// preference: the first ones of each availability zone, then the second ones. Instances that leave come
// last. Instances whose records differ in a few others return mostly the same holders.
func (t *Table) Holders(key uint64, n int) []Record {
	bucket := "holders " + strconv.FormatUint(key%holderBuckets, 10)
	t.mu.Lock()
	defer t.mu.Unlock()
	holders, ok := t.cache.holders[bucket]
	if !ok {
		holders = t.holders(bucket)
		t.cache.holders[bucket] = holders
	}
	return holders[:min(n, len(holders))]
}

// MaxHolders is the largest number of holders of a key.
const MaxHolders = 6

func (t *Table) holders(bucket string) []Record {
	staying := t.ranked(bucket, func(r *Record) bool { return !r.Down && !r.Leaving })
	leaving := t.ranked(bucket, func(r *Record) bool { return !r.Down && r.Leaving })
	return slices.Concat(takeByZone(staying, MaxHolders), leaving)[:min(MaxHolders, len(staying)+len(leaving))]
}

// takeByZone returns up to n records, one of each zone in turn, and otherwise in the given order.
func takeByZone(ranked []Record, n int) []Record {
	out := make([]Record, 0, n)
	for len(ranked) > 0 && len(out) < n {
		used := map[string]bool{}
		var rest []Record
		for _, r := range ranked {
			if used[r.Zone] || len(out) == n {
				rest = append(rest, r)
				continue
			}
			used[r.Zone] = true
			out = append(out, r)
		}
		ranked = rest
	}
	return out
}

// ranked returns the matching instances in the order of a key (rendezvous hashing).
func (t *Table) ranked(key string, match func(r *Record) bool) []Record {
	type weighted struct {
		record *Record
		weight uint64
	}
	var all []weighted
	add := func(r *Record) {
		if match(r) {
			all = append(all, weighted{r, weight(key, r.ID)})
		}
	}
	add(&t.self.Record)
	for _, e := range t.others {
		add(&e.Record)
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]Record, len(all))
	for i := range all {
		out[i] = *all[i].record
	}
	return out
}
