package roster

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// Right returns what this instance may do for s at now.
func (l *Lease) Right(now time.Time, s Server) permit.Authority {
	right := permit.Authority{Epoch: l.roster.Epoch}
	owner, ok := l.roster.Owner(s.Name, s.Region)
	if !ok {
		return right
	}
	right.Owner = owner.ID
	if !l.Confirmed(now) {
		return right
	}
	if owner.ID == l.self.ID {
		return l.ownerRight(now, s, right)
	}
	deputy, ok := l.roster.Deputy(s.Name, s.Region)
	if ok && deputy.ID == l.self.ID {
		return l.deputyRight(now, s, owner.ID, right)
	}
	return right
}

func (l *Lease) ownerRight(now time.Time, s Server, right permit.Authority) permit.Authority {
	end, known := l.takeoverEnd(s)
	if !known || now.Before(end) {
		right.Role = permit.RoleWaiting
		return right
	}
	right.Role, right.ReportAfter = permit.RoleOwner, end
	l.held[s.Name] = end
	back, ok := l.shareBack(now, s)
	if !ok || now.Before(back) {
		right.Reserve = Share(s.ColdLimit)
		return right
	}
	if back.After(right.ReportAfter) {
		right.ReportAfter = back
	}
	return right
}

// shareBack returns from when the deputies, of this epoch and of the one
// before, have no permits left; false while that isn't known.
func (l *Lease) shareBack(now time.Time, s Server) (time.Time, bool) {
	back, known := l.oldDeputyEnd(s)
	if !known {
		return back, false
	}
	deputy, ok := l.roster.Deputy(s.Name, s.Region)
	if !ok {
		return back, true
	}
	a, ok := l.acks[deputy.ID]
	if !ok || !l.fresh(now, a.sent) {
		return back, false
	}
	if at := a.since.Add(l.timing.Permit); at.After(back) {
		back = at
	}
	return back, true
}

// oldDeputyEnd returns when the last permit of the previous epoch's deputy has
// ended, if it isn't the deputy of this epoch as well.
func (l *Lease) oldDeputyEnd(s Server) (time.Time, bool) {
	old, ok := l.roster.previous.Deputy(s.Name, s.Region)
	if !ok {
		return l.adoptedAt, true
	}
	deputy, ok := l.roster.Deputy(s.Name, s.Region)
	if ok && old.ID == deputy.ID && old.Incarnation == deputy.Incarnation {
		return l.adoptedAt, true
	}
	if at, ok := l.stoppedAt(old); ok {
		return at.Add(l.timing.Permit), true
	}
	return l.olderEnd()
}

// takeoverEnd returns the end of the wait of rule 6; false while it isn't
// known.
func (l *Lease) takeoverEnd(s Server) (time.Time, bool) {
	if l.roster.Number <= 1 {
		return l.adoptedAt, true
	}
	if since, ok := l.heldBefore[s.Name]; ok {
		return since, true
	}
	old, hadOwner := l.roster.previous.Owner(s.Name, s.Region)
	stop, known := l.stoppedAt(old)
	if !hadOwner || !known {
		return l.olderEnd()
	}
	if deputy, ok := l.roster.previous.Deputy(s.Name, s.Region); ok {
		at, known := l.stoppedAt(deputy)
		if !known {
			return l.olderEnd()
		}
		if at.After(stop) {
			stop = at
		}
	}
	return stop.Add(l.timing.Permit), true
}

// olderEnd returns when nobody can have a right of an older epoch any more.
func (l *Lease) olderEnd() (time.Time, bool) {
	if l.roster.Number <= 1 {
		return l.adoptedAt, true
	}
	var stops []time.Time
	survivors := 0
	for _, in := range l.roster.previous.Instances {
		if l.roster.Has(in.ID, in.Incarnation) {
			survivors++
		}
		if at, ok := l.stoppedAt(in); ok {
			stops = append(stops, at)
		}
	}
	needed := min(survivors, (len(l.roster.previous.Instances)+1)/2)
	if len(stops) < needed {
		return time.Time{}, false
	}
	end := l.adoptedAt
	if needed > 0 {
		slices.SortFunc(stops, time.Time.Compare)
		end = stops[needed-1]
	}
	if end.Before(l.adoptedAt) {
		end = l.adoptedAt
	}
	return end.Add(l.timing.Takeover()), true
}

// stoppedAt says since when an instance of the previous roster is known to
// give no permits under it.
func (l *Lease) stoppedAt(in Instance) (time.Time, bool) {
	if in.ID == l.self.ID && in.Incarnation == l.self.Incarnation {
		return l.adoptedAt, true
	}
	at, ok := l.stopped[in.ID]
	return at, ok && l.roster.Has(in.ID, in.Incarnation)
}

func (l *Lease) deputyRight(now time.Time, s Server, owner string, right permit.Authority) permit.Authority {
	free, known := l.olderEnd()
	if !known {
		return right
	}
	if l.roster.Number <= 1 {
		free = l.adoptedAt.Add(l.timing.Takeover())
	}
	if lapse, ok := l.promises[owner]; ok && lapse.Add(l.timing.Permit).After(free) {
		free = lapse.Add(l.timing.Permit)
	}
	if now.Before(free) {
		return right
	}
	right.Role = permit.RoleDeputy
	right.Share = Share(s.ColdLimit)
	right.ReportAfter = free
	return right
}

// Share is what the deputy holds of a server's cold limit: half, so that
// either of owner and deputy goes on when they cannot reach each other; all of
// it when the limit is one.
func Share(coldLimit int) int {
	return max(1, coldLimit/2)
}
