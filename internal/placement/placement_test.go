package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

var now = time.Unix(1_000_000, 0)

func servers(n int) []*pollenspindle.Server {
	s := make([]*pollenspindle.Server, n)
	for i := range s {
		s[i] = &pollenspindle.Server{Name: fmt.Sprint("engine-", i), Zone: fmt.Sprint("zone-", i%3)}
	}
	return s
}

func queryFor(hash uint64) placement.Query {
	return placement.Query{
		Hash: hash, Zone: "zone-0", Request: &permit.Request{},
		Accepts: func(*pollenspindle.Server) bool { return true },
	}
}

func TestSamePrefixGetsTheSameServers(t *testing.T) {
	ring := placement.NewRing(servers(12))
	for hash := range uint64(50) {
		h := hash * 0x9e3779b97f4a7c15
		a := placement.Choose(now, ring, queryFor(h), nil, rand.New(rand.NewPCG(1, hash)))
		b := placement.Choose(now, ring, queryFor(h), nil, rand.New(rand.NewPCG(2, hash)))
		require.Len(t, a, placement.MaxCandidates)
		require.ElementsMatch(t, a[:2], b[:2], "affine servers")
	}
}

func TestPrefixesKeepTheirServerWhenAnotherLeaves(t *testing.T) {
	// One of twelve servers leaves. Prefixes of the other servers must stay there, or every cache
	// would be cold at once.
	all := servers(12)
	before, after := placement.NewRing(all), placement.NewRing(all[1:])
	first := func(r *placement.Ring, h uint64) (s *pollenspindle.Server) {
		r.Walk(h, func(found *pollenspindle.Server) bool { s = found; return false })
		return s
	}
	counts := map[string]int{}
	for i := range uint64(12000) {
		h := i * 0x9e3779b97f4a7c15
		b := first(before, h)
		counts[b.Name]++
		if b != all[0] {
			require.Same(t, b, first(after, h))
		}
	}
	for name, n := range counts {
		require.InDelta(t, 1000, n, 600, name)
	}
}

func TestChooseOrder(t *testing.T) {
	all := servers(12)
	ring := placement.NewRing(all)
	var affine []*pollenspindle.Server
	ring.Walk(99, func(s *pollenspindle.Server) bool {
		affine = append(affine, s)
		return len(affine) < 2
	})
	tests := map[string]struct {
		views  placement.Views
		change func(a *placement.Query)
		check  func(t *testing.T, got []*pollenspindle.Server)
	}{
		"full affine server goes last": {
			views: placement.Views{affine[0].Name: {LoadPermille: 1400, ObservedAt: now}},
			check: func(t *testing.T, got []*pollenspindle.Server) { require.Same(t, affine[0], got[len(got)-1]) },
		},
		"old view is ignored": {
			views: placement.Views{affine[0].Name: {LoadPermille: 1400, ObservedAt: now.Add(-time.Minute)}},
			check: func(t *testing.T, got []*pollenspindle.Server) { require.ElementsMatch(t, affine, got[:2]) },
		},
		"server before its retry time goes last": {
			views: placement.Views{affine[0].Name: {LoadPermille: 0, ObservedAt: now, RetryAt: now.Add(time.Second)}},
			check: func(t *testing.T, got []*pollenspindle.Server) { require.Same(t, affine[0], got[len(got)-1]) },
		},
		"tried server is excluded": {
			change: func(a *placement.Query) { a.Request.ExcludeServers = []string{affine[0].Name} },
			check:  func(t *testing.T, got []*pollenspindle.Server) { require.NotContains(t, got, affine[0]) },
		},
		"failed zone goes last": {
			change: func(a *placement.Query) { a.Request.AvoidZones = []string{affine[0].Zone} },
			check: func(t *testing.T, got []*pollenspindle.Server) {
				require.NotEqual(t, affine[0].Zone, got[0].Zone)
			},
		},
		"drained zone gets nothing": {
			change: func(a *placement.Query) {
				a.Accepts = func(s *pollenspindle.Server) bool { return s.Zone != "zone-1" }
			},
			check: func(t *testing.T, got []*pollenspindle.Server) {
				require.Len(t, got, placement.MaxCandidates)
				for _, s := range got {
					require.NotEqual(t, "zone-1", s.Zone)
				}
			},
		},
		"no server accepts work": {
			change: func(a *placement.Query) { a.Accepts = func(*pollenspindle.Server) bool { return false } },
			check:  func(t *testing.T, got []*pollenspindle.Server) { require.Empty(t, got) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := queryFor(99)
			if tt.change != nil {
				tt.change(&a)
			}
			tt.check(t, placement.Choose(now, ring, a, tt.views, rand.New(rand.NewPCG(5, 5))))
		})
	}
}

func TestSkewedPrefixesSpreadByLoad(t *testing.T) {
	// Half of all requests share one prefix and fill the servers at its position. Bounded load must
	// send the others elsewhere, so that no server gets far more than its share.
	const n, limit = 12, 40
	all := servers(n)
	ring := placement.NewRing(all)
	rng := rand.New(rand.NewPCG(8, 8))
	views := placement.Views{}
	running := map[string]int{}
	for range n * limit * 8 / 10 {
		h := uint64(99)
		if rng.IntN(2) == 0 {
			h = rng.Uint64()
		}
		for _, s := range placement.Choose(now, ring, queryFor(h), views, rng) {
			if running[s.Name] < limit {
				running[s.Name]++
				views[s.Name] = placement.View{LoadPermille: running[s.Name] * 1000 / limit, ObservedAt: now}
				break
			}
		}
	}
	total := 0
	for _, k := range running {
		total += k
	}
	require.Equal(t, n*limit*8/10, total, "requests placed")
	for _, s := range all {
		require.Positive(t, running[s.Name], s.Name)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{200, 2000} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			ring := placement.NewRing(servers(n))
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				placement.Choose(now, ring, queryFor(rng.Uint64()), nil, rng)
			}
		})
	}
}
