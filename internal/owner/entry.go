package owner

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// entry is the state of one backend server at its owner or deputy.
type entry struct {
	mu        sync.Mutex
	zone      string
	cfg       admission.Config
	state     *admission.Server
	authority permit.Authority
	// granting is true while permits may be granted: the right allows it, and the
	// configuration lets the server receive new work.
	granting bool
	// unavailable is true while the server or its availability zone is out of
	// service, or the server is assigned to another instance.
	unavailable bool
	// grantingSince is when the current right to grant permits began.
	grantingSince time.Time
	// waiters holds the channel of each waiting request by its ID. Each has a
	// buffer of one and receives at most one decision, so delivering never blocks.
	waiters map[string]chan admission.Decision
	// holders says by permit ID to which instance a permit was granted.
	holders map[string]permitHolder
	// polledAt is when the last poll began; polling is true while one runs.
	polledAt  time.Time
	polling   bool
	reachable bool
	// lastTroubleAt is when the server last showed a sign of trouble; see stable.
	lastTroubleAt time.Time
	// grantsSinceReport counts the permits granted since the start of the poll that
	// brought the last report, grantsSincePoll those since the start of the last poll.
	grantsSinceReport int
	grantsSincePoll   int
	// previousReport is the last report of the previous incarnation.
	previousReport admission.Report
	// reportReady is set while a request waits for a report; see lastReportSuffices.
	reportReady chan struct{}
	// pollStartedAt is when the last poll began, reportAskedAt the same of the last one that showed
	// the server's incarnation or that it has exited. pollEnded is set while a lost request waits
	// for a poll, and closed when it ends.
	pollStartedAt time.Time
	reportAskedAt time.Time
	pollEnded     chan struct{}
	// crashAnnounced is closed once the other instances know of the server's last crash.
	crashAnnounced <-chan struct{}
}

// permitHolder identifies the instance that holds a permit, and its request.
type permitHolder struct {
	instance    string
	incarnation string
	fingerprint uint64
}

// setConfig applies a changed configuration.
func (e *entry) setConfig(cfg admission.Config) {
	if cfg != e.cfg {
		e.cfg = cfg
		e.state.UpdateConfig(cfg)
	}
}

// applyAuthority applies the current authority; takesNewWork says whether the server may
// receive new work.
//
// A server that returns to service counts as cold. Otherwise, when a zone returns
// after minutes without work, its servers have lost their warm state, and all
// waiting requests are sent there at once, up to the old limit. Requests that wait for
// a server that is taken out of service are refused at once, as the next release would
// otherwise grant them.
func (e *entry) applyAuthority(now time.Time, authority permit.Authority, takesNewWork bool) {
	if takesNewWork && e.unavailable {
		e.state.ResetToCold()
	}
	e.unavailable = !takesNewWork
	granting := takesNewWork && mayGrant(authority)
	switch {
	case granting:
		if !e.granting || authority.ReportAfter.After(e.authority.ReportAfter) {
			e.state.Open(authority.ReportAfter)
			e.grantingSince = now
		}
		e.state.SetQuota(authority.Reserve, authority.Share)
	case e.granting:
		e.deliver(e.state.Close(now))
	}
	e.authority, e.granting = authority, granting
}

func mayGrant(r permit.Authority) bool {
	return r.Role == permit.RoleOwner || r.Role == permit.RoleDeputy
}

// deliver sends decisions to the requests that wait for them. A grant that no call
// waits for at the moment is found by the next call with the same request ID.
func (e *entry) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		id := requestID(d)
		if w, ok := e.waiters[id]; ok {
			delete(e.waiters, id)
			e.state.Claim(id)
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

// releaseOrphanedPermits ends the permits of instances that left the roster. A crashed
// instance releases nothing, so a server whose load reports don't name its requests would
// otherwise seem full forever. The permits count until a report no longer shows them,
// since requests already sent may still run.
func (e *entry) releaseOrphanedPermits(now time.Time, r *roster.Roster) {
	for id, holder := range e.holders {
		if !r.Has(holder.instance, holder.incarnation) {
			delete(e.holders, id)
			e.state.Release(now, id, permit.Outcome{Ending: permit.EndingLost})
		}
	}
}

// lastSeen returns when the ended incarnation of the server was last seen running.
// Servers lost with their zone were last seen at the same time, however far apart they
// return, and a request that has finished elsewhere since then isn't blamed for the crash.
func (e *entry) lastSeen(now time.Time, restart *admission.Restart) time.Time {
	if restart == nil {
		return now
	}
	for _, r := range []admission.Report{e.previousReport, e.lastReport()} {
		if r.Incarnation == restart.OldIncarnation && !r.MeasuredAt.IsZero() {
			return r.MeasuredAt
		}
	}
	return now
}

func (e *entry) lastReport() admission.Report {
	r, _ := e.state.LastReport()
	return r
}
