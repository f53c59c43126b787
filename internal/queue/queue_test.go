package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

var start = time.Unix(1_000_000, 0)

func item(id, workspace string, tokens float64) *queue.Item {
	return &queue.Item{
		ID: id, Workspace: workspace, Class: pollenspindle.ClassInteractive,
		Weight: 1, Tokens: tokens, Deadline: start.Add(time.Hour),
	}
}

func fitsAll(*queue.Item) bool { return true }

func TestWorkspacesShareByTokens(t *testing.T) {
	// Guards against a large workspace with many long requests making the callers
	// of small workspaces wait behind them.
	tests := map[string]struct {
		weights map[string]int
		tokens  map[string]float64
		want    map[string]float64
	}{
		"equal weights, unequal lengths": {
			weights: map[string]int{"large": 1, "small": 1},
			tokens:  map[string]float64{"large": 1000, "small": 100},
			want:    map[string]float64{"large": 0.5, "small": 0.5},
		},
		"three to one": {
			weights: map[string]int{"large": 3, "small": 1},
			tokens:  map[string]float64{"large": 200, "small": 200},
			want:    map[string]float64{"large": 0.75, "small": 0.25},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := queue.DefaultParams
			p.MaxItems = 10000
			q := queue.New(p)
			for i := range 4000 {
				for w := range tt.weights {
					it := item(fmt.Sprint(w, i), w, tt.tokens[w])
					it.Weight = tt.weights[w]
					require.Nil(t, q.Push(start, it))
				}
			}
			served, total := map[string]float64{}, 0.0
			for total < 200_000 {
				it, ok := q.Next(start, fitsAll)
				require.True(t, ok)
				served[it.Workspace] += it.Tokens
				total += it.Tokens
			}
			for w, share := range tt.want {
				require.InDelta(t, share, served[w]/total, 0.02, w)
			}
		})
	}
}

func TestPatientWorkIsNotStarved(t *testing.T) {
	q := queue.New(queue.DefaultParams)
	for i := range 100 {
		require.Nil(t, q.Push(start, item(fmt.Sprint("i", i), "club", 10)))
	}
	late := item("p", "school", 10)
	late.Class = pollenspindle.ClassPatient
	require.Nil(t, q.Push(start, late))
	for n := 1; ; n++ {
		it, ok := q.Next(start, fitsAll)
		require.True(t, ok)
		if it.ID == "p" {
			require.Equal(t, queue.DefaultParams.PatientEvery, n)
			return
		}
	}
}

func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	// Guards against a large request that is next but doesn't fit into the free
	// memory waiting forever: small ones may overtake it only a limited number of
	// times.
	q := queue.New(queue.DefaultParams)
	require.Nil(t, q.Push(start, item("large", "a", 5000)))
	small := func(it *queue.Item) bool { return it.Tokens < 1000 }
	overtaken := 0
	for i := range 100 {
		require.Nil(t, q.Push(start, item(fmt.Sprint("s", i), "b", 10)))
		if _, ok := q.Next(start, small); ok {
			overtaken++
		}
	}
	// The first small one may precede it because their virtual times are equal.
	require.InDelta(t, queue.DefaultParams.MaxBypass, overtaken, 1)
	it, ok := q.Next(start, fitsAll)
	require.True(t, ok)
	require.Equal(t, "large", it.ID)
}

func TestPushRefusesWithRetryAfter(t *testing.T) {
	tests := map[string]struct {
		prepare func(q *queue.Queue)
		item    func() *queue.Item
		reason  permit.Reason
	}{
		"queue full": {
			prepare: func(q *queue.Queue) { fill(q, queue.DefaultParams.MaxItems) },
			item:    func() *queue.Item { return item("x", "new", 1) },
			reason:  permit.ReasonQueueFull,
		},
		"workspace limit reached": {
			prepare: func(q *queue.Queue) { fill(q, 3) },
			item: func() *queue.Item {
				it := item("x", "w", 1)
				it.MaxQueued = 3
				return it
			},
			reason: permit.ReasonWorkspace,
		},
		"expected start after the deadline": {
			prepare: func(q *queue.Queue) { fill(q, 100) },
			item: func() *queue.Item {
				it := item("x", "w", 1)
				it.Deadline = start.Add(time.Second)
				return it
			},
			reason: permit.ReasonDeadline,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.DefaultParams)
			tt.prepare(q)
			n := q.Len()
			refused := q.Push(start, tt.item())
			require.NotNil(t, refused)
			require.Equal(t, tt.reason, refused.Reason)
			require.Positive(t, refused.RetryAfter)
			require.Equal(t, n, q.Len())
		})
	}
}

func fill(q *queue.Queue, n int) {
	for i := range n {
		_ = q.Push(start, item(fmt.Sprint("f", i), "w", 1))
	}
}

func always(*queue.Item) bool { return true }

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	retryAfter := func(gap time.Duration) time.Duration {
		q := queue.New(queue.DefaultParams)
		fill(q, 100)
		now := start
		for range 100 {
			now = now.Add(gap)
			_, ok := q.Next(now, always)
			require.True(t, ok)
		}
		return q.RetryAfter(9)
	}
	require.InDelta(t, 1, retryAfter(100*time.Millisecond).Seconds(), 0.05)
	require.InDelta(t, 10, retryAfter(time.Second).Seconds(), 0.2)
}

// Guards against mistaking low demand for a slow server: after one immediate grant
// every ten seconds, a burst of twenty requests must be queued, and get a short
// Retry-After, since the interval says nothing about how soon slots are freed.
func TestLowDemandIsNotASlowServer(t *testing.T) {
	q := queue.New(queue.DefaultParams)
	now := start
	for range 100 {
		now = now.Add(10 * time.Second)
		q.RecordGrant(now)
	}
	for i := range 20 {
		it := item(fmt.Sprint(i), "w", 1)
		it.Deadline = now.Add(10 * time.Second)
		require.Nil(t, q.Push(now, it), "request %d", i)
	}
	require.LessOrEqual(t, q.RetryAfter(q.Len()), 10*time.Second)
}

func TestSmallWorkspaceIsQueuedBehindALargeOne(t *testing.T) {
	// Guards against refusing a request of a small workspace with a close deadline
	// because a hundred requests of a large one are queued: its workspace is served next.
	q := queue.New(queue.DefaultParams)
	fill(q, 100)
	it := item("x", "small", 1)
	it.Deadline = start.Add(time.Second)
	require.Nil(t, q.Push(start, it))
}

func TestRemovedAndExpiredItemsNeverStart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := queue.New(queue.DefaultParams)
	waiting := map[string]bool{}
	now := start
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		switch rng.IntN(4) {
		case 0, 1:
			it := item(fmt.Sprint(i), fmt.Sprint(rng.IntN(5)), 1)
			it.Deadline = now.Add(time.Duration(rng.IntN(60000)) * time.Millisecond)
			if rng.IntN(2) == 0 {
				it.Class = pollenspindle.ClassPatient
			}
			if q.Push(now, it) == nil {
				waiting[it.ID] = true
			}
		case 2:
			for id := range waiting {
				q.Remove(id)
				delete(waiting, id)
				break
			}
		case 3:
			for _, it := range q.Expire(now) {
				require.True(t, waiting[it.ID])
				delete(waiting, it.ID)
			}
			if it, ok := q.Next(now, fitsAll); ok {
				require.True(t, waiting[it.ID], "item started twice or after its end")
				delete(waiting, it.ID)
			}
		}
		require.Equal(t, len(waiting), q.Len())
	}
}

func BenchmarkNextWith10000Queued(b *testing.B) {
	p := queue.DefaultParams
	p.MaxItems = 20000
	q := queue.New(p)
	for i := range 10000 {
		it := item(fmt.Sprint(i), fmt.Sprint("w", i%290), float64(i%700))
		it.Deadline = start.Add(100 * time.Hour)
		_ = q.Push(start, it)
	}
	b.ReportAllocs()
	for b.Loop() {
		it, _ := q.Next(start, fitsAll)
		_ = q.Push(start, it)
	}
}
