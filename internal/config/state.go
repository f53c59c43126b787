package config

import (
	"maps"
)

// state is one version of all parts. It is immutable.
type state struct {
	// version is the version of the head object; 0 before the first change.
	version int64
	head    head
	parts   parts
	// changed holds for each part a version at or after its last change, and removed the same for
	// removed parts. With them a peer that lags gets only the changes that it lacks.
	changed map[string]int64
	removed map[string]int64
	// removedSince is the oldest version from which removed is complete.
	removedSince int64
}

// maxRemoved limits the removed parts that are recorded. A peer that lags further than they reach
// gets all parts.
const maxRemoved = 1000

// newState returns a state that holds exactly the parts p at a version.
func newState(version int64, h head, p parts) *state {
	s := &state{version: version, head: h, parts: p, changed: make(map[string]int64, len(p)), removed: map[string]int64{}, removedSince: version}
	for name := range p {
		s.changed[name] = version
	}
	return s
}

// next returns the state at a version, with the changes puts and removals applied to s.
func (s *state) next(version int64, h head, puts parts, removals []string) *state {
	n := &state{
		version:      version,
		head:         h,
		parts:        maps.Clone(s.parts),
		changed:      maps.Clone(s.changed),
		removed:      maps.Clone(s.removed),
		removedSince: s.removedSince,
	}
	for name, value := range puts {
		n.parts[name] = value
		n.changed[name] = version
		delete(n.removed, name)
	}
	for _, name := range removals {
		delete(n.parts, name)
		delete(n.changed, name)
		n.removed[name] = version
	}
	if len(n.removed) > maxRemoved {
		n.removed = map[string]int64{}
		n.removedSince = version
	}
	return n
}

// apply returns the state after records, which follow s in order. All their parts get the version
// of the newest head, since no reader sees a version in between.
func (s *state) apply(version int64, h head, records []record) *state {
	puts, removed := parts{}, map[string]bool{}
	for _, r := range records {
		for name, value := range r.Puts {
			puts[name] = value
			delete(removed, name)
		}
		for _, name := range r.Removed {
			delete(puts, name)
			removed[name] = true
		}
	}
	removals := make([]string, 0, len(removed))
	for name := range removed {
		removals = append(removals, name)
	}
	return s.next(version, h, puts, removals)
}

// emptyState returns the state before the first change.
func emptyState() *state {
	return newState(0, head{}, parts{})
}
