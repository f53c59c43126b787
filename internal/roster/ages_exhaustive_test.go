package roster

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two owners of one server during a platform outage. Half of four
// instances adopt the next epoch, from when a new owner waits one lease, while the
// others exchange heartbeats and forward ages, with delayed or lost responses. In
// every order, one lease later no instance may be confirmed in the old epoch, as it
// would be by a forwarded age that is too low.

const ageModelInstances = 4

// ageState is one state of the model. A lease is one tick, so an age is either of
// this tick or too old. The last two instances adopt the next epoch; by symmetry,
// any two others would do the same.
type ageState struct {
	ticks  int
	leases []*Lease
	// senders is the number of instances, from the first on, that send heartbeats.
	// delayed is the delayed response to the first, if allowDelay permits one.
	senders    int
	allowDelay bool
	delayed    *delayedAnswer
	// halfLeftTick is the tick in which half had left the first epoch, or -1.
	halfLeftTick int
}

func newAgeState(askers int, mayBeLate bool) *ageState {
	var first Object
	for i := range ageModelInstances {
		first.Instances = append(first.Instances, modelInstance(i))
	}
	m := &ageState{senders: askers, allowDelay: mayBeLate, halfLeftTick: -1}
	for i := range ageModelInstances {
		l := NewLease(modelInstance(i), shortTiming)
		l.Adopt(at(0), New(1, first))
		m.leases = append(m.leases, l)
	}
	return m
}

func (m *ageState) clone() *ageState {
	c := *m
	c.leases = slices.Clone(m.leases)
	return &c
}

// mutableLease replaces the lease of i by a copy that no other state shares.
func (m *ageState) mutableLease(i int) *Lease {
	l := *m.leases[i]
	l.lastSeen = slices.Clone(l.lastSeen)
	l.acks = map[string]ack{}
	m.leases[i] = &l
	return &l
}

func (m *ageState) key() string {
	now := at(m.ticks)
	k := []byte{byte(min(m.ticks-m.halfLeftTick, 2))}
	if m.halfLeftTick < 0 {
		k[0] = ageUnknown
	}
	for _, l := range m.leases {
		k = append(k, byte(l.roster.Epoch))
		for _, s := range l.lastSeen {
			k = append(k, byte(min(now.Sub(s.at)/tick, 1)))
		}
	}
	if m.delayed != nil {
		k = append(k, byte(m.delayed.i), byte(m.delayed.j), byte(min(m.ticks-m.delayed.sent, 1)))
		k = append(k, m.delayed.ages...)
	}
	return string(k)
}

// heartbeat sends a heartbeat from i to j, whose response arrives now or, if delayed
// is true, with a later event.
func (m *ageState) heartbeat(i, j int, delayed bool) {
	to := m.leases[j]
	if m.leases[i].roster.Epoch != 1 || to.roster.Epoch != 1 {
		return
	}
	a := &delayedAnswer{i: i, j: j, sent: m.ticks, ages: to.Ages(at(m.ticks), 0)}
	if delayed {
		m.delayed = a
		return
	}
	m.apply(a)
}

func (m *ageState) apply(a *delayedAnswer) {
	l := m.mutableLease(a.i)
	l.RecordAck(at(m.ticks), at(a.sent), modelIDs[a.j], 1, 0)
	l.ApplyAges(at(a.sent), 1, 0, a.ages)
}

func (m *ageState) adoptNext(i int) {
	next := m.leases[i].roster.Object()
	next.Number++
	m.mutableLease(i).Adopt(at(m.ticks), New(2, next))
	left := 0
	for _, l := range m.leases {
		left += int(l.roster.Epoch) - 1
	}
	if left >= (ageModelInstances+1)/2 && m.halfLeftTick < 0 {
		m.halfLeftTick = m.ticks
	}
}

// next returns the possible successor states.
func (m *ageState) next() []*ageState {
	var out []*ageState
	do := func(change func(*ageState)) {
		c := m.clone()
		change(c)
		out = append(out, c)
	}
	for i, l := range m.leases {
		if l.roster.Epoch != 1 {
			continue
		}
		if i >= ageModelInstances/2 {
			do(func(c *ageState) { c.adoptNext(i) })
		}
		for j := range m.leases {
			if i != j && i < m.senders {
				do(func(c *ageState) { c.heartbeat(i, j, false) })
			}
			if i != j && i == 0 && m.allowDelay {
				do(func(c *ageState) { c.heartbeat(i, j, true) })
			}
		}
	}
	if m.delayed != nil {
		do(func(c *ageState) { c.delayed = nil; c.apply(m.delayed) })
	}
	do(func(c *ageState) { c.ticks++ })
	return out
}

func TestForwardedAgesConfirmNoOldEpoch(t *testing.T) {
	tests := map[string]*ageState{
		"all send heartbeats": newAgeState(ageModelInstances, false),
		// Three senders give 3,907,794 states and take some minutes.
		"delayed responses to one": newAgeState(ageModelInstances/2, true),
	}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{start.key(): true}
			queue := []*ageState{start}
			confirmed, expired := 0, 0
			for len(queue) > 0 {
				m := queue[0]
				queue = queue[1:]
				leaseExpired := m.halfLeftTick >= 0 && at(m.ticks).Sub(at(m.halfLeftTick)) >= shortTiming.LeaseDuration
				for _, l := range m.leases {
					// No heartbeats are sent in the next epoch, so nothing confirms it.
					require.False(t, l.roster.Epoch > 1 && l.Confirmed(at(m.ticks)), "confirmed by ages of the previous epoch")
					if l.roster.Epoch == 1 && l.Confirmed(at(m.ticks)) {
						confirmed++
						require.False(t, leaseExpired, "confirmed in an epoch that half left a lease ago")
					}
				}
				if leaseExpired {
					expired++
				}
				for _, c := range m.next() {
					if k := c.key(); !seen[k] {
						seen[k] = true
						queue = append(queue, c)
					}
				}
			}
			t.Logf("%d states, %d confirmations, %d states a lease after half have left", len(seen), confirmed, expired)
			require.Positive(t, confirmed, "no instance was ever confirmed, so nothing is tested")
			require.Positive(t, expired)
		})
	}
}
