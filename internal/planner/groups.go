package planner

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"pollenspindle.example/pollenspindle/internal/observed"
)

const (
	// groupSize is up to how many engines one instance plans for. Choosing among
	// two dozen is nearly as good as among all.
	groupSize = 32
	// foreignCost is what a group of another availability zone weighs, as a score
	// of the balancer, and usualScore that of a group of which nothing is known.
	foreignCost = 0.12
	usualScore  = 0.25
	// busyScore is from what score on another group is asked first: prompts wait
	// for about a quarter of a second.
	busyScore = 0.5
	// scoreTTL is how long the score of a group's last choice is believed.
	scoreTTL = time.Second
)

// groupKey names the group of engines that one instance plans for: all engines
// of a small service, else those of one availability zone, or a part of them.
// Copies of generations stay in a zone where they can, and so in the plan of one
// instance.
func groupKey(l layout, service, zone, id string) string {
	if l.engines <= groupSize {
		return service
	}
	key := service + "@" + zone
	if parts := (l.byZone[zone] + groupSize - 1) / groupSize; parts > 1 {
		key += "#" + strconv.Itoa(hashOf(id, parts))
	}
	return key
}

// layout is how many engines a service has, in all and by availability zone.
type layout struct {
	engines int
	byZone  map[string]int
}

func layoutOf(engines []observed.Server) layout {
	l := layout{engines: len(engines), byZone: map[string]int{}}
	for i := range engines {
		l.byZone[engines[i].Zone]++
	}
	return l
}

func hashOf(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// group is the engines that one instance plans for.
type group struct {
	key, zone string
	engines   []observed.Server
}

// groupsOf divides the engines of a service into groups.
func groupsOf(engines []observed.Server, service string, l layout) []group {
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

// grouped are the groups of a list of engines, which isn't changed once made.
type grouped struct {
	first  *observed.Server
	number int
	layout layout
	groups []group
}

// groups returns the groups of a service's engines, and how those are laid out.
func (p *Planner) groups(service string) ([]group, layout) {
	engines := p.opts.State.Servers(service)
	if len(engines) == 0 {
		return []group{{key: service}}, layout{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.grouped[service]
	if known.first != &engines[0] || known.number != len(engines) {
		l := layoutOf(engines)
		known = grouped{first: &engines[0], number: len(engines), layout: l, groups: groupsOf(engines, service, l)}
		p.grouped[service] = known
	}
	return known.groups, known.layout
}

// keyOf names the group that plans for an engine.
func (p *Planner) keyOf(service, zone, id string) string {
	_, l := p.groups(service)
	return groupKey(l, service, zone, id)
}

// score is what a group's last choice came to.
type score struct {
	value float64
	at    time.Time
}

// inOrder returns the groups in the order in which they are asked: the least
// loaded first, as far as the last choices tell, those of the asker's zone before
// others that are about as free.
func (p *Planner) inOrder(now time.Time, groups []group, zone, request string) []group {
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
			return usualScore + foreignCost
		}
		return usualScore
	}
	out := slices.Clone(groups)
	slices.SortFunc(out, func(a, b group) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(hashOf(a.key+request, 1<<20), hashOf(b.key+request, 1<<20)))
	})
	return out
}

func (p *Planner) noteScore(key string, now time.Time, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scores[key] = score{value, now}
}
