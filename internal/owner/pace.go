package owner

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
)

const (
	// calmPolls is how many times the usual period lies between two load
	// reports of a calm server. Twice a second from each of six servers is
	// some 6 KB a second, three times of what an instance may spend on
	// control; a calm server has nothing to tell that would change a decision
	// before the next ask.
	calmPolls = 4
	// calmAfter is how many periods must have passed since the last sign of
	// trouble. An engine that crashed for want of memory or turned cold shows
	// again within some seconds whether it bears its load.
	calmAfter = 20
	// calmNumerator and calmDenominator are the part of the limit, and of the
	// memory, up to which a server is far from both. In two seconds a sequence
	// grows by some 50 tokens; a quarter of the memory is room for many times
	// that growth of a whole batch.
	calmNumerator   = 3
	calmDenominator = 4
)

// pollEvery returns the time that lies between two load reports at present.
//
// It is for a fleet in which most servers run well at any moment. The harm of
// reading them less often is that a decision rests on an older report, so a
// server is calm only while nothing is at stake: it is not cold nor leaving, it
// answers, nothing waits for it, it is far from its limits, and there was no
// sign of a restart or of trouble for a while. What is then still decided on an
// older report is bounded by [entry.rests].
func (e *entry) pollEvery(now time.Time, usual time.Duration) time.Duration {
	switch {
	case e.fresh != nil:
		return 0
	case e.calm(now, usual):
		return calmPolls * usual
	}
	return usual
}

func (e *entry) calm(now time.Time, usual time.Duration) bool {
	r, ok := e.state.LastReport()
	if !ok || !e.open || !e.reached || r.Cold || r.Leaving || e.state.Queued() > 0 {
		return false
	}
	if now.Sub(e.troubledAt) < calmAfter*usual || now.Sub(e.openedAt) < calmAfter*usual {
		return false
	}
	return calmDenominator*e.state.Running() <= calmNumerator*e.state.Limit() &&
		(e.cfg.MemoryTokens == 0 || calmDenominator*r.UsedTokens <= calmNumerator*e.cfg.MemoryTokens)
}

// rests reports whether a permit may rest on the last load report. If that is
// older than it would be at the usual rate, another is asked for by setting
// fresh, which is closed when it has come or failed.
//
// A server that restarted right after its last report may get as many permits as
// its cold limit; the others wait for the report, some milliseconds.
func (e *entry) rests(now time.Time, usual time.Duration) bool {
	if e.fresh == nil && e.calm(now, usual) && now.Sub(e.polledAt) >= usual {
		e.fresh = make(chan struct{})
	}
	return e.fresh == nil || e.sinceReport < e.cfg.ColdLimit
}

// granted counts a permit.
func (e *entry) granted() {
	e.sinceReport++
	e.sincePoll++
}

// reported takes in that a load poll has ended.
func (e *entry) reported(now time.Time, err error, before, after admission.Report) {
	if e.fresh != nil {
		close(e.fresh)
		e.fresh = nil
	}
	if err == nil {
		e.sinceReport = e.sincePoll
		if before.Incarnation != after.Incarnation {
			e.previous = before
		}
	}
	if err != nil || before.Incarnation != after.Incarnation || after.Cold || after.Preemptions > before.Preemptions {
		e.troubledAt = now
	}
}
