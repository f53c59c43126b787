// Package observed holds what an instance knows of its deployment: the
// configuration in force, the backend servers and the availability zones that
// are taken out. Each part has a version and the time at which it was last
// confirmed, and never goes back to an older version.
//
// # Usage
//
//	state := observed.NewState()
//	f := observed.NewFollower(observed.Options{State: state, Objects: client, Dialect: d})
//	go f.Run(ctx)
//	table := state.Table()
//	servers := state.Servers("flight-llm")
package observed

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Part is one part of what is known.
type Part int

// The parts.
const (
	Configuration Part = iota
	Servers
	Zones
	Rollouts
	parts
)

// Parts returns all parts.
func Parts() []Part { return []Part{Configuration, Servers, Zones, Rollouts} }

// Valid reports whether there is such a part.
func (p Part) Valid() bool { return p >= Configuration && p < parts }

// returnTime is how long entries of backend servers that expired during an
// outage of the platform may stay missing after it: servers that work renew
// theirs within two seconds.
const returnTime = 2200 * time.Millisecond

// silence is after how long without an answer of the platform to anybody the
// entries of servers may have expired.
const silence = 3 * time.Second

// Server is a backend server with the time until which it is cold.
type Server struct {
	dialect.Server
	ColdUntil time.Time
	// Since is when this start of the server was first listed.
	Since time.Time
}

// entry is what is known of a server.
type entry struct {
	Server
	// listed is the platform's entry; the server itself may have said before
	// the platform that it leaves.
	listed dialect.Server
	// missingSince is set while the entry is missing after an outage.
	missingSince time.Time
	// retired servers end with a roll-out that is completed.
	retired bool
}

// State is what an instance knows. It is safe for concurrent use.
type State struct {
	table atomic.Pointer[routes.Table]
	// offered are the servers by service that requests are placed on, in order of
	// their ids. Neither the map nor the lists are changed once made.
	offered atomic.Pointer[map[string][]Server]
	// canaries are those of the new version of a roll-out that is a canary.
	canaries atomic.Pointer[map[string][]Server]

	mu      sync.Mutex
	servers map[string]entry
	// touched are the servers, by service, that changed since offered was made.
	touched   map[string]map[string]bool
	zones     map[string]bool
	releases  releases
	versions  [parts]int64
	confirmed [parts]time.Time
	// marks tell contents apart, whatever their versions.
	marks [parts]uint64
	// readings are the newest reads in full of what is known, here or elsewhere;
	// suspect is since when another instance is known to have read otherwise.
	readings [parts]Reading
	suspect  [parts]time.Time
	// contact is when the platform last answered any instance known here, lostAt
	// when it last failed to answer this one.
	contact, lostAt time.Time
	// log holds the changes of the servers after logFrom.
	log     []logged
	gaps    []gap
	logFrom int64
	raw     []byte
	// returning is until when missing entries may come back.
	returning time.Time
	changed   chan struct{}
}

// NewState returns a state that knows nothing.
func NewState() *State {
	s := &State{
		servers: map[string]entry{}, touched: map[string]map[string]bool{}, zones: map[string]bool{}, releases: newReleases(), changed: make(chan struct{}, 1),
	}
	s.marks[Zones] = zonesMark(s.zones)
	s.marks[Rollouts] = rolloutsMark(nil)
	s.offered.Store(&map[string][]Server{})
	s.canaries.Store(&map[string][]Server{})
	return s
}

// Changed has an entry after servers or zones have changed. It holds one: a
// reader that is behind looks at the newest state anyway.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Table returns the configuration in force, or nil while none is known.
func (s *State) Table() *routes.Table { return s.table.Load() }

// Known reports whether each part is known: before, an instance could send a
// request to a zone that is taken out.
func (s *State) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, version := range s.versions {
		if version == 0 && (Part(p) != Rollouts || s.releases.followed) {
			return false
		}
	}
	return true
}

// Servers returns the backend servers of a service that may get new requests:
// those that aren't leaving, whose availability zone isn't taken out and whose
// version is in service.
func (s *State) Servers(service string) []Server { return (*s.offered.Load())[service] }

// Canaries returns the servers of a version whose roll-out is a canary.
func (s *State) Canaries(service string) []Server { return (*s.canaries.Load())[service] }

// Server returns a backend server, or false when it isn't listed.
func (s *State) Server(id string) (Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	return e.Server, ok
}

// Version returns the version of a part and when it was last confirmed.
func (s *State) Version(p Part) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[p], s.confirmed[p]
}

// Age returns for how long a part wasn't confirmed.
func (s *State) Age(now time.Time, p Part) time.Duration {
	_, at := s.Version(p)
	return now.Sub(at)
}

// Configure takes over a configuration and reports whether it is newer. Raw is
// what it was read from, which other instances are given.
func (s *State) Configure(now time.Time, cfg routes.Configuration, raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(now, Configuration)
	if current := s.table.Load(); current != nil && cfg.Version <= current.Version {
		return false
	}
	s.table.Store(routes.NewTable(cfg))
	s.versions[Configuration] = cfg.Version
	s.raw = raw
	s.alter(Configuration, uint64(cfg.Version))
	return true
}

// RawConfiguration returns what the configuration was read from, and its version.
func (s *State) RawConfiguration() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raw, s.versions[Configuration]
}

// SameConfiguration confirms the configuration where this is what it was read from,
// and reports whether it is.
func (s *State) SameConfiguration(now time.Time, raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil || !bytes.Equal(raw, s.raw) {
		return false
	}
	s.confirm(now, Configuration)
	return true
}

// Confirm notes that a part is heard of.
func (s *State) Confirm(now time.Time, p Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteContact(now)
	s.confirm(now, p)
}

func (s *State) confirm(now time.Time, p Part) {
	if now.After(s.confirmed[p]) {
		s.confirmed[p] = now
	}
}

// Lost notes that the platform didn't answer.
func (s *State) Lost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = now
}

// Outage reports whether the platform doesn't answer, neither this instance nor
// any that it hears of.
func (s *State) Outage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero() && !s.contact.After(s.lostAt)
}

// Returned notes that the platform answers again after an outage.
func (s *State) Returned(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = time.Time{}
	s.returning = now.Add(returnTime)
}

// noteContact notes that the platform answered some instance. After a silence longer
// than its servers' heartbeats entries may be missing that will be back.
func (s *State) noteContact(at time.Time) {
	if !s.contact.IsZero() && at.Sub(s.contact) > silence {
		s.returning = at.Add(returnTime)
	}
	if at.After(s.contact) {
		s.contact = at
	}
}

// MarkLeaving notes that a server itself says that it leaves, where the
// platform doesn't tell.
func (s *State) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	if !ok || e.Leaving {
		return
	}
	e.Leaving = true
	s.put(e)
	s.publish()
}

// Sweep drops entries that stayed missing after an outage.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.returning) {
		return
	}
	for id, e := range s.servers {
		if !e.missingSince.IsZero() {
			s.drop(id)
		}
	}
	if len(s.touched) > 0 {
		s.publish()
	}
}

// ReplaceZones takes over the availability zones that are taken out.
func (s *State) ReplaceZones(now time.Time, version int64, zones []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.versions[Zones] {
		return false
	}
	s.versions[Zones] = version
	s.confirm(now, Zones)
	s.zones = map[string]bool{}
	for _, zone := range zones {
		s.zones[zone] = true
	}
	s.alter(Zones, zonesMark(s.zones))
	s.touchAll()
	s.publish()
	return true
}

// ZonesOut returns the availability zones that are taken out, and as of which
// version.
func (s *State) ZonesOut() ([]string, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.zones)), s.versions[Zones]
}
