package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minObservers is how many instances must miss the responses of another
	// before it is removed. A single observer may have lost its own link, and
	// would remove all others.
	minObservers = 2
	// missedAnswerTTL is how long a missed response counts against an instance. It
	// allows for the ages that add up as the heartbeats of others forward them.
	missedAnswerTTL = 5 * time.Second
	// maxRank limits the wait of instances that let others propose first.
	maxRank = 8
)

// ListedInstance is an instance in the platform's list, which lags.
type ListedInstance struct {
	ID          string
	PeerAddress string
	Leaving     bool
}

// Observation is what heartbeats show about the instances.
type Observation struct {
	// Responding holds the instances that recently responded to a heartbeat of this
	// instance, as they describe themselves.
	Responding map[string]Instance
	// MissedBy says for each instance which observers missed its responses, and when
	// last.
	MissedBy map[string]map[string]time.Time
	// MajorityAdopted says whether more than half of the roster is known to have adopted it.
	MajorityAdopted bool
}

// Propose returns the roster that should follow current, or false if current should
// stay.
//
// It handles 45 failures and 150 replacements a day at 350 instances, and the
// replacement of all instances at once. It must not remove a live instance because
// the link of one observer is cut, which would move its servers needlessly, nor keep
// one that is down, whose servers would stay at the deputy's share.
//
//   - Added: an instance that is listed and responds to this instance. The list
//     alone is not enough, since it may name an instance that has exited.
//   - Removed: an instance that is not listed and whose responses two observers
//     miss (one, in a roster of two). Neither alone is enough: a new instance is
//     missing in the lagging list, and links fail.
//   - Leaving: an instance that reports this itself, or that is listed as leaving.
//   - No change while the current roster isn't known to most of its members, unless
//     too few of them are alive: two successive changes unknown to most members would
//     let old owners confirm each other; see [Lease].
func Propose(now time.Time, current *Roster, list []ListedInstance, obs Observation) (Object, bool) {
	live := map[string]ListedInstance{}
	for _, l := range list {
		live[l.ID] = l
	}
	if !obs.MajorityAdopted && current.Number > 0 && majorityAlive(now, current, live, obs) {
		return Object{}, false
	}
	next := make([]Instance, 0, len(list))
	for _, in := range current.Instances {
		if answered, ok := obs.Responding[in.ID]; ok {
			in = answered
		}
		l, listed := live[in.ID]
		if !listed && isDown(now, current, in, obs) {
			continue
		}
		in.Leaving = in.Leaving || listed && l.Leaving
		next = append(next, in)
	}
	for id, in := range obs.Responding {
		_, member := current.Find(id)
		if l, listed := live[id]; listed && !member {
			in.Leaving = in.Leaving || l.Leaving
			next = append(next, in)
		}
	}
	slices.SortFunc(next, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if len(next) == 0 || slices.Equal(next, current.Instances) {
		return Object{}, false
	}
	return current.Object().Next(next), true
}

// isDown reports whether enough observers miss the responses of in.
func isDown(now time.Time, current *Roster, in Instance, obs Observation) bool {
	n := 0
	for _, at := range obs.MissedBy[in.ID] {
		if now.Sub(at) <= missedAnswerTTL {
			n++
		}
	}
	return n >= min(minObservers, max(1, len(current.Instances)-1))
}

// majorityAlive reports whether more than half of the roster is neither down nor
// replaced, so that waiting until they adopt it can succeed.
func majorityAlive(now time.Time, current *Roster, live map[string]ListedInstance, obs Observation) bool {
	n := 0
	for _, in := range current.Instances {
		latest, answered := obs.Responding[in.ID]
		replaced := answered && latest.Incarnation != in.Incarnation
		_, listed := live[in.ID]
		if !replaced && (listed || !isDown(now, current, in, obs)) {
			n++
		}
	}
	return 2*n > len(current.Instances)
}

// ProposeDelay returns how long self waits before it proposes a change, so that not
// all instances write at once. The first by a hash of the epoch and the ID doesn't
// wait; the next waits one step, by when it sees whether the first has written.
// Instances outside the roster come last, spread over some steps: they may be the
// only ones left, or all new at once. Before the first roster there are no members to
// come first; of 350 new instances about 40 write in each step, and one succeeds.
func ProposeDelay(r *Roster, self string, step time.Duration) time.Duration {
	own := rankHash(r.Epoch, self)
	rank := 0
	for _, in := range r.Instances {
		if in.ID != self && rankHash(r.Epoch, in.ID) < own {
			rank++
		}
	}
	rank = min(rank, maxRank)
	if _, member := r.Find(self); !member {
		rank = int(own % maxRank)
		if len(r.Instances) > 0 {
			rank += maxRank
		}
	}
	return time.Duration(rank) * step
}

func rankHash(epoch int64, id string) uint64 {
	return mix(xxhash.Sum64String(id) ^ mix(uint64(epoch)))
}

// ringSuccessors is how many instances each instance monitors. Three are lost together
// only with a rack or zone, which the list and the rest of the ring show.
const ringSuccessors = 3

// Successors returns the instances to which self sends heartbeats, so that a few
// monitor each instance: the next ones in hash order, which mixes zones.
func (r *Roster) Successors(self string) []Instance {
	order := make([]int, len(r.Instances))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if r.hashes[a] < r.hashes[b] {
			return -1
		}
		return 1
	})
	at := slices.IndexFunc(order, func(i int) bool { return r.Instances[i].ID == self })
	var next []Instance
	for k := 1; k < len(order) && len(next) < ringSuccessors; k++ {
		next = append(next, r.Instances[order[(at+k+len(order))%len(order)]])
	}
	return next
}
