// Package platformstate holds what an instance knows of its deployment: the configuration, the
// backend servers, the drained zones and the rollouts. Each of these resources has a
// version and the time at which it was last confirmed, and never goes back to an older
// version.
//
// # Usage
//
//	state := platformstate.NewState()
//	f := platformstate.NewFollower(platformstate.Options{State: state, Objects: client, Dialect: d})
//	go f.Run(ctx)
//	table := state.Table()
//	servers := state.Servers("flight-llm")
package platformstate

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Resource is a part of the platform state. It is sent to other instances as an array
// index.
type Resource int

// The resources.
const (
	Configuration Resource = iota
	Servers
	Zones
	Rollouts
	resourceCount
)

// Resources returns all resources.
func Resources() []Resource { return []Resource{Configuration, Servers, Zones, Rollouts} }

// Valid reports whether the resource exists.
func (res Resource) Valid() bool { return res >= Configuration && res < resourceCount }

// Server is a backend server with the time until which it is cold. Published servers are shared and
// must not be changed.
type Server struct {
	dialect.Server
	ColdUntil time.Time
	// ListedSince is when this incarnation of the server was first listed.
	ListedSince time.Time
}

// entry is the state of one server.
type entry struct {
	*Server
	// listedLeaving is whether the platform lists the server as leaving. The server itself may
	// have given a shutdown notice before.
	listedLeaving bool
	// missingUntil is set while the entry is missing after the platform was silent.
	missingUntil time.Time
	// appearedAt is when the entry was first listed, or listed again after it was missing.
	appearedAt time.Time
	// retired is set on servers that shut down after a completed rollout.
	retired bool
}

// State is an instance's knowledge of its deployment. It is safe for concurrent use.
type State struct {
	table atomic.Pointer[routes.Table]
	// eligible holds the servers that may get requests, by service, in order of their IDs.
	// Neither the map nor the lists change after publication.
	eligible atomic.Pointer[map[string][]*Server]
	// canaries holds the servers of new versions whose rollout is at the canary stage.
	canaries atomic.Pointer[map[string][]*Server]

	mu      sync.Mutex
	servers map[string]entry
	// departed holds the servers that have announced themselves that they leave, with the start time
	// of their incarnation.
	departed map[string]int64
	// touched holds the IDs of the servers, by service, that changed since eligible was
	// published.
	touched   map[string]map[string]bool
	zones     map[string]bool
	releases  releases
	versions  [resourceCount]int64
	confirmed [resourceCount]time.Time
	// hashes tell contents apart, whatever their versions.
	hashes [resourceCount]uint64
	// listings are the newest lists that matched the state, by any instance; divergedSince is
	// since when another instance is known to have listed different contents.
	listings      [resourceCount]Listing
	divergedSince [resourceCount]time.Time
	// answered is when the platform answered any known instance. It last answered this one at
	// lastAnswer or later, and last failed to answer it at failedAt.
	answered             answered
	lastAnswer, failedAt time.Time
	// heardAt is when another instance last sent its versions.
	heardAt time.Time
	// names holds one copy of each name of a service, zone or software version.
	names map[string]string
	// changeLog holds the changes of the servers after version logFrom.
	changeLog     []loggedChange
	missingRanges []missingRange
	logFrom       int64
	raw           []byte
	// missing is the number of missing entries, newlyMissing has the IDs of the servers that were
	// marked missing since the last publish.
	missing      int
	newlyMissing []string
	log          zerolog.Logger
	changed      chan struct{}
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{
		servers: map[string]entry{}, departed: map[string]int64{}, touched: map[string]map[string]bool{}, zones: map[string]bool{}, names: map[string]string{}, releases: newReleases(), changed: make(chan struct{}, 1),
	}
	s.SetServerHeartbeat(defaultServerHeartbeat, DefaultPropagationLimits.Servers)
	s.hashes[Zones] = zonesHash(s.zones)
	s.hashes[Rollouts] = rolloutsHash(nil)
	s.eligible.Store(&map[string][]*Server{})
	s.canaries.Store(&map[string][]*Server{})
	return s
}

// SetLog makes the state log servers that go missing or are dropped. It must be called before the
// state is shared.
func (s *State) SetLog(log zerolog.Logger) { s.log = log }

// SetServerHeartbeat sets how often backend servers renew their entries, and the time within which
// changes of servers must take effect. It must be called before the state is shared.
func (s *State) SetServerHeartbeat(interval, propagation time.Duration) {
	s.answered.limits = newSilenceLimits(interval, propagation)
}

// Changed receives a value after servers or zones have changed. It holds at most one: a
// slow reader reads the newest state in any case.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Table returns the routing table of the current configuration, or nil if there is none.
func (s *State) Table() *routes.Table { return s.table.Load() }

// Known reports whether each resource is known. Until then an instance could send a
// request to a drained zone.
func (s *State) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for res, version := range s.versions {
		if version == 0 && (Resource(res) != Rollouts || s.releases.enabled) {
			return false
		}
	}
	return true
}

// Servers returns the backend servers of a service that may get new requests: those that
// aren't shutting down, whose zone isn't drained and whose version is in service.
func (s *State) Servers(service string) []*Server { return (*s.eligible.Load())[service] }

// Eligible returns one of the servers that [State.Servers] returns.
func (s *State) Eligible(service, id string) (*Server, bool) {
	list := s.Servers(service)
	at, ok := slices.BinarySearchFunc(list, id, func(server *Server, id string) int { return strings.Compare(server.ID, id) })
	if !ok {
		return nil, false
	}
	return list[at], true
}

// Canaries returns the servers of a new version whose rollout is at the canary stage.
func (s *State) Canaries(service string) []*Server { return (*s.canaries.Load())[service] }

// Server returns a backend server, or false if it isn't listed.
func (s *State) Server(id string) (Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	if !ok {
		return Server{}, false
	}
	return *e.Server, true
}

// Listed returns the platform's entry of a backend server, or false if it isn't listed.
func (s *State) Listed(id string) (dialect.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	if !ok || e.isMissing() {
		return dialect.Server{}, false
	}
	return e.listed(), true
}

// Version returns the version of a resource and when it was last confirmed.
func (s *State) Version(res Resource) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[res], s.confirmed[res]
}

// Age returns the time since a resource was last confirmed.
func (s *State) Age(now time.Time, res Resource) time.Duration {
	_, at := s.Version(res)
	return now.Sub(at)
}

// Configure applies a configuration and reports whether it is newer. raw is its serialized
// form, which is sent to other instances.
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
	s.setHash(Configuration, uint64(cfg.Version))
	return true
}

// RawConfiguration returns the serialized configuration and its version.
func (s *State) RawConfiguration() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raw, s.versions[Configuration]
}

// ConfirmConfiguration reports whether raw is the current configuration, and if so
// confirms it.
func (s *State) ConfirmConfiguration(now time.Time, raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil || !bytes.Equal(raw, s.raw) {
		return false
	}
	s.confirm(now, Configuration)
	return true
}

// Confirm records that a resource is current.
func (s *State) Confirm(now time.Time, res Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(now, res)
}

func (s *State) confirm(now time.Time, res Resource) {
	if now.After(s.confirmed[res]) {
		s.confirmed[res] = now
	}
}

// RecordPlatformFailure records that the platform didn't answer.
func (s *State) RecordPlatformFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = now
}

// Outage reports whether the platform answers neither this instance nor any that it gets
// updates from.
func (s *State) Outage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedAt.IsZero() && !s.answered.last.After(s.failedAt)
}

// maxDeparted is the number of departed servers from which on those that aren't listed are dropped.
const maxDeparted = 1024

// MarkLeaving records that a server has announced itself that it leaves, and reports whether that is
// news. It holds for the server's incarnation, whatever the platform lists: its entry may come late,
// or be missing for a while.
func (s *State) MarkLeaving(server Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasDeparted(&server.Server) {
		return false
	}
	if len(s.departed) >= maxDeparted {
		maps.DeleteFunc(s.departed, func(id string, _ int64) bool { _, listed := s.servers[id]; return !listed })
	}
	s.departed[server.ID] = server.StartedAtMillis
	if e, ok := s.servers[server.ID]; ok && s.hasDeparted(&e.Server.Server) && !e.Leaving {
		leaving := *e.Server
		leaving.Leaving = true
		e.Server = &leaving
		s.put(e)
		s.publish()
	}
	return true
}

// hasDeparted reports whether this incarnation of a server has announced that it leaves.
func (s *State) hasDeparted(server *dialect.Server) bool {
	startedAt, ok := s.departed[server.ID]
	return ok && startedAt == server.StartedAtMillis
}

// Departed returns the servers that have announced that they leave while the platform lists them as
// ready: other instances may still choose them.
func (s *State) Departed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id := range s.departed {
		if e, ok := s.servers[id]; ok && !e.listedLeaving {
			out = append(out, id)
		}
	}
	return out
}

// ReplaceZones replaces the drained zones and reports whether the version isn't older.
func (s *State) ReplaceZones(now time.Time, version int64, zones []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.versions[Zones] {
		return false
	}
	s.confirm(now, Zones)
	s.setZones(version, zones)
	return true
}

// setZones sets the drained zones as of a version. Lists are rebuilt only if a zone has changed:
// versions change with any object of the platform.
func (s *State) setZones(version int64, zones []string) {
	s.versions[Zones] = version
	drained := make(map[string]bool, len(zones))
	for _, zone := range zones {
		drained[zone] = true
	}
	if maps.Equal(drained, s.zones) {
		return
	}
	s.zones = drained
	s.setHash(Zones, zonesHash(s.zones))
	s.touchAll()
	s.publish()
}

// DrainedZones returns the drained zones and their version.
func (s *State) DrainedZones() ([]string, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.zones)), s.versions[Zones]
}
