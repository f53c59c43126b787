package member

import "time"

const (
	// outagePeers is how many instances drawn at random are asked in each round
	// of a large roster while the platform doesn't confirm it. With
	// fewer, some of 350 instances are without a majority at times.
	outagePeers = 6
	// hurry divides the period of the heartbeats when an outage begins. A
	// platform that goes silent is noticed three quarters of a lease after it
	// last confirmed; in the last quarter the ages have to come in, which takes
	// three rounds at 350 instances.
	hurry = 4
)

// platformAnswered notes whether the platform answered the last call.
func (m *Member) platformAnswered(ok bool) {
	m.mu.Lock()
	first := !ok && !m.platformFailed
	m.platformFailed = !ok
	m.mu.Unlock()
	if first {
		signal(m.wake)
	}
}

// unconfirmed reports whether this instance has to ask others whom they heard.
//
// The ages of 350 instances are 350 bytes in each answer, more than all else in
// it, so they are only asked for while the platform confirms nothing: after a
// call that failed, or three quarters of a lease after the last confirmation.
// A watch that waits makes a confirmation two thirds of a lease old.
func (m *Member) unconfirmed(now time.Time) bool {
	within := m.opts.Timing.LeaseDuration * 3 / 4
	return m.platformFailed || !m.lease.ConfirmedByPlatform(now, within) || !m.opts.Config.Confirmed(now, within)
}

// drawn returns how many instances drawn at random get a heartbeat in a round.
// News spread by them to all in a time that grows with the logarithm of their
// number. A small roster needs none: all get one.
func (m *Member) drawn(now time.Time, round, instances int) int {
	switch {
	case instances <= smallRoster:
		return 0
	case m.unconfirmed(now):
		return outagePeers
	case round%everyRounds == 0:
		return 1
	default:
		return 0
	}
}

// period returns the time until the next round of heartbeats. Rounds follow
// faster for at most a lease after an outage began, and only until most of the
// roster is known to be there. A cut that lasts doesn't raise the load.
func (m *Member) period(now time.Time) time.Duration {
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
	known := ok && now.Sub(since) < m.opts.Timing.LeaseDuration/2
	if known || now.Sub(m.unconfirmedSince) > m.opts.Timing.LeaseDuration {
		return m.opts.Heartbeat
	}
	return m.opts.Heartbeat / hurry
}

// confirmByPeers confirms the configuration and, for the guard, the roster
// when more than half of the roster was lately at this epoch and none known had
// newer ones. This keeps all going while the platform is down; a few that are
// cut off together are no majority, and stop.
func (m *Member) confirmByPeers(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, version := m.lease.Roster(), m.opts.Config.Version()
	for _, in := range r.Instances {
		p, ok := m.known[in.ID]
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
