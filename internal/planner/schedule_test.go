package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// Seven instances hear within 15 ms that an engine leaves and ask for its eight
// generations. Each has the link for itself, the smallest first, and the link
// doesn't stand idle.
func TestCopiesTakeTurns(t *testing.T) {
	s := NewSchedule()
	var decided time.Time
	total := time.Duration(0)
	for i := range 8 {
		takes := time.Duration(260-20*i) * time.Millisecond
		total += takes
		decided = s.Add(start.Add(time.Duration(2*i)*time.Millisecond), Copy{Run: fmt.Sprint(i), From: "a", To: fmt.Sprint("to-", i), Takes: takes})
	}
	require.Equal(t, start.Add(gather), decided)
	at := decided
	for i := 7; i >= 0; i-- {
		require.Equal(t, at, s.Begin(decided, "a", fmt.Sprint(i)))
		at = at.Add(time.Duration(260-20*i) * time.Millisecond)
	}
	require.Equal(t, total, at.Sub(decided))
}

func TestTurn(t *testing.T) {
	const takes = 200 * time.Millisecond
	tests := map[string]struct {
		before []Copy
		after  time.Duration
		ask    Copy
		want   time.Duration
	}{
		"alone":                       {ask: Copy{Run: "x", From: "a", To: "b", Takes: takes}, want: gather},
		"one that asks late is last":  {before: []Copy{{Run: "1", From: "a", To: "b", Takes: takes}}, after: 100 * time.Millisecond, ask: Copy{Run: "x", From: "a", To: "c", Takes: 1}, want: gather + takes},
		"another engine's link":       {before: []Copy{{Run: "1", From: "a", To: "b", Takes: takes}}, after: 30 * time.Millisecond, ask: Copy{Run: "x", From: "c", To: "d", Takes: takes}, want: 30*time.Millisecond + gather},
		"two engines to the same one": {before: []Copy{{Run: "1", From: "a", To: "b", Takes: takes}}, after: 30 * time.Millisecond, ask: Copy{Run: "x", From: "c", To: "b", Takes: takes}, want: gather + takes},
		"asked once more":             {before: []Copy{{Run: "x", From: "a", To: "b", Takes: takes}}, after: 30 * time.Millisecond, ask: Copy{Run: "x", From: "a", To: "c", Takes: takes}, want: gather + takes},
		"the plan is long over":       {before: []Copy{{Run: "1", From: "a", To: "b", Takes: takes}}, after: time.Minute, ask: Copy{Run: "x", From: "a", To: "b", Takes: takes}, want: time.Minute + gather},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule()
			for _, c := range tt.before {
				decided := s.Add(start, c)
				s.Begin(decided, c.From, c.Run)
			}
			decided := s.Add(start.Add(tt.after), tt.ask)
			require.Equal(t, tt.want, s.Begin(decided, tt.ask.From, tt.ask.Run).Sub(start))
		})
	}
}

// A caller of an instance that never comes back for its turn, and one that was
// forgotten, don't hold up others.
func TestUnknownRunBeginsAtOnce(t *testing.T) {
	require.Equal(t, start, NewSchedule().Begin(start, "a", "x"))
}

// Engines come and go all day; nothing of them stays.
func TestPlansAreForgotten(t *testing.T) {
	s := NewSchedule()
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		decided := s.Add(at, Copy{Run: fmt.Sprint(i), From: fmt.Sprint("e", i), To: fmt.Sprint("f", i), Takes: time.Millisecond})
		s.Begin(decided, fmt.Sprint("e", i), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(s.links), 24)
	require.LessOrEqual(t, len(s.begins), 12)
}

// BenchmarkAdd shows what a turn costs while 100 engines leave at once.
func BenchmarkAdd(b *testing.B) {
	s := NewSchedule()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		c := Copy{Run: fmt.Sprint(i % 500), From: fmt.Sprint("e", i%100), To: fmt.Sprint("f", i%1000), Takes: time.Millisecond}
		s.Begin(s.Add(now, c), c.From, c.Run)
	}
}
