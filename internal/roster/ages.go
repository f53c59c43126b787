package roster

import (
	"slices"
	"time"
)

const (
	// ageUnit is the unit of forwarded ages. Each hop rounds an age up, by at most
	// a hundredth of a lease.
	ageUnit = 20 * time.Millisecond
	// ageUnknown marks an instance that was never seen, or whose age exceeds the
	// range of a byte.
	ageUnknown = 255
)

// lastSeen says that an instance of the roster was at the current epoch at some
// time not before at, with a configuration no newer than version.
type lastSeen struct {
	at      time.Time
	version int64
}

// Ages returns, for each instance of the roster, how long before now it was last
// known to be at the current epoch with a configuration no newer than version: one
// byte each, in units of 20 ms.
//
// During a platform outage, each of 350 instances exchanges heartbeats with only about
// ten others. Without forwarded ages none would hear from more than half of the roster
// within a lease, and all would stop accepting new work at the same time.
//
// An age may be too high but never too low: it is rounded up here, and the receiver
// counts it from the time at which it sent its heartbeat.
func (l *Lease) Ages(now time.Time, version int64) []byte {
	ages := make([]byte, len(l.lastSeen))
	for i, s := range l.lastSeen {
		switch {
		case l.roster.Instances[i].ID == l.self.ID && l.roster.Instances[i].Incarnation == l.self.Incarnation:
			ages[i] = 0
		case s.at.IsZero() || s.version > version:
			ages[i] = ageUnknown
		default:
			units := (now.Sub(s.at) + ageUnit - 1) / ageUnit
			ages[i] = byte(min(max(units, 0), ageUnknown))
		}
	}
	return ages
}

// ApplyAges records the ages in the response of a peer, at epoch and with a
// configuration of version, to a heartbeat sent at sentAt.
//
// The ages count from sentAt, not from the receipt: the response may have been
// delayed, or its sender or this process paused meanwhile. For the same reason ages
// are accepted only in responses: the receiver of a heartbeat can't tell when it was
// made.
func (l *Lease) ApplyAges(sentAt time.Time, epoch, version int64, ages []byte) {
	if epoch != l.roster.Epoch || len(ages) != len(l.lastSeen) {
		return
	}
	for i, age := range ages {
		if age != ageUnknown {
			l.updateLastSeen(i, lastSeen{sentAt.Add(-time.Duration(age) * ageUnit), version})
		}
	}
}

func (l *Lease) updateLastSeen(i int, s lastSeen) {
	if s.at.After(l.lastSeen[i].at) {
		l.lastSeen[i] = s
	}
}

// recentMajority reports whether more than half of the roster was at this epoch
// within the last lease. It keeps the owners at their full limits during a platform
// outage; the smaller side of a network partition has no majority and stops.
//
// It doesn't matter which instance saw another at this epoch: a new owner waits
// from the time when half of the roster has left the epoch, and none of these can
// have been seen at the epoch after that time.
func (l *Lease) recentMajority(now time.Time) bool {
	n := 1
	for i, s := range l.lastSeen {
		if l.roster.Instances[i].ID != l.self.ID && l.withinLease(now, s.at) {
			n++
		}
	}
	return 2*n > len(l.lastSeen)
}

// MajoritySince returns the latest time since which more than half of the roster
// was seen at this epoch with a configuration no newer than version; false if there
// is none. It counts this instance as seen now.
func (l *Lease) MajoritySince(now time.Time, version int64) (time.Time, bool) {
	if !l.roster.Has(l.self.ID, l.self.Incarnation) {
		return time.Time{}, false
	}
	needed := len(l.lastSeen) / 2
	if needed == 0 {
		return now, true
	}
	var seen []time.Time
	for i, s := range l.lastSeen {
		if l.roster.Instances[i].ID != l.self.ID && !s.at.IsZero() && s.version <= version {
			seen = append(seen, s.at)
		}
	}
	if len(seen) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	return seen[needed-1], true
}
