package forecast

import (
	"cmp"
	"math"
	"slices"
)

const (
	// intervalDecay is the decay of a report's weight with each newer one. Some
	// thirty reports count, a quarter of a minute at two a second: a server that
	// became slow is detected within that time, and one that recovered gets
	// work again. At 0.99 it would still be avoided after a hundred reports.
	intervalDecay = 0.97
	// Without reports a step is assumed to take priorBase milliseconds, plus
	// priorPerSequence for each sequence in the batch.
	priorBase        = 10.0
	priorPerSequence = 0.2
	// The precisions of the prior, relative to reports of unit variance. That of
	// the slope is higher: while all batches have the same size, the reports can't
	// separate slope and base, and attributing a slow server's time to the slope
	// would be wrong for every other size.
	basePrecision        = 0.01
	perSequencePrecision = 4.0
	// recentReports is the number of latest reports of which the second lowest is
	// used. A report gives the time of one step, and a step with prefill takes
	// nearly twice as long, whatever the batch size. At full load one step in five
	// to eight includes prefill; four of five reports do so in one of 150 cases.
	// The cost is that a server that became slow is detected three reports later.
	recentReports = 5
)

// Interval estimates a backend server's time between tokens as a linear function of
// the batch size, by regularized least squares with exponential decay. It is for
// engines that batch without limit, where too large a batch makes every stream slower
// than its target without any queue building up. Create it with [NewInterval].
//
// Recursive least squares isn't suitable: while the batch size is constant, its
// covariance grows without limit in the direction that no report covers, and after a
// slow period a recovered server is considered too slow for a second request.
//
// Using every report isn't suitable either: the time of steps with prefill is then
// attributed to the batch size, which limits batches to 12 with a quarter of the memory
// free where 16 would meet the target, without making those steps shorter. The median
// of five reports is better, but still affected when one step in five includes prefill.
type Interval struct {
	base, perSequence float64
	// Decayed sums over the reports: their number, sizes, squared sizes, times,
	// and products of size and time.
	n, x, xx, y, xy float64
	// recent is a ring buffer of the latest reports.
	recent [recentReports]intervalReport
	// Reports is the number of observed reports.
	Reports int
}

type intervalReport struct{ batch, millis float64 }

// NewInterval returns an estimate without reports, equal to the prior.
func NewInterval() *Interval {
	return &Interval{base: priorBase, perSequence: priorPerSequence}
}

// Observe adds a report: the batch size and the time between tokens in milliseconds.
// Reports of an idle server and invalid ones are ignored.
func (v *Interval) Observe(batch int, millis float64) {
	if batch <= 0 || millis <= 0 || math.IsNaN(millis) || math.IsInf(millis, 0) {
		return
	}
	v.recent[v.Reports%recentReports] = intervalReport{batch: float64(batch), millis: millis}
	v.Reports++
	r := v.decodeOnlyReport()
	v.n = intervalDecay*v.n + 1
	v.x = intervalDecay*v.x + r.batch
	v.xx = intervalDecay*v.xx + r.batch*r.batch
	v.y = intervalDecay*v.y + r.millis
	v.xy = intervalDecay*v.xy + r.batch*r.millis
	v.solve()
}

// decodeOnlyReport returns the recent report that most likely measured a step without
// prefill: the one with the second lowest residual. The lowest would follow the noise.
func (v *Interval) decodeOnlyReport() intervalReport {
	recent := v.recent
	n := min(v.Reports, recentReports)
	residual := func(r intervalReport) float64 { return r.millis - v.base - v.perSequence*r.batch }
	slices.SortFunc(recent[:n], func(a, b intervalReport) int { return cmp.Compare(residual(a), residual(b)) })
	return recent[min(1, n/4)]
}

// solve fits the line by weighted least squares, including the prior.
func (v *Interval) solve() {
	a, b, d := v.n+basePrecision, v.x, v.xx+perSequencePrecision
	e := v.y + basePrecision*priorBase
	f := v.xy + perSequencePrecision*priorPerSequence
	det := a*d - b*b
	v.base = (d*e - b*f) / det
	v.perSequence = (a*f - b*e) / det
}

// Expected returns the expected time between tokens at a batch size, in milliseconds. It
// never decreases with the size: a negative slope is noise, and would make the
// largest batch look best.
func (v *Interval) Expected(batch int) float64 {
	return math.Max(0, v.base+math.Max(0, v.perSequence)*float64(batch))
}

// MaxBatch returns the largest batch size, at most limit, whose time between tokens
// is within target milliseconds. It is at least one: otherwise the queue of a server
// that can't meet the target would never empty. Placement has to avoid such servers.
func (v *Interval) MaxBatch(target float64, limit int) int {
	lo, hi := 1, max(1, limit)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if v.Expected(mid) <= target {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}
