package slowstart_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/slowstart"
)

const usual = 50 * time.Millisecond

// warmed returns a limit that was raised from 2 to 32 by successes.
func warmed() *slowstart.Limit {
	l := slowstart.NewLimit(2, 32)
	l.RecordIncarnation("a")
	for range 100 {
		l.RecordSuccess(l.Value(), usual)
	}
	return l
}

func TestLimit(t *testing.T) {
	tests := map[string]struct {
		events func(l *slowstart.Limit)
		want   int
	}{
		"warm":                 {events: func(*slowstart.Limit) {}, want: 32},
		"the same incarnation": {events: func(l *slowstart.Limit) { l.RecordIncarnation("a") }, want: 32},
		"restart":              {events: func(l *slowstart.Limit) { l.RecordIncarnation("b") }, want: 2},
		"reset to cold":        {events: func(l *slowstart.Limit) { l.Reset() }, want: 2},
		"no growth while reported cold": {
			events: func(l *slowstart.Limit) { l.SetReportedCold(true); times(50, func() { l.RecordSuccess(2, usual) }) }, want: 2,
		},
		"growth after reported warm": {
			events: func(l *slowstart.Limit) { l.SetReportedCold(true); l.SetReportedCold(false); l.RecordSuccess(2, usual) }, want: 3,
		},
		"refusal":                        {events: func(l *slowstart.Limit) { l.RecordRefusal() }, want: 16},
		"many refusals":                  {events: func(l *slowstart.Limit) { times(20, l.RecordRefusal) }, want: 2},
		"one slow first token":           {events: func(l *slowstart.Limit) { l.RecordSuccess(32, 20*usual) }, want: 32},
		"two slow first tokens in a row": {events: func(l *slowstart.Limit) { times(2, func() { l.RecordSuccess(32, 20*usual) }) }, want: 2},
		"first tokens of a full batch":   {events: func(l *slowstart.Limit) { times(9, func() { l.RecordSuccess(32, 4*usual) }) }, want: 32},
		"lower limit declared":           {events: func(l *slowstart.Limit) { l.SetLimits(2, 10) }, want: 10},
		"higher limit declared":          {events: func(l *slowstart.Limit) { l.SetLimits(2, 64) }, want: 32},
		"higher limit declared, then one success": {
			events: func(l *slowstart.Limit) { l.SetLimits(2, 64); l.RecordSuccess(32, usual) }, want: 33,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := warmed()
			tt.events(l)
			require.Equal(t, tt.want, l.Value())
		})
	}
}

func times(n int, f func()) {
	for range n {
		f()
	}
}

func TestGrowthFollowsSuccesses(t *testing.T) {
	l := slowstart.NewLimit(2, 32)
	l.RecordIncarnation("a")
	require.Equal(t, 2, l.Value())
	// Successes of an idle server don't raise the limit.
	for range 50 {
		l.RecordSuccess(0, usual)
	}
	require.Equal(t, 2, l.Value())
	// As many successes as the limit double it.
	for round := 2; round <= 16; round *= 2 {
		for range round {
			l.RecordSuccess(l.Value(), usual)
		}
		require.Equal(t, min(32, 2*round), l.Value())
	}
}

func TestLimitOfInvalidDeclarations(t *testing.T) {
	for _, l := range []*slowstart.Limit{slowstart.NewLimit(0, 0), slowstart.NewLimit(-1, -5), slowstart.NewLimit(5, 2)} {
		require.GreaterOrEqual(t, l.Value(), 1)
	}
}
