package engine

import (
	"math"
	"math/rand/v2"
	"strings"
)

// LengthProfile is a distribution of output lengths: a lognormal body with a Pareto
// tail.
type LengthProfile struct {
	// Match selects the profile for prompts that contain it; empty matches all.
	Match string
	// Median and Sigma are the parameters of the body.
	Median float64
	Sigma  float64
	// TailShare is the fraction of outputs drawn from the tail. The tail has the
	// minimum TailMin and the exponent TailAlpha; below 2 its variance is infinite.
	TailShare float64
	TailMin   float64
	TailAlpha float64
}

// lengthProfiles are the profiles of the workloads of the two deployments. The first
// match applies.
var lengthProfiles = []LengthProfile{
	{Match: "verdict", Median: 24, Sigma: 0.5, TailShare: 0.02, TailMin: 80, TailAlpha: 1.6},
	{Match: "delivery note", Median: 60, Sigma: 0.6, TailShare: 0.04, TailMin: 150, TailAlpha: 1.5},
	{Match: "briefing", Median: 260, Sigma: 0.7, TailShare: 0.1, TailMin: 700, TailAlpha: 1.3},
	{Match: "plan", Median: 420, Sigma: 0.7, TailShare: 0.1, TailMin: 1000, TailAlpha: 1.3},
	{Median: 120, Sigma: 0.8, TailShare: 0.06, TailMin: 400, TailAlpha: 1.3},
}

// maxOutputTokens limits every output, also without a limit in the request.
const maxOutputTokens = 32000

// outputLength draws the output length for a prompt. It depends only on the prompt,
// the seed and maxTokens, so that a request has the same length on every engine and
// under every scheduling policy that is compared.
func outputLength(prompt string, promptHash uint64, seed int64, maxTokens int) int {
	rng := rand.New(rand.NewPCG(promptHash, uint64(seed)))
	n := drawLength(profileFor(prompt), rng)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return max(1, min(n, maxOutputTokens))
}

func profileFor(prompt string) LengthProfile {
	for _, p := range lengthProfiles {
		if strings.Contains(prompt, p.Match) {
			return p
		}
	}
	return lengthProfiles[len(lengthProfiles)-1]
}

func drawLength(p LengthProfile, rng *rand.Rand) int {
	var x float64
	if rng.Float64() < p.TailShare {
		x = p.TailMin * math.Pow(1-rng.Float64(), -1/p.TailAlpha)
	} else {
		x = p.Median * math.Exp(p.Sigma*rng.NormFloat64())
	}
	return int(math.Min(x, maxOutputTokens))
}
