package outputlength

import (
	"cmp"
	"math"
	"slices"
)

const (
	// exportBucketBytes and exportKeyBytes are upper limits of the JSON size of one bucket and, without
	// its names, of one key, in bytes.
	exportBucketBytes = 24
	exportKeyBytes    = 80
	// exportScale is the number of steps of an exported weight: a hundredth of an output changes no
	// hazard visibly, and halves the size of the numbers.
	exportScale = 100
	// maxImportWeight limits the weight of one bucket. With a half-life of 400 observations a key's
	// weight converges to 577, and running outputs add to it.
	maxImportWeight = 1 << 16
)

// Counts holds the decayed counts of one key, for sending them to another process.
type Counts struct {
	Service   string `json:"service,omitempty"`
	Model     string `json:"model,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Total is the number of outputs that have ended or were censored.
	Total float64 `json:"total"`
	// Buckets holds the buckets in which outputs ended, or at whose end the number of those at risk
	// changes, in ascending order.
	Buckets []BucketCounts `json:"buckets"`
}

// BucketCounts is the number of a bucket, followed by the weights of the outputs that ended in it and
// of those that were at risk in it. The latter also holds for the omitted buckets before it.
type BucketCounts [3]float64

// Key returns the key of the counts.
func (c Counts) Key() Key { return Key{Service: c.Service, Model: c.Model, Workspace: c.Workspace} }

// specificity returns the number of coarser keys of k.
func (k Key) specificity() int {
	n := 0
	for coarser, ok := k.parent(); ok; coarser, ok = coarser.parent() {
		n++
	}
	return n
}

// Observations returns the decayed number of outputs of a key, without those of coarser keys. Unlike
// [Estimator.Curve], it doesn't create the key.
func (e *Estimator) Observations(k Key) float64 {
	t, ok := e.tables[k]
	if !ok {
		return 0
	}
	return t.total
}

// Known returns the most specific of k and its coarser keys that has observations; ok is false if
// none has.
func (e *Estimator) Known(k Key) (known Key, ok bool) {
	for ok = true; ok; k, ok = k.parent() {
		if e.Observations(k) > 0 {
			return k, true
		}
	}
	return Key{}, false
}

// Export returns the counts of at most maxKeys keys that take at most about maxBytes bytes as JSON.
// Coarser keys come first, as finer ones are smoothed towards them, and then those with the most
// observations.
func (e *Estimator) Export(maxKeys, maxBytes int) []Counts {
	type ranked struct {
		key         Key
		specificity int
		counts      *keyCounts
	}
	all := make([]ranked, 0, len(e.tables))
	for k, t := range e.tables {
		if t.total >= 1.0/exportScale {
			all = append(all, ranked{k, k.specificity(), t})
		}
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.specificity, y.specificity), cmp.Compare(y.counts.total, x.counts.total),
			cmp.Compare(x.key.Service, y.key.Service), cmp.Compare(x.key.Model, y.key.Model), cmp.Compare(x.key.Workspace, y.key.Workspace))
	})
	out := make([]Counts, 0, min(maxKeys, len(all)))
	size := 0
	for _, r := range all {
		if len(out) == maxKeys {
			break
		}
		c := Counts{Service: r.key.Service, Model: r.key.Model, Workspace: r.key.Workspace, Total: exportWeight(r.counts.total), Buckets: r.counts.export()}
		size += exportKeyBytes + len(c.Service) + len(c.Model) + len(c.Workspace) + exportBucketBytes*len(c.Buckets)
		if size > maxBytes {
			break
		}
		out = append(out, c)
	}
	return out
}

func exportWeight(x float64) float64 {
	return math.Round(x*exportScale) / exportScale
}

// export returns the non-empty buckets.
func (t *keyCounts) export() []BucketCounts {
	var out []BucketCounts
	next := 0.0
	for b := buckets - 1; b >= 0; b-- {
		ended, atRisk := exportWeight(float64(t.ended[b])), exportWeight(float64(t.atRisk[b]))
		if ended > 0 || atRisk != next {
			out = append(out, BucketCounts{float64(b), ended, atRisk})
		}
		next = atRisk
	}
	slices.Reverse(out)
	return out
}

// Import replaces the counts of all keys by exported ones. Keys with invalid counts are left out;
// rejected is their number. More keys than [Params.MaxKeys] are cut off.
func (e *Estimator) Import(all []Counts) (rejected int) {
	clear(e.tables)
	all = all[:min(len(all), e.params.MaxKeys)]
	e.uses = int64(len(all))
	for i, c := range all {
		t, ok := importCounts(c)
		if _, exists := e.tables[c.Key()]; !ok || exists {
			rejected++
			continue
		}
		// The coarser keys come first and are the last ones to evict.
		t.lastUse = e.uses - int64(i)
		e.tables[c.Key()] = t
	}
	return rejected
}

func importCounts(c Counts) (*keyCounts, bool) {
	if !validWeight(c.Total) || c.Total <= 0 {
		return nil, false
	}
	t := &keyCounts{total: c.Total}
	next := 0
	for _, in := range c.Buckets {
		b, ended, atRisk := int(in[0]), in[1], in[2]
		if in[0] != float64(b) || b < next || b >= buckets || !validWeight(ended) || !validWeight(atRisk) || ended > atRisk+endedSlack {
			return nil, false
		}
		for ; next <= b; next++ {
			t.atRisk[next] = float32(atRisk)
		}
		t.ended[b] = float32(ended)
	}
	return t, true
}

// endedSlack is by how much the outputs that ended in a bucket may exceed those at risk in it, as both
// are rounded.
const endedSlack = 2.0 / exportScale

// validWeight reports whether x can be a decayed number of outputs; NaN can't.
func validWeight(x float64) bool { return x >= 0 && x <= maxImportWeight }
