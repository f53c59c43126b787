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

// fakeTargets offers engines that all have capacity; a copy takes a fixed time per token.
type fakeTargets struct {
	engines  []string
	slow     map[string]bool
	reserved map[string]int
}

func (r *fakeTargets) Candidates(c Copy) []Target {
	var out []Target
	for _, id := range r.engines {
		takes := time.Duration(c.Tokens) * time.Millisecond
		if r.slow[id] {
			takes *= 2
		}
		out = append(out, Target{ID: id, Duration: takes})
	}
	return out
}

func (r *fakeTargets) Reserve(_ Copy, t Target) {
	if r.reserved == nil {
		r.reserved = map[string]int{}
	}
	r.reserved[t.ID]++
}

// Seven instances learn within 15 ms that an engine shuts down and request slots for its eight
// generations. Each copy has the link to itself, the smallest first, and the link is never idle in
// between.
func TestCopiesRunOneAfterTheOther(t *testing.T) {
	s, engines := NewSchedule(), &fakeTargets{engines: []string{"b", "c", "d"}}
	var decideAt time.Time
	total := time.Duration(0)
	for i := range 8 {
		total += time.Duration(260-20*i) * time.Millisecond
		decideAt = s.Add(start.Add(time.Duration(2*i)*time.Millisecond), Copy{GenerationID: fmt.Sprint(i), Source: "a", Tokens: 260 - 20*i})
	}
	require.Equal(t, start.Add(collectWindow), decideAt)
	at := decideAt
	for i := 7; i >= 0; i-- {
		b, ok := s.Slot(decideAt, "a", fmt.Sprint(i), engines)
		require.True(t, ok)
		require.Equal(t, at, b.Start)
		at = at.Add(b.Duration)
	}
	require.Equal(t, total, at.Sub(decideAt))
}

// Two engines shut down at once and the same engine is the freest for both. Their copies go to
// different engines, so that no link is idle.
func TestTwoEnginesShutDownAtOnce(t *testing.T) {
	s, engines := NewSchedule(), &fakeTargets{engines: []string{"c", "d", "e"}}
	last := start
	for i := range 8 {
		s.Add(start, Copy{GenerationID: fmt.Sprint(i), Source: []string{"a", "b"}[i%2], Tokens: 200})
	}
	for i := range 8 {
		b, ok := s.Slot(start.Add(collectWindow), []string{"a", "b"}[i%2], fmt.Sprint(i), engines)
		require.True(t, ok)
		if end := b.Start.Add(b.Duration); end.After(last) {
			last = end
		}
	}
	require.Equal(t, start.Add(collectWindow+4*200*time.Millisecond), last)
}

func TestSlot(t *testing.T) {
	const tokens = 200
	takes := tokens * time.Millisecond
	first := []Copy{{GenerationID: "1", Source: "a", Tokens: tokens}}
	tests := map[string]struct {
		before  []Copy
		after   time.Duration
		from    string
		engines fakeTargets
		want    time.Duration
		to      string
		noSlot  bool
	}{
		"alone":                          {from: "a", engines: fakeTargets{engines: []string{"b"}}, want: collectWindow, to: "b"},
		"late request goes last":         {before: first, after: 100 * time.Millisecond, from: "a", engines: fakeTargets{engines: []string{"b"}}, want: collectWindow + takes, to: "b"},
		"target link in use":             {before: first, after: 30 * time.Millisecond, from: "c", engines: fakeTargets{engines: []string{"b", "d"}}, want: 30*time.Millisecond + collectWindow, to: "d"},
		"busy link of the faster engine": {before: first, after: 30 * time.Millisecond, from: "c", engines: fakeTargets{engines: []string{"b", "d"}, slow: map[string]bool{"d": true}}, want: collectWindow + takes, to: "b"},
		"earlier slots expired":          {before: first, after: time.Minute, from: "a", engines: fakeTargets{engines: []string{"b"}}, want: time.Minute + collectWindow, to: "b"},
		"no engine has capacity":         {from: "a", noSlot: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule()
			for _, c := range tt.before {
				s.Slot(s.Add(start, c), c.Source, c.GenerationID, &fakeTargets{engines: []string{"b"}})
			}
			decideAt := s.Add(start.Add(tt.after), Copy{GenerationID: "x", Source: tt.from, Tokens: tokens})
			b, ok := s.Slot(decideAt, tt.from, "x", &tt.engines)
			require.Equal(t, !tt.noSlot, ok)
			if tt.noSlot {
				return
			}
			require.Equal(t, tt.want, b.Start.Sub(start))
			require.Equal(t, tt.to, b.Target)
			require.Equal(t, 1, tt.engines.reserved[tt.to])
		})
	}
}

// Guards against keeping the slots and links of engines that are gone.
func TestSlotsExpire(t *testing.T) {
	s := NewSchedule()
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		decideAt := s.Add(at, Copy{GenerationID: fmt.Sprint(i), Source: fmt.Sprint("e", i), Tokens: 1})
		s.Slot(decideAt, fmt.Sprint("e", i), fmt.Sprint(i), &fakeTargets{engines: []string{fmt.Sprint("f", i)}})
	}
	require.LessOrEqual(t, len(s.links), 24)
	require.LessOrEqual(t, len(s.slots), 12)
}

// BenchmarkAdd measures the cost of a slot while 100 engines shut down at once.
func BenchmarkAdd(b *testing.B) {
	s, engines := NewSchedule(), &fakeTargets{engines: make([]string, 100)}
	for i := range engines.engines {
		engines.engines[i] = fmt.Sprint("f", i)
	}
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		c := Copy{GenerationID: fmt.Sprint(i % 500), Source: fmt.Sprint("e", i%100), Tokens: 1}
		s.Slot(s.Add(now, c), c.Source, c.GenerationID, engines)
	}
}

// sameZoneTargets offers engines of one availability zone.
type sameZoneTargets struct {
	engine  routes.Engine
	engines []string
}

func (n *sameZoneTargets) Candidates(c Copy) []Target {
	var out []Target
	for _, id := range n.engines {
		out = append(out, Target{ID: id, Duration: migration.TransferTime(n.engine, c.Tokens, false)})
	}
	return out
}

func (*sameZoneTargets) Reserve(Copy, Target) {}

// An engine with eight generations shuts down. Busy instances send the two commands of each
// migration, copy and cutover, some milliseconds late. A cutover that is sent after the next copy
// has started waits behind that copy for a quarter of a second, during which the caller gets no
// tokens. Callers count a gap of more than 180 ms between two events as late.
func TestCutoverDoesNotWaitForTheNextCopy(t *testing.T) {
	const (
		maxDelay  = 12 * time.Millisecond
		maxGap    = 180 * time.Millisecond
		newTokens = 20
	)
	engine := routes.Engine{TokenBytes: 163840, LinkMbps: 24000}
	transfer := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) * engine.TokenBytes * 8 / engine.LinkMbps * float64(time.Microsecond))
	}
	rng := rand.New(rand.NewPCG(5, 6))
	delay := func() time.Duration { return time.Duration(rng.Int64N(int64(maxDelay))) }
	type command struct {
		at      time.Time
		tokens  int
		cutover bool
	}
	for range 200 {
		s, engines := NewSchedule(), &sameZoneTargets{engine: engine, engines: []string{"b", "c"}}
		var commands []command
		for i := range 8 {
			s.Add(start, Copy{GenerationID: fmt.Sprint(i), Source: "a", Tokens: 2000 + rng.IntN(3500)})
		}
		for i := range 8 {
			b, ok := s.Slot(start.Add(collectWindow), "a", fmt.Sprint(i), engines)
			require.True(t, ok)
			tokens := int(float64(b.Duration-migration.TransferTime(engine, 0, false)) / float64(transfer(1)))
			commands = append(commands, command{at: b.Start.Add(delay()), tokens: tokens})
		}
		free := start
		for len(commands) > 0 {
			slices.SortFunc(commands, func(a, b command) int { return a.at.Compare(b.at) })
			o := commands[0]
			commands = commands[1:]
			if free.Before(o.at) {
				free = o.at
			}
			free = free.Add(transfer(o.tokens))
			if !o.cutover {
				commands = append(commands, command{at: free.Add(delay()), tokens: newTokens, cutover: true})
				continue
			}
			require.Less(t, free.Sub(o.at), maxGap)
		}
	}
}
