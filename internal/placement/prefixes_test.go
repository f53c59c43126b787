package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/placement"
)

func TestSharedReturnsTheLongestCommonPrefix(t *testing.T) {
	type request struct {
		hashes      []uint64
		fingerprint uint64
		want        uint64
	}
	tests := map[string][]request{
		"template with different texts": {
			{[]uint64{1, 2, 30}, 100, 1}, {[]uint64{1, 2, 31}, 101, 2}, {[]uint64{1, 2, 32}, 102, 2},
		},
		"growing conversation": {
			{[]uint64{1, 2}, 100, 1}, {[]uint64{1, 2, 3}, 101, 2}, {[]uint64{1, 2, 3, 4}, 102, 3},
		},
		"repeated request keeps its group": {
			{[]uint64{1, 2, 30}, 100, 1}, {[]uint64{1, 2, 31}, 101, 2}, {[]uint64{1, 2, 31}, 101, 2}, {[]uint64{1, 2, 31}, 101, 2},
		},
		"nothing shared": {{[]uint64{1, 2}, 100, 1}, {[]uint64{5, 6}, 101, 5}},
		"no prompt":      {{nil, 100, 0}},
	}
	for name, requests := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPrefixes()
			for i, r := range requests {
				require.Equal(t, r.want, p.Shared(r.hashes, r.fingerprint), "request %d", i)
			}
		})
	}
}

func TestUsedPrefixesOutliveUnusedOnes(t *testing.T) {
	p := placement.NewPrefixes()
	p.Shared([]uint64{1, 2}, 1)
	for i := uint64(1); i < 100_000; i++ {
		p.Shared([]uint64{1000 * i, 1000*i + 1}, i)
		if i%1000 == 0 {
			require.Equal(t, uint64(2), p.Shared([]uint64{1, 2, 1000*i + 2}, 1+i))
		}
	}
}

func BenchmarkShared(b *testing.B) {
	p := placement.NewPrefixes()
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		p.Shared([]uint64{1, 2, 1000 * i, 1000*i + 1}, i)
	}
}
