package outputlength_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/outputlength"
)

var key = outputlength.Key{Service: "briefing", Model: "glide", Workspace: "club"}

// lognormal draws lengths with the given median and spread.
func lognormal(rng *rand.Rand, median, sigma float64) int {
	return 1 + int(median*math.Exp(sigma*rng.NormFloat64()))
}

// pareto draws lengths of at least start with tail exponent alpha.
func pareto(rng *rand.Rand, start, alpha float64) int {
	return min(outputlength.MaxTokens, int(start*math.Pow(1-rng.Float64(), -1/alpha)))
}

func TestCurveIsCalibrated(t *testing.T) {
	tests := map[string]func(rng *rand.Rand, i int) int{
		"short answers":  func(rng *rand.Rand, _ int) int { return lognormal(rng, 30, 0.4) },
		"wide lognormal": func(rng *rand.Rand, _ int) int { return lognormal(rng, 300, 1) },
		"heavy tail":     func(rng *rand.Rand, _ int) int { return pareto(rng, 50, 1.1) },
		"mix of two kinds": func(rng *rand.Rand, _ int) int {
			if rng.IntN(4) == 0 {
				return lognormal(rng, 3000, 0.3)
			}
			return lognormal(rng, 40, 0.3)
		},
		"demand shifts": func(rng *rand.Rand, i int) int {
			if i < 2000 {
				return lognormal(rng, 40, 0.3)
			}
			return lognormal(rng, 900, 0.5)
		},
	}
	for name, draw := range tests {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			e := outputlength.NewEstimator(outputlength.DefaultParams)
			for i := range 4000 {
				e.Observe(key, draw(rng, i), false)
			}
			c := e.Curve(key)
			for _, soFar := range []int{0, 20, 200} {
				for _, q := range []float64{0.5, 0.9} {
					within, reached := 0, 0
					maxLength := soFar + c.Remaining(soFar, q)
					for range 20000 {
						n := draw(rng, 4000)
						if n > soFar {
							reached++
							if n <= maxLength {
								within++
							}
						}
					}
					if reached < 500 {
						continue
					}
					require.InDelta(t, q, float64(within)/float64(reached), 0.1, "so far %d, quantile %v", soFar, q)
				}
			}
		})
	}
}

func TestRemainingGrowsWithLengthForHeavyTails(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := outputlength.NewEstimator(outputlength.DefaultParams)
	for range 3000 {
		e.Observe(key, pareto(rng, 50, 1.1), false)
	}
	c := e.Curve(key)
	require.Less(t, c.Remaining(50, 0.5), c.Remaining(500, 0.5))
	require.Less(t, c.Remaining(500, 0.5), c.Remaining(5000, 0.5))
	require.Less(t, c.MeanRemaining(50, 16000), c.MeanRemaining(1000, 16000))
}

func TestCensoredOutputsCountAsAtLeastAsLong(t *testing.T) {
	// Guards against counting outputs that callers cancel at 200 tokens as ended:
	// lengths would be underestimated and the engine overfilled.
	rng := rand.New(rand.NewPCG(5, 6))
	censored := outputlength.NewEstimator(outputlength.DefaultParams)
	naive := outputlength.NewEstimator(outputlength.DefaultParams)
	for range 2000 {
		n := lognormal(rng, 400, 1)
		censored.Observe(key, min(n, 200), n > 200)
		naive.Observe(key, min(n, 200), false)
	}
	require.Greater(t, censored.Curve(key).ConditionalSurvival(0, 250), 0.5)
	require.Less(t, naive.Curve(key).ConditionalSurvival(0, 250), 0.1)
}

func TestNewWorkspaceUsesTheCurveOfItsModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	e := outputlength.NewEstimator(outputlength.DefaultParams)
	for range 1000 {
		e.Observe(key, lognormal(rng, 300, 0.4), false)
	}
	fresh := outputlength.Key{Service: key.Service, Model: key.Model, Workspace: "new"}
	require.InDelta(t, e.Curve(key).Remaining(0, 0.5), e.Curve(fresh).Remaining(0, 0.5), 60)
	require.Zero(t, e.Curve(fresh).Observations)
}

func TestNumberOfKeysIsLimited(t *testing.T) {
	p := outputlength.DefaultParams
	p.MaxKeys = 16
	e := outputlength.NewEstimator(p)
	for i := range 100 {
		e.Observe(outputlength.Key{Service: "s", Model: "m", Workspace: strconv.Itoa(i)}, 100, false)
	}
	require.Zero(t, e.Curve(outputlength.Key{Service: "s", Model: "m", Workspace: "0"}).Observations)
	require.InDelta(t, 1, e.Curve(outputlength.Key{Service: "s", Model: "m", Workspace: "99"}).Observations, 1e-9)
}

func TestMeanOfKnownCurve(t *testing.T) {
	e := outputlength.NewEstimator(outputlength.DefaultParams)
	rng := rand.New(rand.NewPCG(9, 10))
	for range 4000 {
		e.Observe(key, lognormal(rng, 100, 0.2), false)
	}
	require.InDelta(t, 102, e.Curve(key).MeanRemaining(0, 4000), 20)
	require.InDelta(t, 10, e.Curve(key).MeanRemaining(0, 10), 1)
}

func BenchmarkObserveAndCurve(b *testing.B) {
	e := outputlength.NewEstimator(outputlength.DefaultParams)
	b.ReportAllocs()
	for i := range b.N {
		e.Observe(key, i%5000, false)
		e.Curve(key)
	}
}
