package placementqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
)

// slack returns the time left until the first event of a request is wanted.
func (q *Queue) slack(now time.Time, r Request) time.Duration {
	if w, ok := q.waiting[r.ID]; ok {
		return r.Slack - now.Sub(w.queuedAt)
	}
	return r.Slack
}

// prepare computes what is needed several times.
func (q *Queue) prepare(g Group) {
	for i := range g.Engines {
		g.Engines[i].growth = g.Engines[i].Memory.Growth(q.params.Margin)
	}
}

// place places a request on an engine on which it fits, except for the kept ones.
func (q *Queue) place(now time.Time, r Request, g *Group, kept map[string]bool) (string, bool) {
	slack := q.slack(now, r)
	var fitting []string
	for i := range g.Engines {
		if e := &g.Engines[i]; !kept[e.ID] && q.fits(r, slack, e) {
			fitting = append(fitting, e.ID)
		}
	}
	if len(fitting) == 0 {
		return "", false
	}
	id, ok := g.Choose(r, fitting)
	if !ok {
		return "", false
	}
	for i := range g.Engines {
		if e := &g.Engines[i]; e.ID == id {
			e.Memory.Add(r.sequence())
			e.Running++
			e.PrefillWait += r.Prefill
			e.growth = e.Memory.Growth(q.params.Margin)
		}
	}
	return id, true
}

// fits reports whether a request may start on an engine now: the predicted peak is within the
// memory, and the prefill ends within the slack. An idle engine takes any request that is within
// its memory.
func (q *Queue) fits(r Request, slack time.Duration, e *Engine) bool {
	if r.Excluded[e.ID] || e.Running >= e.Slots || e.PrefillWait+r.Prefill > slack {
		return false
	}
	if e.Running == 0 {
		return r.RequiredTokens <= e.MemoryTokens
	}
	return e.Memory.PeakWith(r.sequence(), q.params.Margin) <= float64(e.MemoryTokens)
}

// startOf returns the expected time until a request with the given number of others before it
// starts, early enough for a first event within slack; ok is false if it doesn't, or not within the
// forecast. With a margin it is the time in which that many places are likely to be free:
// independent generations end about as a Poisson process, whose standard deviation is the square
// root of the number.
func (q *Queue) startOf(r Request, slack time.Duration, ahead int, margin bool, g Group) (time.Duration, bool) {
	needed := float64(ahead + 1)
	if margin {
		needed += math.Sqrt(needed)
	}
	for h := 0; ; h++ {
		tokens, ok := forecast.Lookahead(h)
		if !ok {
			return 0, false
		}
		start := time.Duration(tokens) * q.params.TokenTime
		if start+r.Prefill > slack {
			return 0, false
		}
		if float64(places(h, start, r, slack, g)) >= needed {
			return start, true
		}
	}
}

// places returns how many requests like r are expected to start on the engines at a lookahead, start
// from now: as many as fit into the memory, and whose prompts are processed within slack.
func places(h int, start time.Duration, r Request, slack time.Duration, g Group) int {
	n := 0
	for i := range g.Engines {
		e := &g.Engines[i]
		if r.Excluded[e.ID] || start < e.ColdFor {
			continue
		}
		fitting := e.Memory.Places(h, float64(e.MemoryTokens), float64(r.RequiredTokens), e.growth)
		if r.Prefill > 0 {
			fitting = min(fitting, int(max(0, slack-max(start, e.PrefillWait))/r.Prefill))
		}
		n += fitting
	}
	return n
}

// anyHolds reports whether some engine's memory holds a request of that size.
func anyHolds(g Group, tokens int) bool {
	return slices.ContainsFunc(g.Engines, func(e Engine) bool { return tokens <= e.MemoryTokens })
}

// freest returns the engine that is kept for a request which fits on none: the one with the most
// free memory. Otherwise smaller requests would take all memory that is freed.
func freest(r Request, g Group) string {
	id, most := "", math.Inf(-1)
	for i := range g.Engines {
		e := &g.Engines[i]
		if free := float64(e.MemoryTokens) - e.Memory.Peak(0); !r.Excluded[e.ID] && e.ColdFor <= 0 && free > most {
			id, most = e.ID, free
		}
	}
	return id
}

// sorted returns the waiting requests, the latest first: where some have to be refused, it is those
// that have waited least.
func (q *Queue) sorted() []*waitingRequest {
	all := make([]*waitingRequest, 0, len(q.waiting))
	for _, w := range q.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waitingRequest) int {
		return cmp.Or(b.queuedAt.Compare(a.queuedAt), cmp.Compare(a.ID, b.ID))
	})
	return all
}
