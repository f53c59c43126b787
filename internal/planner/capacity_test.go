package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Guards against placing on a full group while another has capacity, against refusing requests that
// a nearly full engine can take soon, and against unlimited queues.
func TestFullGroupIsSkipped(t *testing.T) {
	const engines, memory = 48, 34000
	tests := map[string]struct {
		used func(id, zone string) int
		need int
		want error
		zone string
		id   string
	}{
		"one group has capacity": {used: func(_, zone string) int {
			if zone == "zone-2" {
				return 0
			}
			return memory
		}, need: 4000, zone: "zone-2"},
		"none has capacity, one soon": {used: func(id, _ string) int {
			if id == "e3" {
				return memory
			}
			return memory * 13 / 10
		}, need: 4000, zone: "zone-0", id: "e3"},
		"all overloaded":         {used: func(string, string) int { return 2 * memory }, need: 4000, want: ErrFull},
		"larger than any engine": {used: func(string, string) int { return 0 }, need: 2 * memory, want: ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			list := engineList(engines)
			a := startWithOptions(t, "a", "k", list, func(*Options) {})
			loads := map[string]balancer.Load{}
			for _, e := range list {
				loads[e.ID] = balancer.Load{Running: 1, Tokens: tt.used(e.ID, e.Zone)}
			}
			a.loads.Apply(time.Now(), Report{Instance: "b", Started: 1, Sequence: 1, Loads: loads})
			for i := range 4 {
				engine, err := a.Place(t.Context(), PlacementRequest{RequestID: fmt.Sprint("r", i), Service: "llm", Zone: "zone-0", PromptTokens: 30, RequiredTokens: tt.need})
				if tt.want != nil {
					require.ErrorIs(t, err, tt.want)
					continue
				}
				require.NoError(t, err)
				server, ok := a.opts.State.Server(engine)
				require.True(t, ok)
				require.Equal(t, tt.zone, server.Zone)
				if tt.id != "" && i == 0 {
					require.Equal(t, tt.id, engine)
				}
			}
		})
	}
}

// Guards against overloading the engines of one zone while those of other zones are idle, and
// against needless cross-zone placement.
func TestLoadIsSharedBetweenZones(t *testing.T) {
	const engines = 96
	tests := map[string]struct{ requests, minCrossZone, maxCrossZone int }{
		"light": {16, 0, 2},
		"heavy": {240, 80, 180},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			a := startWithOptions(t, "a", "k", engineList(engines), func(o *Options) { o.Now = func() time.Time { return now } })
			crossZone := 0
			for i := range tt.requests {
				now = now.Add(10 * time.Millisecond)
				id, err := a.Place(t.Context(), PlacementRequest{RequestID: fmt.Sprint("r", i), Service: "llm", Zone: "zone-0", PromptTokens: 3000, RequiredTokens: 4000})
				require.NoError(t, err)
				if server, _ := a.opts.State.Server(id); server.Zone != "zone-0" {
					crossZone++
				}
			}
			require.GreaterOrEqual(t, crossZone, tt.minCrossZone)
			require.LessOrEqual(t, crossZone, tt.maxCrossZone)
		})
	}
}

func TestGroupsContainAllEngines(t *testing.T) {
	for _, n := range []int{1, 12, 48, 97, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			a := startInstance(t, "a", "k", engineList(n))
			total := 0
			groups, _ := a.groups("llm")
			for _, g := range groups {
				total += len(g.engines)
				require.LessOrEqual(t, len(g.engines), 2*groupSize)
				for i := range g.engines {
					require.Equal(t, g.key, a.groupKeyOf("llm", g.engines[i].Zone, g.engines[i].ID))
				}
			}
			require.Equal(t, n, total)
		})
	}
}

// Guards against counting an assignment twice after it is reported, or not at all before.
func TestAssignmentCountsUntilReported(t *testing.T) {
	tests := map[string]struct {
		report *Report
		after  time.Duration
		want   int
	}{
		"not reported":                      {nil, time.Second, 1},
		"report includes it":                {&Report{Instance: "b", Started: 1, Sequence: 2, Loads: map[string]balancer.Load{"e0": {Running: 1, Tokens: 4000}}}, reportSettleTime, 1},
		"ended before the report":           {&Report{Instance: "b", Started: 1, Sequence: 2}, reportSettleTime, 0},
		"report sent before the assignment": {&Report{Instance: "b", Started: 1, Sequence: 2}, reportSettleTime / 2, 1},
		"older report":                      {&Report{Instance: "b", Started: 1, Sequence: 0}, reportSettleTime, 1},
		"report of an earlier process":      {&Report{Instance: "b", Started: 0, Sequence: 9}, reportSettleTime, 1},
		"report of another instance":        {&Report{Instance: "c", Started: 1, Sequence: 1}, reportSettleTime, 1},
		"no report until expiry":            {nil, assignmentTTL, 0},
		"report with more load":             {&Report{Instance: "b", Started: 1, Sequence: 2, Loads: map[string]balancer.Load{"e0": {Running: 3}}}, reportSettleTime, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLoads(alwaysAlive)
			l.Apply(start, Report{Instance: "b", Started: 1, Sequence: 1})
			l.Assign(start, "b", "e0", 4000)
			require.Equal(t, balancer.Load{Running: 1, Tokens: 4000}, l.ForEngine(start, "e0"))
			now := start.Add(tt.after)
			if tt.report != nil {
				l.Apply(now, *tt.report)
			}
			require.Equal(t, tt.want, l.ForEngine(now, "e0").Running)
		})
	}
}

func alwaysAlive(string) bool { return true }

// Guards against counting the load of an instance for ever after the instance has gone.
func TestReportsExpire(t *testing.T) {
	down := false
	l := NewLoads(func(string) bool { return !down })
	l.Apply(start, Report{Instance: "b", Started: 1, Sequence: 1, Loads: map[string]balancer.Load{"e0": {Running: 2, Tokens: 8000}}})
	require.Equal(t, 2, l.ForEngine(start.Add(unchangedReportInterval), "e0").Running)
	down = true
	require.Zero(t, l.ForEngine(start.Add(unchangedReportInterval+time.Second), "e0"))
	down = false
	l.Apply(start, Report{Instance: "c", Started: 1, Sequence: 1, Loads: map[string]balancer.Load{"e0": {Running: 2, Tokens: 8000}}})
	require.Zero(t, l.ForEngine(start.Add(reportTTL), "e0"))
}

// Guards against late reports after capacity was freed, and against frequent reports without
// changes.
func TestReportDue(t *testing.T) {
	one, two := balancer.Load{Running: 1, Tokens: 100}, balancer.Load{Running: 2, Tokens: 200}
	type loads = map[string]balancer.Load
	tests := map[string]struct {
		before, now loads
		after       time.Duration
		due         bool
	}{
		"never any load":           {nil, nil, time.Hour, false},
		"unchanged":                {loads{"e0": one}, loads{"e0": one}, unchangedReportInterval - 1, false},
		"unchanged, interval over": {loads{"e0": one}, loads{"e0": one}, unchangedReportInterval, true},
		"grown":                    {loads{"e0": one}, loads{"e0": two}, growthReportInterval - 1, false},
		"grown, interval over":     {loads{"e0": one}, loads{"e0": two}, growthReportInterval, true},
		"one ended":                {loads{"e0": two}, loads{"e0": one}, 0, true},
		"all ended":                {loads{"e0": one}, nil, 0, true},
		"moved to another engine":  {loads{"e0": one}, loads{"e1": one}, 0, true},
		"first load":               {nil, loads{"e0": one}, time.Hour, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.due, reportDue(start.Add(tt.after), sentReport{tt.before, start}, tt.now))
		})
	}
}

// Guards against engines that look full although they have capacity: 78 instances place thirty
// generations per second on twenty engines at 70 % load.
func TestAssignmentsAreNotCountedTwice(t *testing.T) {
	const (
		instances, engines = 78, 20
		oneSecond          = int64(time.Second)
		requestsPerSecond  = 29
		maxLoad            = 0.80
	)
	rng := rand.New(rand.NewPCG(11, 12))
	now := start
	a := startWithOptions(t, "a", "k", engineList(engines), func(o *Options) { o.Now = func() time.Time { return now } })
	a.opts.State.Configure(start, routes.Configuration{Version: 2, Services: []routes.Service{{
		Name: "llm", Engine: &routes.Engine{Slots: 24, MemoryTokens: 27000, SupportsMigration: true, TokensPerEvent: 4},
	}}}, nil)
	type generation struct {
		by, tokens int
		engine     string
		until      time.Time
	}
	type delivery struct {
		at     time.Time
		report Report
	}
	var running []generation
	var inTransit []delivery
	sequences := make([]int64, instances)
	loads := func(i int) map[string]balancer.Load {
		out := map[string]balancer.Load{}
		for _, r := range running {
			if r.by == i && now.Before(r.until) {
				out[r.engine] = out[r.engine].Plus(balancer.Load{Running: 1, Tokens: r.tokens})
			}
		}
		return out
	}
	requests, refused := 0, 0
	for step := time.Duration(0); step < 30*time.Second; step += 10 * time.Millisecond {
		now = start.Add(step)
		for i := range instances {
			if (step+time.Duration(i)*5*time.Millisecond)%minReportInterval < 10*time.Millisecond {
				sequences[i]++
				inTransit = append(inTransit, delivery{now.Add(time.Duration(rng.Int64N(oneSecond / 10))), Report{Instance: fmt.Sprint("i", i), Started: 1, Sequence: sequences[i], Loads: loads(i)}})
			}
		}
		var later []delivery
		for _, n := range inTransit {
			if now.Before(n.at) {
				later = append(later, n)
				continue
			}
			a.loads.Apply(now, n.report)
		}
		inTransit = later
		if rng.Float64() > requestsPerSecond*0.01 {
			continue
		}
		tokens, duration := 3900, time.Duration(rng.Int64N(15*oneSecond))
		if rng.IntN(2) == 0 {
			tokens, duration = 2600, 600*time.Millisecond
		}
		used := 0
		for _, r := range running {
			if now.Before(r.until) {
				used += r.tokens
			}
		}
		if float64(used+tokens) > maxLoad*engines*27000 {
			continue
		}
		by := rng.IntN(instances)
		requests++
		res, err := a.chooseEngine(PlacementRequest{Service: "llm", Group: "llm", Instance: fmt.Sprint("i", by), RequiredTokens: tokens, PromptTokens: tokens - 800, Zone: "zone-0"})
		if err != nil {
			refused++
			continue
		}
		running = append(running, generation{by, tokens, res.Engine, now.Add(duration)})
	}
	t.Logf("%d of %d refused", refused, requests)
	require.Greater(t, requests, 500)
	require.LessOrEqual(t, refused, requests/100)
}

// Guards against engines that change groups when others come and go: their planner changes, and
// knows nothing of them.
func TestGroupsOutliveChangesOfEngines(t *testing.T) {
	for _, n := range []int{300, 1900, 3000, 9000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all := make([]*platformstate.Server, n)
			for i, e := range engineList(n) {
				all[i] = &platformstate.Server{Server: e}
			}
			keys := func(l layout) map[string]string {
				out := map[string]string{}
				for _, e := range all {
					out[e.ID] = groupKey(l, "llm", e.Zone, e.ID)
				}
				return out
			}
			before, moved := keys(layoutOf(all)), 0
			for fewer := n / 100; fewer <= n/10; fewer += n / 100 {
				after := keys(layoutOf(all[fewer:]))
				for id, key := range before {
					if after[id] != key {
						moved++
					}
				}
				before = after
			}
			require.LessOrEqual(t, moved, n, "a tenth of the engines left in ten steps")
		})
	}
}

// BenchmarkGroups measures what a change of one engine and a choice of groups cost.
func BenchmarkGroups(b *testing.B) {
	for _, n := range []int{2500, 5000, 10000, 20000} {
		all := make([]*platformstate.Server, n)
		for i, e := range engineList(n) {
			all[i] = &platformstate.Server{Server: e}
		}
		l := layoutOf(all)
		b.Run(fmt.Sprint("regroup/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				groupsOf(all, "llm", layoutOf(all))
			}
		})
		groups := groupsOf(all, "llm", l)
		p := &Planner{scores: map[string]groupScore{}}
		b.Run(fmt.Sprint("choose/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.bestGroups(start, groups, "zone-0", "request", maxGroups)
			}
		})
	}
}
