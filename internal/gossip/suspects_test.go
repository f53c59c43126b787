package gossip

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

// suspectTable lets an instance hold crash suspects.
type suspectTable struct {
	mu    sync.Mutex
	table *crashsuspect.Table
}

func withSuspects(o *testInstance) *suspectTable {
	s := &suspectTable{table: crashsuspect.NewTable(crashsuspect.DefaultParams)}
	kept := func(now time.Time) []crashsuspect.Entry {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.Kept(now, 8)
	}
	o.opts.Suspects, o.opts.RecentSuspects = kept, kept
	o.opts.SuspectDigest = func(now time.Time) uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.Digest(now)
	}
	o.opts.ApplySuspects = s.merge
	return s
}

func (s *suspectTable) merge(now time.Time, entries []crashsuspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(now, entries)
}

func (s *suspectTable) verdict(part uint64) crashsuspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CheckPart(time.Now(), part)
}

func refusedPart(part uint64) []crashsuspect.Entry {
	return []crashsuspect.Entry{{Fingerprint: part, Part: true, Crashes: []crashsuspect.Crash{
		{Name: "z/engine-1/1", At: time.Now(), Trial: true}, {Name: "z/engine-2/1", At: time.Now(), Trial: true},
	}}}
}

// Guards against an instance that never learns of a part of prompts that crashes engines because it was cut
// off or paused when the others were told, and against probes that carry suspects although both know them.
func TestProbeRepairsMissedSuspects(t *testing.T) {
	const part = 7
	knows, missed := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false)
	a, b := withSuspects(knows), withSuspects(missed)
	a.merge(time.Now(), refusedPart(part))
	require.Equal(t, crashsuspect.Clear, b.verdict(part))
	require.NoError(t, missed.exchange(t.Context(), knows.address, "a"))
	require.Equal(t, crashsuspect.Refused, b.verdict(part))
	m, err := missed.call(t.Context(), knows.address, probeProcedure, probeTimeout, missed.probeMessage(time.Now(), "a"))
	require.NoError(t, err)
	require.Empty(t, m.Suspects)
}

// Guards against an instance that goes on after a pause and sends what it held before it has heard of the
// suspects of others.
func TestRefreshSuspects(t *testing.T) {
	const part = 7
	knows, paused := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false)
	a, b := withSuspects(knows), withSuspects(paused)
	require.False(t, paused.RefreshSuspects(t.Context()), "knows nobody")
	require.NoError(t, paused.exchange(t.Context(), knows.address, ""))
	paused.mergeRecords(time.Now(), knows.opts.Table.Running())
	a.merge(time.Now(), refusedPart(part))
	require.True(t, paused.RefreshSuspects(t.Context()))
	require.Equal(t, crashsuspect.Refused, b.verdict(part))
	knows.stop()
	require.False(t, paused.RefreshSuspects(t.Context()), "nobody answers")
}
