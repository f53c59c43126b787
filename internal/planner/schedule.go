package planner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// collectWindow is how long requests for one link are collected before they are ordered:
	// instances learn of an engine's shutdown within a few milliseconds of each other. It is a
	// tenth of a typical copy.
	collectWindow = 20 * time.Millisecond
	// minTimeSaved is how much earlier a copy must end on one engine than on another to be sent
	// there in spite of less free capacity: a quarter of a typical copy.
	minTimeSaved = 50 * time.Millisecond
	// slotTTL is when slots and idle links are dropped. No engine stays up that long after its
	// shutdown notice.
	slotTTL = 10 * time.Second
)

// Copy is the copy of a generation's KV cache that needs a transfer slot.
type Copy struct {
	GenerationID string
	// Instance relays the generation, Source is the engine that it leaves.
	Instance string
	Source   string
	// Tokens is the current size of the KV cache.
	Tokens int
	// Version, if set, is the version that the target must have.
	Version string
}

// Target is an engine with capacity for a copy, and the time that the copy occupies both links.
type Target struct {
	ID       string
	Duration time.Duration
}

// Targets finds engines with free capacity for copies.
type Targets interface {
	// Candidates returns the engines with capacity, best first.
	Candidates(c Copy) []Target
	// Reserve counts the copy on the chosen engine.
	Reserve(c Copy, t Target)
}

// TransferSlot says when a copy starts, to which engine it goes and how long it takes.
type TransferSlot struct {
	Start    time.Time
	Target   string
	Duration time.Duration
}

// link is the schedule of one engine's network link.
type link struct {
	// freeAt is the end of the last scheduled copy.
	freeAt time.Time
	// pending holds the requests that are ordered at decideAt.
	pending  []Copy
	decideAt time.Time
	lastUsed time.Time
	// exit is set for handovers with a deadline.
	exit *exit
}

// Schedule assigns transfer slots on the links of engines. It is safe for concurrent use.
type Schedule struct {
	mu    sync.Mutex
	links map[string]*link
	slots map[string]TransferSlot
}

// NewSchedule returns an empty schedule.
func NewSchedule() *Schedule {
	return &Schedule{links: map[string]*link{}, slots: map[string]TransferSlot{}}
}

// Add adds a copy and returns the time at which its slot is assigned.
func (s *Schedule) Add(now time.Time, c Copy) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	delete(s.slots, c.GenerationID)
	from := s.link(now, c.Source)
	if len(from.pending) == 0 {
		from.decideAt = now.Add(collectWindow)
	}
	from.pending = append(from.pending, c)
	return from.decideAt
}

// Slot returns the slot of a copy that was added, or false if no engine has capacity for it. The
// first call after the end of the collection window assigns the slots of all copies from the
// engine.
func (s *Schedule) Slot(now time.Time, source, generationID string, targets Targets) (TransferSlot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignSlots(now, s.link(now, source), targets)
	b, ok := s.slots[generationID]
	return b, ok
}

// assignSlots orders the pending copies of a link and assigns their slots.
//
// One after the other, each copy pauses its generation for a few milliseconds; in parallel, each
// generation would be stopped until all the other copies are done. The smallest copies go first,
// which saves the most generations if not all can be.
func (s *Schedule) assignSlots(now time.Time, from *link, targets Targets) {
	if len(from.pending) == 0 || now.Before(from.decideAt) {
		return
	}
	slices.SortStableFunc(from.pending, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.GenerationID, b.GenerationID))
	})
	for _, c := range from.pending {
		if t, ok := s.earliestTarget(now, from, targets.Candidates(c)); ok {
			targets.Reserve(c, t)
			at := s.earliestStart(now, from, t)
			from.freeAt, s.link(now, t.ID).freeAt = at.Add(t.Duration), at.Add(t.Duration)
			s.slots[c.GenerationID] = TransferSlot{Start: at, Target: t.ID, Duration: t.Duration}
		}
	}
	from.pending = nil
}

// earliestTarget chooses the target on which the copy ends first.
//
// By free memory alone, copies from engines that shut down together would wait for one engine's
// link while others are idle.
func (s *Schedule) earliestTarget(now time.Time, from *link, targets []Target) (Target, bool) {
	best := -1
	var end time.Time
	for i, t := range targets {
		at := s.earliestStart(now, from, t).Add(t.Duration)
		if best < 0 || at.Before(end.Add(-minTimeSaved)) {
			best, end = i, at
		}
	}
	if best < 0 {
		return Target{}, false
	}
	return targets[best], true
}

// earliestStart returns when both links of a copy are free.
func (s *Schedule) earliestStart(now time.Time, from *link, t Target) time.Time {
	at := now
	for _, l := range []*link{from, s.link(now, t.ID)} {
		if l.freeAt.After(at) {
			at = l.freeAt
		}
	}
	return at
}

func (s *Schedule) link(now time.Time, engine string) *link {
	l, ok := s.links[engine]
	if !ok {
		l = &link{}
		s.links[engine] = l
	}
	l.lastUsed = now
	return l
}

func (s *Schedule) removeExpired(now time.Time) {
	for id, l := range s.links {
		if now.Sub(l.lastUsed) > slotTTL {
			delete(s.links, id)
		}
	}
	for id, b := range s.slots {
		if now.Sub(b.Start) > slotTTL {
			delete(s.slots, id)
		}
	}
}
