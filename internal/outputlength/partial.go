package outputlength

// ObserveRunning adds the part of an output that is still being generated from one length to another,
// in tokens. Its rest is added by further calls and, at its end, by [Estimator.ObserveFrom].
//
// Outputs that are only added when they end bias the curve while the number of running outputs grows,
// for instance after a start: the first ones that end are short ones.
func (e *Estimator) ObserveRunning(k Key, from, tokens int) {
	first, end := bucketOf(from), bucketOf(tokens)
	e.update(k, func(t *keyCounts) {
		for b := first; b < end; b++ {
			t.atRisk[b]++
		}
		t.sinceRefresh++
	})
}

// ObserveFrom is [Estimator.Observe] for an output whose first tokens, up to from, were added by
// [Estimator.ObserveRunning].
func (e *Estimator) ObserveFrom(k Key, from, tokens int, censored bool) {
	if from <= 0 {
		e.Observe(k, tokens, censored)
		return
	}
	first, last := bucketOf(from), bucketOf(tokens)
	e.update(k, func(t *keyCounts) {
		t.add(last, e.decay, censored)
		for b := range min(first, last) {
			t.atRisk[b]--
		}
	})
}

// update applies f to the counts of a key and its coarser keys.
func (e *Estimator) update(k Key, f func(t *keyCounts)) {
	for ok := true; ok; k, ok = k.parent() {
		f(e.counts(k))
	}
}
