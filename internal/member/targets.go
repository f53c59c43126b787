package member

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// smallRoster is the size up to which each sends heartbeats to all: below it
// that costs no more than the few of a large roster.
const smallRoster = 12

// targets returns whom to send a heartbeat in this round: the ring's next
// instances and the deputies of the owned servers, each every second round;
// in a large roster some drawn at random; and some of the strangers. Each of
// them is marked as in flight.
func (m *Member) targets(now time.Time, round int) []roster.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.lease.Roster()
	chosen := map[string]roster.Instance{}
	for i, in := range m.needed(r) {
		if (i+round)%everyRounds == 0 || m.unheard(now, in.ID) {
			chosen[in.ID] = in
		}
	}
	for range m.drawn(now, round, len(r.Instances)) {
		in := r.Instances[m.rng.IntN(len(r.Instances))]
		chosen[in.ID] = in
	}
	strangers := m.strangers(r)
	for _, in := range strangers {
		delete(chosen, in.ID)
	}
	delete(chosen, m.opts.Self.ID)
	var out []roster.Instance
	for _, in := range chosen {
		if m.begin(now, in.ID) {
			out = append(out, in)
		}
	}
	return append(out, m.greeted(now, strangers)...)
}

// strangers returns the listed instances that the roster doesn't name, or has
// at another address: one that was started anew elsewhere.
func (m *Member) strangers(r *roster.Roster) []roster.Instance {
	var out []roster.Instance
	for _, l := range m.listed {
		if in, member := r.Find(l.ID); (!member || in.PeerAddress != l.PeerAddress) && l.ID != m.opts.Self.ID {
			out = append(out, roster.Instance{ID: l.ID, PeerAddress: l.PeerAddress})
		}
	}
	return out
}

// greeted marks as many strangers as may be in flight, those first that were
// not asked for longest.
//
// Half of the places are left to those on which leases rest: a lost zone's
// instances are still listed, and each heartbeat to them lasts until its timeout.
func (m *Member) greeted(now time.Time, strangers []roster.Instance) []roster.Instance {
	room := maxStrangers
	for _, in := range strangers {
		if m.peerState(in.ID).inFlight {
			room--
		}
	}
	slices.SortStableFunc(strangers, func(a, b roster.Instance) int {
		return m.peerState(a.ID).askedAt.Compare(m.peerState(b.ID).askedAt)
	})
	var out []roster.Instance
	for _, in := range strangers {
		if len(out) < room && m.begin(now, in.ID) {
			out = append(out, in)
		}
	}
	return out
}

// begin marks a heartbeat as in flight, unless one is.
func (m *Member) begin(now time.Time, id string) bool {
	p := m.peerState(id)
	if p.inFlight {
		return false
	}
	p.inFlight = true
	p.askedAt = now
	return true
}

// unheard reports whether a peer hasn't been heard of under this epoch.
func (m *Member) unheard(now time.Time, id string) bool {
	p, ok := m.known[id]
	return !ok || p.epoch < m.lease.Roster().Epoch && now.Sub(p.askedAt) >= m.opts.Heartbeat/2
}

// needed returns the peers on whose answers leases rest. It is worked out once
// for each epoch and configuration.
func (m *Member) needed(r *roster.Roster) []roster.Instance {
	if len(r.Instances) <= smallRoster {
		return r.Instances
	}
	snap := m.opts.Config.Snapshot()
	if m.peersEpoch != r.Epoch || m.peersVersion != snap.Version {
		m.peers = m.watched(r, snap)
		m.peersEpoch, m.peersVersion = r.Epoch, snap.Version
	}
	return m.peers
}

// watched returns the ring's next instances and the deputies of all servers
// that this instance owns.
func (m *Member) watched(r *roster.Roster, snap *config.Snapshot) []roster.Instance {
	watched := r.Successors(m.opts.Self.ID)
	seen := map[string]bool{}
	for _, in := range watched {
		seen[in.ID] = true
	}
	for i := range snap.Config.Servers {
		name, region := place(snap, &snap.Config.Servers[i])
		owner, ok := r.Owner(name, region)
		if !ok || owner.ID != m.opts.Self.ID {
			continue
		}
		if deputy, ok := r.Deputy(name, region); ok && !seen[deputy.ID] {
			seen[deputy.ID] = true
			watched = append(watched, deputy)
		}
	}
	return watched
}

// place returns the name and region by which the roster finds the owner.
func place(snap *config.Snapshot, server *pollenspindle.Server) (name, region string) {
	if zone, ok := snap.Zones[server.Zone]; ok {
		region = zone.Region
	}
	return server.Name, region
}
