package engine

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOutputLengthsHaveHeavyTail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	profile := profileFor("briefing")
	shortCount, longCount := 0, 0
	const n = 20_000
	for range n {
		switch x := drawLength(profile, rng); {
		case x <= 260:
			shortCount++
		case x > 2600:
			longCount++
		}
	}
	require.InDelta(t, 0.45, float64(shortCount)/n, 0.03)
	// Without the tail, only one in two thousand would exceed ten medians.
	require.Greater(t, float64(longCount)/n, 0.01)
	require.Equal(t, outputLength("plan", 9, 1, 0), outputLength("plan", 9, 1, 0))
	require.LessOrEqual(t, outputLength("plan", 9, 1, 7), 7)
}
