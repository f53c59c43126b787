package member

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// sendHandoff tells the new owners of this instance's previous servers that it no longer issues
// permits under the old epoch. They then wait only for its last permit to expire, and not for its
// lease. A lost message does no harm: later heartbeats carry the same information, and without any
// of them the new owners wait for the lease.
func (m *Member) sendHandoff(ctx context.Context, old, next *roster.Roster) {
	// These calls must not be cancelled with the call that delivered the roster.
	ctx = context.WithoutCancel(ctx)
	for id, servers := range newOwners(m.opts.Config.Snapshot(), old, next, m.opts.Self.ID) {
		to, ok := next.Find(id)
		if !ok {
			continue
		}
		err := m.senders.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = m.opts.Peers.Client(to.PeerAddress).HandOver(ctx, &peerv1.HandOverRequest{
				Instance: m.opts.Self.ID, Incarnation: m.opts.Self.Incarnation, Epoch: next.Epoch, Servers: servers,
			})
		})
		if err != nil {
			m.opts.Metrics.Counter("handovers_put_off").Inc(1)
		}
	}
}

// newOwners returns, by new owner, the servers of which self was owner or deputy.
func newOwners(snap *config.Snapshot, old, next *roster.Roster, self string) map[string][]string {
	to := map[string][]string{}
	for i := range snap.Config.Servers {
		name, region := ownerKey(snap, &snap.Config.Servers[i])
		owner, _ := old.Owner(name, region)
		deputy, _ := old.Deputy(name, region)
		newOwner, ok := next.Owner(name, region)
		if ok && newOwner.ID != self && (owner.ID == self || deputy.ID == self) {
			to[newOwner.ID] = append(to[newOwner.ID], name)
		}
	}
	return to
}

// receiveHandoff records that an instance stopped issuing permits under the old epoch.
func (m *Member) receiveHandoff(now time.Time, req *peerv1.HandOverRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Roster().Has(req.GetInstance(), req.GetIncarnation()) {
		m.lease.RecordStopped(now, req.GetInstance(), req.GetEpoch())
	}
}
