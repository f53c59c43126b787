package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/rollout"
)

// version describes how the servers of the new version answer.
type version struct {
	// failing is the part of the answers that fail beyond the usual failures, slow the part
	// whose latency is multiplied by slowdown.
	failing, slow, slowdown float64
	// onset is the part of the duration after which the fault shows, route the only route
	// where it shows (empty: all).
	onset float64
	route string
}

// fleet is a simulated deployment.
type fleet struct {
	instances    int
	rate         float64
	routes       map[string]float64
	failureRates map[string]float64
	servers      int
	duration     time.Duration
	// flaky is the number of servers of each version that fail a part of their requests.
	flaky int
	// burst multiplies all latencies in the second quarter of the duration.
	burst bool
	// outage makes most answers of both versions fail until the canary has to end.
	outage bool
	// partitioned is the number of instances that can't reach the coordinator.
	partitioned int
	// restart restarts the coordinator halfway through.
	restart bool
}

// outcome is what callers and the platform observe.
type outcome struct {
	stage   rollout.Stage
	ended   time.Duration
	exposed int
	all     int
	// bad is the number of answers of the new version with an additional fault, late the time
	// between the 50th of them and the last request to that version.
	bad   int
	late  time.Duration
	onOld int
}

const (
	tick             = 50 * time.Millisecond
	reportInterval   = 500 * time.Millisecond
	testShare        = 0.1
	testSlack        = 50
	stepInterval     = 250 * time.Millisecond
	migrationTime    = 1500 * time.Millisecond
	typicalLatency   = 60.0
	flakyFailureRate = 0.4
	burstSlowdown    = 3.0
	// outageFailureRate is the part of all answers that fail in an outage.
	outageFailureRate = 0.7
)

func (f fleet) simulate(seed uint64, v version) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	now := time.Unix(1_000_000, 0)
	begin := now
	spec := rollout.Spec{ID: "o", Service: "desk", To: "v2", Duration: f.duration}
	limits := rollout.Limits{Share: testShare, Slack: testSlack, RollBackTime: 5 * time.Second}
	controller := rollout.NewController(now, spec, limits)
	type member struct {
		p          *rollout.Participant
		seq        int64
		promotedAt time.Time
	}
	members := make([]*member, f.instances)
	var live []string
	for i := range members {
		members[i] = &member{p: rollout.NewParticipant(now, spec)}
		if i >= f.partitioned {
			live = append(live, fmt.Sprint(i))
		}
	}
	var names []string
	var weights []float64
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if w, ok := f.routes[name]; ok {
			names, weights = append(names, name), append(weights, w)
		}
	}
	var out outcome
	var fiftieth time.Time
	for ; now.Sub(begin) < f.duration+10*time.Second; now = now.Add(tick) {
		age := now.Sub(begin)
		for range poisson(rng, f.rate*tick.Seconds()) {
			m := members[rng.IntN(len(members))]
			route := names[draw(rng, weights)]
			stage := m.p.Stage()
			track := m.p.Track(now, rng.Float64())
			isNew := track == rollout.Canary || stage == rollout.StagePromoting || stage == rollout.StageCompleted
			server := rng.IntN(f.servers)
			if track == rollout.Canary {
				canaries := rollout.CanaryServers(testShare, m.p.Window(now), f.servers)
				server = canaries[rng.IntN(len(canaries))]
			}
			failed, latency := f.answer(rng, route, age, server)
			if isNew {
				out.exposed++
				if !fiftieth.IsZero() && now.Sub(fiftieth) > out.late {
					out.late = now.Sub(fiftieth)
				}
				if age >= time.Duration(v.onset*float64(f.duration)) && (v.route == "" || v.route == route) {
					bad := false
					if rng.Float64() < v.failing {
						failed, bad = true, true
					}
					if rng.Float64() < v.slow {
						latency, bad = latency*v.slowdown, true
					}
					if bad {
						out.bad++
						if out.bad == 50 {
							fiftieth = now
						}
					}
				}
			}
			out.all++
			if isNew {
				track = rollout.Canary
			}
			m.p.Record(now, rollout.Sample{
				Route: route, Server: fmt.Sprint(server), Track: track, Metric: rollout.MetricAnswer, Failed: failed,
				Latency: time.Duration(latency * float64(time.Millisecond)),
			})
		}
		if f.restart && age == f.duration/2 {
			controller = rollout.NewController(now, spec, limits)
		}
		for i, m := range members {
			if m.p.Stage() == rollout.StagePromoting && m.promotedAt.IsZero() {
				m.promotedAt = now
			}
			if i < f.partitioned || (age+time.Duration(i)*7*time.Millisecond)%reportInterval >= tick {
				continue
			}
			remaining := 0
			if m.p.Stage() != rollout.StagePromoting || now.Sub(m.promotedAt) < migrationTime {
				remaining = 1
			}
			m.seq++
			m.p.ApplyLease(now, controller.Apply(now, m.p.Report(now, fmt.Sprint(i), 1, m.seq, remaining)))
		}
		if age%stepInterval != 0 {
			continue
		}
		action := controller.Step(now, rollout.View{Live: live, OldServers: f.servers, NewServers: f.servers})
		if w, ok := action.(rollout.Write); ok {
			for _, m := range members[f.partitioned:] {
				if w.Stage == rollout.StageCompleted && m.p.Stage() != rollout.StagePromoting {
					out.onOld++
				}
			}
			out.stage, out.ended = w.Stage, age
			break
		}
	}
	return out
}

func (f fleet) answer(rng *rand.Rand, route string, age time.Duration, server int) (failed bool, latency float64) {
	failed = rng.Float64() < f.failureRates[route] || server < f.flaky && rng.Float64() < flakyFailureRate
	latency = typicalLatency * math.Exp(rng.NormFloat64()*0.5)
	if f.outage && age < f.duration*2/3 {
		failed = failed || rng.Float64() < outageFailureRate
	}
	if f.burst && age > f.duration/4 && age < f.duration/2 {
		latency *= burstSlowdown
	}
	return failed, latency
}

func poisson(rng *rand.Rand, mean float64) int {
	n, sum := 0, rng.ExpFloat64()
	for sum < mean {
		n++
		sum += rng.ExpFloat64()
	}
	return n
}

func draw(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	u := rng.Float64() * total
	for i, w := range weights {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(weights) - 1
}

var (
	twoRoutes           = map[string]float64{"a": 0.6, "b": 0.4}
	fiveRoutes          = map[string]float64{"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2, "e": 0.2}
	typicalFailureRates = map[string]float64{"a": 0.004, "b": 0.14, "c": 0.01}
)

func small() fleet {
	return fleet{instances: 7, rate: 40, routes: twoRoutes, failureRates: typicalFailureRates, servers: 4, duration: 12 * time.Second}
}

func medium() fleet {
	return fleet{instances: 70, rate: 110, routes: twoRoutes, failureRates: typicalFailureRates, servers: 5, duration: 12 * time.Second}
}

func large() fleet {
	return fleet{instances: 350, rate: 500, routes: fiveRoutes, failureRates: typicalFailureRates, servers: 40, duration: 20 * time.Second}
}

// Guards the limits on bad versions, and the promotion of good ones, in simulated fleets
// of 7, 70 and 350 instances. Prints how many rollouts of each kind complete.
func TestDecisions(t *testing.T) {
	all := [3]int{100, 100, 100}
	fleets := []struct {
		name  string
		f     fleet
		seeds int
	}{{"7", small(), 20}, {"70", medium(), 20}, {"350", large(), 5}}
	tests := []struct {
		name string
		v    version
		f    func(*fleet)
		// maxBad is how many of 100 rollouts may complete or exceed the limit on requests,
		// minCompleted how many have to complete, by fleet. With few requests, a slightly worse
		// version isn't detected.
		maxBad, minCompleted [3]int
	}{
		{name: "good", maxBad: all, minCompleted: [3]int{85, 85, 80}},
		{name: "good with a flaky server", f: func(f *fleet) { f.flaky = 1 }, maxBad: all, minCompleted: [3]int{80, 80, 80}},
		{name: "good during a burst", f: func(f *fleet) { f.burst = true }, maxBad: all, minCompleted: [3]int{85, 85, 80}},
		{name: "good, coordinator restarts", f: func(f *fleet) { f.restart = true }, maxBad: all, minCompleted: [3]int{85, 85, 80}},
		{name: "2 in 100 fail", v: version{failing: 0.02}, maxBad: all},
		{name: "5 in 100 fail", v: version{failing: 0.05}, maxBad: [3]int{100, 90, 0}},
		{name: "10 in 100 fail", v: version{failing: 0.1}, maxBad: [3]int{60, 20, 0}},
		{name: "30 in 100 fail", v: version{failing: 0.3}},
		{name: "60 in 100 fail", v: version{failing: 0.6}},
		{name: "30 in 100 fail after a while", v: version{failing: 0.3, onset: 0.35}, maxBad: [3]int{40, 15, 0}},
		{name: "50 in 100 fail, outage", v: version{failing: 0.5}, f: func(f *fleet) { f.outage = true }, maxBad: [3]int{15, 5, 0}},
		{name: "50 in 100 fail on one route", v: version{failing: 0.5, route: "a"}},
		{name: "all two times slower", v: version{slow: 1, slowdown: 2}, maxBad: [3]int{10, 0, 0}},
		{name: "all eight times slower", v: version{slow: 1, slowdown: 8}},
		{name: "30 in 100 four times slower", v: version{slow: 0.3, slowdown: 4}, maxBad: [3]int{15, 0, 0}},
		{name: "all four times slower after a while", v: version{slow: 1, slowdown: 4, onset: 0.35}, maxBad: [3]int{5, 0, 0}},
		{name: "30 in 100 fail, instances partitioned", v: version{failing: 0.3}, f: func(f *fleet) { f.partitioned = f.instances / 3 }, maxBad: [3]int{10, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var failedFleets []string
			for i, fleet := range fleets {
				f, seeds := fleet.f, fleet.seeds
				if tt.f != nil {
					tt.f(&f)
				}
				completed, overLimit, exposed := 0, 0, 0
				var ended time.Duration
				for seed := range uint64(fleet.seeds) {
					out := f.simulate(seed, tt.v)
					require.NotEqual(t, rollout.StageNone, out.stage, "no decision, seed %d", seed)
					require.Zero(t, out.onOld, "seed %d", seed)
					require.LessOrEqual(t, out.late, 5*time.Second, "seed %d", seed)
					ended += out.ended
					if out.stage == rollout.StageCompleted {
						require.LessOrEqual(t, out.ended, f.duration, "seed %d", seed)
						completed++
						continue
					}
					exposed += out.exposed
					// The limit counts the requests until the deadline, of which those so far are a
					// part.
					if float64(out.exposed) > testShare*f.rate*f.duration.Seconds()+testSlack {
						overLimit++
					}
				}
				rolledBack := seeds - completed
				t.Logf("%s instances: %d in 100 completed, ended after %.1f s, %d requests per rolled back version, %d over the limit",
					fleet.name, completed*100/seeds, ended.Seconds()/float64(seeds), exposed/max(1, rolledBack), overLimit)
				if (completed+overLimit)*100/seeds > tt.maxBad[i] || completed*100/seeds < tt.minCompleted[i] {
					failedFleets = append(failedFleets, fleet.name)
				}
			}
			require.Empty(t, failedFleets)
		})
	}
}
