package planner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// gather is how long asks for one link are collected before their order is
	// decided: instances hear that an engine leaves within some milliseconds of
	// each other. It is a tenth of a usual copy.
	gather = 20 * time.Millisecond
	// aboutSame is how much sooner a copy must be at one engine than at another
	// to be sent there in spite of less room: a quarter of a usual copy.
	aboutSame = 50 * time.Millisecond
	// forgetAfter is when the plan of a link is dropped. No engine that leaves
	// stays that long.
	forgetAfter = 10 * time.Second
)

// Copy is one copy that is to be given its turn.
type Copy struct {
	// Run is the id of the generation, By the instance that relays it, From the
	// engine that it leaves.
	Run  string
	By   string
	From string
	// Tokens are in memory now.
	Tokens int
}

// Target is an engine that has room for a copy, which takes the links of both
// for so long.
type Target struct {
	ID    string
	Takes time.Duration
}

// Targets knows the engines that have room.
type Targets interface {
	// For returns them, the best first.
	For(c Copy) []Target
	// Take counts the copy on the engine that was chosen.
	Take(c Copy, t Target)
}

// Booked is the turn of a copy: when it begins, and to which engine it goes.
type Booked struct {
	At    time.Time
	To    string
	Takes time.Duration
}

// link is the plan of one engine's link.
type link struct {
	// free is when the copies planned so far are over.
	free time.Time
	// waiting are asks whose order is decided at decide.
	waiting []Copy
	decide  time.Time
	used    time.Time
}

// Schedule plans the links of engines. It is safe for concurrent use.
type Schedule struct {
	mu     sync.Mutex
	links  map[string]*link
	booked map[string]Booked
}

// NewSchedule returns an empty plan.
func NewSchedule() *Schedule {
	return &Schedule{links: map[string]*link{}, booked: map[string]Booked{}}
}

// Add notes that a copy is wanted and returns when its turn is decided.
func (s *Schedule) Add(now time.Time, c Copy) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	delete(s.booked, c.Run)
	from := s.link(now, c.From)
	if len(from.waiting) == 0 {
		from.decide = now.Add(gather)
	}
	from.waiting = append(from.waiting, c)
	return from.decide
}

// Turn returns the turn of a copy that was added, or false where no engine has
// room for it. The first call after the turns of an engine's copies are due
// decides all of them.
func (s *Schedule) Turn(now time.Time, from, run string, targets Targets) (Booked, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now, s.link(now, from), targets)
	b, ok := s.booked[run]
	return b, ok
}

// settle decides the order of the asks that have been collected.
//
// In turn, each generation stands still for a few milliseconds; all at once, each
// would be stopped behind the whole copies of all others. The smallest go first,
// as most are saved so where not all can be.
func (s *Schedule) settle(now time.Time, from *link, targets Targets) {
	if len(from.waiting) == 0 || now.Before(from.decide) {
		return
	}
	slices.SortStableFunc(from.waiting, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Run, b.Run))
	})
	for _, c := range from.waiting {
		if t, ok := s.soonest(now, from, targets.For(c)); ok {
			targets.Take(c, t)
			at := s.begin(now, from, t)
			from.free, s.link(now, t.ID).free = at.Add(t.Takes), at.Add(t.Takes)
			s.booked[c.Run] = Booked{At: at, To: t.ID, Takes: t.Takes}
		}
	}
	from.waiting = nil
}

// soonest chooses the target that the copy is at first.
//
// Chosen by free memory alone, copies of engines that leave together would wait
// for one engine's link while others stand idle.
func (s *Schedule) soonest(now time.Time, from *link, targets []Target) (Target, bool) {
	best := -1
	var end time.Time
	for i, t := range targets {
		at := s.begin(now, from, t).Add(t.Takes)
		if best < 0 || at.Before(end.Add(-aboutSame)) {
			best, end = i, at
		}
	}
	if best < 0 {
		return Target{}, false
	}
	return targets[best], true
}

// begin is when a copy to a target can begin: when both links are free.
func (s *Schedule) begin(now time.Time, from *link, t Target) time.Time {
	at := now
	for _, l := range []*link{from, s.link(now, t.ID)} {
		if l.free.After(at) {
			at = l.free
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
	l.used = now
	return l
}

func (s *Schedule) forget(now time.Time) {
	for id, l := range s.links {
		if now.Sub(l.used) > forgetAfter {
			delete(s.links, id)
		}
	}
	for id, b := range s.booked {
		if now.Sub(b.At) > forgetAfter {
			delete(s.booked, id)
		}
	}
}
