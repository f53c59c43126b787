package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// NoteCount notes how many instances another one knows: one that has just started
// knows few, and must not take a share of common limits as if there were no more.
func (t *Table) NoteCount(now time.Time, instances int) {
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
