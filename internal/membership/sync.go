package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Recent returns the records to send with a probe: that of this instance, those that
// changed recently, newest first, and the other instance's if it is marked as down, so
// that it can refute that.
func (t *Table) Recent(now time.Time, other string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []*entry
	for _, e := range t.others {
		if e.ID != other && now.Sub(e.changed) < recentTime {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *entry) int {
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.ID, b.ID))
	})
	out := []Record{t.self.Record}
	if e, ok := t.others[other]; ok && e.Down {
		out = append(out, e.Record)
	}
	for _, e := range recent[:min(len(recent), maxRecent)] {
		out = append(out, e.Record)
	}
	return out
}

// HasPeer reports whether an instance has this peer address.
func (t *Table) HasPeer(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Peer == peer {
		return true
	}
	for _, e := range t.others {
		if e.Peer == peer {
			return true
		}
	}
	return false
}

// All returns the records of all instances except those that have been down for some time,
// which would otherwise circulate forever.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Record{t.self.Record}
	for _, e := range t.others {
		if !e.Down || now.Sub(e.changed) < downRecordTTL {
			out = append(out, e.Record)
		}
	}
	return out
}

// reportedCountTTL is how long another instance's number of instances counts.
const reportedCountTTL = 10 * time.Second

// RecordCount records how many instances another one knows. An instance that has just
// started knows few, and without it would take too large a share of common limits.
func (t *Table) RecordCount(now time.Time, instances int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instances >= t.reportedCount || now.Sub(t.reportedAt) >= reportedCountTTL {
		t.reportedCount, t.reportedAt = instances, now
	}
}

// Count returns the number of instances that share common limits: all known ones, since an
// instance marked as down may be partitioned and still running.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1 + len(t.others)
	if now.Sub(t.reportedAt) < reportedCountTTL {
		n = max(n, t.reportedCount)
	}
	return n
}

const (
	// limitCountHold is how long instances that are gone count for limits that must not be exceeded.
	limitCountHold = 60 * time.Second
	// limitShareHold is how long an instance that can't reach most of the others keeps its part of such a
	// limit. It is shorter than it takes the others to divide that part among themselves.
	limitShareHold = 30 * time.Second
)

// LimitShare is an instance's share of a limit that all instances together must not exceed.
type LimitShare struct {
	// Instances is the number of instances that share the limit.
	Instances int
	// Held is false once this instance has reached too few of the others for so long that those may have
	// divided its part among themselves.
	Held bool
}

// LimitShare returns this instance's share of limits that must not be exceeded, also if it is cut off for long:
// instances that can't be reached are forgotten only while most can be, and only after they have noticed. The
// table notices what has changed when it is asked, so it must be asked every few seconds.
func (t *Table) LimitShare(now time.Time) LimitShare {
	n := t.Count(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 2*t.running() > t.limitCount
	if n >= t.limitCount || most && now.Sub(t.limitCountAt) >= limitCountHold {
		t.limitCount, t.limitCountAt = n, now
		most = 2*t.running() > n
	}
	if most || t.mostReachedAt.IsZero() {
		t.mostReachedAt = now
	}
	if !most {
		t.limitCountAt = now
	}
	return LimitShare{Instances: t.limitCount, Held: now.Sub(t.mostReachedAt) < limitShareHold}
}

// running returns the number of instances that aren't marked as down.
func (t *Table) running() int {
	n := 1
	for _, e := range t.others {
		if !e.Down {
			n++
		}
	}
	return n
}

// ReachesMost reports whether this instance and those that aren't marked as down are more than half of the
// instances at some addresses, which instances of other groups can't be at the same time.
func (t *Table) ReachesMost(addresses []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reached := map[string]bool{t.self.Peer: true}
	for _, e := range t.others {
		reached[e.Peer] = reached[e.Peer] || !e.Down
	}
	n := 0
	for _, a := range addresses {
		if reached[a] {
			n++
		}
	}
	return 2*n > len(addresses)
}

// KnowsSharer reports whether an instance that isn't marked as down says that it has a part of the limits.
func (t *Table) KnowsSharer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.others {
		if !e.Down && e.SharesLimits {
			return true
		}
	}
	return false
}

// minKnownShare is the share of the instances that this one must know for its ranks to be about
// right.
const minKnownShare = 0.8

// joinTime is how long it takes after a start until hundreds of instances that have started
// together know each other.
const joinTime = 5 * time.Second

// KnowsOthers reports whether this instance, which has started at startedAt, knows most of the
// others.
func (t *Table) KnowsOthers(now, startedAt time.Time) bool {
	n := t.Count(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(startedAt) >= joinTime && float64(1+len(t.others)) >= minKnownShare*float64(n)
}

// Digest returns a hash of the processes that are known to run.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest()
}

func (t *Table) digest() uint64 {
	if t.cache.digest != 0 {
		return t.cache.digest
	}
	sum := digestOf(&t.self.Record)
	for _, e := range t.others {
		if !e.Down {
			sum += digestOf(&e.Record)
		}
	}
	t.cache.digest = sum
	return sum
}

func digestOf(r *Record) uint64 {
	return xxhash.Sum64String(r.ID + "\n" + strconv.FormatInt(r.StartedAt, 36))
}

// SyncDue reports whether to exchange all records with an instance that has this digest:
// it knows other processes, and the last such exchange is some time ago.
func (t *Table) SyncDue(now time.Time, digest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.syncedAt) < minSyncInterval || digest == t.digest() {
		return false
	}
	t.syncedAt = now
	return true
}
