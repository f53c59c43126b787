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
	// forgetAfter is when the plan of a link is dropped. No engine that leaves
	// stays that long.
	forgetAfter = 10 * time.Second
)

// Copy is one copy that is to be given its turn.
type Copy struct {
	// Run is the id of the generation.
	Run string
	// From and To are the engines whose links it takes, Takes for how long.
	From, To string
	Takes    time.Duration
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
	begins map[string]begin
}

type begin struct{ at, noted time.Time }

// NewSchedule returns an empty plan.
func NewSchedule() *Schedule {
	return &Schedule{links: map[string]*link{}, begins: map[string]begin{}}
}

// Add notes that a copy is wanted and returns when its turn is decided.
func (s *Schedule) Add(now time.Time, c Copy) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	delete(s.begins, c.Run)
	from := s.link(now, c.From)
	s.settle(now, from)
	if len(from.waiting) == 0 {
		from.decide = now.Add(gather)
	}
	from.waiting = append(from.waiting, c)
	return from.decide
}

// Begin returns when a copy that was added from an engine has its turn.
func (s *Schedule) Begin(now time.Time, from, run string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now, s.link(now, from))
	if b, ok := s.begins[run]; ok {
		return b.at
	}
	return now
}

// settle decides the order of the asks that have been collected.
//
// Load: an engine with a dozen generations leaves in one and a half seconds,
// and its link takes a tenth to a quarter of a second for each. Harm: asked for
// at once, each is stopped behind the whole copies of all others; callers wait
// for a second, and those that are last are cut with all that was copied of
// them. In turn, each stands still for a few milliseconds. The smallest go
// first, as most are saved so where not all can be.
func (s *Schedule) settle(now time.Time, from *link) {
	if len(from.waiting) == 0 || now.Before(from.decide) {
		return
	}
	slices.SortStableFunc(from.waiting, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Takes, b.Takes), cmp.Compare(a.Run, b.Run))
	})
	for _, c := range from.waiting {
		to := s.link(now, c.To)
		at := now
		for _, l := range []*link{from, to} {
			if l.free.After(at) {
				at = l.free
			}
		}
		from.free, to.free = at.Add(c.Takes), at.Add(c.Takes)
		s.begins[c.Run] = begin{at: at, noted: now}
	}
	from.waiting = nil
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
	for id, b := range s.begins {
		if now.Sub(b.noted) > forgetAfter {
			delete(s.begins, id)
		}
	}
}
