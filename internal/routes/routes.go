// Package routes holds the declared routes, services and workspaces of a
// deployment in the form from which requests are served: the route of a host
// and path, and the workspace of a key. Everything here is pure.
//
// # Usage
//
//	table := routes.NewTable(configuration)
//	route, ok := table.Route("api.example", "/plans/7")
//	workspace, ok := table.Workspace(key)
package routes

import (
	"cmp"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "nonIdempotent"
	// Stream requests are answered with a series of events. Without
	// [Route.Resumable] they are not idempotent.
	Stream Kind = "stream"
)

// Route is one declared route.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting for an answer
	// to begin.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of
	// a stream, is on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that is on
	// time.
	TargetGap time.Duration
	// Priority is the rank, 0 is the highest.
	Priority int
	// Split are the services that take the route's requests, by weight.
	Split []Share
	// MaxAttempts is on how many backend servers one request may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server after an event.
	Resumable bool
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Service is one declared service.
type Service struct {
	Name string
	// ColdFor is how long a server is cold after its start; ColdPerSecond how
	// many requests a second it bears meanwhile.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine decodes at the same time.
	Slots int
	// MemoryTokens is how many tokens fit into an engine's memory.
	MemoryTokens int
	// TokenBytes is the size of one token in memory, LinkMbps the rate of an
	// engine's link, in megabits a second.
	TokenBytes float64
	LinkMbps   float64
	// Moves says that running requests can be moved between engines.
	Moves bool
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
}

// Workspace is one declared workspace.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route; nil where none is set.
	Priority *int
}

// Limits bound what a caller may send. Zero means that none is declared.
type Limits struct {
	MaxBodyBytes int
	IdleTimeout  time.Duration
}

// Configuration is what operators declare, as one version.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is a configuration, indexed. It isn't changed after it was made.
type Table struct {
	Version    int64
	Limits     Limits
	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[[sha256.Size]byte]*Workspace
	// open says that no workspaces are declared, so that no key is needed.
	open bool
}

// NewTable indexes a configuration.
func NewTable(cfg Configuration) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, byHost: map[string][]*Route{},
		services: map[string]*Service{}, workspaces: map[[sha256.Size]byte]*Workspace{},
		open: len(cfg.Workspaces) == 0,
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Workspaces {
		for _, key := range cfg.Workspaces[i].Keys {
			t.workspaces[sha256.Sum256([]byte(key))] = &cfg.Workspaces[i]
		}
	}
	return t
}

// Route returns the route of a host, with or without a port, whose prefix is
// the longest that begins path.
func (t *Table) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a declared service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspace returns the workspace that holds a key. The hash of the key is
// looked up, so that the time taken tells nothing about other keys.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[sha256.Sum256([]byte(key))]
	return w, ok
}

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !t.open && !r.Anonymous }

// Pick returns the service for one request of a route, by the weights of its
// split. It is empty when the route has none.
func (r *Route) Pick(rng *rand.Rand) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := rng.Float64() * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Split) > 0 {
		return r.Split[len(r.Split)-1].Service
	}
	return ""
}
