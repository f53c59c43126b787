package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"pollenspindle.example/pollenspindle/internal/evidence"
)

const (
	// leastStable is how many answers of the old version a comparison needs.
	leastStable = 30
	// slowTail is up to which part of the old version's answers counts as slow,
	// and slowMargin how many buckets above their time an answer is slow.
	slowTail   = 0.08
	slowMargin = 1
	// leastServers is from how many servers on the worst one is left out: a
	// broken server is no bad version.
	leastServers = 2
)

// Evidence is how much more likely what was seen is with a bad version than with
// one like the old, and where it is greatest.
type Evidence struct {
	// Ratio is 1 where nothing speaks for either.
	Ratio float64
	// Reason names the comparison, for logs and operators.
	Reason string
}

// Judge compares the new version with the old one: the share of failures and the
// share of slow answers, by route and over all, over the whole time and over its
// last part. It is made for a service whose servers also fail, start cold, leave
// and are crowded while the roll-out goes on: the old version at the same time is
// the measure, and the worst server of the new one is left out.
func Judge(c *Counts) Evidence {
	var best Evidence
	last := 0
	for key := range c.cells {
		last = max(last, key.window)
	}
	for _, from := range suffixes(last) {
		for _, one := range comparisons(groups(c, from)) {
			if ratio := one.ratio(); ratio > best.Ratio {
				best = Evidence{ratio, one.String()}
			}
		}
	}
	return best
}

// suffixes returns from which windows on the samples are compared.
func suffixes(last int) []int {
	out := []int{0}
	for _, from := range []int{last - 2, last - 1} {
		if from > 0 {
			out = append(out, from)
		}
	}
	return out
}

// group holds the samples of one route and aspect: those of the old version and
// those of the new one by server.
type group struct {
	route  string
	aspect Aspect
	stable *Cell
	canary map[string]*Cell
}

// groups adds up the samples from one window on.
func groups(c *Counts, from int) []*group {
	byKey := map[cellKey]*group{}
	for key, cell := range c.cells {
		if key.window < from {
			continue
		}
		of := cellKey{route: key.route, aspect: key.aspect}
		g, ok := byKey[of]
		if !ok {
			g = &group{route: key.route, aspect: key.aspect, stable: &Cell{Times: map[int]int{}}, canary: map[string]*Cell{}}
			byKey[of] = g
		}
		to := g.stable
		if key.track == Canary {
			if g.canary[key.server] == nil {
				g.canary[key.server] = &Cell{Times: map[int]int{}}
			}
			to = g.canary[key.server]
		}
		to.Number += cell.Number
		to.Failed += cell.Failed
		for b, n := range cell.Times {
			to.Times[b] += n
		}
	}
	out := make([]*group, 0, len(byKey))
	for _, g := range byKey {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.aspect, b.aspect))
	})
	return out
}

// comparison sets the share of one kind of event among the new version's answers
// beside that among the old one's.
type comparison struct {
	name   string
	stable evidence.Share
	canary map[string]evidence.Share
}

// comparisons returns those of each route and aspect, and those of the answers of
// all routes.
func comparisons(groups []*group) []comparison {
	failed := comparison{name: "all routes failed", canary: map[string]evidence.Share{}}
	slowed := comparison{name: "all routes slow", canary: map[string]evidence.Share{}}
	var out []comparison
	add := func(g *group, kind string, pooled *comparison, of func(*Cell) evidence.Share) {
		one := comparison{name: g.route + " " + string(g.aspect) + " " + kind, stable: of(g.stable), canary: map[string]evidence.Share{}}
		for id, cell := range g.canary {
			one.canary[id] = of(cell)
		}
		out = append(out, one)
		if g.aspect != Answer {
			return
		}
		pooled.stable = pooled.stable.Plus(one.stable)
		for id, s := range one.canary {
			pooled.canary[id] = pooled.canary[id].Plus(s)
		}
	}
	for _, g := range groups {
		add(g, "failed", &failed, func(c *Cell) evidence.Share {
			return evidence.Share{Events: float64(c.Failed), Number: float64(c.Number)}
		})
		if limit, ok := slowFrom(g.stable.Times); ok {
			add(g, "slow", &slowed, func(c *Cell) evidence.Share { return slow(c.Times, limit) })
		}
	}
	return append(out, failed, slowed)
}

// ratio returns the likelihood ratio, without the server of the new version that
// speaks most for it; 0 where the old version isn't known well enough.
func (c comparison) ratio() float64 {
	if c.stable.Number < leastStable {
		return 0
	}
	all, worst := c.totals()
	ratio := evidence.Ratio(evidence.Pair{Usual: c.stable, Seen: all})
	if len(c.canary) >= leastServers {
		ratio = min(ratio, evidence.Ratio(evidence.Pair{Usual: c.stable, Seen: all.Minus(worst)}))
	}
	return ratio
}

func (c comparison) totals() (all, worst evidence.Share) {
	for _, s := range c.canary {
		all = all.Plus(s)
		if s.Events > worst.Events || s.Events == worst.Events && s.Number < worst.Number {
			worst = s
		}
	}
	return all, worst
}

// String returns the comparison as operators read it.
func (c comparison) String() string {
	all, _ := c.totals()
	return fmt.Sprintf("%s: %.0f of %.0f, old version %.0f of %.0f", c.name, all.Events, all.Number, c.stable.Events, c.stable.Number)
}

// slowFrom returns from which bucket on an answer is slow, by the old version's.
func slowFrom(times map[int]int) (int, bool) {
	total := 0
	buckets := make([]int, 0, len(times))
	for b, n := range times {
		total += n
		buckets = append(buckets, b)
	}
	if total < leastStable {
		return 0, false
	}
	slices.Sort(buckets)
	above := total
	for _, b := range buckets {
		above -= times[b]
		if float64(above) <= slowTail*float64(total) {
			return b + 1 + slowMargin, true
		}
	}
	return 0, false
}

func slow(times map[int]int, limit int) evidence.Share {
	var s evidence.Share
	for b, n := range times {
		s.Number += float64(n)
		if b >= limit {
			s.Events += float64(n)
		}
	}
	return s
}
