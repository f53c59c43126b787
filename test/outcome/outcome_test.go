package outcome_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// lowRate is a request rate, in requests per second, that six servers handle easily;
	// saturatingRate is about 1.5 times their capacity.
	lowRate        = 3
	saturatingRate = 8
)

// drainTime is a time long after the last arrival: the longest output takes about six minutes.
const drainTime = 700 * time.Second

func briefing(rng *rand.Rand) *call { return newCall(rng, "club", 260) }

func mixed(rng *rand.Rand) *call {
	if rng.IntN(2) == 0 {
		return newCall(rng, "verdicts", 24)
	}
	return newCall(rng, "plans", 500)
}

func (sim *simulation) workspaceStats(workspace string) (arrived, completed, refused int, firstTokens []float64) {
	for _, c := range sim.calls {
		if c.workspace != workspace {
			continue
		}
		arrived++
		if c.done {
			completed++
		}
		if c.refused {
			refused++
		}
		if c.firstTokenLatency > 0 {
			firstTokens = append(firstTokens, c.firstTokenLatency.Seconds())
		}
	}
	return arrived, completed, refused, firstTokens
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		servers int
		run     func(t *testing.T, sim *simulation)
	}{
		"low load is served without refusals or stalls": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(lowRate, 0, 100*time.Second, briefing)
			sim.runUntil(200 * time.Second)
			s := sim.summary(200 * time.Second)
			require.Zero(t, s.Refused+s.Preemptions)
			require.Zero(t, s.Stall)
			require.Less(t, s.FirstTokenP95, 410.0, "milliseconds")
			require.Less(t, s.P95, 42.0, "milliseconds")
		}},
		"a burst is queued or refused and stalls no stream": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(lowRate, 0, 60*time.Second, briefing)
			for range 150 {
				sim.schedule(30*time.Second, func() { sim.arrive(briefing(sim.rng)) })
			}
			sim.runUntil(drainTime)
			s := sim.summary(drainTime)
			require.Equal(t, len(sim.calls), s.Completed+s.Refused, "every request completes or is refused")
			require.Greater(t, s.Completed, len(sim.calls)/2)
			require.LessOrEqual(t, s.Preemptions, 3)
		}},
		"half of the requests share one prefix": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(lowRate, 0, 100*time.Second, func(rng *rand.Rand) *call {
				c := briefing(rng)
				if rng.IntN(2) == 0 {
					c.prefix = 99
				}
				return c
			})
			sim.runUntil(200 * time.Second)
			s := sim.summary(200 * time.Second)
			require.Zero(t, s.Refused)
			require.LessOrEqual(t, s.Preemptions, 2)
			for _, n := range sim.nodes {
				require.Positive(t, n.started, n.server.Name)
			}
		}},
		"one server is slow": {run: func(t *testing.T, sim *simulation) {
			// The server doesn't fail: its steps take four times as long.
			slow := sim.nodes[2]
			sim.schedule(40*time.Second, func() { slow.slowdown = 4 })
			sim.schedulePoisson(lowRate, 0, 300*time.Second, briefing)
			sim.runUntil(70 * time.Second)
			before := slow.started
			sim.runUntil(130 * time.Second)
			// One probe every five seconds, plus requests for which no other server had capacity.
			require.LessOrEqual(t, slow.started-before, 14)
			sim.schedule(0, func() { slow.slowdown = 1 })
			before = slow.started
			sim.runUntil(300 * time.Second)
			require.Greater(t, slow.started-before, 50, "the recovered server gets requests again")
		}},
		"short outputs beside long ones": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(5, 0, 120*time.Second, mixed)
			sim.runUntil(200 * time.Second)
			_, _, _, firstTokens := sim.workspaceStats("verdicts")
			require.Less(t, quantile(firstTokens, 0.5), 1.0, "seconds")
			require.LessOrEqual(t, sim.summary(200*time.Second).Preemptions, 8)
		}},
		"a large workspace does not starve small ones": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(saturatingRate, 0, 120*time.Second, func(rng *rand.Rand) *call { return newCall(rng, "large", 260) })
			sim.schedulePoisson(0.4, 0, 120*time.Second, func(rng *rand.Rand) *call { return newCall(rng, "small", 120) })
			sim.runUntil(250 * time.Second)
			arrived, _, refused, _ := sim.workspaceStats("small")
			require.Greater(t, arrived, 30)
			require.LessOrEqual(t, refused, arrived/10)
			_, _, refused, _ = sim.workspaceStats("large")
			require.Greater(t, refused, 50, "the large workspace is the one that is refused")
		}},
		"patient requests finish under interactive saturation": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(saturatingRate, 0, 200*time.Second, briefing)
			sim.schedulePoisson(0.2, 0, 100*time.Second, func(rng *rand.Rand) *call {
				c := newCall(rng, "school", 260)
				c.class, c.maxWait = pollenspindle.ClassPatient, 10*time.Minute
				return c
			})
			sim.runUntil(2 * drainTime)
			arrived, completed, _, _ := sim.workspaceStats("school")
			require.Greater(t, arrived, 10)
			require.Equal(t, arrived, completed)
		}},
		"cold servers stay within their cold limit": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(40, 0, 10*time.Second, briefing)
			// Stop before the first load report that can show a success.
			sim.runUntil(450 * time.Millisecond)
			for _, n := range sim.nodes {
				require.LessOrEqual(t, n.peakRunning, 2, n.server.Name)
			}
			sim.runUntil(20 * time.Second)
			require.Greater(t, sim.nodes[0].peakRunning, 4, "successes must raise the limit")
		}},
		"an availability zone is drained and restored": {run: testZoneDrainedAndRestored},
		"an availability zone is drained during a burst": {run: func(t *testing.T, sim *simulation) {
			sim.schedulePoisson(lowRate, 0, 100*time.Second, briefing)
			sim.schedule(40*time.Second, func() { sim.drainedZones[drainedZone] = true })
			for range 100 {
				sim.schedule(40*time.Second, func() { sim.arrive(briefing(sim.rng)) })
			}
			sim.runUntil(40 * time.Second)
			before := sim.startedInDrainedZone()
			sim.runUntil(drainTime)
			s := sim.summary(drainTime)
			require.Equal(t, before, sim.startedInDrainedZone())
			require.Equal(t, len(sim.calls), s.Completed+s.Refused, "every request completes or is refused")
			require.LessOrEqual(t, s.Preemptions, 8)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.run(t, newSimulation(predicted, 6, 2, 1))
		})
	}
}

// drainedZone is the availability zone that the tests drain.
const drainedZone = "zone-1"

func (sim *simulation) startedInDrainedZone() (n int) {
	for _, node := range sim.nodes {
		if node.server.Zone == drainedZone {
			n += node.started
		}
	}
	return n
}

// testZoneDrainedAndRestored drains a third of the servers and restores them as cold ones. While
// they are drained, no new request starts there and the other servers take over the load without
// stalling their streams. Each restored server starts at its cold limit.
func testZoneDrainedAndRestored(t *testing.T, sim *simulation) {
	sim.schedulePoisson(lowRate, 0, 160*time.Second, briefing)
	sim.schedule(60*time.Second, func() { sim.drainedZones[drainedZone] = true })
	sim.runUntil(60 * time.Second)
	before := sim.startedInDrainedZone()
	sim.runUntil(100 * time.Second)
	require.Equal(t, before, sim.startedInDrainedZone(), "new requests in the drained zone")
	for _, n := range sim.nodes {
		if n.server.Zone == drainedZone {
			n.state.ResetToCold()
			n.peakRunning = 0
		}
	}
	delete(sim.drainedZones, drainedZone)
	running := 0
	for _, n := range sim.nodes {
		if n.server.Zone == drainedZone {
			running += len(n.running)
		}
	}
	sim.runUntil(101 * time.Second)
	for _, n := range sim.nodes {
		if n.server.Zone == drainedZone {
			require.LessOrEqual(t, n.peakRunning, 2+running, n.server.Name)
		}
	}
	sim.runUntil(drainTime)
	s := sim.summary(drainTime)
	require.Equal(t, len(sim.calls), s.Completed+s.Refused, "every request completes or is refused")
	require.LessOrEqual(t, s.Refused, len(sim.calls)/20)
	require.Greater(t, sim.startedInDrainedZone(), before, "the restored zone gets requests again")
}

// TestSaturationComparedWithBaselines offers 1.5 times the capacity of six servers, with the same
// requests for each policy. The baselines have a limit of 16, the highest that keeps the time
// between tokens near its target and the one that gives them their best results.
func TestSaturationComparedWithBaselines(t *testing.T) {
	const length = 150 * time.Second
	run := func(p policy) summary {
		var sum summary
		for seed := range uint64(2) {
			for _, kind := range []func(*rand.Rand) *call{briefing, mixed} {
				sim := newSimulation(p, 6, 2, seed)
				sim.schedulePoisson(saturatingRate, time.Duration(seed), length, kind)
				sim.runUntil(length)
				s := sim.summary(length)
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
	unloadedSim := newSimulation(predicted, 6, 2, 1)
	unloadedSim.schedulePoisson(lowRate, 0, length, mixed)
	unloadedSim.runUntil(length)
	unloaded := unloadedSim.summary(length)

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
