package planner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// firstTokenTarget is the time in which callers expect the first token.
	firstTokenTarget = 1500 * time.Millisecond
	// prefillTimePerToken and decodeTimePerToken are an engine's times for one token of a prompt,
	// beside running generations, and for one of the output.
	prefillTimePerToken = 143 * time.Microsecond
	decodeTimePerToken  = 9 * time.Millisecond
	// maxReportDelay is the maximum delivery time of a load report.
	maxReportDelay = 60 * time.Millisecond
	// minCallTime and maxCallTime bound the time of a placement call between instances.
	minCallTime    = time.Millisecond
	maxCallTime    = 5 * time.Millisecond
	simulatedTime  = 30 * time.Second
	simulationStep = 10 * time.Millisecond
)

// workload describes the requests and the changes of the engines.
type workload struct {
	instances, engines, zones int
	requestsPerSecond         float64
	// replaced is the number of engines replaced by new and empty ones every 3 s.
	replaced int
	// burst multiplies the request rate from second 10 to second 13.
	burst float64
	// skew is the share of the requests that come from the first zone.
	skew float64
	// planned makes the planner place requests; otherwise each instance places by its own load.
	planned bool
}

// runningGeneration is a generation that an engine runs.
type runningGeneration struct {
	instance, tokens int
	engine           string
	firstToken, end  time.Time
	place            balancer.Placement
}

// result counts the outcomes of requests.
type result struct {
	requests, late, refused, crossZone, preempted int
}

// simulation applies a workload to the planner's decisions, without sockets and in simulated time.
type simulation struct {
	workload
	t              *testing.T
	rng            *rand.Rand
	callRNG        *rand.Rand
	now            time.Time
	planner        testInstance
	localBalancers []*balancer.Balancer
	engineList     []dialect.Server
	engineCount    int
	running        []runningGeneration
	prefillFreeAt  map[string]time.Time
	reports        []struct {
		at time.Time
		Report
	}
	sequences []int64
	scores    []map[string]groupScore
	result    result
}

func simulate(t *testing.T, l workload) result {
	p := &simulation{workload: l, t: t, rng: rand.New(rand.NewPCG(7, 7)), callRNG: rand.New(rand.NewPCG(7, 8)), now: start, prefillFreeAt: map[string]time.Time{}, sequences: make([]int64, l.instances)}
	p.planner = startWithOptions(t, "a", "k", nil, func(o *Options) { o.Now = func() time.Time { return p.now } })
	p.planner.requestPlacement = p.callPlace
	for range l.instances {
		p.scores = append(p.scores, map[string]groupScore{})
		p.localBalancers = append(p.localBalancers, balancer.New(balancer.ColdLimits{ColdOverage: 1, ColdSlack: 1}, p.rng, nil))
	}
	p.engineList = make([]dialect.Server, l.engines)
	for i := range p.engineList {
		p.replaceEngine(i)
	}
	p.publishEngines()
	for step := time.Duration(0); step < simulatedTime; step += simulationStep {
		p.now = start.Add(step)
		if p.replaced > 0 && step%(3*time.Second) == 0 {
			for range p.replaced {
				p.replaceEngine(p.rng.IntN(l.engines))
			}
			p.publishEngines()
		}
		p.finishGenerations()
		p.deliverReports(step)
		rate := p.requestsPerSecond
		if p.burst > 0 && step >= 10*time.Second && step < 13*time.Second {
			rate *= p.burst
		}
		for rate *= simulationStep.Seconds(); rate > 0; rate-- {
			if p.rng.Float64() < rate {
				p.placeRequest()
			}
		}
	}
	return p.result
}

// replaceEngine replaces an engine by a new one.
func (p *simulation) replaceEngine(i int) {
	p.engineCount++
	p.engineList[i] = dialect.Server{ID: fmt.Sprint("e", p.engineCount), Service: "llm", Zone: fmt.Sprint("zone-", i%p.zones), Slots: 24}
}

func (p *simulation) publishEngines() {
	version, _ := p.planner.opts.State.Version(platformstate.Servers)
	p.planner.opts.State.ReplaceServers(p.now, version+1, p.engineList)
}

// finishGenerations ends generations whose time is over.
func (p *simulation) finishGenerations() {
	kept := p.running[:0]
	for _, g := range p.running {
		if p.now.Before(g.end) {
			kept = append(kept, g)
			continue
		}
		if !p.planned {
			p.localBalancers[g.instance].Release(g.place)
		}
	}
	p.running = kept
}

// deliverReports sends the reports that are due, staggered by instance, and delivers those that
// arrive.
func (p *simulation) deliverReports(step time.Duration) {
	loads := make([]map[string]balancer.Load, p.instances)
	for _, g := range p.running {
		if loads[g.instance] == nil {
			loads[g.instance] = map[string]balancer.Load{}
		}
		loads[g.instance][g.engine] = loads[g.instance][g.engine].Plus(balancer.Load{Running: 1, Tokens: g.tokens})
	}
	for i := range p.instances {
		if (step+time.Duration(i)*simulationStep)%minReportInterval != 0 {
			continue
		}
		p.sequences[i]++
		p.reports = append(p.reports, struct {
			at time.Time
			Report
		}{p.now.Add(time.Duration(p.rng.Int64N(int64(maxReportDelay)))), Report{Instance: fmt.Sprint("i", i), Started: 1, Sequence: p.sequences[i], Loads: loads[i]}})
	}
	later := p.reports[:0]
	for _, r := range p.reports {
		if p.now.Before(r.at) {
			later = append(later, r)
			continue
		}
		p.planner.loads.Apply(p.now, r.Report)
	}
	p.reports = later
}

// callPlace answers a placement request after a simulated call time.
func (p *simulation) callPlace(_ context.Context, _ string, r PlacementRequest) (PlacementResponse, error) {
	half := (minCallTime + time.Duration(p.callRNG.Int64N(int64(maxCallTime-minCallTime)))) / 2
	p.now = p.now.Add(half)
	defer func() { p.now = p.now.Add(half) }()
	return p.planner.servePlacement(r)
}

// placeRequest places one generation and counts its outcome. Its calls take simulated time, which
// doesn't delay other requests.
func (p *simulation) placeRequest() {
	arrived := p.now
	defer func() { p.now = arrived }()
	p.result.requests++
	by := p.rng.IntN(p.instances)
	if p.rng.Float64() < p.skew {
		by -= by % p.zones
	}
	zone := fmt.Sprint("zone-", by%p.zones)
	prompt, output := 1000+p.rng.IntN(4000), 470
	if p.rng.IntN(2) == 0 {
		output = 8
	}
	g := runningGeneration{instance: by, tokens: prompt + output}
	if p.planned {
		p.planner.opts.Self, p.planner.scores = fmt.Sprint("i", by), p.scores[by]
		id, err := p.planner.Place(p.t.Context(), PlacementRequest{RequestID: fmt.Sprint(p.result.requests), Service: "llm", Zone: zone, PromptTokens: prompt, RequiredTokens: g.tokens, MaxPrefillWaitMillis: firstTokenTarget.Milliseconds()})
		if err != nil {
			p.result.refused++
			return
		}
		g.engine = id
	} else {
		service, err := p.planner.engines("llm")
		require.NoError(p.t, err)
		picked, ok := p.localBalancers[by].Pick(p.now, balancer.Request{Service: service, Zone: zone, Tokens: g.tokens, PromptTokens: prompt}, p.planner.opts.State.Servers("llm")).(balancer.Picked)
		if !ok {
			p.result.refused++
			return
		}
		g.engine, g.place = picked.Placement.Server.ID, picked.Placement
	}
	if server, ok := p.planner.opts.State.Server(g.engine); ok && server.Zone != zone {
		p.result.crossZone++
	}
	if p.prefillFreeAt[g.engine].Before(p.now) {
		p.prefillFreeAt[g.engine] = p.now
	}
	p.prefillFreeAt[g.engine] = p.prefillFreeAt[g.engine].Add(time.Duration(prompt) * prefillTimePerToken)
	g.firstToken = p.prefillFreeAt[g.engine]
	g.end = g.firstToken.Add(time.Duration(output) * decodeTimePerToken)
	used := g.tokens
	for _, other := range p.running {
		if other.engine == g.engine {
			used += other.tokens
		}
	}
	if used > 34000 {
		p.result.preempted++
	}
	if g.firstToken.Sub(arrived) > firstTokenTarget {
		p.result.late++
	}
	p.running = append(p.running, g)
}

// Guards against late first tokens under bursts, with all callers in one zone, with long and short
// generations mixed, and while engines are replaced.
func TestFirstTokensAreOnTime(t *testing.T) {
	small := workload{instances: 7, engines: 12, zones: 3, requestsPerSecond: 11, replaced: 2, planned: true}
	large := workload{instances: 295, engines: 97, zones: 5, requestsPerSecond: 127, replaced: 16, planned: true}
	with := func(l workload, change func(*workload)) workload { change(&l); return l }
	tests := map[string]struct {
		workload
		late, refused, crossZone, preempted float64
	}{
		"small":           {small, 0.01, 0, 1, 0},
		"small, burst":    {with(small, func(l *workload) { l.burst = 2 }), 0.02, 0, 1, 0},
		"small, one zone": {with(small, func(l *workload) { l.skew = 1 }), 0.01, 0, 1, 0},
		"large":           {large, 0.01, 0, 0.1, 0},
		"large, burst":    {with(large, func(l *workload) { l.burst = 2.5 }), 0.03, 0.03, 0.6, 0.01},
		"large, skewed":   {with(large, func(l *workload) { l.skew = 0.5 }), 0.01, 0, 0.5, 0},
		"large, one zone": {with(large, func(l *workload) { l.skew = 1 }), 0.03, 0, 0.9, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := simulate(t, tt.workload)
			t.Logf("%+v", got)
			n := float64(got.requests)
			require.LessOrEqual(t, float64(got.late)/n, tt.late, "late")
			require.LessOrEqual(t, float64(got.refused)/n, tt.refused, "refused")
			require.LessOrEqual(t, float64(got.crossZone)/n, tt.crossZone, "cross-zone")
			require.LessOrEqual(t, float64(got.preempted)/n, tt.preempted, "preempted")
		})
	}
}

// Guards against queues in which every request is late. At twice the load that the engines can
// prefill, accepted requests get their first token in time and the others are refused at once.
func TestSaturationRefusesAtOnce(t *testing.T) {
	got := simulate(t, workload{instances: 78, engines: 20, zones: 4, requestsPerSecond: 90, planned: true})
	t.Logf("%+v", got)
	served := got.requests - got.refused
	require.LessOrEqual(t, got.late, served/20)
	require.Greater(t, served-got.late, got.requests/2)
	require.LessOrEqual(t, got.preempted, served/20)
}

// Guards against a planner that is no better than placing by an instance's own load, the fallback
// of instances that reach no planner.
func TestPlanBeatsPlacingAlone(t *testing.T) {
	l := workload{instances: 295, engines: 97, zones: 5, requestsPerSecond: 127, replaced: 16}
	local := simulate(t, l)
	l.planned = true
	planned := simulate(t, l)
	t.Logf("local %+v, planned %+v", local, planned)
	require.Less(t, 4*(planned.late+planned.refused), local.late+local.refused)
	require.Less(t, 4*planned.preempted, local.preempted+1)
}
