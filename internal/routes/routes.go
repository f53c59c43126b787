// Package routes holds the declared routes, services and workspaces of a deployment, indexed for
// serving requests: the route of a host and path, and the workspace of a key. It does no I/O.
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

// Kind is the kind of a route. It determines whether its requests may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once per attempt of a caller.
	NonIdempotent Kind = "nonIdempotent"
	// Stream requests are answered with a stream of events. Without [Route.Resumable] they are not
	// idempotent.
	Stream Kind = "stream"
)

// Route is one declared route.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time a caller waits for the start of a response.
	Timeout time.Duration
	// TargetLatency is the target time to a response or to the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between two events of a stream.
	TargetGap time.Duration
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Split lists the services that receive the route's requests, by weight.
	Split []Share
	// MaxAttempts is on how many backend servers one request may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue on another backend server after an event.
	Resumable bool
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Service is one declared service.
type Service struct {
	Name string
	// ColdPeriod is how long a server is cold after its start, ColdRequestsPerSecond the request
	// rate that it handles while cold.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine decodes at the same time.
	Slots int
	// MemoryTokens is how many tokens fit into the KV cache of an engine.
	MemoryTokens int
	// TokenBytes is the size of one token in the KV cache, LinkMbps the rate of an engine's link in
	// megabits per second.
	TokenBytes float64
	LinkMbps   float64
	// SupportsMigration says that running generations can be moved between engines.
	SupportsMigration bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Workspace is one declared workspace.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of a route; nil if not set.
	Priority *int
}

// Limits are the limits for requests of callers. Zero means that none is declared.
type Limits struct {
	// MaxHeadBytes limits the header fields of a request, MaxBodyBytes its body.
	MaxHeadBytes, MaxBodyBytes int
	// HeadTimeout is how long a caller may take for a head, IdleTimeout how long a connection may be unused.
	HeadTimeout, IdleTimeout time.Duration
}

// Configuration is one version of what operators declare.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is an indexed configuration. It is immutable.
type Table struct {
	Version    int64
	Limits     Limits
	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[[sha256.Size]byte]*Workspace
	// noWorkspaces says that no workspaces are declared, so that no key is required.
	noWorkspaces bool
}

// NewTable indexes a configuration.
func NewTable(cfg Configuration) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, byHost: map[string][]*Route{},
		services: map[string]*Service{}, workspaces: map[[sha256.Size]byte]*Workspace{},
		noWorkspaces: len(cfg.Workspaces) == 0,
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

// Route returns the route of a host, with or without a port, with the longest prefix that
// matches path.
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

// Workspace returns the workspace of a key. It looks up the hash of the key, so that the lookup
// time reveals nothing about other keys.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[sha256.Sum256([]byte(key))]
	return w, ok
}

// NeedsKey reports whether requests of a route require a key.
func (t *Table) NeedsKey(r *Route) bool { return !t.noWorkspaces && !r.Anonymous }

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for one request of a route, chosen by the weights of its split.
// It is empty if the route has no split.
func (r *Route) PickService(rng *rand.Rand) string {
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
