// Package outputlength estimates the distribution of output lengths and the remaining
// length of running generations.
//
// The length of a generation is unknown until it ends and heavy-tailed: a few tokens
// or tens of thousands, so that a mean is of little use. The package keeps a survival
// curve for each (service, model, workspace), a Kaplan-Meier estimate over buckets of
// logarithmic width, in which outputs that were cut off early (cancelled, lost) count
// as "at least this long". A key with few observations is smoothed towards its coarser
// key, and that towards a prior with a Pareto tail.
//
// # Usage
//
//	e := outputlength.NewEstimator(outputlength.DefaultParams)
//	e.Observe(key, 480, false)
//	curve := e.Curve(key)
//	p := curve.ConditionalSurvival(480, 100) // share of outputs at 480 tokens that reach 580
//	n := curve.Remaining(480, 0.9)           // tokens within which 9 in 10 of them end
package outputlength

import "math"

const (
	// bucketsPerDoubling is the resolution: four buckets per doubling keep the
	// error of a quantile below a fifth, which is below the noise of the lengths.
	bucketsPerDoubling = 4
	// doublings covers outputs up to 2^17 tokens, more than the context of the
	// models in use; longer ones are counted in the last bucket.
	doublings = 17
	// buckets is the number of buckets of a curve.
	buckets = bucketsPerDoubling*doublings + 1
	// MaxTokens is the largest length that a curve distinguishes.
	MaxTokens = 1 << doublings
)

// edges[b] is the first length, in tokens, that belongs to bucket b.
var edges = makeEdges()

func makeEdges() [buckets + 1]float64 {
	var e [buckets + 1]float64
	for b := range e {
		e[b] = math.Exp2(float64(b) / bucketsPerDoubling)
	}
	e[0] = 0
	return e
}

// tableSize is the length below which buckets are looked up in a table; nearly all
// outputs are shorter. A prediction needs the survival of each running sequence at
// several times, and the logarithm would be most of its cost.
const tableSize = 4096

var bucketTable = makeBucketTable()

func makeBucketTable() [tableSize]uint8 {
	var t [tableSize]uint8
	for n := range t {
		t[n] = uint8(computeBucket(n))
	}
	return t
}

// bucketOf returns the bucket of a length in tokens.
func bucketOf(tokens int) int {
	if tokens >= 0 && tokens < tableSize {
		return int(bucketTable[tokens])
	}
	return computeBucket(tokens)
}

func computeBucket(tokens int) int {
	if tokens < 2 {
		return 0
	}
	return min(int(math.Log2(float64(tokens))*bucketsPerDoubling), buckets-1)
}

// Curve is an immutable survival curve. It is safe for concurrent use.
type Curve struct {
	// survival[b] is the share of outputs that reach the start of bucket b.
	survival [buckets + 1]float64
	// Observations is the decayed number of outputs of the curve's own key,
	// without those of coarser keys.
	Observations float64
}

// Survival returns the share of outputs that are longer than tokens.
func (c *Curve) Survival(tokens float64) float64 {
	if tokens <= 0 {
		return 1
	}
	b := bucketOf(int(tokens))
	lo, hi := c.survival[b], c.survival[b+1]
	width := edges[b+1] - edges[b]
	frac := (tokens - edges[b]) / width
	if frac > 1 {
		frac = 1
	}
	return lo + (hi-lo)*frac
}

// ConditionalSurvival returns the share of the outputs that have reached soFar tokens which
// continue for more than further tokens.
func (c *Curve) ConditionalSurvival(soFar, further int) float64 {
	at := c.Survival(float64(soFar))
	if at <= 0 {
		return 0
	}
	return c.Survival(float64(soFar+further)) / at
}

// Remaining returns the given quantile, from 0 to 1, of the number of further tokens
// of the outputs that have reached soFar tokens.
func (c *Curve) Remaining(soFar int, quantile float64) int {
	target := c.Survival(float64(soFar)) * (1 - quantile)
	for b := bucketOf(soFar); b < buckets; b++ {
		if c.survival[b+1] > target {
			continue
		}
		lo, hi := c.survival[b], c.survival[b+1]
		frac := 1.0
		if lo > hi {
			frac = (lo - target) / (lo - hi)
		}
		end := edges[b] + frac*(edges[b+1]-edges[b])
		return max(0, int(math.Ceil(end))-soFar)
	}
	return max(0, MaxTokens-soFar)
}

// MeanRemaining returns the expected number of further tokens, at most limit, of an output
// that has reached soFar tokens.
func (c *Curve) MeanRemaining(soFar, limit int) float64 {
	at := c.Survival(float64(soFar))
	if at <= 0 || limit <= 0 {
		return 0
	}
	end := float64(soFar + limit)
	sum, from := 0.0, float64(soFar)
	for b := bucketOf(soFar); b < buckets && from < end; b++ {
		to := math.Min(edges[b+1], end)
		if to <= from {
			continue
		}
		sum += (to - from) * (c.Survival(from) + c.Survival(to)) / 2
		from = to
	}
	return sum / at
}
