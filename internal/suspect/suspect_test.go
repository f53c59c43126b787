package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/suspect"
)

var start = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestCheck(t *testing.T) {
	const fp = 7
	tests := map[string]struct {
		events func(t *suspect.Table)
		now    time.Time
		want   suspect.Verdict
	}{
		"nothing known": {events: func(*suspect.Table) {}, now: at(1), want: suspect.Clear},
		"one crash": {
			events: func(t *suspect.Table) { t.RecordCrash(at(0), "a/1", fp) },
			now:    at(1), want: suspect.Suspected,
		},
		"the same crash seen twice": {
			events: func(t *suspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "a/1", fp) },
			now:    at(2), want: suspect.Suspected,
		},
		"two crashes": {
			events: func(t *suspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "b/1", fp) },
			now:    at(2), want: suspect.Refused,
		},
		"the same server after its restart": {
			events: func(t *suspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "a/2", fp) },
			now:    at(2), want: suspect.Refused,
		},
		"finished between two crashes": {
			events: func(t *suspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.RecordFinished(at(1), fp)
				t.RecordCrash(at(2), "b/1", fp)
			},
			now: at(3), want: suspect.Suspected,
		},
		"two crashes long ago": {
			events: func(t *suspect.Table) { t.RecordCrash(at(0), "a/1", fp); t.RecordCrash(at(1), "b/1", fp) },
			now:    at(3600), want: suspect.Clear,
		},
		"finished on another instance": {
			events: func(t *suspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.Merge(at(5), []suspect.Entry{{Fingerprint: fp, ClearedAt: at(4)}})
			},
			now: at(6), want: suspect.Clear,
		},
		"second crash on another instance": {
			events: func(t *suspect.Table) {
				t.RecordCrash(at(0), "a/1", fp)
				t.Merge(at(5), []suspect.Entry{{Fingerprint: fp, Crashes: []suspect.Crash{{Name: "c/1", At: at(4)}}}})
			},
			now: at(6), want: suspect.Refused,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := suspect.NewTable(suspect.DefaultParams)
			tt.events(table)
			require.Equal(t, tt.want, table.Check(tt.now, fp))
			if tt.want == suspect.Refused {
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
		var entries []suspect.Entry
		for i := range 20 {
			e := suspect.Entry{Fingerprint: uint64(rng.IntN(3))}
			if rng.IntN(4) == 0 {
				e.ClearedAt = at(i)
			} else {
				e.Crashes = []suspect.Crash{{Name: fmt.Sprint("s/", i), At: at(i)}}
			}
			entries = append(entries, e)
		}
		a, b := suspect.NewTable(suspect.DefaultParams), suspect.NewTable(suspect.DefaultParams)
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
	p := suspect.DefaultParams
	p.MaxEntries = 10
	table := suspect.NewTable(p)
	for i := range 100 {
		table.RecordCrash(at(i), "a/1", uint64(i))
	}
	require.Len(t, table.Newest(at(100), 1000), 10)
	require.Equal(t, suspect.Clear, table.Check(at(100), 0))
	require.Equal(t, suspect.Suspected, table.Check(at(100), 99))
}
