package planner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// groupSize is the maximum number of engines that one instance plans for. Choosing among two
	// dozen engines is nearly as good as choosing among all.
	groupSize = 32
	// crossZoneCost is added to the score of a group in another availability zone; defaultScore is
	// the score of a group without a recent one.
	crossZoneCost = 0.12
	defaultScore  = 0.25
	// busyScore is the score from which other groups are asked first: prompts wait for about a
	// quarter of a second.
	busyScore = 0.5
	// scoreTTL is how long the score of a group's last placement is used.
	scoreTTL = time.Second
)

// groupKey returns the key of the engine group that one instance plans for: all engines of a small
// service, otherwise those of one availability zone or a part of them. Migrations stay within a
// zone where possible, and so within the plan of one instance.
func groupKey(l layout, service, zone, id string) string {
	if l.engines <= groupSize {
		return service
	}
	parts := l.parts(zone)
	return partKey(service, zone, hashBucket(id, parts), parts)
}

// partKey returns the key of one part of the engines of an availability zone.
func partKey(service, zone string, part, parts int) string {
	key := service + "@" + zone
	if parts > 1 {
		key += "#" + strconv.Itoa(part)
	}
	return key
}

// layout counts the engines of a service, in total and by availability zone.
type layout struct {
	engines int
	byZone  map[string]int
}

func layoutOf(engines []*platformstate.Server) layout {
	l := layout{engines: len(engines), byZone: map[string]int{}}
	for i := range engines {
		l.byZone[engines[i].Zone]++
	}
	return l
}

// parts returns the number of groups in an availability zone, a power of two: with any other number,
// one engine more or less would move most engines to other groups.
func (l layout) parts(zone string) int {
	n := 1
	for n*groupSize < l.byZone[zone] {
		n *= 2
	}
	return n
}

func hashBucket(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }

// group is the set of engines that one instance plans for.
type group struct {
	key, zone string
	engines   []*platformstate.Server
}

// groupsOf divides the engines of a service into groups.
func groupsOf(engines []*platformstate.Server, service string, l layout) []group {
	if l.engines <= groupSize {
		return []group{{key: service, engines: engines}}
	}
	type zoneGroups struct{ first, parts int }
	byZone := make(map[string]zoneGroups, len(l.byZone))
	var groups []group
	for _, zone := range slices.Sorted(maps.Keys(l.byZone)) {
		z := zoneGroups{first: len(groups), parts: l.parts(zone)}
		byZone[zone] = z
		for part := range z.parts {
			groups = append(groups, group{key: partKey(service, zone, part, z.parts), zone: zone, engines: make([]*platformstate.Server, 0, groupSize)})
		}
	}
	for _, e := range engines {
		z := byZone[e.Zone]
		g := &groups[z.first+hashBucket(e.ID, z.parts)]
		g.engines = append(g.engines, e)
	}
	return slices.DeleteFunc(groups, func(g group) bool { return len(g.engines) == 0 })
}

// serviceGroups caches the groups of one list of engines. The list is immutable.
type serviceGroups struct {
	firstEngine **platformstate.Server
	engineCount int
	layout      layout
	groups      []group
}

// groups returns the groups of a service's engines and their layout.
func (p *Planner) groups(service string) ([]group, layout) {
	engines := p.opts.State.Servers(service)
	if len(engines) == 0 {
		return []group{{key: service}}, layout{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := p.groupCache[service]
	if cached.firstEngine != &engines[0] || cached.engineCount != len(engines) {
		l := layoutOf(engines)
		cached = serviceGroups{firstEngine: &engines[0], engineCount: len(engines), layout: l, groups: groupsOf(engines, service, l)}
		p.groupCache[service] = cached
	}
	return cached.groups, cached.layout
}

// groupKeyOf returns the key of an engine's group.
func (p *Planner) groupKeyOf(service, zone, id string) string {
	_, l := p.groups(service)
	return groupKey(l, service, zone, id)
}

// groupScore is the score of a group's last placement.
type groupScore struct {
	value float64
	at    time.Time
}

// bestGroups returns up to n groups in the order in which they are asked: by the scores of their last
// placements or, without a recent one, by a default score that prefers the requester's zone.
func (p *Planner) bestGroups(now time.Time, groups []group, zone, request string, n int) []group {
	if len(groups) == 1 {
		return groups
	}
	type candidate struct {
		group *group
		cost  float64
		tie   uint64
	}
	best := make([]candidate, 0, n+1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range groups {
		g := &groups[i]
		c := candidate{g, p.groupCost(now, g, zone), xxhash.Sum64String(g.key) ^ xxhash.Sum64String(request)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.tie, b.tie))
		})
		best = slices.Insert(best, at, c)
		best = best[:min(n, len(best))]
	}
	out := make([]group, len(best))
	for i, c := range best {
		out[i] = *c.group
	}
	return out
}

// groupCost returns the expected score of a placement in a group.
func (p *Planner) groupCost(now time.Time, g *group, zone string) float64 {
	cost := float64(defaultScore)
	if s, ok := p.scores[g.key]; ok && now.Sub(s.at) < scoreTTL {
		if s.value < fullScore {
			return s.value
		}
		// Among groups without capacity the requester's zone is preferred too.
		cost = s.value
	}
	if g.zone != zone {
		cost += crossZoneCost
	}
	return cost
}

func (p *Planner) recordScore(key string, now time.Time, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scores[key] = groupScore{value, now}
}
