// Package queue orders the requests that wait for one backend server.
//
// It is for demand above what the server can handle, a few large workspaces among
// many small ones, and long work mixed with short. It prevents three harms: a
// large workspace that crowds out the small ones, patient work that never
// runs, and requests that wait only to be refused when their time is up.
//
// Workspaces share by tokens, not by requests: each has a virtual time that
// advances by tokens over weight, and the one furthest behind goes next
// (start-time fair queueing). Patient work is passed over while interactive
// work waits, but gets every fifth grant.
//
// # Usage
//
//	q := queue.New(queue.DefaultParams)
//	if refused := q.Push(now, item); refused != nil {
//		// answer at once
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

// Params bounds a queue.
type Params struct {
	// MaxItems bounds the queue. Beyond it waiting only adds to the time that
	// every caller waits, as the server is no faster for it.
	MaxItems int
	// PatientEvery is the number of grants of which one goes to patient work
	// while both classes wait. Five leaves interactive work four fifths and
	// bounds the wait of patient work to five times its own line.
	PatientEvery int
	// ScanWorkspaces is how many workspaces are looked at for a request that
	// fits when the first does not. It bounds the cost of a decision.
	ScanWorkspaces int
	// MaxBypass is how often a request that is next but too large for the
	// free memory is overtaken. Then nothing else goes until it fits;
	// otherwise small requests would use up every bit that gets free.
	MaxBypass int
}

// DefaultParams fits one backend server that starts a few requests a second.
var DefaultParams = Params{MaxItems: 256, PatientEvery: 5, ScanWorkspaces: 8, MaxBypass: 16}

const (
	// drainWeight is the weight of the newest gap between grants in the
	// measured drain rate: about the last sixteen grants count.
	drainWeight = 1.0 / 16
	// initialGap is the gap between grants assumed before anything waited.
	initialGap = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	// Less than the lower bound only brings the same refusal again, more than
	// the upper one outlives what is known of the load.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Item is a request that waits.
type Item struct {
	ID        string
	Workspace string
	Class     pollenspindle.Class
	// Weight is the workspace's share, at least 1.
	Weight int
	// MaxQueued bounds the items of the workspace in this queue; 0 means none.
	MaxQueued int
	// Tokens is what the request is expected to cost: prompt and output.
	Tokens float64
	// Deadline is when it must have started.
	Deadline time.Time
	// Request is the permit request behind the item.
	Request permit.Request
	// Suspect and MaxRunning are for the caller's own check of what fits.
	Suspect    bool
	MaxRunning int

	bypassed int
	removed  bool
}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	params      Params
	interactive class
	patient     class
	byID        map[string]*Item
	queued      map[string]int
	// virtual is the virtual time of the last grant; service[w] that up to
	// which workspace w has been served.
	virtual float64
	service map[string]float64
	// sincePatient counts interactive grants while patient work waited.
	sincePatient int
	// gap is the mean time in which a place gets free while requests wait.
	gap       time.Duration
	lastGrant time.Time
}

// New returns an empty queue.
func New(p Params) *Queue {
	return &Queue{
		params:      p,
		interactive: class{byName: map[string]*line{}},
		patient:     class{byName: map[string]*line{}},
		byID:        map[string]*Item{},
		queued:      map[string]int{},
		service:     map[string]float64{},
		gap:         initialGap,
	}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int {
	return q.interactive.items + q.patient.items
}

// Find returns the waiting item with the given id.
func (q *Queue) Find(id string) (*Item, bool) {
	it, ok := q.byID[id]
	return it, ok
}

// Push adds it, or returns why it is refused. A request whose turn would come
// after its deadline is refused now: waiting would only keep its caller from
// going elsewhere.
func (q *Queue) Push(now time.Time, it *Item) *permit.Refusal {
	if it.MaxQueued > 0 && q.queued[it.Workspace] >= it.MaxQueued {
		return &permit.Refusal{Reason: permit.ReasonWorkspace, RetryAfter: q.RetryAfter(q.queued[it.Workspace])}
	}
	if q.Len() >= q.params.MaxItems {
		return &permit.Refusal{Reason: permit.ReasonQueueFull, RetryAfter: q.RetryAfter(q.Len())}
	}
	ahead := q.ahead(it)
	if wait := q.waitFor(now, ahead); now.Add(wait).After(it.Deadline) {
		return &permit.Refusal{Reason: permit.ReasonDeadline, RetryAfter: q.RetryAfter(ahead)}
	}
	q.add(it)
	return nil
}

// RetryAfter returns when coming back is worthwhile for a caller that would
// have n requests ahead of it, from the measured drain rate.
func (q *Queue) RetryAfter(n int) time.Duration {
	d := time.Duration(n+1) * q.gap
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Next takes the item out that is to start now, if one fits.
func (q *Queue) Next(now time.Time, fits func(*Item) bool) (*Item, bool) {
	first, second := &q.interactive, &q.patient
	if q.sincePatient >= q.params.PatientEvery-1 && q.patient.items > 0 {
		first, second = second, first
	}
	it, reserved := q.nextOf(first, fits)
	if it == nil && !reserved {
		it, _ = q.nextOf(second, fits)
	}
	if it == nil {
		return nil, false
	}
	q.granted(now, it)
	return it, true
}

// Remove takes out an item whose caller has gone.
func (q *Queue) Remove(id string) {
	if it, ok := q.byID[id]; ok {
		q.drop(it)
	}
}

// Expire takes out the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for _, it := range q.byID {
		if !now.Before(it.Deadline) {
			expired = append(expired, it)
		}
	}
	// In one order, so that the same events give the same decisions.
	slices.SortFunc(expired, func(a, b *Item) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	for _, it := range expired {
		q.drop(it)
	}
	return expired
}

// Charge corrects what a workspace was charged for, in tokens: outputs longer
// or shorter than expected, or work that never ran.
func (q *Queue) Charge(workspace string, tokens float64, weight int) {
	q.service[workspace] += tokens / float64(max(1, weight))
}

func (q *Queue) classOf(it *Item) *class {
	if it.Class == pollenspindle.ClassPatient {
		return &q.patient
	}
	return &q.interactive
}

func (q *Queue) add(it *Item) {
	c := q.classOf(it)
	ln, ok := c.byName[it.Workspace]
	if !ok {
		ln = &line{workspace: it.Workspace}
		c.byName[it.Workspace] = ln
		// A workspace that was idle starts level with the others: it neither
		// owes for the past nor saves up a burst.
		q.service[it.Workspace] = max(q.service[it.Workspace], q.virtual)
		ln.finish = q.service[it.Workspace]
		heap.Push(&c.heap, ln)
	}
	ln.items = append(ln.items, it)
	c.items++
	q.byID[it.ID] = it
	q.queued[it.Workspace]++
}

// drop marks an item; its line forgets it when its turn comes.
func (q *Queue) drop(it *Item) {
	it.removed = true
	q.forget(it)
}

func (q *Queue) forget(it *Item) {
	q.classOf(it).items--
	delete(q.byID, it.ID)
	q.queued[it.Workspace]--
	if q.queued[it.Workspace] == 0 {
		delete(q.queued, it.Workspace)
	}
}

// nextOf looks for the next item of a class. Reserved means that one has been
// overtaken often enough and the others wait until it fits.
func (q *Queue) nextOf(c *class, fits func(*Item) bool) (found *Item, reserved bool) {
	var passed []*line
	defer func() {
		for _, ln := range passed {
			heap.Push(&c.heap, ln)
		}
	}()
	for len(c.heap) > 0 && len(passed) < q.params.ScanWorkspaces {
		ln := heap.Pop(&c.heap).(*line)
		ln.skipRemoved()
		if len(ln.items) == 0 {
			delete(c.byName, ln.workspace)
			continue
		}
		// The line may have been charged since it was last ordered.
		if s := q.service[ln.workspace]; s > ln.finish {
			ln.finish = s
			heap.Push(&c.heap, ln)
			continue
		}
		it := ln.items[0]
		passed = append(passed, ln)
		if fits(it) {
			ln.items = ln.items[1:]
			q.bypass(passed[:len(passed)-1])
			return it, false
		}
		if it.bypassed >= q.params.MaxBypass {
			return nil, true
		}
	}
	return nil, false
}

// bypass notes that the first items of lines were overtaken.
func (q *Queue) bypass(overtaken []*line) {
	for _, ln := range overtaken {
		ln.items[0].bypassed++
	}
}

func (q *Queue) granted(now time.Time, it *Item) {
	q.forget(it)
	if it.Class == pollenspindle.ClassPatient {
		q.sincePatient = 0
	} else if q.patient.items > 0 {
		q.sincePatient++
	}
	q.virtual = max(q.virtual, q.service[it.Workspace])
	q.Charge(it.Workspace, it.Tokens, it.Weight)
	if !q.lastGrant.IsZero() {
		gap := min(now.Sub(q.lastGrant), maxRetryAfter)
		q.gap += time.Duration(drainWeight * float64(gap-q.gap))
	}
	q.lastGrant = now
}

// Granted notes a start that did not come out of the queue. Nothing waited, so
// the time since the start before tells of the demand, not of the server, and
// isn't learned from.
//
// Learned from, a calm time would have a burst refused that the server could start
// at once.
func (q *Queue) Granted(now time.Time) {
	q.lastGrant = now
}

// waitFor returns the expected wait behind ahead items.
func (q *Queue) waitFor(now time.Time, ahead int) time.Duration {
	gap := q.gap
	// When the server has started nothing for longer than usual, the recent
	// past says more than the average.
	if !q.lastGrant.IsZero() && q.Len() > 0 {
		gap = max(gap, now.Sub(q.lastGrant))
	}
	return time.Duration(ahead) * min(gap, maxRetryAfter)
}

// ahead returns how many items would start before it, under the fair order: of
// each other workspace as many as its weight gives it while the items of this
// workspace that wait already have their turn.
func (q *Queue) ahead(it *Item) int {
	own := q.queued[it.Workspace]
	turns := float64(own+1) / float64(max(1, it.Weight))
	n := float64(own)
	for name, ln := range q.classOf(it).byName {
		if name == it.Workspace || len(ln.items) == 0 {
			continue
		}
		n += min(float64(len(ln.items)), turns*float64(max(1, ln.items[0].Weight)))
	}
	if it.Class == pollenspindle.ClassPatient {
		patientTurns := float64((q.params.PatientEvery - 1)) * (n + 1)
		n += min(float64(q.interactive.items), patientTurns)
	}
	return int(n)
}
