package lengthpeer

import (
	"math"
	"strconv"
	"time"

	"pollenspindle.example/pollenspindle/internal/outputlength"
)

const (
	// maxObservations limits the observations of one report and those that wait to be reported. A
	// generation makes three or four, so they are what 30 new generations a second make between two
	// reports.
	maxObservations = 256
	// maxKeys and maxCountsBytes limit the counts that are sent; maxHeldKeys those that are held, at
	// about 1.7 KB each.
	maxKeys        = 64
	maxCountsBytes = 32 << 10
	maxHeldKeys    = 256
	// maxNameBytes limits each part of a received key.
	maxNameBytes = 256
	// minKnown is the number of observations from which on an estimate is used. With 20 outputs, the
	// mean of a log-normal length with a sigma of 1.1 has a standard error of about a third, which is
	// less than the error of a hint that is off by a factor of three.
	minKnown = 20
	// minNews is the number of new observations from which on counts are sent. It grows with the
	// observations counted, up to maxNews, as these change an estimate less.
	minNews      = 8
	maxNews      = 64
	newsFraction = 8
	// sharedFraction is the share of the news by which counts that are sent may be out of date, so that
	// one export serves several instances: it takes 0.2 ms with 256 keys.
	sharedFraction = 4
	// settledInterval is how often counts are wanted after settledTime with an aggregator: by then even
	// long outputs have ended, and what callers ask for shifts over minutes.
	settledTime     = 30 * time.Second
	settledInterval = 8 * time.Second
	// maxVersion limits versions to what JSON numbers hold exactly.
	maxVersion = 1 << 53
	// minObservedTokens and maxObservedTokens are the smallest and the largest part of a running output
	// that is observed.
	minObservedTokens = 64
	maxObservedTokens = 256
	// wantInterval is the time between two requests for the counts of a member, which sends them with
	// its next report.
	wantInterval = 3 * time.Second
	// receiptTTL is how long the last report of an instance is remembered, to count no observation
	// twice. A report is repeated after reportInterval.
	receiptTTL = time.Minute
	// maxReceipts is more than the instances of a zone.
	maxReceipts = 4096
)

// learnParams discounts observations like [outputlength.DefaultParams] and bounds the keys by the
// memory of an instance.
var learnParams = outputlength.Params{
	HalfLife: outputlength.DefaultParams.HalfLife, PriorWeight: outputlength.DefaultParams.PriorWeight,
	PriorTail: outputlength.DefaultParams.PriorTail, MaxKeys: maxHeldKeys,
}

// Report holds the observations of an instance that the aggregator hasn't confirmed.
type Report struct {
	Instance string `json:"by"`
	// Started is the start of the instance in ms since 1970. First is the number of the first
	// observation since then, from 1; 0 if the observations aren't numbered.
	Started int64 `json:"started,omitempty"`
	First   int64 `json:"first,omitempty"`
	// Version is the version of the counts that the instance holds.
	Version int64 `json:"version,omitempty"`
	// Keys is the table of the keys in Observations.
	Keys []ReportKey `json:"keys,omitempty"`
	// Observations are the index of the key, the number of tokens, how the output ended, and the number
	// of tokens up to which it was observed before.
	Observations [][4]int `json:"observations,omitempty"`
	// Counts are the counts that the instance holds, including Observations, if the aggregator has
	// asked for them.
	Counts *Counts `json:"counts,omitempty"`
	// SkipCounts says that the response needs no counts, because those that the instance holds are
	// recent enough.
	SkipCounts bool `json:"skipCounts,omitempty"`
}

// ReportKey is an [outputlength.Key] in a report.
type ReportKey struct {
	Service   string `json:"service"`
	Model     string `json:"model,omitempty"`
	Workspace string `json:"workspace,omitempty"`
}

// Counts are the counts of an aggregator.
type Counts struct {
	// Version is the number of observations that were counted.
	Version int64                 `json:"version"`
	Keys    []outputlength.Counts `json:"keys"`
}

// ReportResponse answers a [Report].
type ReportResponse struct {
	// Version is the version of the aggregator's counts.
	Version int64 `json:"version"`
	// Counts are set if they are newer than those of the instance.
	Counts *Counts `json:"counts,omitempty"`
	// WantCounts asks the instance for its counts, because they are newer than the aggregator's.
	WantCounts bool `json:"wantCounts,omitempty"`
}

// How the output of an observation ended. The values are sent to other instances.
const (
	ended    = 0
	censored = 1
	running  = 2
)

// observation is the part of an output from one number of tokens to another.
type observation struct {
	key          outputlength.Key
	from, tokens int
	end          int
}

func (o observation) valid() bool {
	return o.from >= 0 && o.tokens >= 0 && o.from <= outputlength.MaxTokens && o.tokens <= outputlength.MaxTokens &&
		o.end >= ended && o.end <= running
}

func (o observation) addTo(e *outputlength.Estimator) {
	if o.end == running {
		e.ObserveRunning(o.key, o.from, o.tokens)
		return
	}
	e.ObserveFrom(o.key, o.from, o.tokens, o.end == censored)
}

// receipt says up to which observation an instance's reports have been counted.
type receipt struct {
	started, last int64
	at            time.Time
}

// learner holds the counts of one instance and decides what is reported, counted and adopted. It does
// no I/O and isn't safe for concurrent use.
type learner struct {
	self      string
	started   int64
	estimator *outputlength.Estimator
	version   int64
	// joinedAt is when counts were adopted first, adoptedAt when they were last.
	joinedAt, adoptedAt time.Time
	// pending are the observations that no aggregator has confirmed; first is the number of the first.
	pending []observation
	first   int64
	// asked is set when an estimate was asked for since the last report.
	asked bool
	// sendCounts is set when the aggregator wants this instance's counts.
	sendCounts bool
	// receipts and wantedAt belong to the aggregator.
	receipts map[string]receipt
	wantedAt time.Time
	// exported are the counts that were sent last; they aren't modified.
	exported *Counts

	observed, rejected, dropped int64
}

func newLearner(self string, started int64) *learner {
	return &learner{
		self: self, started: started, first: 1, estimator: outputlength.NewEstimator(learnParams), receipts: map[string]receipt{},
	}
}

// Key returns the key of an output: its service and route, the order of magnitude of the caller's hint,
// which is a number of tokens and 0 or less for none, and the workspace.
func Key(service, route, workspace string, hint int) outputlength.Key {
	k := outputlength.Key{Service: service + "/" + route, Workspace: workspace}
	if hint > 0 {
		k.Model = "hint" + strconv.Itoa(int(math.Round(math.Log2(float64(min(hint, outputlength.MaxTokens))))))
	}
	return k
}

// NextObservation returns the number of tokens at which a running output is observed again that was
// observed at the given one. With these intervals the first outputs that end bias the estimates for a
// few seconds only, and an output makes four observations on average.
func NextObservation(observed int) int {
	return observed + min(max(observed, minObservedTokens), maxObservedTokens)
}

// observe counts an output of this instance, or a part of it.
func (l *learner) observe(o observation) {
	if !o.valid() {
		l.rejected++
		return
	}
	if o.end != running {
		l.observed++
	}
	o.addTo(l.estimator)
	if len(l.pending) == maxObservations {
		l.pending = append(l.pending[:0], l.pending[1:]...)
		l.first++
		l.dropped++
	}
	l.pending = append(l.pending, o)
}

// curve returns the curve of a key, or of the next coarser one with observations.
func (l *learner) curve(key outputlength.Key) *outputlength.Curve {
	l.asked = true
	key, _ = l.estimator.Known(key)
	return l.estimator.Curve(key)
}

// isKnown reports whether there are enough observations of a key or its route.
func (l *learner) isKnown(key outputlength.Key) bool {
	return max(l.estimator.Observations(key), l.estimator.Observations(outputlength.Key{Service: key.Service})) >= minKnown
}

// reportDue reports whether there is something to report, or estimates are in use that the aggregator
// may know better, or the aggregator waits for this instance's counts.
func (l *learner) reportDue() bool { return len(l.pending) > 0 || l.asked || l.sendCounts }

// report returns the next report.
func (l *learner) report(now time.Time) Report {
	r := Report{
		Instance: l.self, Started: l.started, First: l.first, Version: l.version,
		SkipCounts: !l.joinedAt.IsZero() && now.Sub(l.joinedAt) >= settledTime && now.Sub(l.adoptedAt) < settledInterval,
	}
	indices := map[outputlength.Key]int{}
	for _, o := range l.pending {
		i, ok := indices[o.key]
		if !ok {
			i = len(r.Keys)
			indices[o.key] = i
			r.Keys = append(r.Keys, ReportKey(o.key))
		}
		r.Observations = append(r.Observations, [4]int{i, o.tokens, o.end, o.from})
	}
	if l.sendCounts && l.version > 0 {
		r.Counts = l.export()
	}
	l.asked, l.sendCounts = false, false
	return r
}

// confirm drops the observations of a report that was counted.
func (l *learner) confirm(r Report) {
	n := r.First + int64(len(r.Observations)) - l.first
	if n <= 0 {
		return
	}
	n = min(n, int64(len(l.pending)))
	l.pending = append(l.pending[:0], l.pending[n:]...)
	l.first += n
}

// apply applies the response to a report.
func (l *learner) apply(now time.Time, r Report, v ReportResponse) {
	l.confirm(r)
	l.sendCounts = v.WantCounts
	if v.Counts != nil && v.Counts.Version > l.version {
		l.adopt(now, *v.Counts)
	}
}

// adopt replaces the counts by newer ones, which lack only the pending observations.
func (l *learner) adopt(now time.Time, c Counts) bool {
	if c.Version <= 0 || c.Version > maxVersion || len(c.Keys) == 0 || len(c.Keys) > maxKeys {
		l.rejected++
		return false
	}
	for _, k := range c.Keys {
		if !validNames(ReportKey(k.Key())) {
			l.rejected++
			return false
		}
	}
	estimator := outputlength.NewEstimator(learnParams)
	rejected := estimator.Import(c.Keys)
	l.rejected += int64(rejected)
	if rejected == len(c.Keys) {
		return false
	}
	for _, o := range l.pending {
		o.addTo(estimator)
	}
	l.estimator, l.version, l.adoptedAt, l.exported = estimator, c.Version, now, nil
	if l.joinedAt.IsZero() {
		l.joinedAt = now
	}
	return true
}

func validNames(k ReportKey) bool {
	return len(k.Service) <= maxNameBytes && len(k.Model) <= maxNameBytes && len(k.Workspace) <= maxNameBytes
}

// aggregate counts the report of an instance and returns the response.
func (l *learner) aggregate(now time.Time, r Report) ReportResponse {
	if r.Version < 0 || r.Version > maxVersion {
		l.rejected++
		r.Version = 0
	}
	adopted := r.Counts != nil && r.Counts.Version >= l.version+news(l.version) && l.adopt(now, *r.Counts)
	l.count(now, r, adopted)
	v := ReportResponse{Version: l.version}
	switch {
	case l.version >= r.Version+news(r.Version):
		if !r.SkipCounts {
			v.Counts = l.recentExport()
		}
	case r.Version >= l.version+news(l.version) && now.Sub(l.wantedAt) >= wantInterval:
		v.WantCounts, l.wantedAt = true, now
	}
	return v
}

// news returns how many observations newer than version n counts have to be to be sent.
func news(n int64) int64 { return max(minNews, min(maxNews, n/newsFraction)) }

// count counts the observations of a report that weren't counted before. If they are included in
// adopted counts, only their number is added.
func (l *learner) count(now time.Time, r Report, included bool) {
	observations := r.Observations
	if len(observations) > maxObservations {
		l.rejected += int64(len(observations) - maxObservations)
		observations = observations[:maxObservations]
	}
	if r.First > 0 && r.First <= maxVersion && r.Instance != "" {
		last := r.First + int64(len(observations)) - 1
		known, ok := l.receipts[r.Instance]
		if ok && known.started == r.Started && r.First <= known.last {
			observations = observations[min(int64(len(observations)), known.last-r.First+1):]
			last = max(last, known.last)
		}
		l.removeReceipts(now)
		l.receipts[r.Instance] = receipt{r.Started, last, now}
	}
	for _, o := range observations {
		decoded := observation{tokens: o[1], end: o[2], from: o[3]}
		if o[0] < 0 || o[0] >= len(r.Keys) || r.Keys[o[0]].Service == "" || !validNames(r.Keys[o[0]]) || !decoded.valid() {
			l.rejected++
			continue
		}
		decoded.key = outputlength.Key(r.Keys[o[0]])
		l.version++
		if !included {
			decoded.addTo(l.estimator)
		}
	}
}

func (l *learner) removeReceipts(now time.Time) {
	if len(l.receipts) >= maxReceipts {
		clear(l.receipts)
	}
	for id, known := range l.receipts {
		if now.Sub(known.at) > receiptTTL {
			delete(l.receipts, id)
		}
	}
}

// countOwn counts the pending observations of an aggregator, which its estimator includes already.
func (l *learner) countOwn() {
	l.version += int64(len(l.pending))
	l.first += int64(len(l.pending))
	l.pending, l.asked = l.pending[:0], false
}

func (l *learner) export() *Counts {
	return &Counts{Version: l.version, Keys: l.estimator.Export(maxKeys, maxCountsBytes)}
}

// recentExport returns counts that lack a few of the last observations at most.
func (l *learner) recentExport() *Counts {
	if l.exported == nil || l.version >= l.exported.Version+news(l.version)/sharedFraction {
		l.exported = l.export()
	}
	return l.exported
}
