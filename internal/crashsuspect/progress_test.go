package crashsuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a run that has only begun, or that ended where others crash, and clears their crashes.
func TestProgressPasses(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		run, crash Progress
		want       bool
	}{
		"nothing yet":                     {Progress{}, Progress{}, false},
		"first event":                     {Progress{Events: 1}, Progress{}, false},
		"a burst of events":               {Progress{Events: 40}, Progress{}, false},
		"few events, long apart":          {Progress{Events: 2, Running: 3 * second}, Progress{}, false},
		"well past the beginning":         {Progress{Events: minEvents, Running: minRunning}, Progress{}, true},
		"the same point":                  {Progress{Events: 15, Running: 300 * time.Millisecond}, Progress{Events: 15, Running: 300 * time.Millisecond}, false},
		"a little later on a fast server": {Progress{Events: 18, Running: 400 * time.Millisecond}, Progress{Events: 15, Running: 300 * time.Millisecond}, false},
		"well past a later point":         {Progress{Events: 60, Running: 3 * second}, Progress{Events: 40, Running: 2 * second}, true},
		"complete, one event":             {Progress{Events: 1, Complete: true}, Progress{Events: 40, Running: second}, true},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.run.Passes(tt.crash)) })
	}
}

// Guards against crashes that a run clears although it was sent before the runs that crashed, or didn't get past
// them.
func TestRunsClearCrashes(t *testing.T) {
	start := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	table := NewTable(DefaultParams)
	for n, point := range []Progress{{}, {Events: 20, Running: time.Second}, {SinceSent: time.Second}} {
		table.Merge(at(n), []Entry{PartCrash(1, Crash{Name: fmt.Sprint("zone/engine-", n, "/1"), At: start}, point)})
	}
	known, _ := table.Get(1)
	past, beyond := Progress{Events: 20, Running: time.Second}, Progress{Events: 100, Running: 5 * time.Second}
	for name, tt := range map[string]struct {
		sentAt  time.Time
		run     Progress
		cleared int
	}{
		"sent before all":           {at(-1), Progress{Complete: true}, 0},
		"sent after the first":      {at(0), Progress{Complete: true}, 1},
		"sent after the last run":   {at(1), Progress{Complete: true}, 3},
		"sent after all, begun":     {at(9), Progress{Events: 1}, 0},
		"sent after all, past some": {at(9), past, 2},
		"sent after all, beyond":    {at(9), beyond, 3},
		"complete":                  {at(9), Progress{Complete: true}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			entry, ok := known.ClearedBy(tt.sentAt, tt.run)
			require.Equal(t, tt.cleared > 0, ok)
			require.Len(t, entry.Crashes, tt.cleared)
		})
	}
	require.False(t, known.PassedBy(past))
	require.True(t, known.PassedBy(beyond))
	t.Run("the same crash, told later", func(t *testing.T) {
		again := known.clone()
		again.Crashes[0].Events = 30
		table.Merge(at(20), []Entry{again})
		e, _ := table.Get(1)
		entry, _ := e.ClearedBy(at(9), past)
		require.Len(t, entry.Crashes, 1, "known as long as before, and cleared by less")
	})
}

// Guards against sound parts and requests that are refused for the crashes of a part that has failed its trials.
func TestCrashesOfACauseCountForNothingElse(t *testing.T) {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	const cause, sound, other, request = 1, 2, 3, 4
	table := NewTable(DefaultParams)
	crash := func(key uint64, n int, trial bool) {
		table.Merge(now, []Entry{{Fingerprint: key, Part: key != request, Crashes: []Crash{{Name: fmt.Sprint("zone-", n, "/engine/1"), At: now, Trial: trial}}}})
	}
	for n := range 4 {
		crash(cause, n, n >= 2)
		crash(sound, n, false)
		crash(request, n, false)
	}
	require.Equal(t, Clear, table.CheckPart(now, sound))
	require.Equal(t, Clear, table.Check(now, request))
	crash(other, 2, false)
	crash(other, 3, false)
	require.Equal(t, Clear, table.CheckPart(now, other))
	require.Equal(t, Refused, table.CheckPart(now, cause))
	e, _ := table.Get(cause)
	table.Merge(now, []Entry{e.Clearing()})
	require.Equal(t, Suspected, table.CheckPart(now, sound), "it wasn't the cause")
	require.Equal(t, Refused, table.Check(now, request))
}
