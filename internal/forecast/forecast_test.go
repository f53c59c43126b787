package forecast_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
)

func learned(rng *rand.Rand, draw func(*rand.Rand) int) *outputlength.Curve {
	e := outputlength.NewEstimator(outputlength.DefaultParams)
	k := outputlength.Key{Service: "s", Model: "m"}
	for range 3000 {
		e.Observe(k, draw(rng), false)
	}
	return e.Curve(k)
}

func TestPeakCoversTheActualPeak(t *testing.T) {
	// Guards against a prediction that is too low or too high: for batches of
	// sequences of unknown length, each at a random position of its output, the
	// actual peak within the horizon must rarely exceed the prediction, and the
	// prediction must stay near it, or memory would be unused.
	draws := map[string]func(*rand.Rand) int{
		"lognormal":  func(rng *rand.Rand) int { return 1 + int(200*math.Exp(rng.NormFloat64())) },
		"heavy tail": func(rng *rand.Rand) int { return min(8000, int(60*math.Pow(1-rng.Float64(), -1/1.2))) },
		"two kinds": func(rng *rand.Rand) int {
			if rng.IntN(5) == 0 {
				return 2000 + rng.IntN(500)
			}
			return 30 + rng.IntN(20)
		},
	}
	const batch, bound, prompt, trials = 24, 8000, 100, 400
	for name, draw := range draws {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			curve := learned(rng, draw)
			over, predicted, actual := 0, 0.0, 0.0
			for range trials {
				var m forecast.Memory
				soFar, remaining := make([]int, batch), make([]int, batch)
				for i := range soFar {
					soFar[i], remaining[i] = running(rng, draw, bound)
					m.Add(forecast.Sequence{Prompt: prompt, Generated: soFar[i], MaxTokens: bound, Curve: curve})
				}
				peak, actualPeak := m.Peak(forecast.DefaultMargin), realPeak(soFar, remaining, prompt)
				predicted += peak
				actual += actualPeak
				if actualPeak > peak {
					over++
				}
			}
			require.Less(t, over, trials/50, "batches above the predicted peak")
			require.Less(t, predicted, 1.3*actual, "memory reserved")
		})
	}
}

// running draws a sequence that runs at a random moment: long outputs run longer,
// so they are drawn more often.
func running(rng *rand.Rand, draw func(*rand.Rand) int, bound int) (soFar, remaining int) {
	for {
		n := min(draw(rng), bound)
		if rng.IntN(bound) < n {
			soFar = rng.IntN(n)
			return soFar, n - soFar
		}
	}
}

// realPeak decodes all sequences in step for 256 tokens and returns the largest
// total.
func realPeak(soFar, remaining []int, prompt int) float64 {
	peak := 0
	for ahead := range 257 {
		sum := 0
		for i := range soFar {
			if remaining[i] >= ahead {
				sum += prompt + soFar[i] + ahead
			}
		}
		peak = max(peak, sum)
	}
	return float64(peak)
}

func TestPeakOfKnownSequences(t *testing.T) {
	curve := learned(rand.New(rand.NewPCG(2, 2)), func(*rand.Rand) int { return 100 })
	tests := map[string]struct {
		sequences []forecast.Sequence
		resident  int
		min, max  float64
	}{
		"idle":              {max: 0},
		"residents only":    {resident: 500, min: 500, max: 500},
		"limit reached":     {sequences: []forecast.Sequence{{Prompt: 50, Generated: 10, MaxTokens: 10, Curve: curve}}, min: 60, max: 60},
		"one of a hundred":  {sequences: []forecast.Sequence{{Prompt: 50, Curve: curve}}, min: 110, max: 200},
		"limit below curve": {sequences: []forecast.Sequence{{Prompt: 50, MaxTokens: 16, Curve: curve}}, min: 60, max: 70},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m forecast.Memory
			m.AddResident(tt.resident)
			for _, s := range tt.sequences {
				require.GreaterOrEqual(t, m.PeakWith(s, 2), m.Peak(2))
				m.Add(s)
			}
			require.GreaterOrEqual(t, m.Peak(2), tt.min)
			require.LessOrEqual(t, m.Peak(2), tt.max)
		})
	}
}

func TestIntervalLearnsAndRelearns(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	v := forecast.NewInterval()
	feed := func(n int, base, slope float64) {
		for range n {
			batch := 1 + rng.IntN(40)
			v.Observe(batch, base+slope*float64(batch)+rng.NormFloat64())
		}
	}
	feed(200, 12, 0.8)
	require.InDelta(t, 12+0.8*30, v.Expected(30), 2)
	require.InDelta(t, 30, v.MaxBatch(12+0.8*30, 64), 3)

	// The server becomes slow; after some hundred reports the maximum batch is what
	// it can serve within the target.
	feed(250, 20, 2)
	require.InDelta(t, 80, v.Expected(30), 6)
	require.InDelta(t, 8, v.MaxBatch(36, 64), 2)
}

// Guards against attributing prefill time to the batch size. Each report measures one
// step, and one step in five includes prefill and takes 16 ms longer at any batch
// size: some of sixteen slots would stay unused at a target of 21 ms.
func TestIntervalIgnoresStepsWithPrefill(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	v := forecast.NewInterval()
	sum := 0.0
	const reports, learned = 400, 40
	for n := range reports {
		batch := 10 + rng.IntN(6)
		millis := 11.5 + 0.5*float64(batch)
		if rng.IntN(5) == 0 {
			millis += 16
		}
		v.Observe(batch, millis)
		if n >= learned {
			sum += v.Expected(16)
		}
	}
	require.InDelta(t, 19.5, sum/(reports-learned), 0.5)
}

func TestIntervalIgnoresInvalidReports(t *testing.T) {
	v := forecast.NewInterval()
	for range 500 {
		v.Observe(8, 20)
	}
	for _, millis := range []float64{math.NaN(), math.Inf(1), -4, 0} {
		v.Observe(8, millis)
	}
	v.Observe(0, 900)
	require.InDelta(t, 20, v.Expected(8), 0.5)
	require.GreaterOrEqual(t, v.MaxBatch(1, 64), 1)
	require.GreaterOrEqual(t, v.Expected(40), v.Expected(8))
}

func BenchmarkPeakWith(b *testing.B) {
	curve := learned(rand.New(rand.NewPCG(4, 4)), func(rng *rand.Rand) int { return 1 + rng.IntN(4000) })
	var m forecast.Memory
	s := forecast.Sequence{Prompt: 200, Generated: 40, MaxTokens: 9000, Curve: curve}
	for range 40 {
		m.Add(s)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.PeakWith(s, forecast.DefaultMargin)
	}
}
