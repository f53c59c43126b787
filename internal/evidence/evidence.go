// Package evidence weighs what was seen of some servers against what others answer
// at the same time.
//
// # Usage
//
//	ratio := evidence.Ratio(evidence.Pair{
//		Usual: evidence.Share{Events: 3, Number: 400},
//		Seen:  evidence.Share{Events: 4, Number: 12},
//	})
package evidence

import "math"

// Share is a number of events among a number of answers.
type Share struct{ Events, Number float64 }

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share { return Share{s.Events + t.Events, s.Number + t.Number} }

// Minus returns the difference of two shares.
func (s Share) Minus(t Share) Share { return Share{s.Events - t.Events, s.Number - t.Number} }

// Pair is what was seen of one kind of request, and what is usual for it.
type Pair struct{ Usual, Seen Share }

// effects are the alternatives that are weighed against no change: which part of
// what is usually good fails.
var effects = []float64{0.03, 0.08, 0.2, 0.5}

// Ratio returns how much more likely what was seen is where a part of the usually
// good answers fails than where none does: 1 where nothing speaks for either.
func Ratio(pairs ...Pair) float64 {
	sum := 0.0
	for _, effect := range effects {
		log := 0.0
		for _, p := range pairs {
			log += p.log(effect)
		}
		sum += math.Exp(log)
	}
	return sum / float64(len(effects))
}

// log returns the logarithm of the likelihood ratio for one effect. What is usual
// is known from its samples alone; half an event and a standard deviation above
// keep a small sample from accusing others.
func (p Pair) log(effect float64) float64 {
	if p.Seen.Number <= 0 || p.Usual.Number <= 0 {
		return 0
	}
	usual := (p.Usual.Events + 0.5) / (p.Usual.Number + 1)
	usual = min(0.95, usual+math.Sqrt(usual*(1-usual)/p.Usual.Number))
	changed := usual + (1-usual)*effect
	return p.Seen.Events*math.Log(changed/usual) + (p.Seen.Number-p.Seen.Events)*math.Log((1-changed)/(1-usual))
}
