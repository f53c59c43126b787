package crashsuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a bad part that isn't refused, and against parts that are refused because they only ran
// beside it.
func TestCheckPart(t *testing.T) {
	at := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	crash := func(n int, trial bool) Entry {
		return Entry{Fingerprint: 1, Part: true, Crashes: []Crash{{Name: CrashName(fmt.Sprint("zone-", n%3), fmt.Sprint("engine-", n), "1"), At: at.Add(time.Duration(n) * time.Second), Trial: trial}}}
	}
	began := func(n int) Entry {
		return Entry{Fingerprint: 1, Part: true, ClearedAt: at.Add(time.Duration(n) * time.Second)}
	}
	many := func(n int) (out []Entry) {
		for i := range n {
			out = append(out, crash(i, false))
		}
		return out
	}
	for name, tt := range map[string]struct {
		entries []Entry
		after   time.Duration
		want    Verdict
	}{
		"unknown":                            {nil, 0, Clear},
		"one crash":                          {many(1), 0, Clear},
		"the same crash seen by many":        {[]Entry{crash(1, false), crash(1, false), crash(1, false)}, 0, Clear},
		"two crashes":                        {many(2), 0, Suspected},
		"two crashes, one a trial":           {[]Entry{crash(1, false), crash(2, true)}, 0, Suspected},
		"two failed trials":                  {[]Entry{crash(1, true), crash(2, true)}, 0, Refused},
		"a trial that others saw without it": {[]Entry{crash(1, true), crash(2, true), crash(2, false)}, 0, Refused},
		"many crashes without a trial":       {many(3 * maxPartCrashes), 0, Suspected},
		"two failed trials, later":           {[]Entry{crash(1, true), crash(2, true)}, retrialAfter, Suspected},
		"three failed trials, much later":    {[]Entry{crash(1, true), crash(2, true), crash(3, true)}, time.Minute, Refused},
		"failed trials that another part explains": {[]Entry{crash(1, true), crash(2, true), {Fingerprint: 2, Part: true, Crashes: []Crash{
			crash(1, false).Crashes[0], crash(2, false).Crashes[0], crash(3, false).Crashes[0],
		}}}, 0, Suspected},
		"answered in between":             {[]Entry{crash(1, false), crash(2, false), began(3)}, 0, Clear},
		"answered, told in another order": {[]Entry{began(3), crash(2, false), crash(1, false)}, 0, Clear},
		"crashes after an answer":         {[]Entry{crash(1, false), began(2), crash(3, false), crash(4, false)}, 0, Suspected},
		"long ago":                        {many(maxPartCrashes), DefaultParams.Retention + time.Hour, Clear},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(DefaultParams)
			for _, e := range tt.entries {
				table.Merge(at.Add(4*time.Second), []Entry{e})
			}
			require.Equal(t, tt.want, table.CheckPart(at.Add(4*time.Second+tt.after), 1))
		})
	}
	t.Run("kept while requests come", func(t *testing.T) {
		table, now := NewTable(DefaultParams), at.Add(10*time.Second)
		table.Merge(now, []Entry{crash(1, true), crash(2, true), crash(3, true)})
		for range 10 {
			now = now.Add(DefaultParams.Retention / 2)
			require.Equal(t, Refused, table.CheckPart(now, 1))
			table.RecordRefused(now, 1)
		}
		require.Len(t, table.RefusedParts(now, 8), 1)
		started := NewTable(DefaultParams)
		started.Merge(now, table.RefusedParts(now, 8))
		require.Equal(t, Refused, started.CheckPart(now, 1))
	})
}

// Guards against two trials of a part at a time, and against trials that never end.
func TestTrials(t *testing.T) {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	trials := NewTrials()
	require.True(t, trials.Begin(now, 1, "a", 0))
	require.False(t, trials.Begin(now, 1, "b", 0))
	require.True(t, trials.Begin(now, 2, "b", 0))
	trials.End(now, 1, "b", TrialAnswered)
	require.False(t, trials.Begin(now, 1, "b", 0), "only the holder ends a trial")
	trials.End(now, 1, "a", TrialFailed)
	require.False(t, trials.Begin(now, 1, "b", 0), "requests under way have to end first")
	now = now.Add(failedTrialInterval)
	require.True(t, trials.Begin(now, 1, "b", 0))
	trials.End(now, 1, "b", TrialAnswered)
	require.True(t, trials.Begin(now, 1, "c", 0))
	require.True(t, trials.Begin(now.Add(trialTTL), 1, "d", 0), "the holder has ended")
}

// Guards against engines that go on crashing for a part whose trials end without telling anything, against
// trials that are joined by others while they wait at a crowded engine, and against keepers that start and
// know nothing of them.
func TestTrialsWithoutAnswer(t *testing.T) {
	start := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	begun := func(outcome TrialOutcome, failed int, d time.Duration) (n int) {
		trials := NewTrials()
		for now := start; now.Before(start.Add(d)); now = now.Add(100 * time.Millisecond) {
			holder := fmt.Sprint("request-", n)
			if trials.Begin(now, 1, holder, failed) {
				n++
				trials.End(now.Add(50*time.Millisecond), 1, holder, outcome)
			}
		}
		return n
	}
	for name, tt := range map[string]struct {
		outcome TrialOutcome
		failed  int
		after   time.Duration
		want    int
	}{
		"unclear, soon tried again":       {TrialUnclear, 0, time.Second, fastTrials + 1},
		"unclear, half a minute":          {TrialUnclear, 0, 30 * time.Second, 13},
		"unclear, refused but for this":   {TrialUnclear, failedTrials, 4 * time.Second, 1},
		"unclear, refused, half a minute": {TrialUnclear, failedTrials, 30 * time.Second, 3},
		"failed":                          {TrialFailed, 0, 3 * time.Second, 3},
		"reached no server":               {TrialNotRun, 0, 3 * time.Second, 30},
		"answered":                        {TrialAnswered, 0, 3 * time.Second, 30},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, begun(tt.outcome, tt.failed, tt.after)) })
	}

	trials, keeper, now := NewTrials(), NewTrials(), start
	require.True(t, trials.Begin(now, 1, "a", 0))
	for range 10 {
		now = now.Add(trialTTL / 2)
		trials.Renew(now, 1, "a")
		keeper.Renew(now, 1, "a")
		require.False(t, trials.Begin(now, 1, "b", 0), "a waits")
		require.False(t, keeper.Begin(now, 1, "b", 0), "told by the renewal")
	}
	trials.End(now, 1, "a", TrialAnswered)
	require.True(t, trials.Begin(now, 1, "b", 0))
	trials.Renew(now, 1, "a")
	require.False(t, trials.Begin(now, 1, "a", 0), "a late renewal takes no trial over")
}

// Guards against a bad part that is tried without end because another sound part explains each of its trials.
func TestManyPartsExplainNothing(t *testing.T) {
	at := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	table := NewTable(DefaultParams)
	crash := func(part uint64, name string, trial bool) Entry {
		return Entry{Fingerprint: part, Part: true, Crashes: []Crash{{Name: CrashName("zone", name, "1"), At: at, Trial: trial}}}
	}
	table.Merge(at, []Entry{crash(1, "a", true), crash(1, "b", true), crash(1, "c", true)})
	for part, name := range map[uint64]string{2: "a", 3: "b", 4: "c"} {
		table.Merge(at, []Entry{crash(part, name, false), crash(part, "elsewhere-"+name, false)})
	}
	require.Equal(t, Refused, table.CheckPart(at, 1))
	require.Equal(t, Suspected, table.CheckPart(at, 2))
}

// Guards against digests that differ although the instances know the same, and against equal ones although
// they don't.
func TestDigest(t *testing.T) {
	at := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	crash := func(part uint64, n int) Entry {
		return Entry{Fingerprint: part, Part: true, Crashes: []Crash{{Name: CrashName("zone", fmt.Sprint(n), "1"), At: at.Add(time.Duration(n))}}}
	}
	a, b := NewTable(DefaultParams), NewTable(DefaultParams)
	require.Zero(t, a.Digest(at))
	a.Merge(at, []Entry{crash(1, 1), crash(1, 2), crash(2, 3)})
	b.Merge(at, []Entry{crash(1, 2), crash(1, 1)})
	require.NotZero(t, a.Digest(at))
	require.Equal(t, a.Digest(at), b.Digest(at), "a part with one crash runs freely")
	b.Merge(at, []Entry{crash(1, 4)})
	require.NotEqual(t, a.Digest(at), b.Digest(at))
	a.Merge(at, b.Kept(at, 8))
	require.Equal(t, a.Digest(at), b.Digest(at))
	e, _ := a.Get(1)
	a.Merge(at, []Entry{e.Clearing()})
	require.Zero(t, a.Digest(at))
	b.Merge(at, a.Newest(at, 8))
	require.Zero(t, b.Digest(at), "clears are told, too")
}
