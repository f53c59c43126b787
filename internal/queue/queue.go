// Package queue orders the requests that wait for one backend server.
//
// It is for demand above the server's capacity, a few large workspaces among many
// small ones, and long requests mixed with short ones. It keeps large workspaces from
// starving small ones, lets patient work run, and refuses requests immediately that
// would otherwise wait only to be refused at their deadline.
//
// Workspaces share by tokens, not by requests: each has a virtual time that
// advances by tokens divided by weight, and the one furthest behind goes next
// (start-time fair queueing). Interactive work takes precedence over patient work,
// which gets every fifth grant.
//
// # Usage
//
//	q := queue.New(queue.DefaultParams)
//	if refused := q.Push(now, item); refused != nil {
//		// answer immediately
//	}
//	item, ok := q.Next(now, func(it *queue.Item) bool { return fits(it) })
//	q.Charge(item.Workspace, extraTokens, item.Weight)
package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Params configures a [Queue].
type Params struct {
	// MaxItems limits the queue. A longer queue only adds to the time that every
	// caller waits, since the server doesn't get faster.
	MaxItems int
	// PatientEvery is the number of grants of which one goes to patient work
	// while both classes wait. Five leaves interactive work four fifths and
	// limits the wait of patient work to five times its own queue.
	PatientEvery int
	// ScanWorkspaces is how many workspaces are searched for a request that fits
	// when the first one doesn't. It limits the cost of a decision.
	ScanWorkspaces int
	// MaxBypass is how often a request that is next but too large for the free
	// memory may be overtaken. After that nothing else starts until it fits;
	// otherwise small requests would use up all memory that is freed.
	MaxBypass int
	// GrantInterval is the time between grants that is assumed before any were
	// measured; 0 means a quarter of a second, that of one server.
	GrantInterval time.Duration
}

// DefaultParams fits one backend server that starts a few requests a second.
var DefaultParams = Params{MaxItems: 256, PatientEvery: 5, ScanWorkspaces: 8, MaxBypass: 16}

const (
	// grantIntervalWeight is the weight of the newest interval between grants in the
	// moving average: about the last sixteen grants count.
	grantIntervalWeight = 1.0 / 16
	// initialGrantInterval is assumed before any intervals were measured.
	initialGrantInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After of refusals. Sooner
	// than the minimum a retry is refused again; later than the maximum the
	// measured load is out of date.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Item is a queued request.
type Item struct {
	ID        string
	Workspace string
	Class     pollenspindle.Class
	// Weight is the workspace's share, at least 1.
	Weight int
	// MaxQueued limits the items of the workspace in this queue; 0 means no limit.
	MaxQueued int
	// Tokens is the expected cost of the request: prompt and output tokens.
	Tokens float64
	// Deadline is when the request must have started.
	Deadline time.Time
	// Order, if set, orders the requests of a workspace; otherwise they start in the
	// order in which they were pushed.
	Order time.Time
	// Request is the permit request of the item.
	Request permit.Request
	// Suspect and MaxRunning are for the fits function of [Queue.Next].
	Suspect    bool
	MaxRunning int

	bypassed int
	removed  bool
}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	params      Params
	interactive classQueue
	patient     classQueue
	byID        map[string]*Item
	queued      map[string]int
	// virtualTime is the virtual time of the last grant, and served[w] that of
	// workspace w.
	virtualTime float64
	served      map[string]float64
	// sincePatient counts interactive grants since the last patient one while
	// patient work waited.
	sincePatient int
	// grantInterval is the mean time between grants while requests wait.
	grantInterval time.Duration
	lastGrant     time.Time
}

// New returns an empty queue.
func New(p Params) *Queue {
	if p.GrantInterval <= 0 {
		p.GrantInterval = initialGrantInterval
	}
	return &Queue{
		params:        p,
		interactive:   classQueue{byWorkspace: map[string]*workspaceQueue{}},
		patient:       classQueue{byWorkspace: map[string]*workspaceQueue{}},
		byID:          map[string]*Item{},
		queued:        map[string]int{},
		served:        map[string]float64{},
		grantInterval: p.GrantInterval,
	}
}

// Len returns the number of queued items.
func (q *Queue) Len() int {
	return q.interactive.items + q.patient.items
}

// Find returns the queued item with the given ID.
func (q *Queue) Find(id string) (*Item, bool) {
	it, ok := q.byID[id]
	return it, ok
}

// Push adds an item, or returns a refusal. A request that is expected to start after
// its deadline is refused immediately: waiting would only keep its caller from trying
// elsewhere.
func (q *Queue) Push(now time.Time, it *Item) *permit.Refusal {
	if refusal := q.checkLimits(it); refusal != nil {
		return refusal
	}
	ahead := q.Ahead(it, nil)
	if wait := q.expectedWait(now, ahead); now.Add(wait).After(it.Deadline) {
		return &permit.Refusal{Reason: permit.ReasonDeadline, RetryAfter: q.RetryAfter(ahead)}
	}
	q.add(it)
	return nil
}

// PushPromised adds an item whose wait the caller has forecast itself, or returns a
// refusal if the queue or the workspace has too many items.
func (q *Queue) PushPromised(it *Item) *permit.Refusal {
	if refusal := q.checkLimits(it); refusal != nil {
		return refusal
	}
	q.add(it)
	return nil
}

func (q *Queue) checkLimits(it *Item) *permit.Refusal {
	if it.MaxQueued > 0 && q.queued[it.Workspace] >= it.MaxQueued {
		return &permit.Refusal{Reason: permit.ReasonWorkspace, RetryAfter: q.RetryAfter(q.queued[it.Workspace])}
	}
	if q.Len() >= q.params.MaxItems {
		return &permit.Refusal{Reason: permit.ReasonQueueFull, RetryAfter: q.RetryAfter(q.Len())}
	}
	return nil
}

// RetryAfter returns when a caller with n requests ahead of it should retry,
// according to the measured drain rate.
func (q *Queue) RetryAfter(n int) time.Duration {
	d := time.Duration(n+1) * q.grantInterval
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Next removes and returns the item to start next, if one fits.
func (q *Queue) Next(now time.Time, fits func(*Item) bool) (*Item, bool) {
	first, second := &q.interactive, &q.patient
	if q.sincePatient >= q.params.PatientEvery-1 && q.patient.items > 0 {
		first, second = second, first
	}
	it, reserved := q.nextInClass(first, fits)
	if it == nil && !reserved {
		it, _ = q.nextInClass(second, fits)
	}
	if it == nil {
		return nil, false
	}
	q.chargeGrant(now, it)
	return it, true
}

// Remove removes an item whose caller has gone.
func (q *Queue) Remove(id string) {
	if it, ok := q.byID[id]; ok {
		q.discard(it)
	}
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for _, it := range q.byID {
		if !now.Before(it.Deadline) {
			expired = append(expired, it)
		}
	}
	// Sorted, so that the same events give the same decisions.
	slices.SortFunc(expired, func(a, b *Item) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	for _, it := range expired {
		q.discard(it)
	}
	return expired
}

// Charge adjusts the tokens that a workspace was charged for, when outputs were
// longer or shorter than expected or a request never ran.
func (q *Queue) Charge(workspace string, tokens float64, weight int) {
	q.served[workspace] += tokens / float64(max(1, weight))
}

func (q *Queue) classOf(it *Item) *classQueue {
	if it.Class == pollenspindle.ClassPatient {
		return &q.patient
	}
	return &q.interactive
}

func (q *Queue) add(it *Item) {
	c := q.classOf(it)
	ln, ok := c.byWorkspace[it.Workspace]
	if !ok {
		ln = &workspaceQueue{workspace: it.Workspace}
		c.byWorkspace[it.Workspace] = ln
		// A workspace that was idle starts at the present virtual time: idle time
		// gives it no credit for a burst.
		q.served[it.Workspace] = max(q.served[it.Workspace], q.virtualTime)
		ln.finish = q.served[it.Workspace]
		heap.Push(&c.heap, ln)
	}
	ln.insert(it)
	c.items++
	q.byID[it.ID] = it
	q.queued[it.Workspace]++
}

// discard marks an item as removed; it leaves its workspace queue when it gets to the
// front.
func (q *Queue) discard(it *Item) {
	it.removed = true
	q.unindex(it)
}

func (q *Queue) unindex(it *Item) {
	q.classOf(it).items--
	delete(q.byID, it.ID)
	q.queued[it.Workspace]--
	if q.queued[it.Workspace] == 0 {
		delete(q.queued, it.Workspace)
	}
}

// nextInClass returns the next item of a class that fits. Reserved means that an item
// has been overtaken MaxBypass times and the others wait until it fits.
func (q *Queue) nextInClass(c *classQueue, fits func(*Item) bool) (found *Item, reserved bool) {
	var examined []*workspaceQueue
	defer func() {
		for _, ln := range examined {
			heap.Push(&c.heap, ln)
		}
	}()
	for len(c.heap) > 0 && len(examined) < q.params.ScanWorkspaces {
		ln := heap.Pop(&c.heap).(*workspaceQueue)
		ln.skipRemoved()
		if len(ln.items) == 0 {
			delete(c.byWorkspace, ln.workspace)
			continue
		}
		// The workspace may have been charged since the heap was ordered.
		if s := q.served[ln.workspace]; s > ln.finish {
			ln.finish = s
			heap.Push(&c.heap, ln)
			continue
		}
		it := ln.items[0]
		examined = append(examined, ln)
		if fits(it) {
			ln.items = ln.items[1:]
			q.recordBypass(examined[:len(examined)-1])
			return it, false
		}
		if it.bypassed >= q.params.MaxBypass {
			return nil, true
		}
	}
	return nil, false
}

// recordBypass records that the first items of the given queues were overtaken.
func (q *Queue) recordBypass(overtaken []*workspaceQueue) {
	for _, ln := range overtaken {
		ln.items[0].bypassed++
	}
}

func (q *Queue) chargeGrant(now time.Time, it *Item) {
	q.unindex(it)
	if it.Class == pollenspindle.ClassPatient {
		q.sincePatient = 0
	} else if q.patient.items > 0 {
		q.sincePatient++
	}
	q.virtualTime = max(q.virtualTime, q.served[it.Workspace])
	q.Charge(it.Workspace, it.Tokens, it.Weight)
	if !q.lastGrant.IsZero() {
		interval := min(now.Sub(q.lastGrant), maxRetryAfter)
		q.grantInterval += time.Duration(grantIntervalWeight * float64(interval-q.grantInterval))
	}
	q.lastGrant = now
}

// RecordGrant records a grant that didn't pass through the queue. Nothing waited, so the
// time since the previous grant depends on the demand and not on the server; it isn't
// included in the drain rate. Otherwise, after a time of low demand, a burst that the
// server could start immediately would be refused.
func (q *Queue) RecordGrant(now time.Time) {
	q.lastGrant = now
}

// expectedWait returns the expected wait with ahead items in front.
func (q *Queue) expectedWait(now time.Time, ahead int) time.Duration {
	interval := q.grantInterval
	// If the time since the last grant already exceeds the average, it is the
	// better estimate.
	if !q.lastGrant.IsZero() && q.Len() > 0 {
		interval = max(interval, now.Sub(q.lastGrant))
	}
	return time.Duration(ahead) * min(interval, maxRetryAfter)
}

// Arrivals are the numbers of items that are expected to be pushed before an item
// starts, by class and workspace.
type Arrivals map[pollenspindle.Class]map[string]float64

// Ahead returns how many items would start before it in fair order: those of its own
// workspace, and of each other workspace as many as its weight allows until then, of
// those queued and those that arrive. The item is queued, or about to be.
func (q *Queue) Ahead(it *Item, arriving Arrivals) int {
	own := q.queued[it.Workspace]
	if ln, ok := q.classOf(it).byWorkspace[it.Workspace]; ok && !it.Order.IsZero() {
		own = ln.position(it)
	}
	rounds := float64(own+1) / float64(max(1, it.Weight))
	n := float64(own)
	for name, ln := range q.classOf(it).byWorkspace {
		if name == it.Workspace || len(ln.items) == 0 {
			continue
		}
		n += min(float64(len(ln.items))+arriving[it.Class][name], rounds*float64(max(1, ln.items[0].Weight)))
	}
	for name, more := range arriving[it.Class] {
		if ln, ok := q.classOf(it).byWorkspace[name]; name != it.Workspace && (!ok || len(ln.items) == 0) {
			n += min(more, rounds)
		}
	}
	if it.Class == pollenspindle.ClassPatient {
		patientRounds := float64((q.params.PatientEvery - 1)) * (n + 1)
		interactive := float64(q.interactive.items)
		for _, more := range arriving[pollenspindle.ClassInteractive] {
			interactive += more
		}
		n += min(interactive, patientRounds)
	}
	return int(n)
}
