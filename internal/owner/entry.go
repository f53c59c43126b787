package owner

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// entry is one backend server at its owner.
type entry struct {
	mu    sync.Mutex
	zone  string
	cfg   admission.Config
	state *admission.Server
	right permit.Authority
	// open says that permits may be given: the right allows it, and the
	// configuration lets the server receive new work.
	open bool
	// away is set while the server or its availability zone is taken out, or
	// the server is another instance's.
	away bool
	// openedAt is when the right last began.
	openedAt time.Time
	// waiters holds the channel of each ask that waits now. Each has room for
	// one decision and gets one at most, so delivering never blocks.
	waiters map[string]chan admission.Decision
	given   map[string]given
	// polledAt is when the last poll began; polling is set while one runs.
	polledAt time.Time
	polling  bool
	reached  bool
	// troubledAt is when the server last gave a sign of trouble; see calm.
	troubledAt time.Time
	// sinceReport and sincePoll count the permits given since the poll began
	// that brought the last report, and since the last poll began.
	sinceReport int
	sincePoll   int
	// previous is the last report of the incarnation before.
	previous admission.Report
	// fresh is set while an ask has called for a report; see rests.
	fresh chan struct{}
}

// given says whose a permit is.
type given struct {
	asker       string
	incarnation string
	fingerprint uint64
}

// declare takes over a changed configuration.
func (e *entry) declare(cfg admission.Config) {
	if cfg != e.cfg {
		e.cfg = cfg
		e.state.UpdateConfig(cfg)
	}
}

// follow puts right in force; takes says that the server may receive new work.
//
// A server that returns counts as cold. The failure without it: a zone comes
// back after minutes without work, its servers have lost what made them warm,
// and all that waits is sent there at once, up to the limit of before. And what
// waits for a server that is taken out is sent away at once; it would otherwise
// be granted by the next release.
func (e *entry) follow(now time.Time, right permit.Authority, takes bool) {
	if takes && e.away {
		e.state.ResetToCold()
	}
	e.away = !takes
	open := takes && mayGrant(right)
	switch {
	case open:
		if !e.open || right.ReportAfter.After(e.right.ReportAfter) {
			e.state.Open(right.ReportAfter)
			e.openedAt = now
		}
		e.state.SetQuota(right.Reserve, right.Share)
	case e.open:
		e.deliver(e.state.Close(now))
	}
	e.right, e.open = right, open
}

func mayGrant(r permit.Authority) bool {
	return r.Role == permit.RoleOwner || r.Role == permit.RoleDeputy
}

// deliver hands decisions to the asks that wait for them. A grant for which
// nobody waits at the moment is found by the next ask with the same id.
func (e *entry) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		id := requestID(d)
		if w, ok := e.waiters[id]; ok {
			delete(e.waiters, id)
			w <- d
		}
	}
}

func requestID(d admission.Decision) string {
	switch d := d.(type) {
	case admission.Granted:
		return d.RequestID
	case admission.Queued:
		return d.RequestID
	case admission.Refused:
		return d.RequestID
	case admission.Unavailable:
		return d.RequestID
	}
	return ""
}

// takeBack ends the permits of askers that are gone from the roster. An asker
// that died releases nothing; without this a server that doesn't name its
// requests would seem full for good. They count until a report no longer shows
// them, since what was sent may still run.
func (e *entry) takeBack(now time.Time, r *roster.Roster) {
	for id, g := range e.given {
		if !r.Has(g.asker, g.incarnation) {
			delete(e.given, id)
			e.state.Release(now, id, permit.Outcome{Ending: permit.EndingLost})
		}
	}
}

// lastSeen returns when the start of the server that has ended was last seen.
// Servers that a lost zone took with it were last seen together, however far
// apart they come back; and a request that has finished elsewhere since then is
// cleared of it.
func (e *entry) lastSeen(now time.Time, ended *admission.Restart) time.Time {
	if ended == nil {
		return now
	}
	for _, r := range []admission.Report{e.previous, e.lastReport()} {
		if r.Incarnation == ended.OldIncarnation && !r.MeasuredAt.IsZero() {
			return r.MeasuredAt
		}
	}
	return now
}

func (e *entry) lastReport() admission.Report {
	r, _ := e.state.LastReport()
	return r
}
