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
	parts
)

// Parts returns all parts.
func Parts() []Part { return []Part{Configuration, Servers, Zones} }

// Valid reports whether there is such a part.
func (p Part) Valid() bool { return p >= Configuration && p < parts }

// returnTime is how long entries of backend servers that expired during an
// outage of the platform may stay missing after it.
//
// The failure: the platform drops entries that weren't renewed while it was
// down, although the servers work. An instance that believed the first list
// after the outage would refuse requests while servers stand free. The platform
// says that such entries are back within two seconds.
const returnTime = 2200 * time.Millisecond

// Server is a backend server with the time until which it is cold.
type Server struct {
	dialect.Server
	ColdUntil time.Time
	// told is whether the platform says that it leaves; the server itself may
	// have said so before.
	told bool
	// missingSince is set while the entry is missing after an outage.
	missingSince time.Time
}

// State is what an instance knows. It is safe for concurrent use.
type State struct {
	table atomic.Pointer[routes.Table]
	view  atomic.Pointer[view]
	// outage is set while calls to the platform fail.
	outage atomic.Bool

	mu        sync.Mutex
	servers   map[string]Server
	zones     map[string]bool
	versions  [parts]int64
	confirmed [parts]time.Time
	// read is as of when a read of the platform, here or by another instance,
	// had what is known; suspect is since when another has read otherwise.
	read    [parts]time.Time
	suspect [parts]time.Time
	// altered is when what is known last changed.
	altered [parts]time.Time
	raw     []byte
	// returning is until when missing entries may come back.
	returning time.Time
	changed   chan struct{}
}

// view is what requests are placed by. It isn't changed after it was made.
type view struct {
	byService map[string][]Server
	byID      map[string]Server
	zones     map[string]bool
}

// NewState returns a state that knows nothing.
func NewState() *State {
	s := &State{servers: map[string]Server{}, zones: map[string]bool{}, changed: make(chan struct{}, 1)}
	s.publish()
	return s
}

// Changed has an entry after servers or zones have changed. It holds one: a
// reader that is behind looks at the newest state anyway.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Table returns the configuration in force, or nil while none is known.
func (s *State) Table() *routes.Table { return s.table.Load() }

// Servers returns the backend servers of a service that may get new requests:
// those that aren't leaving and whose availability zone isn't taken out.
func (s *State) Servers(service string) []Server { return s.view.Load().byService[service] }

// Server returns a backend server, or false when it isn't listed.
func (s *State) Server(id string) (Server, bool) {
	server, ok := s.view.Load().byID[id]
	return server, ok
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
	s.alter(now, Configuration)
	return true
}

// RawConfiguration returns what the configuration was read from.
func (s *State) RawConfiguration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raw
}

// Confirm notes that a part is still what it was at version.
func (s *State) Confirm(now time.Time, p Part, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.versions[p] || p == Configuration {
		s.confirm(now, p)
	}
	if p != Configuration {
		s.versions[p] = max(s.versions[p], version)
	}
}

func (s *State) confirm(now time.Time, p Part) {
	if now.After(s.confirmed[p]) {
		s.confirmed[p] = now
	}
}

// Lost notes that the platform doesn't answer.
func (s *State) Lost() { s.outage.Store(true) }

// Outage reports whether the platform doesn't answer.
func (s *State) Outage() bool { return s.outage.Load() }

// Returned notes that the platform answers again after an outage.
func (s *State) Returned(now time.Time) {
	s.outage.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returning = now.Add(returnTime)
}

// ReplaceServers takes over a whole list as of version.
func (s *State) ReplaceServers(now time.Time, version int64, list []dialect.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.versions[Servers] {
		return false
	}
	s.versions[Servers] = version
	s.confirm(now, Servers)
	before := s.serversMark()
	listed := make(map[string]bool, len(list))
	for _, server := range list {
		listed[server.ID] = true
		s.put(now, server)
	}
	for id := range s.servers {
		if !listed[id] {
			s.remove(now, id)
		}
	}
	if s.serversMark() != before {
		s.alter(now, Servers)
	}
	s.publish()
	return true
}

// PutServer takes over one entry, RemoveServer its end.
func (s *State) PutServer(now time.Time, server dialect.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(now, server)
	s.alter(now, Servers)
	s.publish()
}

// RemoveServer notes that an entry is gone.
func (s *State) RemoveServer(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(now, id)
	s.alter(now, Servers)
	s.publish()
}

// MarkLeaving notes that a server itself says that it leaves, where the
// platform doesn't tell.
func (s *State) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.servers[id]
	if !ok || server.Leaving {
		return
	}
	server.Leaving = true
	s.servers[id] = server
	s.publish()
}

func (s *State) put(now time.Time, server dialect.Server) {
	s.servers[server.ID] = Server{Server: server, told: server.Leaving, ColdUntil: now.Add(server.ColdFor)}
}

func (s *State) remove(now time.Time, id string) {
	server, ok := s.servers[id]
	if !ok {
		return
	}
	if now.Before(s.returning) && !server.Leaving {
		if server.missingSince.IsZero() {
			server.missingSince = now
			s.servers[id] = server
		}
		return
	}
	delete(s.servers, id)
}

// Sweep drops entries that stayed missing after an outage.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.returning) {
		return
	}
	n := len(s.servers)
	maps.DeleteFunc(s.servers, func(_ string, server Server) bool { return !server.missingSince.IsZero() })
	if len(s.servers) != n {
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
	before := s.mark(Zones)
	s.zones = map[string]bool{}
	for _, zone := range zones {
		s.zones[zone] = true
	}
	if s.mark(Zones) != before {
		s.alter(now, Zones)
	}
	s.publish()
	return true
}

// Listed returns the servers and as of which version, for other instances.
func (s *State) Listed() (servers []dialect.Server, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		servers = append(servers, server.Server)
	}
	return servers, s.versions[Servers]
}

// ZonesOut returns the availability zones that are taken out, and as of which
// version.
func (s *State) ZonesOut() ([]string, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.zones)), s.versions[Zones]
}

// publish makes the view that requests are placed by.
func (s *State) publish() {
	v := &view{byService: map[string][]Server{}, byID: maps.Clone(s.servers), zones: maps.Clone(s.zones)}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		server := s.servers[id]
		if !server.Leaving && !s.zones[server.Zone] {
			v.byService[server.Service] = append(v.byService[server.Service], server)
		}
	}
	s.view.Store(v)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
