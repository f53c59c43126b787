package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// The engines of one group are full, those of the other have room. A generation
// whose turn it is in the full one begins in the other. Where all are full the
// asker is told so, and can wait; where none would ever have room it needn't.
func TestFullGroupIsPassedOver(t *testing.T) {
	const engines, measure = 48, 34000
	groups := groupsOf(engines)
	require.Equal(t, 2, groups)
	tests := map[string]struct {
		used func(id string) int
		need int
		want error
	}{
		"one group has room":      {func(id string) int { return measure * (1 - groupOf(id, groups)) }, 4000, nil},
		"none has":                {func(string) int { return measure }, 4000, ErrFull},
		"larger than any of them": {func(string) int { return 0 }, 2 * measure, ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := startWith(t, "a", "k", engineList(engines), func(o *Options) {
				o.Own = func(id string) gossip.Load { return gossip.Load{Running: 1, Tokens: tt.used(id)} }
			})
			asked := 0
			for i := 0; asked < 4; i++ {
				request := fmt.Sprint("r", i)
				if groupOf(request, groups) != 0 {
					continue
				}
				asked++
				engine, err := a.Place(t.Context(), Placing{Request: request, Service: "llm", Zone: "zone-0", Prompt: 3000, Need: tt.need})
				if tt.want != nil {
					require.ErrorIs(t, err, tt.want)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, 1, groupOf(engine, groups))
			}
		})
	}
}

// What was given out counts until the instance that got it has told of it, which
// it does with its second count at the latest, or until news would have come.
func TestGivenCountsUntilTold(t *testing.T) {
	tests := map[string]struct {
		beat    int64
		started int64
		after   time.Duration
		counts  bool
	}{
		"nothing heard":     {beat: 5, started: 1, counts: true},
		"the next count":    {beat: 6, started: 1, counts: true},
		"the one after":     {beat: 7, started: 1, counts: false},
		"it has restarted":  {beat: 9, started: 2, counts: true},
		"news has had time": {beat: 5, started: 1, after: gossip.NewsTime(2), counts: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			a := startWith(t, "a", "k", engineList(1), func(o *Options) { o.Now = func() time.Time { return now } })
			record := gossip.Record{ID: "b", Started: 1, Beat: 5, Ready: true}
			a.table.Merge(now, []gossip.Record{record})
			_, err := a.begin(Placing{Service: "llm", By: "b", Need: 4000}, false)
			require.NoError(t, err)
			record.Beat, record.Started = tt.beat, tt.started
			now = now.Add(tt.after)
			a.table.Merge(now, []gossip.Record{record})
			a.forgetTold(now)
			require.Equal(t, tt.counts, a.plan.On("e0").Running == 1)
		})
	}
}

// Seventy-eight instances place thirty generations a second on a group of twenty
// engines that are seven tenths full; news of what each has placed takes up to
// two seconds. What was told and is still counted as given out makes the engines
// look full: callers would be placed without a plan, or refused, beside room.
func TestRoomIsNotCountedTwice(t *testing.T) {
	const (
		instances, engines = 78, 20
		second             = int64(time.Second)
		perSecond          = 29
		period             = 400 * time.Millisecond
		most               = 0.80
	)
	rng := rand.New(rand.NewPCG(11, 12))
	now := start
	a := startWith(t, "a", "k", engineList(engines), func(o *Options) { o.Now = func() time.Time { return now } })
	a.opts.State.Configure(start, routes.Configuration{Version: 2, Services: []routes.Service{{
		Name: "llm", Engine: &routes.Engine{Slots: 24, MemoryTokens: 27000, Moves: true, TokensPerEvent: 4},
	}}}, nil)
	type run struct {
		by, tokens int
		engine     string
		until      time.Time
	}
	type news struct {
		at     time.Time
		record gossip.Record
	}
	var runs []run
	var coming []news
	beats := make([]int64, instances)
	loads := func(i int) map[string]gossip.Load {
		out := map[string]gossip.Load{}
		for _, r := range runs {
			if r.by == i && now.Before(r.until) {
				out[r.engine] = out[r.engine].Plus(gossip.Load{Running: 1, Tokens: r.tokens})
			}
		}
		return out
	}
	asked, refused := 0, 0
	for step := time.Duration(0); step < 30*time.Second; step += 20 * time.Millisecond {
		now = start.Add(step)
		for i := range instances {
			if (step+time.Duration(i)*5*time.Millisecond)%period < 20*time.Millisecond {
				beats[i]++
				record := gossip.Record{ID: fmt.Sprint("i", i), Started: 1, Beat: beats[i], Ready: true, Load: loads(i)}
				coming = append(coming, news{now.Add(time.Duration(second/2 + rng.Int64N(second))), record})
			}
		}
		var later []news
		for _, n := range coming {
			if now.Before(n.at) {
				later = append(later, n)
				continue
			}
			a.table.Merge(now, []gossip.Record{n.record})
		}
		coming = later
		if rng.Float64() > perSecond*0.02 {
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
		placed, err := a.begin(Placing{Service: "llm", By: fmt.Sprint("i", by), Need: tokens, Prompt: tokens - 800, Zone: "zone-0"}, false)
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
