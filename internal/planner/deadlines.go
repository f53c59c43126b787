package planner

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/handover"
)

const (
	// tellAhead is how long before its start a slot is told at the earliest. A slot that was told
	// can't be taken back, so the others stay open for generations that have more to lose, and for
	// those that end by themselves and need none.
	tellAhead = 120 * time.Millisecond
	// askAhead is how long before its expected start a copy is asked for again: a round trip and the
	// delay of a busy machine.
	askAhead = 100 * time.Millisecond
	// leaseGrace is how late an instance may ask again before its generation is taken to have ended.
	leaseGrace = 40 * time.Millisecond
	// minAskInterval and maxAskInterval bound the time until an instance asks again. A generation
	// that ends by itself is noticed after maxAskInterval, about the time of one copy.
	minAskInterval = 15 * time.Millisecond
	maxAskInterval = 250 * time.Millisecond
	// maxWaiting limits the copies that wait for one link; engines run a few dozen generations.
	maxWaiting = 256
)

// Ask requests a place in the order of the copies from one engine.
type Ask struct {
	Copy
	// AnswerTokens is the size of the answer, generated and expected. Rest is the expected time until
	// the generation ends; negative if unknown.
	AnswerTokens int
	Rest         time.Duration
	// Duration is the link time of a copy within the availability zone.
	Duration time.Duration
	// Noticed is when the engine was first known to leave, Notice the expected time from then to its
	// exit.
	Noticed time.Time
	Notice  time.Duration
	// Resumable says that the stream can be continued by a new run.
	Resumable bool
	// MayAskAgain says that the instance asks again when it is told to. Older instances don't.
	MayAskAgain bool
}

// Decision is the answer to an [Ask]: a slot, the time after which to ask again, or that the copy is
// too late for a generation that can be continued by a new run.
type Decision struct {
	Assigned bool
	Slot     TransferSlot
	// InTime says that the copy is expected to end before the engine exits.
	InTime     bool
	AskAgainIn time.Duration
	// StartIn is the expected time until the copy starts, if it isn't assigned.
	StartIn time.Duration
	TooLate bool
	// First is set for the first decision on an engine. Waiting is the number of copies that wait for
	// its link, Lost how many of them can't end before Deadline.
	First         bool
	Waiting, Lost int
	Deadline      time.Time
	// Repeated says that the slot was told before.
	Repeated bool
}

// overflowTargets finds engines for copies with a deadline.
type overflowTargets interface {
	Targets
	// InGroup returns the engines of the group with capacity, Overflow further ones for copies that
	// would be late there, both best first.
	InGroup(c Copy) []Target
	Overflow(c Copy) []Target
}

// waitingCopy is a copy without a slot. It waits until its instance asks again.
type waitingCopy struct {
	Ask
	askBy time.Time
}

// exit is what is known of the exit of a link's engine, and the copies that wait for the link.
type exit struct {
	since    time.Time
	deadline time.Time
	decideAt time.Time
	decided  bool
	waiting  map[string]waitingCopy
	// told holds the slots that were told, whose answers may have been lost.
	told map[string]Decision
}

// Join adds a copy to those that wait for the link of its engine and returns when to call
// [Schedule.Decide].
func (s *Schedule) Join(now time.Time, a Ask) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	from := s.link(now, a.Source)
	if from.exit == nil || now.Sub(from.exit.since) > handover.MaxNotice {
		from.exit = &exit{since: now, decideAt: now.Add(collectWindow), waiting: map[string]waitingCopy{}, told: map[string]Decision{}}
	}
	e := from.exit
	if deadline := a.Noticed.Add(a.Notice); e.deadline.IsZero() || deadline.Before(e.deadline) {
		e.deadline = deadline
	}
	_, known := e.waiting[a.GenerationID]
	if known || len(e.waiting) < maxWaiting {
		e.waiting[a.GenerationID] = waitingCopy{Ask: a, askBy: now.Add(collectWindow + leaseGrace)}
	}
	if e.decideAt.After(now) {
		return e.decideAt
	}
	return now
}

// Decide decides on a copy that has joined. Only the first copy in the order gets a slot, and only
// shortly before its start; the instances of the others ask again.
func (s *Schedule) Decide(now time.Time, source, generationID string, targets overflowTargets) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.link(now, source)
	e := from.exit
	if e == nil {
		return Decision{}
	}
	own, ok := e.waiting[generationID]
	if !ok {
		return Decision{}
	}
	if d, ok := e.told[generationID]; ok && now.Before(d.Slot.Start.Add(d.Slot.Duration/2)) {
		delete(e.waiting, generationID)
		d.Repeated, d.First = true, false
		return d
	}
	order := s.order(now, from, generationID)
	d := Decision{First: !e.decided, Waiting: len(order), Deadline: e.deadline}
	e.decided = true
	place := 0
	for i, c := range order {
		if !c.InTime {
			d.Lost++
		}
		if c.ID == generationID {
			place = i
		}
	}
	planned := order[place]
	idle := spareTime(now, from.freeAt, e.deadline, order)
	switch {
	case own.MayAskAgain && planned.EndsItself(e.deadline.Sub(now)) && idle > planned.Duration+tellAhead:
		// The link has time for this copy and one more later, and the generation may need none.
		d.AskAgainIn = min(maxAskInterval, max(minAskInterval, idle-planned.Duration-tellAhead))
	case own.Resumable && !planned.InTime && (own.Rest < 0 || now.Add(own.Rest).After(e.deadline)):
		d.TooLate = true
	case own.MayAskAgain && (place > 0 || from.freeAt.Sub(now) > tellAhead):
		// The second asks after the first should have, and gets the slot if the first didn't.
		askAt := planned.Start.Add(-askAhead)
		if place > 0 {
			askAt = order[place-1].Start.Add(leaseGrace - askAhead)
		}
		d.AskAgainIn = min(maxAskInterval, max(minAskInterval, askAt.Sub(now)))
	default:
		s.assignInTime(now, from, own.Ask, e.deadline.Add(-timeOfOthers(order, generationID)), targets, &d)
	}
	if d.AskAgainIn > 0 {
		d.StartIn = max(d.AskAgainIn, planned.Start.Sub(now))
		own.askBy = now.Add(d.AskAgainIn + leaseGrace)
		e.waiting[generationID] = own
		return d
	}
	delete(e.waiting, generationID)
	if d.Assigned && len(e.told) < maxWaiting {
		e.told[generationID] = d
	}
	return d
}

// timeOfOthers returns the link time of the other copies that can end in time.
func timeOfOthers(order []handover.Planned, id string) time.Duration {
	sum := time.Duration(0)
	for _, c := range order {
		if c.InTime && c.ID != id {
			sum += c.Duration
		}
	}
	return sum
}

// spareTime returns how long a link can stay idle so that all copies still end by the deadline.
func spareTime(now, freeAt, deadline time.Time, order []handover.Planned) time.Duration {
	if freeAt.After(now) {
		now = freeAt
	}
	spare := deadline.Sub(now)
	for _, c := range order {
		spare -= c.Duration
	}
	return spare
}

// order returns the copies that wait for a link, in order, without those whose instances haven't
// asked in time.
func (s *Schedule) order(now time.Time, from *link, asking string) []handover.Planned {
	copies := make([]handover.Copy, 0, len(from.exit.waiting))
	for id, c := range from.exit.waiting {
		if id != asking && now.After(c.askBy) {
			delete(from.exit.waiting, id)
			continue
		}
		copies = append(copies, handover.Copy{ID: id, AnswerTokens: c.AnswerTokens, Rest: c.Rest, Duration: c.Duration})
	}
	freeAt := now
	if from.freeAt.After(now) {
		freeAt = from.freeAt
	}
	return handover.Order(freeAt, from.exit.deadline, copies)
}

// assignInTime assigns a slot on an engine of the group if the copy ends there by endBy, which leaves
// the others their time. Otherwise it chooses among all engines the one where the copy ends first,
// even if that is late: nine in ten engines run longer than the deadline.
func (s *Schedule) assignInTime(now time.Time, from *link, a Ask, endBy time.Time, targets overflowTargets, d *Decision) {
	end := func(t Target) time.Time { return s.earliestStart(now, from, t).Add(t.Duration) }
	t, ok := s.earliestTarget(now, from, targets.InGroup(a.Copy))
	if !ok || end(t).After(endBy) {
		if o, found := s.earliestTarget(now, from, targets.Overflow(a.Copy)); found && (!ok || end(o).Before(end(t).Add(-minTimeSaved))) {
			t, ok = o, true
		}
	}
	if !ok {
		return
	}
	targets.Reserve(a.Copy, t)
	at := s.earliestStart(now, from, t)
	from.freeAt, s.link(now, t.ID).freeAt = at.Add(t.Duration), at.Add(t.Duration)
	d.Assigned, d.Slot = true, TransferSlot{Start: at, Target: t.ID, Duration: t.Duration}
	d.InTime = !at.Add(t.Duration).After(from.exit.deadline)
}
