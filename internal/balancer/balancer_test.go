package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
)

var (
	start   = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	plain   = &routes.Service{Name: "desk"}
	engines = &routes.Service{Name: "llm", ColdRequestsPerSecond: 38, Engine: &routes.Engine{Slots: 24, MemoryTokens: 34000}}
)

func alone(time.Time, string) Load { return Load{} }

func newBalancer(others func(time.Time, string) Load) *Balancer {
	return New(Bounds{ColdOverage: 1.5, ColdSlack: 5}, rand.New(rand.NewPCG(1, 2)), others)
}

func servers(n, slots int) []observed.Server {
	out := make([]observed.Server, n)
	for i := range out {
		out[i].Server = dialect.Server{ID: fmt.Sprintf("s%d", i), Slots: slots, Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	return out
}

func picked(t *testing.T, c Choice) Place {
	t.Helper()
	require.IsType(t, Picked{}, c)
	return c.(Picked).Place
}

// One instance places a burst of long and short generations at once. No engine
// may get more memory than it has while another stands free, or it preempts in
// the middle of streams; when all are full the rest is refused at once.
func TestBurstFillsNoEngineBeforeOthers(t *testing.T) {
	b, list, rng := newBalancer(alone), servers(12, 24), rand.New(rand.NewPCG(3, 4))
	used, refused := map[string]int{}, 0
	for range 200 {
		tokens := []int{2300, 6500}[rng.IntN(2)]
		switch c := b.Pick(start, Request{Service: engines, Zone: "zone-0", Tokens: tokens}, list).(type) {
		case Picked:
			used[c.Place.Server.ID] += tokens
		case Full:
			refused++
		case None:
			t.Fatal("servers are there")
		}
	}
	least, most := 1<<30, 0
	for _, s := range list {
		least, most = min(least, used[s.ID]), max(most, used[s.ID])
	}
	require.LessOrEqual(t, float64(most), fullMemory*34000)
	require.Greater(t, least, most/2)
	require.Positive(t, refused)
}

// The loads of other instances count, though they come late: a server that
// they have filled gets nothing more from here.
func TestOthersLoadCounts(t *testing.T) {
	b := newBalancer(func(_ time.Time, id string) Load {
		if id == "s0" {
			return Load{Running: 9, Tokens: 36000}
		}
		return Load{}
	})
	for range 4 {
		require.NotEqual(t, "s0", picked(t, b.Pick(start, Request{Service: engines, Tokens: 3000}, servers(3, 24))).Server.ID)
	}
}

// One server of three answers nothing any more while its health is good. After
// each failure it gets less, and when it is well again it gets its part.
func TestFailingServerIsAvoidedForAWhile(t *testing.T) {
	b, list := newBalancer(alone), servers(3, 6)
	b.Failed(start, "s0")
	for range 6 {
		place := picked(t, b.Pick(start, Request{Service: plain, Zone: "zone-0"}, list))
		require.NotEqual(t, "s0", place.Server.ID)
		b.Done(place)
	}
	later := start.Add(10 * failureHalf)
	require.Equal(t, "s0", picked(t, b.Pick(later, Request{Service: plain, Zone: "zone-0"}, list)).Server.ID)
}

// A zone's servers come back cold while seven instances hold requests for
// them. All together may send no more in any second than a cold server bears.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	const instances = 7
	list := servers(1, 1000)
	list[0].ColdUntil = start.Add(time.Minute)
	var sent []time.Time
	all := make([]*Balancer, instances)
	for i := range all {
		all[i] = newBalancer(alone)
	}
	big := &routes.Service{Name: "llm", ColdRequestsPerSecond: 38, Engine: &routes.Engine{Slots: 1000, MemoryTokens: 1 << 30}}
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, b := range all {
			if (ms+i)%5 != 0 {
				continue
			}
			if c, ok := b.Pick(now, Request{Service: big, Instances: instances}, list).(Picked); ok {
				sent = append(sent, now)
				b.Done(c.Place)
			}
		}
	}
	most := 0
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 38*3/2+5)
	require.Greater(t, len(sent), 5*15)
}

// Seven instances look for room for the generations of two engines that leave,
// none seeing what the others choose. Taking the freest engine all would meet
// at one link and at the next engine that leaves.
func TestMovedGenerationsSpread(t *testing.T) {
	list := servers(10, 24)
	loads := func(_ time.Time, id string) Load {
		if id == "s0" {
			return Load{}
		}
		return Load{Running: 3, Tokens: 11000}
	}
	per := map[string]int{}
	for i := range uint64(14) {
		b := newBalancer(loads)
		r := Request{Service: engines, Zone: "zone-0", Tokens: 4000, Spread: i*0x9e3779b97f4a7c15 + 1}
		per[picked(t, b.Pick(start, r, list)).Server.ID]++
	}
	most := 0
	for _, n := range per {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 6)
	require.GreaterOrEqual(t, len(per), 4)
}

func TestChoiceWithoutRoom(t *testing.T) {
	tests := map[string]struct {
		list     []observed.Server
		excluded map[string]bool
		tokens   int
		want     Choice
	}{
		"no server":             {want: None{}},
		"all excluded":          {list: servers(1, 24), excluded: map[string]bool{"s0": true}, want: None{}},
		"larger than an engine": {list: servers(2, 24), tokens: 50000, want: Full{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newBalancer(alone).Pick(start, Request{Service: engines, Tokens: tt.tokens, Excluded: tt.excluded}, tt.list)
			require.IsType(t, tt.want, c)
		})
	}
}

// BenchmarkPick shows what a choice costs at the size designed for.
func BenchmarkPick(b *testing.B) {
	bal, list := newBalancer(alone), servers(2000, 24)
	for b.Loop() {
		if c, ok := bal.Pick(start, Request{Service: engines, Tokens: 3000, Instances: 350}, list).(Picked); ok {
			bal.Done(c.Place)
		}
	}
}

// Two engines of twelve are new and empty, the others hold generations. For
// four seconds, eleven prompts a second come. Chosen by free memory, all go to
// the two new ones, and callers wait there for seconds for the first token while
// ten engines read nothing.
func TestNewEngineIsNotFlooded(t *testing.T) {
	const perSecond, seconds, prompt, onTime = 11, 4, 3000, 800 * time.Millisecond
	list := servers(12, 24)
	b := newBalancer(func(_ time.Time, id string) Load {
		if id == "s0" || id == "s1" {
			return Load{}
		}
		return Load{Running: 5, Tokens: 20000}
	})
	free, late := map[string]time.Time{}, 0
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		r := Request{Service: engines, Zone: list[i%3].Zone, Tokens: 4000, Prompt: prompt, Instances: 1}
		place := picked(t, b.Pick(now, r, list))
		begin := now
		if at := free[place.Server.ID]; at.After(begin) {
			begin = at
		}
		free[place.Server.ID] = begin.Add(prompt * time.Second / readRate)
		if free[place.Server.ID].Sub(now) > onTime {
			late++
		}
	}
	require.Zero(t, late)
}
