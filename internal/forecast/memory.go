// Package forecast predicts the peak memory use of a model engine from its running
// sequences, and its time between tokens from its load reports.
//
// # Usage
//
//	var m forecast.Memory
//	for _, s := range running {
//		m.Add(s)
//	}
//	if m.PeakWith(candidate, forecast.DefaultMargin) <= capacity {
//		// the candidate fits
//	}
package forecast

import (
	"math"

	"pollenspindle.example/pollenspindle/internal/outputlength"
)

// horizons is the number of points in time for which memory is predicted: now, and
// from 1 to 362 tokens ahead in factors of the square root of two, some fifteen
// seconds.
//
// Unpredicted preemptions occur ten to sixty seconds after the last start, while long
// outputs continue. A longer horizon costs more than it saves: the memory use in a
// thousand tokens is mostly uncertain, and isn't needed, since admission stops long
// before the memory is full and running sequences end meanwhile. A horizon of 64
// tokens with a margin of four deviations leaves a quarter of the memory free that
// large prompts could use. See docs/design/admission.md.
const horizons = 19

// DefaultMargin is the number of standard deviations kept free above the expected
// memory use. Lengths are heavy-tailed and correlated within a workspace, so that two
// deviations are exceeded too often.
const DefaultMargin = 3.25

// Sequence is one running generation; its lengths are in tokens.
type Sequence struct {
	Prompt int
	// Generated is the number of generated tokens.
	Generated int
	// MaxTokens is the maximum number of generated tokens; 0 means no limit but the
	// model's context.
	MaxTokens int
	// Curve is the survival curve of the output length.
	Curve *outputlength.Curve
}

// Memory is the predicted memory use of one engine. The zero value is an idle engine.
// It is for engines whose batches hold sequences of unknown length: if the memory
// fills while they decode, the engine preempts and recomputes some of them while
// their streams stall.
//
// All running sequences grow by one token per step. A sequence that ends frees its
// memory, so the peak is usually not at the last horizon. The cost of adding a
// sequence or predicting doesn't depend on the size of the fleet.
type Memory struct {
	mean, variance [horizons]float64
	// maxUse is the use if no sequence ends before its limit. For short horizons it
	// is less than the mean with the margin: sequences that may end soon add
	// variance, but can't increase the memory use.
	maxUse [horizons]float64
}

// lookaheads are the horizons as numbers of tokens ahead.
var lookaheads = makeLookaheads()

func makeLookaheads() [horizons]int {
	var a [horizons]int
	for h := 1; h < horizons; h++ {
		a[h] = int(math.Exp2(float64(h-1) / 2))
	}
	return a
}

// Add adds s to the prediction.
func (m *Memory) Add(s Sequence) {
	if s.MaxTokens <= 0 || s.Generated <= s.MaxTokens {
		m.mean[0] += float64(s.Prompt + s.Generated)
		m.maxUse[0] += float64(s.Prompt + s.Generated)
	}
	reached := s.Curve.Survival(float64(s.Generated))
	for h := 1; h < horizons; h++ {
		mean, variance := s.memoryAt(lookaheads[h], reached)
		m.mean[h] += mean
		m.variance[h] += variance
		if reach := s.Generated + lookaheads[h]; s.MaxTokens <= 0 || reach <= s.MaxTokens {
			m.maxUse[h] += float64(s.Prompt + reach)
		}
	}
}

// AddResident adds tokens of memory that stay in use, for example of sequences of
// which only the size is known.
func (m *Memory) AddResident(tokens int) {
	for h := range horizons {
		m.mean[h] += float64(tokens)
		m.maxUse[h] += float64(tokens)
	}
}

// Peak returns the largest predicted use, in tokens: margin standard deviations above
// the expected use at each horizon, but at most the use if no sequence ended.
func (m *Memory) Peak(margin float64) float64 {
	peak := 0.0
	for h := range horizons {
		peak = max(peak, min(m.maxUse[h], m.mean[h]+margin*math.Sqrt(m.variance[h])))
	}
	return peak
}

// PeakWith returns what Peak would return after Add(s), without changing m.
func (m *Memory) PeakWith(s Sequence, margin float64) float64 {
	with := *m
	with.Add(s)
	return with.Peak(margin)
}

// memoryAt returns the mean and the variance of the memory that s uses after further
// tokens: its full size with the probability that s is still running, otherwise none.
// Reached is the share of outputs that are longer than what s has generated.
func (s Sequence) memoryAt(further int, reached float64) (mean, variance float64) {
	size := float64(s.Prompt + s.Generated + further)
	if s.MaxTokens > 0 && s.Generated+further > s.MaxTokens {
		return 0, 0
	}
	if reached <= 0 {
		return 0, 0
	}
	alive := s.Curve.Survival(float64(s.Generated+further)) / reached
	return alive * size, alive * (1 - alive) * size * size
}
