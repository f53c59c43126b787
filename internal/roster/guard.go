package roster

import "time"

// Guard stops an instance that was paused from sending.
//
// A process that was frozen, or starved, for longer than it takes others to
// replace it would act on what was true before.
// A duty calls [Guard.Beat] every [BeatEvery]; a gap longer than [MaxGap] can
// only mean a pause. From then on nothing new is sent until configuration and
// roster were confirmed by calls made after the gap. It is enough because the
// gap itself is also checked: a sender that runs before the duty does sees an
// old beat.
type Guard struct {
	beat      time.Time
	resumed   time.Time
	config    time.Time
	roster    time.Time
	suspended bool
}

const (
	// BeatEvery is the period of the watch on the monotonic clock.
	BeatEvery = 100 * time.Millisecond
	// MaxGap is the longest gap that is not taken for a pause. It is above
	// what a busy machine makes of the period, and below a permit's life.
	MaxGap = time.Second
)

// Beat notes that the process runs. It reports whether it was paused before.
func (g *Guard) Beat(now time.Time) bool {
	paused := !g.beat.IsZero() && now.Sub(g.beat) > MaxGap
	if paused {
		g.suspended, g.resumed = true, now
	}
	g.beat = now
	return paused
}

// ConfigConfirmed and RosterConfirmed note that a call made at askedAt showed
// what is in force here to be current.
func (g *Guard) ConfigConfirmed(askedAt time.Time) { g.config = later(g.config, askedAt); g.resume() }

// RosterConfirmed is the same for the roster.
func (g *Guard) RosterConfirmed(askedAt time.Time) { g.roster = later(g.roster, askedAt); g.resume() }

func (g *Guard) resume() {
	if g.suspended && g.config.After(g.resumed) && g.roster.After(g.resumed) {
		g.suspended = false
	}
}

// Allowed reports whether new work may be sent at now.
func (g *Guard) Allowed(now time.Time) bool {
	return !g.suspended && !g.beat.IsZero() && now.Sub(g.beat) <= MaxGap
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
