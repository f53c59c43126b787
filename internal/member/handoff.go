package member

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// handOver tells the new owners of this instance's old servers that it gives
// no permits under the old epoch any more. They then wait for its last permit
// only, and not for its lease. Nothing is lost when a message is: heartbeats
// say the same later, and without any word the whole wait passes.
func (m *Member) handOver(ctx context.Context, old, next *roster.Roster) {
	// The call that brought the roster may end before these do.
	ctx = context.WithoutCancel(ctx)
	for id, servers := range heirs(m.opts.Config.Snapshot(), old, next, m.opts.Self.ID) {
		to, ok := next.Find(id)
		if !ok {
			continue
		}
		err := m.beats.Submit(func() {
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

// heirs returns, by new owner, the servers of which self was owner or deputy.
func heirs(snap *config.Snapshot, old, next *roster.Roster, self string) map[string][]string {
	to := map[string][]string{}
	for i := range snap.Config.Servers {
		name, region := place(snap, &snap.Config.Servers[i])
		owner, _ := old.Owner(name, region)
		deputy, _ := old.Deputy(name, region)
		heir, ok := next.Owner(name, region)
		if ok && heir.ID != self && (owner.ID == self || deputy.ID == self) {
			to[heir.ID] = append(to[heir.ID], name)
		}
	}
	return to
}

// handedOver takes in the word of an instance that it stopped.
func (m *Member) handedOver(now time.Time, req *peerv1.HandOverRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Roster().Has(req.GetInstance(), req.GetIncarnation()) {
		m.lease.Stopped(now, req.GetInstance(), req.GetEpoch())
	}
}
