package outputlength

import "math"

// Params configures how fast an [Estimator] discounts old observations and how
// strongly it smooths towards coarser keys.
type Params struct {
	// HalfLife is the number of observations of a key after which an old one has
	// half its weight. It limits how long estimates are off after demand shifts.
	HalfLife float64
	// PriorWeight is the number of outputs still running at a length below which
	// the key's own hazard counts less than that of the coarser key.
	PriorWeight float64
	// PriorTail is the exponent of the Pareto tail assumed without observations; 1
	// means that an output of n tokens so far reaches 2n with probability one half.
	PriorTail float64
	// MaxKeys is the maximum number of keys; the least recently used one is
	// evicted first.
	MaxKeys int
}

// DefaultParams is for a few requests a second for each model and workspace.
//
// HalfLife: 400 outputs are some minutes of a busy workspace; 200 make quantiles
// above 0.95 noisy, 800 double the time for which a shift of demand causes
// preemptions. PriorWeight: with fewer than some ten outputs in a bucket
// the key's own hazard is mostly noise. MaxKeys: 290 workspaces with 6 models are
// 1,740 keys of about 1.7 KB, three megabytes.
var DefaultParams = Params{HalfLife: 400, PriorWeight: 12, PriorTail: 1, MaxKeys: 4096}

// refreshInterval is the number of observations after which a curve is recomputed. A
// single output changes a curve by less than its noise.
const refreshInterval = 8

// Key identifies outputs by service, model and workspace. Empty fields match any.
type Key struct {
	Service   string
	Model     string
	Workspace string
}

func (k Key) parent() (Key, bool) {
	switch {
	case k.Workspace != "":
		return Key{Service: k.Service, Model: k.Model}, true
	case k.Model != "":
		return Key{Service: k.Service}, true
	case k.Service != "":
		return Key{}, true
	}
	return Key{}, false
}

// keyCounts holds the decayed counts of one key.
type keyCounts struct {
	// ended[b] counts outputs that ended in bucket b, atRisk[b] those that
	// reached the start of bucket b without being censored before.
	ended, atRisk [buckets]float32
	total         float64
	sinceRefresh  int
	curve         *Curve
	lastUse       int64
}

// Estimator estimates the lengths of outputs. It is not safe for concurrent use.
type Estimator struct {
	params Params
	decay  float32
	prior  float64
	tables map[Key]*keyCounts
	uses   int64
}

// NewEstimator returns an estimator without observations.
func NewEstimator(p Params) *Estimator {
	return &Estimator{
		params: p,
		decay:  float32(math.Exp2(-1 / p.HalfLife)),
		prior:  1 - math.Exp2(-p.PriorTail/bucketsPerDoubling),
		tables: map[Key]*keyCounts{},
	}
}

// Observe adds an output of the given number of tokens. Censored means that it was
// cut off there: it was cancelled or lost, or reached the caller's limit.
//
// Without censored outputs the curve would be biased: long outputs are cut off more
// often, so that lengths would be underestimated and the engine's memory would fill.
func (e *Estimator) Observe(k Key, tokens int, censored bool) {
	b := bucketOf(tokens)
	for {
		e.counts(k).add(b, e.decay, censored)
		coarser, ok := k.parent()
		if !ok {
			return
		}
		k = coarser
	}
}

func (t *keyCounts) add(b int, decay float32, censored bool) {
	for i := range t.ended {
		t.ended[i] *= decay
		t.atRisk[i] *= decay
	}
	for i := 0; i <= b; i++ {
		t.atRisk[i]++
	}
	if censored {
		// The output was observed for a part of the bucket only. Counting it as
		// half at risk is the usual correction in life tables.
		t.atRisk[b] -= 0.5
	} else {
		t.ended[b]++
	}
	t.total = t.total*float64(decay) + 1
	t.sinceRefresh++
}

// Curve returns the current curve of k.
func (e *Estimator) Curve(k Key) *Curve {
	t := e.counts(k)
	if t.curve == nil || t.sinceRefresh >= refreshInterval {
		t.curve = e.compute(k, t)
		t.sinceRefresh = 0
	}
	return t.curve
}

// compute combines the hazards of a key and its coarser keys: in each bucket the
// coarser key's hazard counts like PriorWeight additional outputs.
func (e *Estimator) compute(k Key, t *keyCounts) *Curve {
	var hazard [buckets]float64
	e.hazards(k, &hazard)
	c := &Curve{Observations: t.total}
	c.survival[0] = 1
	for b, h := range hazard {
		c.survival[b+1] = c.survival[b] * (1 - h)
	}
	c.survival[buckets] = 0
	return c
}

func (e *Estimator) hazards(k Key, hazard *[buckets]float64) {
	coarser, ok := k.parent()
	if ok {
		e.hazards(coarser, hazard)
	} else {
		for b := range hazard {
			hazard[b] = e.prior
		}
	}
	t, ok := e.tables[k]
	if !ok {
		return
	}
	for b := range hazard {
		w := e.params.PriorWeight
		hazard[b] = (float64(t.ended[b]) + w*hazard[b]) / (float64(t.atRisk[b]) + w)
	}
}

func (e *Estimator) counts(k Key) *keyCounts {
	e.uses++
	t, ok := e.tables[k]
	if !ok {
		if len(e.tables) >= e.params.MaxKeys {
			e.evictOldest()
		}
		t = &keyCounts{}
		e.tables[k] = t
	}
	t.lastUse = e.uses
	return t
}

// evictOldest deletes the least recently used key, so that workspaces that come and go
// don't grow the map without limit.
func (e *Estimator) evictOldest() {
	var oldest Key
	use := int64(math.MaxInt64)
	for k, t := range e.tables {
		if t.lastUse < use {
			oldest, use = k, t.lastUse
		}
	}
	delete(e.tables, oldest)
}
