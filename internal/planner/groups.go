package planner

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

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
	key := service + "@" + zone
	if parts := (l.byZone[zone] + groupSize - 1) / groupSize; parts > 1 {
		key += "#" + strconv.Itoa(hashBucket(id, parts))
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

func hashBucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

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
	byKey := map[string]*group{}
	for i := range engines {
		key := groupKey(l, service, engines[i].Zone, engines[i].ID)
		g, ok := byKey[key]
		if !ok {
			g = &group{key: key, zone: engines[i].Zone}
			byKey[key] = g
		}
		g.engines = append(g.engines, engines[i])
	}
	groups := make([]group, 0, len(byKey))
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		groups = append(groups, *byKey[key])
	}
	return groups
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

// sortedGroups returns the groups in the order in which they are asked: by the scores of their last
// placements or, without a recent one, by a default score that prefers the requester's zone.
func (p *Planner) sortedGroups(now time.Time, groups []group, zone, request string) []group {
	if len(groups) == 1 {
		return groups
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := func(g group) float64 {
		if s, ok := p.scores[g.key]; ok && now.Sub(s.at) < scoreTTL {
			return s.value
		}
		if g.zone != zone {
			return defaultScore + crossZoneCost
		}
		return defaultScore
	}
	out := slices.Clone(groups)
	slices.SortFunc(out, func(a, b group) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(hashBucket(a.key+request, 1<<20), hashBucket(b.key+request, 1<<20)))
	})
	return out
}

func (p *Planner) recordScore(key string, now time.Time, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scores[key] = groupScore{value, now}
}
