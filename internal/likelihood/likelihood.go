// Package likelihood compares the rate of events, such as failures, on some servers with the rate on
// other servers at the same time, as a likelihood ratio.
//
// # Usage
//
//	ratio := likelihood.Ratio(likelihood.Pair{
//		Baseline: likelihood.Share{Events: 3, Total: 400},
//		Observed: likelihood.Share{Events: 4, Total: 12},
//	})
package likelihood

import "math"

// Share is a number of events, such as failures, among a total number of answers.
type Share struct{ Events, Total float64 }

// Add returns the sum of two shares.
func (s Share) Add(t Share) Share { return Share{s.Events + t.Events, s.Total + t.Total} }

// Sub returns the difference of two shares.
func (s Share) Sub(t Share) Share { return Share{s.Events - t.Events, s.Total - t.Total} }

// Pair holds the observed share and the baseline share of one kind of request.
type Pair struct{ Baseline, Observed Share }

// effectSizes are the alternative hypotheses tested against no change: the fraction of the answers
// that succeed in the baseline but fail here.
var effectSizes = []float64{0.03, 0.08, 0.2, 0.5}

// Ratio returns the likelihood ratio of the observations, averaged over the effect sizes:
// how much more likely they are if some of the answers that succeed in the baseline fail than if
// none do. 1 favours neither.
func Ratio(pairs ...Pair) float64 {
	sum := 0.0
	for _, effect := range effectSizes {
		logRatio := 0.0
		for _, p := range pairs {
			logRatio += p.logRatio(effect)
		}
		sum += math.Exp(logRatio)
	}
	return sum / float64(len(effectSizes))
}

// logRatio returns the logarithm of the likelihood ratio for one effect size. The baseline rate is
// estimated from its sample; half an event and one standard deviation are added, so that a small
// baseline sample doesn't make others look faulty.
func (p Pair) logRatio(effect float64) float64 {
	if p.Observed.Total <= 0 || p.Baseline.Total <= 0 {
		return 0
	}
	baseline := (p.Baseline.Events + 0.5) / (p.Baseline.Total + 1)
	baseline = min(0.95, baseline+math.Sqrt(baseline*(1-baseline)/p.Baseline.Total))
	changed := baseline + (1-baseline)*effect
	return p.Observed.Events*math.Log(changed/baseline) + (p.Observed.Total-p.Observed.Events)*math.Log((1-changed)/(1-baseline))
}
