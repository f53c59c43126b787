package observed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// Reading is the newest read in full of a part of the platform, by whichever
// instance.
type Reading struct {
	// Version is what was read: the version of a configuration, the platform's
	// revision otherwise. Mark tells contents apart.
	Version int64
	Mark    uint64
	At      time.Time
}

// Seen is what an instance has of one part of the platform, as others are told.
type Seen struct {
	Version int64  `json:"version"`
	Mark    uint64 `json:"mark"`
	// ReadVersion, ReadMark and ReadAge are the newest reading; the age is in
	// milliseconds, negative where there is none.
	ReadVersion int64  `json:"readVersion"`
	ReadMark    uint64 `json:"readMark"`
	ReadAge     int64  `json:"readAge"`
	// HeardAge is for how long a change may not have been heard, in milliseconds.
	HeardAge int64 `json:"heardAge"`
}

// Versions is what an instance has of each part.
type Versions [parts]Seen

// Update brings another instance up to date.
type Update struct {
	Versions Versions `json:"versions"`
	// Changes of the servers lead to the version in Versions from the version
	// From, and from any that isn't below Least.
	From    int64    `json:"from"`
	Least   int64    `json:"least"`
	Changes []Change `json:"changes,omitempty"`
	// Servers are all servers where Whole is set, in place of changes.
	Whole   bool             `json:"whole,omitempty"`
	Servers []dialect.Server `json:"servers,omitempty"`
	// Zones are the availability zones taken out.
	Zones []string `json:"zones,omitempty"`
	// Rollouts are all roll-outs with their stages.
	Rollouts []dialect.Rollout `json:"rollouts,omitempty"`
}

// Versions returns what is known here.
func (s *State) Versions(now time.Time) Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen(now)
}

func (s *State) seen(now time.Time) Versions {
	var v Versions
	for p := range v {
		r := s.readings[p]
		v[p] = Seen{Version: s.versions[p], Mark: s.marks[p], ReadVersion: r.Version, ReadMark: r.Mark, ReadAge: -1, HeardAge: -1}
		if !r.At.IsZero() {
			v[p].ReadAge = now.Sub(r.At).Milliseconds()
		}
		if !s.confirmed[p].IsZero() {
			v[p].HeardAge = now.Sub(s.confirmed[p]).Milliseconds()
		}
	}
	return v
}

// Behind reports whether another instance has something newer.
func (s *State) Behind(v Versions) bool { return s.BehindBeside(v, -1) }

// BehindBeside reports whether another instance has something newer beside one
// part.
func (s *State) BehindBeside(v Versions, beside Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range v {
		if Part(p) != beside && v[p].Version > s.versions[p] && v[p].Mark != s.marks[p] {
			return true
		}
	}
	return false
}

// UpdateFor returns what an instance needs that has these versions.
func (s *State) UpdateFor(now time.Time, has Versions) Update {
	return s.UpdateSince(now, has[Servers].Version)
}

// UpdateSince returns what has changed since a version of the servers. The
// configuration isn't part of it: it is large, and fetched by those that lack it.
func (s *State) UpdateSince(now time.Time, servers int64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Versions: s.seen(now), From: servers, Zones: slices.Sorted(maps.Keys(s.zones)), Rollouts: s.listRollouts()}
	changes, least, ok := s.since(now, servers)
	if !ok || servers == 0 {
		u.Whole, u.Servers = true, s.all(now)
		return u
	}
	u.Changes, u.Least = changes, least
	return u
}

// Apply takes over an update and reports whether changes are missing before it.
func (s *State) Apply(now time.Time, u *Update) (missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteContactOf(now, &u.Versions)
	at := u.Versions[Servers].Version
	switch {
	case u.Whole && at > s.versions[Servers]:
		s.replaceServers(now, at, u.Servers)
	case !u.Whole:
		missing = !s.changeServers(now, u.From, u.Least, at, u.Changes)
	}
	if v := u.Versions[Zones].Version; v > s.versions[Zones] {
		s.zones = map[string]bool{}
		for _, zone := range u.Zones {
			s.zones[zone] = true
		}
		s.versions[Zones] = v
		s.alter(Zones, zonesMark(s.zones))
		s.touchAll()
		s.publish()
	}
	if v := u.Versions[Rollouts].Version; v > s.versions[Rollouts] {
		s.replaceRollouts(now, v, u.Rollouts)
	}
	for i := range u.Rollouts {
		s.setStage(u.Rollouts[i].ID, u.Rollouts[i].Stage)
	}
	s.takeVersions(now, &u.Versions)
	return missing
}

// MergeVersions notes what another instance has. Where it is what is known here, its
// readings are as good as own ones.
func (s *State) MergeVersions(now time.Time, v Versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteContactOf(now, &v)
	s.takeVersions(now, &v)
}

// noteContactOf notes when the platform last answered the teller.
func (s *State) noteContactOf(now time.Time, v *Versions) {
	for _, age := range []int64{v[Servers].ReadAge, v[Servers].HeardAge} {
		if age >= 0 {
			s.noteContact(before(now, age))
		}
	}
}

func (s *State) takeVersions(now time.Time, v *Versions) {
	for i := range v {
		p, seen := Part(i), &v[i]
		if seen.Version == 0 {
			continue
		}
		if seen.Mark == s.marks[p] && seen.Version > s.versions[p] && p != Configuration {
			if p == Servers {
				s.noteGap(s.versions[p], seen.Version)
			}
			s.versions[p] = seen.Version
		}
		if seen.Mark == s.marks[p] && seen.HeardAge >= 0 && p == Servers {
			s.confirm(before(now, seen.HeardAge), p)
		}
		if seen.ReadAge < 0 {
			continue
		}
		r := Reading{Version: seen.ReadVersion, Mark: seen.ReadMark, At: before(now, seen.ReadAge)}
		switch {
		case s.versions[p] > r.Version, s.marks[p] == r.Mark:
			s.noteRead(p, r)
		case r.At.After(s.readings[p].At) && s.suspect[p].IsZero():
			s.suspect[p] = now
		}
	}
}

func before(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// Reading returns the newest reading that had what is known here.
func (s *State) Reading(p Part) Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readings[p]
}

// Mark tells the contents of a part apart.
func (s *State) Mark(p Part) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks[p]
}

// Read notes that a read in full that began at a time had what is known.
func (s *State) Read(at time.Time, p Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteContact(at)
	s.noteRead(p, Reading{Version: s.versions[p], Mark: s.marks[p], At: at})
}

func (s *State) noteRead(p Part, r Reading) {
	s.suspect[p] = time.Time{}
	if r.At.After(s.readings[p].At) {
		s.readings[p] = r
	}
	if p != Servers {
		s.confirm(r.At, p)
	}
	if p == Rollouts {
		s.settle(r.At)
	}
}

// alter notes a change of what is known.
func (s *State) alter(p Part, mark uint64) {
	if s.marks[p] != mark {
		s.marks[p], s.suspect[p] = mark, time.Time{}
	}
}

// Suspect returns since when another instance is known to have read something
// else, or nothing.
func (s *State) Suspect(p Part) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspect[p]
}

// Doubt notes that the platform has other roll-outs than are known here.
func (s *State) Doubt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspect[Rollouts].IsZero() {
		s.suspect[Rollouts] = now
	}
}

func zonesMark(zones map[string]bool) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(maps.Keys(zones)), "\n"))
}
