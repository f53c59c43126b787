package pushback_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/pushback"
)

func TestParseBrittleness(t *testing.T) {
	tests := map[string]struct {
		value string
		want  int
		ok    bool
	}{
		"none":       {"", 0, true},
		"number":     {" 12 ", 12, true},
		"fraction":   {"2.7", 2, true},
		"below one":  {"0", 1, true},
		"any number": {"inf", 0, true},
		"negative":   {"-1", 0, false},
		"text":       {"many", 0, false},
		"nan":        {"nan", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, ok := pushback.ParseBrittleness(tt.value)
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.want, n)
		})
	}
}

// Guards against instances that together give a brittle server more to reject in a second than it bears.
func TestInstancesShareBrittleServer(t *testing.T) {
	for name, tt := range map[string]struct{ instances, slots, rejections int }{
		"few instances": {7, 24, 10}, "as many as slots": {6, 6, 5}, "more than slots": {7, 6, 5}, "many": {70, 6, 10}, "fleet": {985, 6, 8},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for rank := range tt.instances {
				sum += pushback.BrittleShare(pushback.Share{Rank: rank, Instances: tt.instances, Known: true}, tt.slots, tt.rejections, false)
			}
			require.LessOrEqual(t, sum-tt.slots, tt.rejections)
			require.GreaterOrEqual(t, sum, min(tt.slots, tt.instances))
			b := pushback.NewBrittle()
			b.Observe(start, server, tt.rejections)
			pause := b.RejectionPause(start, server, tt.instances)
			require.GreaterOrEqual(t, pause, time.Second)
		})
	}
}

func TestBrittlenessEnds(t *testing.T) {
	b := pushback.NewBrittle()
	require.Zero(t, b.RejectionPause(start, server, 7))
	require.True(t, b.Observe(start, server, 5))
	require.False(t, b.Observe(start.Add(time.Second), server, 5))
	require.Equal(t, 5, b.Rejections(start.Add(10*time.Second), server))
	require.Zero(t, b.Rejections(start.Add(time.Minute), server))
	require.True(t, b.Observe(start.Add(2*time.Second), server, 0))
	require.Zero(t, b.Rejections(start.Add(2*time.Second), server))
}
