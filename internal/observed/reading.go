package observed

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reading is what a read of a part of the platform had, and when: its own or
// that of another instance.
type Reading struct {
	// Mark tells contents apart: the version of a configuration, the names of
	// the zones or the servers with their states.
	Mark uint64
	At   time.Time
}

// Reading returns the newest reading that had what is known here.
func (s *State) Reading(p Part) Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Reading{Mark: s.mark(p), At: s.read[p]}
}

// Told notes what another instance has read. Where it is what is known here, it
// is as good as an own read. Where it differs and is newer, something hasn't
// been heard here.
func (s *State) Told(now time.Time, p Part, r Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Mark == s.mark(p):
		s.noteRead(r.At, p)
	case r.At.After(s.altered[p]) && s.suspect[p].IsZero():
		s.suspect[p] = now
	}
}

// Read notes that a read of the platform at a time had what is known.
func (s *State) Read(at time.Time, p Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteRead(at, p)
}

// alter notes that what is known has changed.
func (s *State) alter(now time.Time, p Part) {
	s.altered[p], s.suspect[p] = now, time.Time{}
}

// noteRead notes a read that had what is known.
func (s *State) noteRead(at time.Time, p Part) {
	s.suspect[p] = time.Time{}
	if at.After(s.read[p]) {
		s.read[p] = at
	}
	if p == Configuration || p == Zones {
		s.confirm(at, p)
	}
}

// Suspect returns since when another instance is known to have read something
// else, or nothing.
func (s *State) Suspect(p Part) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspect[p]
}

func (s *State) mark(p Part) uint64 {
	switch p {
	case Zones:
		return xxhash.Sum64String(strings.Join(slices.Sorted(maps.Keys(s.zones)), "\n"))
	case Servers:
		return s.serversMark()
	}
	return uint64(s.versions[Configuration])
}

// serversMark adds up marks of the entries, in whatever order they come.
func (s *State) serversMark() uint64 {
	var sum uint64
	for id := range s.servers {
		server := s.servers[id]
		if server.missingSince.IsZero() {
			sum += xxhash.Sum64String(id + "\n" + server.Address + "\n" + server.Zone + "\n" + strconv.FormatBool(server.told))
		}
	}
	return sum
}
