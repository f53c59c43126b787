package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"pollenspindle.example/pollenspindle/internal/likelihood"
)

const (
	// minStableSamples is the number of the old version's answers that a comparison requires.
	minStableSamples = 30
	// slowFraction is the largest part of the old version's answers that may count as slow,
	// and slowMargin how many buckets above these an answer of either version is slow.
	slowFraction = 0.08
	slowMargin   = 1
	// minServersToExclude is the number of servers from which on the worst one is excluded:
	// one broken server doesn't make a bad version.
	minServersToExclude = 2
)

// Evidence is the greatest likelihood ratio found: how much more likely the samples are if
// the new version is bad than if it is like the old one.
type Evidence struct {
	// Ratio is 1 if the samples favor neither.
	Ratio float64
	// Reason describes the comparison, for logs and operators.
	Reason string
}

// Compare compares the new version with the old one: the share of failed and of slow
// answers, for each route and for all, over the whole rollout and over its last windows.
// Servers may also fail, start cold, shut down or be overloaded during a rollout, so the
// new version is compared with the old one over the same time, and its worst server is
// excluded.
func Compare(c *Counts) Evidence {
	var best Evidence
	last := 0
	for key := range c.cells {
		last = max(last, key.window)
	}
	for _, firstWindow := range windowStarts(last) {
		for _, comp := range comparisons(groups(c, firstWindow)) {
			if ratio := comp.ratio(); ratio > best.Ratio {
				best = Evidence{ratio, comp.String()}
			}
		}
	}
	return best
}

// windowStarts returns the windows from which on samples are compared.
func windowStarts(last int) []int {
	out := []int{0}
	for _, firstWindow := range []int{last - 2, last - 1} {
		if firstWindow > 0 {
			out = append(out, firstWindow)
		}
	}
	return out
}

// group holds the samples of one route and metric: those of the old version, and those of
// the new version by server.
type group struct {
	route  string
	metric Metric
	stable *Cell
	canary map[string]*Cell
}

// groups adds up the samples of all windows from the given one on.
func groups(c *Counts, firstWindow int) []*group {
	byKey := map[cellKey]*group{}
	for key, cell := range c.cells {
		if key.window < firstWindow {
			continue
		}
		groupKey := cellKey{route: key.route, metric: key.metric}
		g, ok := byKey[groupKey]
		if !ok {
			g = &group{route: key.route, metric: key.metric, stable: &Cell{Histogram: map[int]int{}}, canary: map[string]*Cell{}}
			byKey[groupKey] = g
		}
		to := g.stable
		if key.track == Canary {
			if g.canary[key.server] == nil {
				g.canary[key.server] = &Cell{Histogram: map[int]int{}}
			}
			to = g.canary[key.server]
		}
		to.Count += cell.Count
		to.Failed += cell.Failed
		for b, n := range cell.Histogram {
			to.Histogram[b] += n
		}
	}
	out := make([]*group, 0, len(byKey))
	for _, g := range byKey {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.metric, b.metric))
	})
	return out
}

// comparison compares how often one kind of event occurs with each version.
type comparison struct {
	name   string
	stable likelihood.Share
	canary map[string]likelihood.Share
}

// comparisons returns the comparisons of each route and metric, and of the answers of all
// routes together.
func comparisons(groups []*group) []comparison {
	failed := comparison{name: "all routes failed", canary: map[string]likelihood.Share{}}
	slowed := comparison{name: "all routes slow", canary: map[string]likelihood.Share{}}
	var out []comparison
	add := func(g *group, kind string, pooled *comparison, share func(*Cell) likelihood.Share) {
		comp := comparison{name: g.route + " " + string(g.metric) + " " + kind, stable: share(g.stable), canary: map[string]likelihood.Share{}}
		for id, cell := range g.canary {
			comp.canary[id] = share(cell)
		}
		out = append(out, comp)
		if g.metric != MetricAnswer {
			return
		}
		pooled.stable = pooled.stable.Add(comp.stable)
		for id, s := range comp.canary {
			pooled.canary[id] = pooled.canary[id].Add(s)
		}
	}
	for _, g := range groups {
		add(g, "failed", &failed, func(c *Cell) likelihood.Share {
			return likelihood.Share{Events: float64(c.Failed), Total: float64(c.Count)}
		})
		if limit, ok := slowThreshold(g.stable.Histogram); ok {
			add(g, "slow", &slowed, func(c *Cell) likelihood.Share { return slowShare(c.Histogram, limit) })
		}
	}
	return append(out, failed, slowed)
}

// ratio returns the likelihood ratio, without the new version's worst server if that makes
// it smaller, or 0 if the old version has too few samples.
func (c comparison) ratio() float64 {
	if c.stable.Total < minStableSamples {
		return 0
	}
	all, worst := c.totals()
	ratio := likelihood.Ratio(likelihood.Pair{Baseline: c.stable, Observed: all})
	if len(c.canary) >= minServersToExclude {
		ratio = min(ratio, likelihood.Ratio(likelihood.Pair{Baseline: c.stable, Observed: all.Sub(worst)}))
	}
	return ratio
}

func (c comparison) totals() (all, worst likelihood.Share) {
	for _, s := range c.canary {
		all = all.Add(s)
		if s.Events > worst.Events || s.Events == worst.Events && s.Total < worst.Total {
			worst = s
		}
	}
	return all, worst
}

// String describes the comparison for operators.
func (c comparison) String() string {
	all, _ := c.totals()
	return fmt.Sprintf("%s: %.0f of %.0f, old version %.0f of %.0f", c.name, all.Events, all.Total, c.stable.Events, c.stable.Total)
}

// slowThreshold returns the bucket from which on an answer is slow, given the old
// version's latencies.
func slowThreshold(histogram map[int]int) (int, bool) {
	total := 0
	buckets := make([]int, 0, len(histogram))
	for b, n := range histogram {
		total += n
		buckets = append(buckets, b)
	}
	if total < minStableSamples {
		return 0, false
	}
	slices.Sort(buckets)
	above := total
	for _, b := range buckets {
		above -= histogram[b]
		if float64(above) <= slowFraction*float64(total) {
			return b + 1 + slowMargin, true
		}
	}
	return 0, false
}

func slowShare(histogram map[int]int, limit int) likelihood.Share {
	var s likelihood.Share
	for b, n := range histogram {
		s.Total += float64(n)
		if b >= limit {
			s.Events += float64(n)
		}
	}
	return s
}
