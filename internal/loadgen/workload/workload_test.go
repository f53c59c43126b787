package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGenerate(t *testing.T) {
	tests := map[string]struct {
		mix     Mix
		large   []string
		patient Kind
	}{
		"inyange": {mix: Inyange, large: []string{"kigali-flyers", "huye-gliders", "musanze-aero"}},
		"mavuno":  {mix: Mavuno, large: []string{"nairobi-schools", "kiambu-schools"}, patient: KindPlan},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			opts := Options{Mix: tt.mix, Seed: 7, Rate: 50, Duration: 20 * time.Second, Max: 100_000}
			requests, err := Generate(opts)
			require.NoError(t, err)
			again, err := Generate(opts)
			require.NoError(t, err)
			require.Equal(t, requests, again)
			require.InDelta(t, 1000, len(requests), 130)

			byWorkspace, keys := map[string]int{}, map[string]bool{}
			last := time.Duration(0)
			for _, r := range requests {
				require.GreaterOrEqual(t, r.ArrivalOffset, last)
				last = r.ArrivalOffset
				byWorkspace[r.Workspace]++
				require.True(t, (r.Generation == nil) != (r.Call == nil))
				if r.Kind == tt.patient {
					require.True(t, r.Patient)
				}
				if r.Call != nil && r.Call.IdempotencyKey != "" {
					require.False(t, keys[r.Call.IdempotencyKey])
					keys[r.Call.IdempotencyKey] = true
				}
			}
			large := 0
			for _, w := range tt.large {
				large += byWorkspace[w]
			}
			require.Greater(t, large, len(requests)/3)
			require.Greater(t, len(byWorkspace), 8)
			require.NotEmpty(t, keys)
		})
	}
}

func TestGenerateLimitsRequests(t *testing.T) {
	requests, err := Generate(Options{Mix: Inyange, Rate: 1e6, Duration: time.Hour, Max: 10, GenerationsOnly: true})
	require.NoError(t, err)
	require.Len(t, requests, 10)
	for _, r := range requests {
		require.NotNil(t, r.Generation)
	}
	_, err = Generate(Options{Mix: "other", Rate: 1, Duration: time.Second, Max: 1})
	require.Error(t, err)
}
