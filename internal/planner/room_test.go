package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Guards against placing on a full group while another has room, against refusing
// what a nearly full engine will take soon, and against queues without an end.
func TestFullGroupIsPassedOver(t *testing.T) {
	const engines, memory = 48, 34000
	tests := map[string]struct {
		used func(id, zone string) int
		need int
		want error
		zone string
		id   string
	}{
		"one group has room": {used: func(_, zone string) int {
			if zone == "zone-2" {
				return 0
			}
			return memory
		}, need: 4000, zone: "zone-2"},
		"none has, some soon": {used: func(id, _ string) int {
			if id == "e3" {
				return memory
			}
			return memory * 13 / 10
		}, need: 4000, zone: "zone-0", id: "e3"},
		"none has for long":       {used: func(string, string) int { return 2 * memory }, need: 4000, want: ErrFull},
		"larger than any of them": {used: func(string, string) int { return 0 }, need: 2 * memory, want: ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			list := engineList(engines)
			a := startWith(t, "a", "k", list, func(*Options) {})
			loads := map[string]balancer.Load{}
			for _, e := range list {
				loads[e.ID] = balancer.Load{Running: 1, Tokens: tt.used(e.ID, e.Zone)}
			}
			a.loads.Take(time.Now(), Report{By: "b", Started: 1, Sequence: 1, Loads: loads})
			for i := range 4 {
				engine, err := a.Place(t.Context(), Placing{Request: fmt.Sprint("r", i), Service: "llm", Zone: "zone-0", Prompt: 30, Need: tt.need})
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

// Guards against a zone whose callers crowd its own engines while those of other
// zones stand idle, and against crossing zones without need.
func TestZonesShareTheirLoad(t *testing.T) {
	const engines = 96
	tests := map[string]struct{ requests, foreignLeast, foreignMost int }{
		"light": {16, 0, 2},
		"heavy": {240, 80, 180},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			a := startWith(t, "a", "k", engineList(engines), func(o *Options) { o.Now = func() time.Time { return now } })
			foreign := 0
			for i := range tt.requests {
				now = now.Add(10 * time.Millisecond)
				id, err := a.Place(t.Context(), Placing{Request: fmt.Sprint("r", i), Service: "llm", Zone: "zone-0", Prompt: 3000, Need: 4000})
				require.NoError(t, err)
				if server, _ := a.opts.State.Server(id); server.Zone != "zone-0" {
					foreign++
				}
			}
			require.GreaterOrEqual(t, foreign, tt.foreignLeast)
			require.LessOrEqual(t, foreign, tt.foreignMost)
		})
	}
}

func TestGroupsHoldAllEngines(t *testing.T) {
	for _, n := range []int{1, 12, 48, 97, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			a := startOne(t, "a", "k", engineList(n))
			total := 0
			groups, _ := a.groups("llm")
			for _, g := range groups {
				total += len(g.engines)
				require.LessOrEqual(t, len(g.engines), 2*groupSize)
				for i := range g.engines {
					require.Equal(t, g.key, a.keyOf("llm", g.engines[i].Zone, g.engines[i].ID))
				}
			}
			require.Equal(t, n, total)
		})
	}
}

// Guards against an assignment that counts twice once it is reported, or not at
// all before.
func TestAssignmentCountsUntilReported(t *testing.T) {
	tests := map[string]struct {
		report *Report
		after  time.Duration
		want   int
	}{
		"not reported":               {nil, time.Second, 1},
		"reported with it":           {&Report{By: "b", Started: 1, Sequence: 2, Loads: map[string]balancer.Load{"e0": {Running: 1, Tokens: 4000}}}, reportSettles, 1},
		"reported after it ended":    {&Report{By: "b", Started: 1, Sequence: 2}, reportSettles, 0},
		"a report on its way":        {&Report{By: "b", Started: 1, Sequence: 2}, reportSettles / 2, 1},
		"an older report":            {&Report{By: "b", Started: 1, Sequence: 0}, reportSettles, 1},
		"of an earlier process":      {&Report{By: "b", Started: 0, Sequence: 9}, reportSettles, 1},
		"of another instance":        {&Report{By: "c", Started: 1, Sequence: 1}, reportSettles, 1},
		"nothing follows":            {nil, assignmentTTL, 0},
		"a report that ends in time": {&Report{By: "b", Started: 1, Sequence: 2, Loads: map[string]balancer.Load{"e0": {Running: 3}}}, reportSettles, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLoads(alive)
			l.Take(start, Report{By: "b", Started: 1, Sequence: 1})
			l.Assign(start, "b", "e0", 4000)
			require.Equal(t, balancer.Load{Running: 1, Tokens: 4000}, l.On(start, "e0"))
			now := start.Add(tt.after)
			if tt.report != nil {
				l.Take(now, *tt.report)
			}
			require.Equal(t, tt.want, l.On(now, "e0").Running)
		})
	}
}

func alive(string) bool { return true }

// Guards against counting for ever what an instance had that has gone.
func TestReportsEnd(t *testing.T) {
	down := false
	l := NewLoads(func(string) bool { return !down })
	l.Take(start, Report{By: "b", Started: 1, Sequence: 1, Loads: map[string]balancer.Load{"e0": {Running: 2, Tokens: 8000}}})
	require.Equal(t, 2, l.On(start.Add(reportEvery), "e0").Running)
	down = true
	require.Zero(t, l.On(start.Add(reportEvery+time.Second), "e0"))
	down = false
	l.Take(start, Report{By: "c", Started: 1, Sequence: 1, Loads: map[string]balancer.Load{"e0": {Running: 2, Tokens: 8000}}})
	require.Zero(t, l.On(start.Add(reportTTL), "e0"))
}

// Guards against reports that come too late where room has become free, and
// against many where nothing has.
func TestReportsFollowChanges(t *testing.T) {
	one, two := balancer.Load{Running: 1, Tokens: 100}, balancer.Load{Running: 2, Tokens: 200}
	type loads = map[string]balancer.Load
	tests := map[string]struct {
		before, now loads
		after       time.Duration
		due         bool
	}{
		"nothing ever":        {nil, nil, time.Hour, false},
		"the same":            {loads{"e0": one}, loads{"e0": one}, reportEvery - 1, false},
		"the same for long":   {loads{"e0": one}, loads{"e0": one}, reportEvery, true},
		"one more":            {loads{"e0": one}, loads{"e0": two}, growGap - 1, false},
		"one more for long":   {loads{"e0": one}, loads{"e0": two}, growGap, true},
		"one less":            {loads{"e0": two}, loads{"e0": one}, 0, true},
		"all gone":            {loads{"e0": one}, nil, 0, true},
		"elsewhere":           {loads{"e0": one}, loads{"e1": one}, 0, true},
		"the first after all": {nil, loads{"e0": one}, time.Hour, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.due, reportDue(start.Add(tt.after), sent{tt.before, start}, tt.now))
		})
	}
}

// Guards against engines that look full beside room: 78 instances place thirty
// generations a second on twenty engines that are seven tenths full.
func TestRoomIsNotCountedTwice(t *testing.T) {
	const (
		instances, engines = 78, 20
		second             = int64(time.Second)
		perSecond          = 29
		most               = 0.80
	)
	rng := rand.New(rand.NewPCG(11, 12))
	now := start
	a := startWith(t, "a", "k", engineList(engines), func(o *Options) { o.Now = func() time.Time { return now } })
	a.opts.State.Configure(start, routes.Configuration{Version: 2, Services: []routes.Service{{
		Name: "llm", Engine: &routes.Engine{Slots: 24, MemoryTokens: 27000, SupportsMigration: true, TokensPerEvent: 4},
	}}}, nil)
	type run struct {
		by, tokens int
		engine     string
		until      time.Time
	}
	type news struct {
		at     time.Time
		report Report
	}
	var runs []run
	var coming []news
	sequences := make([]int64, instances)
	loads := func(i int) map[string]balancer.Load {
		out := map[string]balancer.Load{}
		for _, r := range runs {
			if r.by == i && now.Before(r.until) {
				out[r.engine] = out[r.engine].Plus(balancer.Load{Running: 1, Tokens: r.tokens})
			}
		}
		return out
	}
	asked, refused := 0, 0
	for step := time.Duration(0); step < 30*time.Second; step += 10 * time.Millisecond {
		now = start.Add(step)
		for i := range instances {
			if (step+time.Duration(i)*5*time.Millisecond)%reportGap < 10*time.Millisecond {
				sequences[i]++
				coming = append(coming, news{now.Add(time.Duration(rng.Int64N(second / 10))), Report{By: fmt.Sprint("i", i), Started: 1, Sequence: sequences[i], Loads: loads(i)}})
			}
		}
		var later []news
		for _, n := range coming {
			if now.Before(n.at) {
				later = append(later, n)
				continue
			}
			a.loads.Take(now, n.report)
		}
		coming = later
		if rng.Float64() > perSecond*0.01 {
			continue
		}
		tokens, stays := 3900, time.Duration(rng.Int64N(15*second))
		if rng.IntN(2) == 0 {
			tokens, stays = 2600, 600*time.Millisecond
		}
		used := 0
		for _, r := range runs {
			if now.Before(r.until) {
				used += r.tokens
			}
		}
		if float64(used+tokens) > most*engines*27000 {
			continue
		}
		by := rng.IntN(instances)
		asked++
		placed, err := a.begin(Placing{Service: "llm", Group: "llm", By: fmt.Sprint("i", by), Need: tokens, Prompt: tokens - 800, Zone: "zone-0"})
		if err != nil {
			refused++
			continue
		}
		runs = append(runs, run{by, tokens, placed.Engine, now.Add(stays)})
	}
	t.Logf("%d of %d found no room", refused, asked)
	require.Greater(t, asked, 500)
	require.LessOrEqual(t, refused, asked/100)
}
