package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/roster"
)

// maxVersionQueries limits the heartbeats that one query of an operator sends. Half of the
// heartbeats that may be in flight are reserved for the peers that leases depend on. With 350
// instances eleven queries, which take a second, reach all.
const maxVersionQueries = maxInFlight / 2

// RefreshVersions sends a heartbeat to instances that aren't known to have version, and waits for
// the answers for up to half a second.
//
// It serves an operator who waits for a change to be applied everywhere. In a large roster most
// instances exchange heartbeats with this one only by chance, once in some minutes with 350
// instances. Without RefreshVersions the operator would see the change as not applied long
// after it is.
func (m *Member) RefreshVersions(ctx context.Context, version int64) {
	// If the operator disconnects, the instances must not be recorded as silent.
	ctx = context.WithoutCancel(ctx)
	var pending sync.WaitGroup
	for _, in := range m.outdatedInstances(time.Now(), version) {
		pending.Add(1)
		err := m.senders.Submit(func() {
			defer pending.Done()
			m.sendHeartbeat(ctx, in)
		})
		if err != nil {
			pending.Done()
			m.skipHeartbeat(in.ID)
		}
	}
	pending.Wait()
}

// outdatedInstances returns instances that aren't known to have version and have no heartbeat in
// flight, those first that got no heartbeat for the longest time. Each is marked as in flight.
func (m *Member) outdatedInstances(now time.Time, version int64) []roster.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []roster.Instance
	for _, in := range m.lease.Roster().Instances {
		if in.ID != m.opts.Self.ID && m.peerState(in.ID).configVersion < version {
			all = append(all, in)
		}
	}
	slices.SortStableFunc(all, func(a, b roster.Instance) int {
		return m.peerState(a.ID).lastSentAt.Compare(m.peerState(b.ID).lastSentAt)
	})
	var out []roster.Instance
	for _, in := range all {
		if len(out) < maxVersionQueries && m.markInFlight(now, in.ID) {
			out = append(out, in)
		}
	}
	return out
}
