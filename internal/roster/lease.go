package roster

import "time"

// Timing holds the durations of leases and permits.
type Timing struct {
	// LeaseDuration is how long a confirmation or a deputy's promise is valid.
	LeaseDuration time.Duration
	// PermitLifetime is how long a permit may be used, counted from its request.
	PermitLifetime time.Duration
}

// TakeoverDelay returns how long a new owner waits: until the lease of the old owner,
// which may not know of the change, has expired, and then until its last permit has.
func (t Timing) TakeoverDelay() time.Duration {
	return t.LeaseDuration + t.PermitLifetime
}

// Server holds the properties of a backend server that decide on rights to it.
type Server struct {
	Name   string
	Region string
	// ColdLimit is the number of requests that the server can handle when cold.
	ColdLimit int
}

// Lease decides for which backend servers one instance may grant permits, and up to
// which part of their limit.
//
// It prevents that two instances grant permits for a server at the same time, which
// would crash a cold server that can handle one or two requests.
//
// The rules, for a server with owner O, deputy D and cold limit C:
//
//  1. O grants permits only while confirmed: within the last lease it read its
//     epoch from the platform, or more than half of the roster was at that epoch,
//     according to responses to O or to others; see [Lease.ApplyAges]. An instance
//     that reaches neither grants none.
//  2. By responding to O's heartbeat at the same epoch, D promises to grant no
//     permits for O's servers for one lease. O counts the promise from the sending
//     of its heartbeat, which is earlier, so it always expires at O first.
//  3. Without D's promise O leaves D's share (half of C, at least 1) unused.
//  4. D grants permits only after its promise and then O's last permit granted
//     under it have expired, up to its share, never above C in total, and only on
//     a load report measured after that time.
//  5. When D promises again, O uses the share again only after D's last permit
//     has expired, on a load report measured after that time.
//  6. A new owner or deputy waits until half of the previous roster is known to
//     have adopted this epoch, so that the rest can't confirm each other any
//     more, and then for [Timing.TakeoverDelay]: a lease and a permit's validity. It
//     waits only for a permit's validity after the old owner and its deputy both
//     reported that they adopted this epoch, and not at all in the first roster,
//     before which no permits were granted. When most of the previous roster was
//     removed at once, it waits for the survivors only and trusts the platform's
//     list that the others are down.
//  7. An owner that owned the server in the previous epoch continues, but leaves
//     the share unused until the old deputy has stopped too.
//
// Together at most C requests run on a cold server, despite network partitions,
// pauses and delays. The rules rely on durations measured by the monotonic clock
// of each instance, not on synchronized clocks. There is only one deputy: of two,
// both could see the last request of O end and use the same slot.
//
// Lease is not safe for concurrent use.
type Lease struct {
	self        Instance
	timing      Timing
	roster      *Roster
	adoptedAt   time.Time
	confirmedAt time.Time
	// lastSeen says for the instances of the roster, in its order, when they were
	// last seen at the current epoch.
	lastSeen []lastSeen
	acks     map[string]ack
	// promises says when this instance's promise to each peer expires.
	promises map[string]time.Time
	// stopped says since when each peer is known to grant no permits under
	// older epochs.
	stopped map[string]time.Time
	// ownedSince and ownedBefore say since when this instance owns each server, in
	// the current epoch and in the previous one.
	ownedSince  map[string]time.Time
	ownedBefore map[string]time.Time
}

// ack summarizes a peer's responses to heartbeats of this instance. Since the response
// received at since there was no gap longer than a lease; the last response was to a
// heartbeat sent at sent.
type ack struct {
	since, sent time.Time
}

// NewLease returns a lease without a roster, which permits nothing.
func NewLease(self Instance, timing Timing) *Lease {
	return &Lease{
		self:       self,
		timing:     timing,
		roster:     New(0, Object{}),
		acks:       map[string]ack{},
		promises:   map[string]time.Time{},
		stopped:    map[string]time.Time{},
		ownedSince: map[string]time.Time{},
	}
}

// Roster returns the current roster of this instance. It is never nil.
func (l *Lease) Roster() *Roster { return l.roster }

// Adopt makes r the current roster if it is newer, and reports whether it is.
//
// Promises made by this instance are dropped, as the wait of a new epoch is as long
// as any of them. Promises received stay valid, since the peer has to wait as long
// in the new epoch, unless the peer has restarted.
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
	l.ownedBefore = map[string]time.Time{}
	if l.roster.Number == r.Number-1 {
		l.ownedBefore = l.ownedSince
	}
	l.ownedSince = map[string]time.Time{}
	l.roster, l.adoptedAt = r, now
	l.lastSeen = make([]lastSeen, len(r.Instances))
	l.promises, l.stopped = map[string]time.Time{}, map[string]time.Time{}
	return true
}

// Confirm records that a read sent at sentAt found epoch in the platform.
func (l *Lease) Confirm(sentAt time.Time, epoch int64) {
	if epoch == l.roster.Epoch && sentAt.After(l.confirmedAt) {
		l.confirmedAt = sentAt
	}
}

// ConfirmedByPlatform reports whether a read of the platform, sent less than maxAge
// before now, confirmed the roster.
func (l *Lease) ConfirmedByPlatform(now time.Time, maxAge time.Duration) bool {
	return !l.confirmedAt.IsZero() && now.Sub(l.confirmedAt) < maxAge
}

// RecordAck records that peer, at epoch and with a configuration of version, responded
// now to a heartbeat sent at sentAt under the same epoch.
func (l *Lease) RecordAck(now, sentAt time.Time, peer string, epoch, version int64) {
	i, member := l.roster.index[peer]
	if !member || epoch != l.roster.Epoch {
		return
	}
	l.updateLastSeen(i, lastSeen{sentAt, version})
	a, ok := l.acks[peer]
	if !ok || !l.withinLease(sentAt, a.sent) {
		a.since = now
	}
	if !ok || sentAt.After(a.sent) {
		a.sent = sentAt
	}
	l.acks[peer] = a
}

// RecordPromise records a heartbeat from peer at epoch, received now. The response to it is
// a promise only if both have the same epoch.
func (l *Lease) RecordPromise(now time.Time, peer string, epoch int64) {
	if epoch == l.roster.Epoch {
		l.promises[peer] = now.Add(l.timing.LeaseDuration)
	}
}

// RecordStopped records that peer reported at now that it grants no permits under epochs
// older than the current one: it has adopted this epoch, or handed off its servers.
func (l *Lease) RecordStopped(now time.Time, peer string, epoch int64) {
	if epoch < l.roster.Epoch {
		return
	}
	if _, ok := l.stopped[peer]; !ok {
		l.stopped[peer] = now
	}
}

// Confirmed reports whether the epoch of this instance is known to be current.
func (l *Lease) Confirmed(now time.Time) bool {
	if l.roster.Epoch == 0 || !l.roster.Has(l.self.ID, l.self.Incarnation) {
		return false
	}
	return l.withinLease(now, l.confirmedAt) || l.recentMajority(now)
}

// MajorityAdopted reports whether more than half of the roster is known to have adopted it.
func (l *Lease) MajorityAdopted() bool {
	n := 0
	for _, in := range l.roster.Instances {
		if l.HasAdopted(in.ID) {
			n++
		}
	}
	return 2*n > len(l.roster.Instances)
}

// HasAdopted reports whether an instance is known to have adopted the current epoch.
func (l *Lease) HasAdopted(id string) bool {
	if id == l.self.ID {
		return l.roster.Has(id, l.self.Incarnation)
	}
	_, ok := l.stopped[id]
	return ok
}

func (l *Lease) withinLease(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < l.timing.LeaseDuration
}
