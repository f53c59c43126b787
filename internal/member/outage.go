package member

import "time"

const (
	// outageRandomTargets is the number of random instances that get a heartbeat in each round of a
	// large roster while the platform doesn't confirm it. With fewer, some of 350 instances
	// temporarily have no majority.
	outageRandomTargets = 6
	// outagePeriodDivisor divides the heartbeat period when an outage begins. A platform that stops
	// responding is detected three quarters of a lease after its last confirmation. The ages must
	// arrive in the last quarter, which takes three rounds with 350 instances.
	outagePeriodDivisor = 4
)

// recordPlatformCall records whether the platform answered the last call.
func (m *Member) recordPlatformCall(ok bool) {
	m.mu.Lock()
	first := !ok && !m.platformFailed
	m.platformFailed = !ok
	m.mu.Unlock()
	if first {
		signal(m.wake)
	}
}

// unconfirmed reports whether the platform doesn't confirm the roster and the configuration, so
// that this instance has to ask the others for ages.
//
// The ages of 350 instances are 350 bytes in each answer, more than the rest of it. So they are
// requested only after a failed call, or three quarters of a lease after the last confirmation.
// With a watch waiting, a confirmation can normally be two thirds of a lease old.
func (m *Member) unconfirmed(now time.Time) bool {
	maxAge := m.opts.Timing.LeaseDuration * 3 / 4
	return m.platformFailed || !m.lease.ConfirmedByPlatform(now, maxAge) || !m.opts.Config.Confirmed(now, maxAge)
}

// randomTargetCount returns how many random instances get a heartbeat in a round. Through them
// information reaches all instances in a time that grows with the logarithm of their number. A
// small roster needs none, since all of its instances get heartbeats.
func (m *Member) randomTargetCount(now time.Time, round, instances int) int {
	switch {
	case instances <= smallRosterSize:
		return 0
	case m.unconfirmed(now):
		return outageRandomTargets
	case round%roundsPerHeartbeat == 0:
		return 1
	default:
		return 0
	}
}

// nextPeriod returns the time until the next round of heartbeats. It is shorter for at most a lease
// after the beginning of an outage, and only until a majority of the roster is known to be alive.
// So a long network partition doesn't increase the load.
func (m *Member) nextPeriod(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unconfirmed(now) {
		m.unconfirmedSince = time.Time{}
		return m.opts.Heartbeat
	}
	if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = now
	}
	since, ok := m.lease.MajoritySince(now, m.opts.Config.Version())
	majority := ok && now.Sub(since) < m.opts.Timing.LeaseDuration/2
	if majority || now.Sub(m.unconfirmedSince) > m.opts.Timing.LeaseDuration {
		return m.opts.Heartbeat
	}
	return m.opts.Heartbeat / outagePeriodDivisor
}

// confirmByPeers confirms the configuration and, for the guard, the roster if more than half of the
// roster was recently at this epoch and no instance is known to have a newer epoch or
// configuration. So instances keep working during a platform outage, while a minority that is cut
// off together stops.
func (m *Member) confirmByPeers(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, version := m.lease.Roster(), m.opts.Config.Version()
	for _, in := range r.Instances {
		p, ok := m.peerStates[in.ID]
		if ok && (p.epoch > r.Epoch || p.configVersion > version) {
			return
		}
	}
	since, ok := m.lease.MajoritySince(now, version)
	if !ok || now.Sub(since) >= m.opts.Timing.LeaseDuration {
		return
	}
	m.opts.Config.Confirm(since)
	m.guard.ConfirmConfig(since)
	m.guard.ConfirmRoster(since)
}
