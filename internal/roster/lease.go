package roster

import "time"

// Timing holds the durations on which the leases rest.
type Timing struct {
	// Lease is how long a confirmation or a deputy's promise holds.
	Lease time.Duration
	// Permit is how long a permit may be used after it was asked for.
	Permit time.Duration
}

// Takeover is how long a new owner waits: until the old one, if it runs on
// without knowing, has lost its lease, and then until its last permit ended.
func (t Timing) Takeover() time.Duration {
	return t.Lease + t.Permit
}

// Server is what the lease needs to know of a backend server.
type Server struct {
	Name   string
	Region string
	// ColdLimit is the number of requests that the server can handle when cold.
	ColdLimit int
}

// Lease decides for which backend servers one instance may give permits, and
// how much of their limit.
//
// A cold server that can handle one or two requests crashes when two instances
// both believe that they own it.
//
// The rules, for a server with owner O, deputy D and cold limit C:
//
//  1. O gives permits only while confirmed: within the last Lease it read its
//     epoch from the platform, or most of the roster was at that epoch, as
//     their answers to O or to others show; see [Lease.PassedOn]. An instance
//     cut off from both gives none.
//  2. D answering O's heartbeat at the same epoch is a promise to give no
//     permit for O's servers for one Lease. O counts it from its sending,
//     which is earlier, so O's belief always ends first.
//  3. Without D's promise O leaves D's share (half of C, at least 1) unused.
//  4. D gives permits only when its promise has lapsed and O's last permit
//     given under it has ended, up to its share, never above C in total, and
//     only on a load report measured after that moment.
//  5. When D's promise is back, O takes the share again only after D's last
//     permit has ended, on a report measured after that moment.
//  6. A new owner or deputy waits until half of the previous roster is known
//     to have adopted this epoch, so that the rest can't confirm each other
//     any more, and then [Timing.Takeover]: a lease and a permit. It waits
//     only one Permit after the old owner and its deputy both said that they
//     adopted this epoch, and not at all in the first roster, before which
//     nobody gave permits. When most of the previous roster was removed at
//     once, the survivors are all that can be waited for; the platform's list
//     is then trusted that the others are dead.
//  7. An owner that owned the server in the epoch just before goes on, but
//     leaves the share unused until the old deputy has stopped too.
//
// Together at most C requests run on a cold server, whatever is cut, paused
// or slow. It rests on durations measured on each instance's own monotonic
// clock, not on synchronised clocks. One share-holder, not several: with two,
// both may see the last request of O leave and take the same place.
//
// Lease is not safe for concurrent use.
type Lease struct {
	self        Instance
	timing      Timing
	roster      *Roster
	adoptedAt   time.Time
	confirmedAt time.Time
	// sightings are of the instances of the roster, in its order, under the
	// epoch in force.
	sightings []sighting
	acks      map[string]ack
	promises  map[string]time.Time
	stopped   map[string]time.Time
	// held and heldBefore say since when this instance owns a server in the
	// epoch in force and in the one before.
	held       map[string]time.Time
	heldBefore map[string]time.Time
}

// ack is what is known of a peer's answers to this instance. They came without
// a gap longer than a lease since the answer received at since; the last was to
// a heartbeat sent at sent.
type ack struct {
	since, sent time.Time
}

// NewLease returns a lease without a roster, which allows nothing.
func NewLease(self Instance, timing Timing) *Lease {
	return &Lease{
		self:     self,
		timing:   timing,
		roster:   New(0, Object{}),
		acks:     map[string]ack{},
		promises: map[string]time.Time{},
		stopped:  map[string]time.Time{},
		held:     map[string]time.Time{},
	}
}

// Roster returns the roster in force here. It is never nil.
func (l *Lease) Roster() *Roster { return l.roster }

// Adopt puts r in force if it is newer, and reports whether it is.
//
// Promises that this instance made fall away: the wait of a new epoch is as
// long as any of them. Those it received stay good, since the peer that gave
// one has to wait as long in the new epoch; but not across its restart.
func (l *Lease) Adopt(now time.Time, r *Roster) bool {
	if r.Epoch <= l.roster.Epoch {
		return false
	}
	for id := range l.acks {
		old, _ := l.roster.Find(id)
		if !r.Has(id, old.Incarnation) {
			delete(l.acks, id)
		}
	}
	l.heldBefore = map[string]time.Time{}
	if l.roster.Number == r.Number-1 {
		l.heldBefore = l.held
	}
	l.held = map[string]time.Time{}
	l.roster, l.adoptedAt = r, now
	l.sightings = make([]sighting, len(r.Instances))
	l.promises, l.stopped = map[string]time.Time{}, map[string]time.Time{}
	return true
}

// Confirm notes that the platform was asked at askedAt and holds epoch.
func (l *Lease) Confirm(askedAt time.Time, epoch int64) {
	if epoch == l.roster.Epoch && askedAt.After(l.confirmedAt) {
		l.confirmedAt = askedAt
	}
}

// ConfirmedByPlatform reports whether the platform was asked within a time
// before now and confirmed the roster.
func (l *Lease) ConfirmedByPlatform(now time.Time, within time.Duration) bool {
	return !l.confirmedAt.IsZero() && now.Sub(l.confirmedAt) < within
}

// Acked notes that peer answered now, at epoch and with a configuration of
// version, a heartbeat sent at sentAt under the same epoch.
func (l *Lease) Acked(now, sentAt time.Time, peer string, epoch, version int64) {
	i, member := l.roster.index[peer]
	if !member || epoch != l.roster.Epoch {
		return
	}
	l.sighted(i, sighting{sentAt, version})
	a, ok := l.acks[peer]
	if !ok || !l.fresh(sentAt, a.sent) {
		a.since = now
	}
	if !ok || sentAt.After(a.sent) {
		a.sent = sentAt
	}
	l.acks[peer] = a
}

// Promise notes a heartbeat from peer at epoch, received now. The answer to it
// is a promise only if both have the same epoch.
func (l *Lease) Promise(now time.Time, peer string, epoch int64) {
	if epoch == l.roster.Epoch {
		l.promises[peer] = now.Add(l.timing.Lease)
	}
}

// Stopped notes that peer said at now that it gives no permits under any epoch
// before the one in force here: it has adopted this one, or handed over.
func (l *Lease) Stopped(now time.Time, peer string, epoch int64) {
	if epoch < l.roster.Epoch {
		return
	}
	if _, ok := l.stopped[peer]; !ok {
		l.stopped[peer] = now
	}
}

// Confirmed reports whether the epoch in force here is known to be current.
func (l *Lease) Confirmed(now time.Time) bool {
	if l.roster.Epoch == 0 || !l.roster.Has(l.self.ID, l.self.Incarnation) {
		return false
	}
	return l.fresh(now, l.confirmedAt) || l.majority(now)
}

// Settled reports whether most of the roster is known to have adopted it.
func (l *Lease) Settled() bool {
	n := 0
	for _, in := range l.roster.Instances {
		if l.Adopted(in.ID) {
			n++
		}
	}
	return 2*n > len(l.roster.Instances)
}

// Adopted reports whether an instance is known to have adopted the epoch in
// force here.
func (l *Lease) Adopted(id string) bool {
	if id == l.self.ID {
		return l.roster.Has(id, l.self.Incarnation)
	}
	_, ok := l.stopped[id]
	return ok
}

func (l *Lease) fresh(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < l.timing.Lease
}
