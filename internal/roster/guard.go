package roster

import "time"

// Guard stops an instance that was paused from sending new work.
//
// A process that was frozen, or starved of CPU, for longer than the others take to
// replace it would act on outdated state. A background task calls [Guard.Tick]
// every [TickInterval]; a gap longer than [MaxGap] means a pause. From then on no new
// work is sent until calls made after the gap have confirmed configuration and
// roster. [Guard.Allowed] checks the gap itself too, so a sender that runs before
// the background task does is also stopped.
type Guard struct {
	lastTick          time.Time
	resumedAt         time.Time
	configConfirmedAt time.Time
	rosterConfirmedAt time.Time
	suspended         bool
}

const (
	// TickInterval is the period of the pause check on the monotonic clock.
	TickInterval = 100 * time.Millisecond
	// MaxGap is the longest gap that doesn't count as a pause. It is longer than
	// the delays of a busy machine and shorter than the validity of a permit.
	MaxGap = time.Second
)

// Tick records that the process runs at now. It reports whether it was paused before.
func (g *Guard) Tick(now time.Time) bool {
	paused := !g.lastTick.IsZero() && now.Sub(g.lastTick) > MaxGap
	if paused {
		g.suspended, g.resumedAt = true, now
	}
	g.lastTick = now
	return paused
}

// ConfirmConfig records that a call sent at sentAt confirmed the configuration.
func (g *Guard) ConfirmConfig(sentAt time.Time) {
	g.configConfirmedAt = latest(g.configConfirmedAt, sentAt)
	g.resume()
}

// ConfirmRoster records that a call sent at sentAt confirmed the roster.
func (g *Guard) ConfirmRoster(sentAt time.Time) {
	g.rosterConfirmedAt = latest(g.rosterConfirmedAt, sentAt)
	g.resume()
}

func (g *Guard) resume() {
	if g.suspended && g.configConfirmedAt.After(g.resumedAt) && g.rosterConfirmedAt.After(g.resumedAt) {
		g.suspended = false
	}
}

// Allowed reports whether new work may be sent at now.
func (g *Guard) Allowed(now time.Time) bool {
	return !g.suspended && !g.lastTick.IsZero() && now.Sub(g.lastTick) <= MaxGap
}

// Resuming reports whether the process was paused, and has waited for less than d for the
// confirmation that new work may be sent.
func (g *Guard) Resuming(now time.Time, d time.Duration) bool {
	if unnoticed := now.Sub(g.lastTick) > MaxGap; unnoticed {
		return !g.lastTick.IsZero()
	}
	return g.suspended && now.Sub(g.resumedAt) < d
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
