package member

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// smallRosterSize is the roster size up to which each instance sends heartbeats to all others. Up
// to this size that costs no more than the selected peers of a large roster.
const smallRosterSize = 12

// heartbeatTargets returns the instances that get a heartbeat in this round: the next instances in
// the ring and the deputies of the owned servers, each in every second round; in a large roster
// some random instances; and some instances that aren't in the roster. Each of them is marked as in
// flight.
func (m *Member) heartbeatTargets(now time.Time, round int) []roster.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.lease.Roster()
	chosen := map[string]roster.Instance{}
	for i, in := range m.requiredPeers(r) {
		if (i+round)%roundsPerHeartbeat == 0 || m.outOfDate(now, in.ID) {
			chosen[in.ID] = in
		}
	}
	for range m.randomTargetCount(now, round, len(r.Instances)) {
		in := r.Instances[m.rng.IntN(len(r.Instances))]
		chosen[in.ID] = in
	}
	nonMembers := m.nonMembers(r)
	for _, in := range nonMembers {
		delete(chosen, in.ID)
	}
	delete(chosen, m.opts.Self.ID)
	var out []roster.Instance
	for _, in := range chosen {
		if m.markInFlight(now, in.ID) {
			out = append(out, in)
		}
	}
	return append(out, m.selectNonMembers(now, nonMembers)...)
}

// nonMembers returns the listed instances that the roster doesn't have, or has at another address
// because they were restarted elsewhere.
func (m *Member) nonMembers(r *roster.Roster) []roster.Instance {
	var out []roster.Instance
	for _, l := range m.listed {
		if in, member := r.Find(l.ID); (!member || in.PeerAddress != l.PeerAddress) && l.ID != m.opts.Self.ID {
			out = append(out, roster.Instance{ID: l.ID, PeerAddress: l.PeerAddress})
		}
	}
	return out
}

// selectNonMembers marks as many non-members as may be in flight, those first that got no heartbeat
// for the longest time.
//
// Half of the capacity is reserved for the peers that leases depend on: the instances of a lost
// availability zone are still listed, and each heartbeat to them lasts until its timeout.
func (m *Member) selectNonMembers(now time.Time, nonMembers []roster.Instance) []roster.Instance {
	capacity := maxNonMembersInFlight
	for _, in := range nonMembers {
		if m.peerState(in.ID).inFlight {
			capacity--
		}
	}
	slices.SortStableFunc(nonMembers, func(a, b roster.Instance) int {
		return m.peerState(a.ID).lastSentAt.Compare(m.peerState(b.ID).lastSentAt)
	})
	var out []roster.Instance
	for _, in := range nonMembers {
		if len(out) < capacity && m.markInFlight(now, in.ID) {
			out = append(out, in)
		}
	}
	return out
}

// markInFlight marks a heartbeat as in flight and reports false if one already is.
func (m *Member) markInFlight(now time.Time, id string) bool {
	p := m.peerState(id)
	if p.inFlight {
		return false
	}
	p.inFlight = true
	p.lastSentAt = now
	return true
}

// outOfDate reports whether a peer isn't known to have this epoch and got no heartbeat recently.
func (m *Member) outOfDate(now time.Time, id string) bool {
	p, ok := m.peerStates[id]
	return !ok || p.epoch < m.lease.Roster().Epoch && now.Sub(p.lastSentAt) >= m.opts.Heartbeat/2
}

// requiredPeers returns the peers that leases depend on. The result is cached for each epoch and
// configuration.
func (m *Member) requiredPeers(r *roster.Roster) []roster.Instance {
	if len(r.Instances) <= smallRosterSize {
		return r.Instances
	}
	snap := m.opts.Config.Snapshot()
	if m.requiredEpoch != r.Epoch || m.requiredVersion != snap.Version {
		m.required = m.computeRequired(r, snap)
		m.requiredEpoch, m.requiredVersion = r.Epoch, snap.Version
	}
	return m.required
}

// computeRequired returns the next instances in the ring and the deputies of all servers that this
// instance owns.
func (m *Member) computeRequired(r *roster.Roster, snap *config.Snapshot) []roster.Instance {
	required := r.Successors(m.opts.Self.ID)
	seen := map[string]bool{}
	for _, in := range required {
		seen[in.ID] = true
	}
	for i := range snap.Config.Servers {
		name, region := ownerKey(snap, &snap.Config.Servers[i])
		owner, ok := r.Owner(name, region)
		if !ok || owner.ID != m.opts.Self.ID {
			continue
		}
		if deputy, ok := r.Deputy(name, region); ok && !seen[deputy.ID] {
			seen[deputy.ID] = true
			required = append(required, deputy)
		}
	}
	return required
}

// ownerKey returns the name and region by which the roster finds the owner of a server.
func ownerKey(snap *config.Snapshot, server *pollenspindle.Server) (name, region string) {
	if zone, ok := snap.Zones[server.Zone]; ok {
		region = zone.Region
	}
	return server.Name, region
}
