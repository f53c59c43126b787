package router

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Policy is how candidates are chosen. It is sealed: [Predicted], or one of
// the baselines [RoundRobin] and [LeastRequests].
type Policy interface{ policy() }

// Predicted chooses a few servers by prompt prefix and load.
type Predicted struct{}

// RoundRobin cycles through the servers regardless of their load.
type RoundRobin struct{}

// LeastRequests prefers the servers with the lowest load last reported by their owners.
type LeastRequests struct{}

func (Predicted) policy()     {}
func (RoundRobin) policy()    {}
func (LeastRequests) policy() {}

// Policies returns the placement and admission policies of a setting.
// Round robin and least requests admit up to the warm limit; engineQueue admits
// everything and leaves queueing to the engine.
func Policies(p settings.Policy) (Policy, admission.Policy) {
	switch p {
	case settings.PolicyRoundRobin:
		return RoundRobin{}, admission.FixedLimit{}
	case settings.PolicyLeastRequests:
		return LeastRequests{}, admission.FixedLimit{}
	case settings.PolicyEngineQueue:
		return RoundRobin{}, admission.Unlimited{}
	default:
		return Predicted{}, admission.Predicted{}
	}
}

// rings holds the hash rings of one version of the configuration.
type rings struct {
	version int64
	// sameRegion holds the servers in this instance's region, otherRegions the rest.
	sameRegion   map[poolKey]*placement.Ring
	otherRegions map[poolKey]*placement.Ring
}

// poolKey identifies the servers that can run a request; model is empty for
// plain services.
type poolKey struct{ service, model string }

// candidates returns the servers to request a permit for, best first. Servers of
// other regions are used only when this region has none that takes new work.
func (r *Router) candidates(now time.Time, req *permit.Request) ([]*pollenspindle.Server, error) {
	snap := r.opts.Config()
	key := poolKey{service: req.Service, model: req.Model}
	if _, ok := snap.Models[req.Model]; req.Model != "" && !ok {
		return nil, &permit.Refusal{Reason: permit.ReasonUnknownModel, RetryAfter: defaultRetryAfter}
	}
	if _, ok := r.opts.Policy.(Predicted); !ok {
		return r.baseline(now, snap, key, req), nil
	}
	all := r.currentRings(snap)
	for _, ring := range []*placement.Ring{all.sameRegion[key], all.otherRegions[key]} {
		if ring == nil {
			continue
		}
		query := placement.Query{Hash: req.PrefixHash, Zone: r.opts.Self.Zone, Request: req, Accepts: r.accepts(now, snap)}
		r.mu.Lock()
		found := placement.Choose(now, ring, query, r.views, r.rng)
		r.mu.Unlock()
		if len(found) > 0 {
			return found, nil
		}
	}
	return nil, nil
}

func (r *Router) currentRings(snap *config.Snapshot) *rings {
	if all := r.rings.Load(); all != nil && all.version == snap.Version {
		return all
	}
	sameRegion, otherRegions := map[poolKey][]*pollenspindle.Server{}, map[poolKey][]*pollenspindle.Server{}
	for i := range snap.Config.Servers {
		server := &snap.Config.Servers[i]
		pools := otherRegions
		if zone, ok := snap.Zones[server.Zone]; ok && zone.Region == r.opts.Self.Region {
			pools = sameRegion
		}
		for _, key := range poolKeys(server) {
			pools[key] = append(pools[key], server)
		}
	}
	all := &rings{version: snap.Version, sameRegion: newRings(sameRegion), otherRegions: newRings(otherRegions)}
	r.rings.Store(all)
	return all
}

func poolKeys(server *pollenspindle.Server) []poolKey {
	if len(server.Models) == 0 {
		return []poolKey{{service: server.Service}}
	}
	var keys []poolKey
	for _, model := range server.Models {
		keys = append(keys, poolKey{service: server.Service, model: model})
	}
	return keys
}

func newRings(pools map[poolKey][]*pollenspindle.Server) map[poolKey]*placement.Ring {
	out := make(map[poolKey]*placement.Ring, len(pools))
	for key, servers := range pools {
		out[key] = placement.NewRing(servers)
	}
	return out
}

// baseline orders all servers of a pool, ignoring prompt prefixes.
func (r *Router) baseline(now time.Time, snap *config.Snapshot, key poolKey, req *permit.Request) []*pollenspindle.Server {
	var found []*pollenspindle.Server
	accepts := r.accepts(now, snap)
	for i := range snap.Config.Servers {
		server := &snap.Config.Servers[i]
		if slices.Contains(poolKeys(server), key) && accepts(server) && !slices.Contains(req.ExcludeServers, server.Name) {
			found = append(found, server)
		}
	}
	if len(found) == 0 {
		return nil
	}
	first := int(r.roundRobin.Add(1) % uint64(len(found)))
	found = append(found[first:len(found):len(found)], found[:first]...)
	if _, ok := r.opts.Policy.(LeastRequests); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		slices.SortStableFunc(found, func(a, b *pollenspindle.Server) int {
			return r.views[a.Name].LoadPermille - r.views[b.Name].LoadPermille
		})
	}
	return found
}
