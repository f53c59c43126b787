package outcome_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// calm is a rate, in requests a second, that six servers can handle easily;
// saturating is about one and a half times what they can handle.
const (
	calm       = 3
	saturating = 8
)

// drained is long after the last arrival: the longest output takes some six
// minutes.
const drained = 700 * time.Second

func briefing(rng *rand.Rand) *call { return draw(rng, "club", 260) }

func mixed(rng *rand.Rand) *call {
	if rng.IntN(2) == 0 {
		return draw(rng, "verdicts", 24)
	}
	return draw(rng, "plans", 500)
}

func (w *world) of(workspace string) (asked, done, refused int, firsts []float64) {
	for _, c := range w.calls {
		if c.workspace != workspace {
			continue
		}
		asked++
		if c.done {
			done++
		}
		if c.refused {
			refused++
		}
		if c.first > 0 {
			firsts = append(firsts, c.first.Seconds())
		}
	}
	return asked, done, refused, firsts
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		servers int
		run     func(t *testing.T, w *world)
	}{
		"calm demand is served whole": {run: func(t *testing.T, w *world) {
			w.poisson(calm, 0, 100*time.Second, briefing)
			w.run(200 * time.Second)
			s := w.summary(200 * time.Second)
			require.Zero(t, s.Refused+s.Preemptions)
			require.Zero(t, s.Stall)
			require.Less(t, s.First95, 410.0, "milliseconds")
			require.Less(t, s.P95, 42.0, "milliseconds")
		}},
		"a burst waits or is refused, and stalls nobody": {run: func(t *testing.T, w *world) {
			w.poisson(calm, 0, 60*time.Second, briefing)
			for range 150 {
				w.after(30*time.Second, func() { w.arrive(briefing(w.rng)) })
			}
			w.run(drained)
			s := w.summary(drained)
			require.Equal(t, len(w.calls), s.Completed+s.Refused, "an answer for each")
			require.Greater(t, s.Completed, len(w.calls)/2)
			require.LessOrEqual(t, s.Preemptions, 3)
		}},
		"half of all share one prefix": {run: func(t *testing.T, w *world) {
			w.poisson(calm, 0, 100*time.Second, func(rng *rand.Rand) *call {
				c := briefing(rng)
				if rng.IntN(2) == 0 {
					c.prefix = 99
				}
				return c
			})
			w.run(200 * time.Second)
			s := w.summary(200 * time.Second)
			require.Zero(t, s.Refused)
			require.LessOrEqual(t, s.Preemptions, 2)
			for _, n := range w.nodes {
				require.Positive(t, n.started, n.server.Name)
			}
		}},
		"one server is slow": {run: func(t *testing.T, w *world) {
			// It does not fail: its steps take four times as long.
			slow := w.nodes[2]
			w.after(40*time.Second, func() { slow.slow = 4 })
			w.poisson(calm, 0, 300*time.Second, briefing)
			w.run(70 * time.Second)
			before := slow.started
			w.run(130 * time.Second)
			// One probe in five seconds, and some that nobody else had room for.
			require.LessOrEqual(t, slow.started-before, 14)
			w.after(0, func() { slow.slow = 1 })
			before = slow.started
			w.run(300 * time.Second)
			require.Greater(t, slow.started-before, 50, "it recovered")
		}},
		"short work beside long": {run: func(t *testing.T, w *world) {
			w.poisson(5, 0, 120*time.Second, mixed)
			w.run(200 * time.Second)
			_, _, _, firsts := w.of("verdicts")
			require.Less(t, quantile(firsts, 0.5), 1.0, "seconds")
			require.LessOrEqual(t, w.summary(200*time.Second).Preemptions, 8)
		}},
		"a large workspace does not crowd out small ones": {run: func(t *testing.T, w *world) {
			w.poisson(saturating, 0, 120*time.Second, func(rng *rand.Rand) *call { return draw(rng, "large", 260) })
			w.poisson(0.4, 0, 120*time.Second, func(rng *rand.Rand) *call { return draw(rng, "small", 120) })
			w.run(250 * time.Second)
			asked, _, refused, _ := w.of("small")
			require.Greater(t, asked, 30)
			require.LessOrEqual(t, refused, asked/10)
			_, _, refused, _ = w.of("large")
			require.Greater(t, refused, 50, "the large one pays")
		}},
		"patient work finishes under interactive saturation": {run: func(t *testing.T, w *world) {
			w.poisson(saturating, 0, 200*time.Second, briefing)
			w.poisson(0.2, 0, 100*time.Second, func(rng *rand.Rand) *call {
				c := draw(rng, "school", 260)
				c.class, c.wait = pollenspindle.ClassPatient, 10*time.Minute
				return c
			})
			w.run(2 * drained)
			asked, done, _, _ := w.of("school")
			require.Greater(t, asked, 10)
			require.Equal(t, asked, done)
		}},
		"a cold fleet gets no more than it can handle": {run: func(t *testing.T, w *world) {
			w.poisson(40, 0, 10*time.Second, briefing)
			// Before the first report that can show a success.
			w.run(450 * time.Millisecond)
			for _, n := range w.nodes {
				require.LessOrEqual(t, n.peak, 2, n.server.Name)
			}
			w.run(20 * time.Second)
			require.Greater(t, w.nodes[0].peak, 4, "successes raise the limit")
		}},
		"an availability zone leaves and returns": {run: zoneLeavesAndReturns},
		"an availability zone leaves during a burst": {run: func(t *testing.T, w *world) {
			w.poisson(calm, 0, 100*time.Second, briefing)
			w.after(40*time.Second, func() { w.out[leaving] = true })
			for range 100 {
				w.after(40*time.Second, func() { w.arrive(briefing(w.rng)) })
			}
			w.run(40 * time.Second)
			before := w.startedInLeaving()
			w.run(drained)
			s := w.summary(drained)
			require.Equal(t, before, w.startedInLeaving())
			require.Equal(t, len(w.calls), s.Completed+s.Refused, "an answer for each")
			require.LessOrEqual(t, s.Preemptions, 8)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.run(t, newWorld(predicted, 6, 2, 1))
		})
	}
}

// leaving is the availability zone that is taken out.
const leaving = "zone-1"

func (w *world) startedInLeaving() (n int) {
	for _, node := range w.nodes {
		if node.server.Zone == leaving {
			n += node.started
		}
	}
	return n
}

// zoneLeavesAndReturns takes a third of the servers out and brings them back
// as cold ones. Nothing new starts there meanwhile, the others take the load
// without stalling their streams, and each returning server starts at its cold
// limit.
func zoneLeavesAndReturns(t *testing.T, w *world) {
	w.poisson(calm, 0, 160*time.Second, briefing)
	w.after(60*time.Second, func() { w.out[leaving] = true })
	w.run(60 * time.Second)
	before := w.startedInLeaving()
	w.run(100 * time.Second)
	require.Equal(t, before, w.startedInLeaving(), "new work in the zone taken out")
	for _, n := range w.nodes {
		if n.server.Zone == leaving {
			n.state.ResetToCold()
			n.peak = 0
		}
	}
	delete(w.out, leaving)
	running := 0
	for _, n := range w.nodes {
		if n.server.Zone == leaving {
			running += len(n.running)
		}
	}
	w.run(101 * time.Second)
	for _, n := range w.nodes {
		if n.server.Zone == leaving {
			require.LessOrEqual(t, n.peak, 2+running, n.server.Name)
		}
	}
	w.run(drained)
	s := w.summary(drained)
	require.Equal(t, len(w.calls), s.Completed+s.Refused, "an answer for each")
	require.LessOrEqual(t, s.Refused, len(w.calls)/20)
	require.Greater(t, w.startedInLeaving(), before, "it serves again")
}

// TestSaturationAgainstBaselines offers one and a half times what six servers
// can handle, the same requests to each policy. The baselines have the limit that
// served them best in trials: 16, the most that keeps the time between tokens
// near its target.
func TestSaturationAgainstBaselines(t *testing.T) {
	const length = 150 * time.Second
	run := func(p policy) summary {
		var sum summary
		for seed := range uint64(2) {
			for _, kind := range []func(*rand.Rand) *call{briefing, mixed} {
				w := newWorld(p, 6, 2, seed)
				w.poisson(saturating, time.Duration(seed), length, kind)
				w.run(length)
				s := w.summary(length)
				sum.Preemptions += s.Preemptions
				sum.Stall += s.Stall
				sum.Goodput += s.Goodput / 4
				sum.P99 = max(sum.P99, s.P99)
			}
		}
		t.Logf("%-14s preemptions %4d, stall %6.1f s, goodput %5.0f tokens/s, p99 between tokens %3.0f ms",
			p.name, sum.Preemptions, sum.Stall.Seconds(), sum.Goodput, sum.P99)
		return sum
	}
	calmWorld := newWorld(predicted, 6, 2, 1)
	calmWorld.poisson(calm, 0, length, mixed)
	calmWorld.run(length)
	unloaded := calmWorld.summary(length)

	ours := run(predicted)
	baselines := map[string]summary{
		"round robin":    run(roundRobin(admission.FixedLimit{Limit: 16})),
		"least requests": run(leastRequests(admission.FixedLimit{Limit: 16})),
	}
	engineQueue := leastRequests(admission.Unlimited{})
	engineQueue.name = "engineQueue"
	baselines["engine queue"] = run(engineQueue)
	for name, b := range baselines {
		require.LessOrEqual(t, 8*ours.Preemptions, b.Preemptions, name)
		require.LessOrEqual(t, 5*ours.Stall, b.Stall, name)
	}
	require.LessOrEqual(t, ours.P99, 1.5*unloaded.P99)
	require.GreaterOrEqual(t, ours.Goodput, 0.95*baselines["least requests"].Goodput)
}
