package roster

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// Authority returns this instance's right to grant permits for s at now.
func (l *Lease) Authority(now time.Time, s Server) permit.Authority {
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
	l.ownedSince[s.Name] = end
	shareFree, ok := l.deputyPermitsEnd(now, s)
	if !ok || now.Before(shareFree) {
		right.Reserve = DeputyShare(s.ColdLimit)
		return right
	}
	if shareFree.After(right.ReportAfter) {
		right.ReportAfter = shareFree
	}
	return right
}

// deputyPermitsEnd returns when the last permit of the deputies of this epoch and the
// previous one has expired; false while that isn't known.
func (l *Lease) deputyPermitsEnd(now time.Time, s Server) (time.Time, bool) {
	end, known := l.previousDeputyEnd(s)
	if !known {
		return end, false
	}
	deputy, ok := l.roster.Deputy(s.Name, s.Region)
	if !ok {
		return end, true
	}
	a, ok := l.acks[deputy.ID]
	if !ok || !l.withinLease(now, a.sent) {
		return end, false
	}
	if at := a.since.Add(l.timing.PermitLifetime); at.After(end) {
		end = at
	}
	return end, true
}

// previousDeputyEnd returns when the last permit of the previous epoch's deputy has
// expired, if it isn't the deputy of this epoch as well.
func (l *Lease) previousDeputyEnd(s Server) (time.Time, bool) {
	old, ok := l.roster.previous.Deputy(s.Name, s.Region)
	if !ok {
		return l.adoptedAt, true
	}
	deputy, ok := l.roster.Deputy(s.Name, s.Region)
	if ok && old.ID == deputy.ID && old.Incarnation == deputy.Incarnation {
		return l.adoptedAt, true
	}
	if at, ok := l.permitsStoppedAt(old); ok {
		return at.Add(l.timing.PermitLifetime), true
	}
	return l.olderEpochsEnd()
}

// takeoverEnd returns the end of the wait of rule 6 of [Lease]; false while it isn't
// known.
func (l *Lease) takeoverEnd(s Server) (time.Time, bool) {
	if l.roster.Number <= 1 {
		return l.adoptedAt, true
	}
	if since, ok := l.ownedBefore[s.Name]; ok {
		return since, true
	}
	old, hadOwner := l.roster.previous.Owner(s.Name, s.Region)
	stop, known := l.permitsStoppedAt(old)
	if !hadOwner || !known {
		return l.olderEpochsEnd()
	}
	if deputy, ok := l.roster.previous.Deputy(s.Name, s.Region); ok {
		at, known := l.permitsStoppedAt(deputy)
		if !known {
			return l.olderEpochsEnd()
		}
		if at.After(stop) {
			stop = at
		}
	}
	return stop.Add(l.timing.PermitLifetime), true
}

// olderEpochsEnd returns when no instance can have a right of an older epoch any more;
// false while that isn't known.
func (l *Lease) olderEpochsEnd() (time.Time, bool) {
	if l.roster.Number <= 1 {
		return l.adoptedAt, true
	}
	var stops []time.Time
	survivors := 0
	for _, in := range l.roster.previous.Instances {
		if l.roster.Has(in.ID, in.Incarnation) {
			survivors++
		}
		if at, ok := l.permitsStoppedAt(in); ok {
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
	return end.Add(l.timing.TakeoverDelay()), true
}

// permitsStoppedAt returns since when an instance of the previous roster is known to
// grant no permits under it.
func (l *Lease) permitsStoppedAt(in Instance) (time.Time, bool) {
	if in.ID == l.self.ID && in.Incarnation == l.self.Incarnation {
		return l.adoptedAt, true
	}
	at, ok := l.stopped[in.ID]
	return at, ok && l.roster.Has(in.ID, in.Incarnation)
}

func (l *Lease) deputyRight(now time.Time, s Server, owner string, right permit.Authority) permit.Authority {
	free, known := l.olderEpochsEnd()
	if !known {
		return right
	}
	if l.roster.Number <= 1 {
		free = l.adoptedAt.Add(l.timing.TakeoverDelay())
	}
	if promiseEnd, ok := l.promises[owner]; ok && promiseEnd.Add(l.timing.PermitLifetime).After(free) {
		free = promiseEnd.Add(l.timing.PermitLifetime)
	}
	if now.Before(free) {
		return right
	}
	right.Role = permit.RoleDeputy
	right.Share = DeputyShare(s.ColdLimit)
	right.ReportAfter = free
	return right
}

// DeputyShare returns the deputy's share of a server's cold limit: half, so that both
// owner and deputy can continue when they can't reach each other; all of it when the
// limit is one.
func DeputyShare(coldLimit int) int {
	return max(1, coldLimit/2)
}
