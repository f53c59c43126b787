package crashsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

var start = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestCheck(t *testing.T) {
	const fp = 7
	tests := map[string]struct {
		events func(t *crashsuspect.Table)
		now    time.Time
		want   crashsuspect.Verdict
	}{
		"nothing known": {events: func(*crashsuspect.Table) {}, now: at(1), want: crashsuspect.Clear},
		"one crash": {
			events: func(t *crashsuspect.Table) { t.RecordCrash(at(0), "a/1", fp) },
			now:    at(1), want: crashsuspect.Suspected,
		},
		"the same crash seen twice": {
			events: func(t *crashsuspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "a/1", fp) },
			now:    at(2), want: crashsuspect.Suspected,
		},
		"two crashes": {
			events: func(t *crashsuspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "b/1", fp) },
			now:    at(2), want: crashsuspect.Refused,
		},
		"the same server after its restart": {
			events: func(t *crashsuspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "a/2", fp) },
			now:    at(2), want: crashsuspect.Refused,
		},
		"finished between two crashes": {
			events: func(t *crashsuspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.RecordFinished(at(1), fp)
				t.RecordCrash(at(2), "b/1", fp)
			},
			now: at(3), want: crashsuspect.Suspected,
		},
		"two crashes long ago": {
			events: func(t *crashsuspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "b/1", fp) },
			now:    at(3600), want: crashsuspect.Clear,
		},
		"finished on another instance": {
			events: func(t *crashsuspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.Merge(at(5), []crashsuspect.Entry{{Fingerprint: fp, ClearedAt: at(4)}})
			},
			now: at(6), want: crashsuspect.Clear,
		},
		"second crash on another instance": {
			events: func(t *crashsuspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.Merge(at(5), []crashsuspect.Entry{{Fingerprint: fp, Crashes: []crashsuspect.Crash{{Name: "c/1", At: at(4)}}}})
			},
			now: at(6), want: crashsuspect.Refused,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := crashsuspect.NewTable(crashsuspect.DefaultParams)
			tt.events(table)
			require.Equal(t, tt.want, table.Check(tt.now, fp))
			if tt.want == crashsuspect.Refused {
				require.Positive(t, table.RetryAfter(tt.now, fp))
			}
		})
	}
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	// Guards against instances that get the same entries in different orders, as
	// heartbeats cross, and disagree on which requests to refuse.
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var entries []crashsuspect.Entry
		for i := range 20 {
			e := crashsuspect.Entry{Fingerprint: uint64(rng.IntN(3))}
			if rng.IntN(4) == 0 {
				e.ClearedAt = at(i)
			} else {
				e.Crashes = []crashsuspect.Crash{{Name: fmt.Sprint("s/", i), At: at(i)}}
			}
			entries = append(entries, e)
		}
		a, b := crashsuspect.NewTable(crashsuspect.DefaultParams), crashsuspect.NewTable(crashsuspect.DefaultParams)
		for _, i := range rng.Perm(len(entries)) {
			a.Merge(at(30), entries[i:i+1])
		}
		for _, i := range rng.Perm(len(entries)) {
			b.Merge(at(30), entries[i:i+1])
		}
		for fp := range uint64(3) {
			require.Equal(t, a.Check(at(31), fp), b.Check(at(31), fp), "seed %d request %d", seed, fp)
		}
	}
}

func TestTableSizeIsLimited(t *testing.T) {
	p := crashsuspect.DefaultParams
	p.MaxEntries = 10
	table := crashsuspect.NewTable(p)
	for i := range 100 {
		table.RecordCrash(at(i), "a/1", uint64(i))
	}
	require.Len(t, table.Newest(at(100), 1000), 10)
	require.Equal(t, crashsuspect.Clear, table.Check(at(100), 0))
	require.Equal(t, crashsuspect.Suspected, table.Check(at(100), 99))
}
