package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// slowRatio is how many times the median of the others a server's mean time is at which the
	// server is ejected. Servers under a higher load than others take up to twice as long. Servers
	// that are four times slower must be found; with a ratio of 4 they were found by chance.
	slowRatio = 3.5
	// minTimedAnswers is the minimum number of a server's own answers for the comparison, and of
	// the answers of the others.
	minTimedAnswers = 10.0
	// timeHalfLife is the half-life of the weight of a time. It is longer than that of failures:
	// a slow server gets fewer answers done, and ten are needed.
	timeHalfLife = 5 * time.Second
	// maxAnswerTime is the maximum plausible mean time of an answer; callers leave earlier.
	maxAnswerTime = 10 * time.Minute
)

// Plausible reports whether the numbers and times can be used.
func (a Answers) Plausible() bool {
	succeeded := int64(a.Total) - int64(a.Failed)
	return a.Failed >= 0 && succeeded >= 0 && a.Millis >= 0 && a.Millis <= succeeded*maxAnswerTime.Milliseconds()
}

// decayingTime is a number of answers and the sum of their times, whose weight decays exponentially.
type decayingTime struct {
	answers, millis float64
	at              time.Time
}

func (t *decayingTime) decay(now time.Time) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		f := math.Exp2(-float64(elapsed) / float64(timeHalfLife))
		t.answers *= f
		t.millis *= f
		t.at = now
	}
}

// addTimes adds the times of answers and reports whether there are any. Failures don't count: a
// server may fail at once, or after a time limit.
func (d *Detector) addTimes(now time.Time, k key, a Answers) bool {
	if a.Millis == 0 || !a.Plausible() {
		return false
	}
	t, ok := d.times[k]
	if !ok {
		t = &decayingTime{at: now}
		d.times[k] = t
	}
	t.decay(now)
	t.answers += float64(a.Total - a.Failed)
	t.millis += float64(a.Millis)
	return true
}

// isSlow reports whether a server is several times slower than the median of the others on a route,
// and records the evidence. If all are slow, none is.
func (d *Detector) isSlow(now time.Time, id string, ids []string, found *Detection) bool {
	for _, route := range d.routes(id) {
		own, ok := d.times[key{id, route}]
		if !ok {
			continue
		}
		own.decay(now)
		others, answers := d.meansOfOthers(now, id, route, ids)
		if own.answers < minTimedAnswers || answers < minTimedAnswers {
			continue
		}
		mean, median := own.millis/own.answers, medianOf(others)
		if mean < slowRatio*median {
			continue
		}
		found.Slow, found.Route = true, route
		found.Mean, found.Others = time.Duration(mean*float64(time.Millisecond)), time.Duration(median*float64(time.Millisecond))
		return true
	}
	return false
}

// meansOfOthers returns the mean times of the other servers on a route, and the number of their
// answers.
func (d *Detector) meansOfOthers(now time.Time, id, route string, ids []string) (means []float64, answers float64) {
	for _, other := range ids {
		t, ok := d.times[key{other, route}]
		if !ok || other == id {
			continue
		}
		t.decay(now)
		// The times of a server without recent answers say nothing.
		if t.answers < 1 {
			continue
		}
		means = append(means, t.millis/t.answers)
		answers += t.answers
	}
	return means, answers
}

func medianOf(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
