package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/routes"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// roomy is engines that all have room, each copy taking a time for each token.
type roomy struct {
	engines []string
	slow    map[string]bool
	taken   map[string]int
}

func (r *roomy) For(c Copy) []Target {
	var out []Target
	for _, id := range r.engines {
		takes := time.Duration(c.Tokens) * time.Millisecond
		if r.slow[id] {
			takes *= 2
		}
		out = append(out, Target{ID: id, Takes: takes})
	}
	return out
}

func (r *roomy) Take(_ Copy, t Target) {
	if r.taken == nil {
		r.taken = map[string]int{}
	}
	r.taken[t.ID]++
}

// Seven instances hear within 15 ms that an engine leaves and ask for its eight
// generations. Each has the link for itself, the smallest first, and the link
// doesn't stand idle.
func TestCopiesTakeTurns(t *testing.T) {
	s, engines := NewSchedule(), &roomy{engines: []string{"b", "c", "d"}}
	var decided time.Time
	total := time.Duration(0)
	for i := range 8 {
		total += time.Duration(260-20*i) * time.Millisecond
		decided = s.Add(start.Add(time.Duration(2*i)*time.Millisecond), Copy{Run: fmt.Sprint(i), From: "a", Tokens: 260 - 20*i})
	}
	require.Equal(t, start.Add(gather), decided)
	at := decided
	for i := 7; i >= 0; i-- {
		b, ok := s.Turn(decided, "a", fmt.Sprint(i), engines)
		require.True(t, ok)
		require.Equal(t, at, b.At)
		at = at.Add(b.Takes)
	}
	require.Equal(t, total, at.Sub(decided))
}

// Two engines leave at once; the freest engine is the same for both. Their
// copies go to different ones, so that no link stands idle.
func TestTwoEnginesLeaveAtOnce(t *testing.T) {
	s, engines := NewSchedule(), &roomy{engines: []string{"c", "d", "e"}}
	last := start
	for i := range 8 {
		s.Add(start, Copy{Run: fmt.Sprint(i), From: []string{"a", "b"}[i%2], Tokens: 200})
	}
	for i := range 8 {
		b, ok := s.Turn(start.Add(gather), []string{"a", "b"}[i%2], fmt.Sprint(i), engines)
		require.True(t, ok)
		if end := b.At.Add(b.Takes); end.After(last) {
			last = end
		}
	}
	require.Equal(t, start.Add(gather+4*200*time.Millisecond), last)
}

func TestTurn(t *testing.T) {
	const tokens = 200
	takes := tokens * time.Millisecond
	first := []Copy{{Run: "1", From: "a", Tokens: tokens}}
	tests := map[string]struct {
		before  []Copy
		after   time.Duration
		from    string
		engines roomy
		want    time.Duration
		to      string
		none    bool
	}{
		"alone":                      {from: "a", engines: roomy{engines: []string{"b"}}, want: gather, to: "b"},
		"one that asks late is last": {before: first, after: 100 * time.Millisecond, from: "a", engines: roomy{engines: []string{"b"}}, want: gather + takes, to: "b"},
		"another engine's link":      {before: first, after: 30 * time.Millisecond, from: "c", engines: roomy{engines: []string{"b", "d"}}, want: 30*time.Millisecond + gather, to: "d"},
		"a near engine that is busy": {before: first, after: 30 * time.Millisecond, from: "c", engines: roomy{engines: []string{"b", "d"}, slow: map[string]bool{"d": true}}, want: gather + takes, to: "b"},
		"the plan is long over":      {before: first, after: time.Minute, from: "a", engines: roomy{engines: []string{"b"}}, want: time.Minute + gather, to: "b"},
		"no engine has room":         {from: "a", none: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule()
			for _, c := range tt.before {
				s.Turn(s.Add(start, c), c.From, c.Run, &roomy{engines: []string{"b"}})
			}
			decided := s.Add(start.Add(tt.after), Copy{Run: "x", From: tt.from, Tokens: tokens})
			b, ok := s.Turn(decided, tt.from, "x", &tt.engines)
			require.Equal(t, !tt.none, ok)
			if tt.none {
				return
			}
			require.Equal(t, tt.want, b.At.Sub(start))
			require.Equal(t, tt.to, b.To)
			require.Equal(t, 1, tt.engines.taken[tt.to])
		})
	}
}

// Engines come and go all day; nothing of them stays.
func TestPlansAreForgotten(t *testing.T) {
	s := NewSchedule()
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		decided := s.Add(at, Copy{Run: fmt.Sprint(i), From: fmt.Sprint("e", i), Tokens: 1})
		s.Turn(decided, fmt.Sprint("e", i), fmt.Sprint(i), &roomy{engines: []string{fmt.Sprint("f", i)}})
	}
	require.LessOrEqual(t, len(s.links), 24)
	require.LessOrEqual(t, len(s.booked), 12)
}

// BenchmarkAdd shows what a turn costs while 100 engines leave at once.
func BenchmarkAdd(b *testing.B) {
	s, engines := NewSchedule(), &roomy{engines: make([]string, 100)}
	for i := range engines.engines {
		engines.engines[i] = fmt.Sprint("f", i)
	}
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		c := Copy{Run: fmt.Sprint(i % 500), From: fmt.Sprint("e", i%100), Tokens: 1}
		s.Turn(s.Add(now, c), c.From, c.Run, engines)
	}
}

// near is engines of one availability zone with room.
type near struct {
	engine  routes.Engine
	engines []string
}

func (n *near) For(c Copy) []Target {
	var out []Target
	for _, id := range n.engines {
		out = append(out, Target{ID: id, Takes: migration.TransferTime(n.engine, c.Tokens, false)})
	}
	return out
}

func (*near) Take(Copy, Target) {}

// An engine with eight generations leaves. Instances on busy machines give their
// two orders, to copy and to stop, some milliseconds later than they meant to. A
// stop that comes after the next copy has begun waits at the link behind all of
// it: a quarter of a second, in which the caller's stream stands still. Callers
// take 180 ms between two events for late.
func TestStopsDontWaitBehindTheNextCopy(t *testing.T) {
	const (
		lateness = 12 * time.Millisecond
		onTime   = 180 * time.Millisecond
		fresh    = 20
	)
	engine := routes.Engine{TokenBytes: 163840, LinkMbps: 24000}
	transfer := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) * engine.TokenBytes * 8 / engine.LinkMbps * float64(time.Microsecond))
	}
	rng := rand.New(rand.NewPCG(5, 6))
	late := func() time.Duration { return time.Duration(rng.Int64N(int64(lateness))) }
	type order struct {
		at     time.Time
		tokens int
		stop   bool
	}
	for range 200 {
		s, engines := NewSchedule(), &near{engine: engine, engines: []string{"b", "c"}}
		var orders []order
		for i := range 8 {
			s.Add(start, Copy{Run: fmt.Sprint(i), From: "a", Tokens: 2000 + rng.IntN(3500)})
		}
		for i := range 8 {
			b, ok := s.Turn(start.Add(gather), "a", fmt.Sprint(i), engines)
			require.True(t, ok)
			tokens := int(float64(b.Takes-migration.TransferTime(engine, 0, false)) / float64(transfer(1)))
			orders = append(orders, order{at: b.At.Add(late()), tokens: tokens})
		}
		free := start
		for len(orders) > 0 {
			slices.SortFunc(orders, func(a, b order) int { return a.at.Compare(b.at) })
			o := orders[0]
			orders = orders[1:]
			if free.Before(o.at) {
				free = o.at
			}
			free = free.Add(transfer(o.tokens))
			if !o.stop {
				orders = append(orders, order{at: free.Add(late()), tokens: fresh, stop: true})
				continue
			}
			require.Less(t, free.Sub(o.at), onTime)
		}
	}
}
