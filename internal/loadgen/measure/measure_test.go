package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReport(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	r := NewRecorder(Options{StallThreshold: 100 * time.Millisecond}, start)
	r.RecordFirstToken(at(time.Second), 300*time.Millisecond)
	for range 99 {
		require.False(t, r.RecordGap(at(time.Second), 20*time.Millisecond))
	}
	require.True(t, r.RecordGap(at(2500*time.Millisecond), 500*time.Millisecond))
	r.RecordStream(at(3*time.Second), Stream{Kind: "a", Workspace: "w1", Outcome: Completed, Tokens: 101, Stall: 500 * time.Millisecond})
	r.RecordStream(at(3*time.Second), Stream{Kind: "a", Workspace: "w2", Outcome: Refused, Code: "overloaded", Faults: Faults{Duplicated: 1, Foreign: 2}})
	r.RecordCall(Call{Kind: "b", Workspace: "w1", Outcome: Completed, Duration: time.Millisecond})

	report := r.Report(at(10 * time.Second))
	require.InDelta(t, 20, report.BetweenTokens.P50, 0.1)
	require.InDelta(t, 500, report.BetweenTokens.Max, 1)
	require.InDelta(t, 500, report.StallMillis, 0.001)
	require.Equal(t, int64(1), report.StalledStreams)
	require.InDelta(t, 10.1, report.Goodput, 0.001)
	require.Equal(t, int64(3), report.Faults.Total())
	require.Equal(t, map[string]int64{"overloaded": 1}, report.Codes)
	require.InDelta(t, 0.5, report.Jain, 0.001)
	require.Len(t, report.PerSecond, 4)
	require.InDelta(t, 500, report.PerSecond[2].StallMillis, 0.001)
	require.Equal(t, int64(100), report.PerSecond[1].Tokens)
}

func TestJain(t *testing.T) {
	require.InDelta(t, 1, JainIndex([]float64{3, 3, 3}), 1e-9)
	require.InDelta(t, 0.25, JainIndex([]float64{1, 0, 0, 0}), 1e-9)
	require.Zero(t, JainIndex(nil))
}
