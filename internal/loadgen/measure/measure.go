// Package measure records what callers see during one run: the time to the first token, the
// time between tokens, stalls, outcomes, and tokens that were lost, duplicated or out of order.
//
// # Usage
//
//	r := measure.NewRecorder(measure.Options{StallThreshold: 200 * time.Millisecond}, start)
//	r.RecordStream(now, stream)
//	report := r.Report(now)
package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

const (
	// histogramMax is the largest recorded value, in microseconds; longer times are recorded as
	// this. histogramDigits is the number of significant digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Options configure a Recorder.
type Options struct {
	// StallThreshold is the minimum time between two tokens that counts as a stall.
	StallThreshold time.Duration
}

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	Completed Outcome = "completed"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
)

// Stream is the result of one generation as its caller saw it.
type Stream struct {
	Kind      workload.Kind
	Workspace string
	Outcome   Outcome
	// Code is the error code of a request that was not completed.
	Code string
	// FirstToken is the time from arrival to the first token; zero if there was none.
	FirstToken time.Duration
	// Duration is the time from arrival to the end.
	Duration time.Duration
	Tokens   int64
	// Stall is the sum of the times between tokens that reached the stall threshold.
	Stall time.Duration
	// Resumes counts the attempts to resume the stream on another connection.
	Resumes int
	// Refusals counts the failed attempts before the request was accepted or given up.
	Refusals int
	Faults   Faults
}

// Faults counts tokens that did not arrive exactly once, in order and from a single generation.
type Faults struct {
	Duplicated int64 `json:"doubled"`
	Lost       int64 `json:"lost"`
	OutOfOrder int64 `json:"outOfOrder"`
	// Foreign counts tokens of another generation and unreadable ones.
	Foreign int64 `json:"mixed"`
}

func (f *Faults) add(g Faults) {
	f.Duplicated += g.Duplicated
	f.Lost += g.Lost
	f.OutOfOrder += g.OutOfOrder
	f.Foreign += g.Foreign
}

// Total returns the number of all faults.
func (f *Faults) Total() int64 { return f.Duplicated + f.Lost + f.OutOfOrder + f.Foreign }

// Call is the result of one call to a plain service as its caller saw it.
type Call struct {
	Kind      workload.Kind
	Workspace string
	Outcome   Outcome
	Code      string
	Duration  time.Duration
}

// Recorder collects measurements. It is safe for concurrent use.
type Recorder struct {
	opts  Options
	start time.Time

	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	stall         *hdrhistogram.Histogram
	calls         *hdrhistogram.Histogram
	counts        counts
	codes         map[string]int64
	kinds         map[workload.Kind]*KindReport
	workspaces    map[string]*WorkspaceReport
	perSecond     []Second
	// secondGaps holds the times between tokens during the second gapsSecond.
	secondGaps *hdrhistogram.Histogram
	gapsSecond int
}

type counts struct {
	offered, completed, refused, failed, dropped int64
	plainCalls, callsCompleted, callsFailed      int64
	tokens, completedTokens                      int64
	stalledStreams, resumes, refusals            int64
	stall                                        time.Duration
	faults                                       Faults
}

// NewRecorder returns a Recorder for a run that begins at start.
func NewRecorder(opts Options, start time.Time) *Recorder {
	return &Recorder{
		opts: opts, start: start,
		firstToken: newHistogram(), betweenTokens: newHistogram(), stall: newHistogram(), calls: newHistogram(), secondGaps: newHistogram(),
		codes:      map[string]int64{},
		kinds:      map[workload.Kind]*KindReport{},
		workspaces: map[string]*WorkspaceReport{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so recording can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// RecordGap records the time d between two tokens, the second of which arrived at now, and
// reports whether it is a stall.
func (r *Recorder) RecordGap(now time.Time, d time.Duration) bool {
	stalled := d >= r.opts.StallThreshold
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.betweenTokens, d)
	second := r.secondAt(now)
	r.startSecond(second.Second)
	record(r.secondGaps, d)
	second.Tokens++
	second.MaxGapMillis = max(second.MaxGapMillis, toMillis(d))
	if stalled {
		second.StallMillis += toMillis(d)
	}
	return stalled
}

// startSecond stores the 99th percentile of the previous second when another one begins and
// resets the histogram. One histogram per second of a run would take megabytes.
func (r *Recorder) startSecond(second int) {
	if second == r.gapsSecond {
		return
	}
	if r.secondGaps.TotalCount() > 0 {
		r.perSecond[r.gapsSecond].P99GapMillis = float64(r.secondGaps.ValueAtQuantile(99)) / 1000
	}
	r.secondGaps.Reset()
	r.gapsSecond = second
}

// RecordFirstToken records the time from arrival to the first token, which arrived at now.
func (r *Recorder) RecordFirstToken(now time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.firstToken, d)
	r.secondAt(now).Tokens++
}

// RecordStream records a generation that ended at now.
func (r *Recorder) RecordStream(now time.Time, s Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts
	c.offered++
	c.tokens += s.Tokens
	c.resumes += int64(s.Resumes)
	c.refusals += int64(s.Refusals)
	c.faults.add(s.Faults)
	c.stall += s.Stall
	record(r.stall, s.Stall)
	if s.Stall > 0 {
		c.stalledStreams++
	}
	second := r.secondAt(now)
	switch s.Outcome {
	case Completed:
		c.completed++
		c.completedTokens += s.Tokens
		second.Completed++
		second.DurationMillis += toMillis(s.Duration)
	case Refused:
		c.refused++
		second.Refused++
	case Failed:
		c.failed++
		second.Failed++
	}
	r.countRequest(s.Kind, s.Workspace, s.Outcome, s.Code, s.Tokens)
}

// RecordCall records a call to a plain service that has ended.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.plainCalls++
	if c.Outcome == Completed {
		r.counts.callsCompleted++
		record(r.calls, c.Duration)
	} else {
		r.counts.callsFailed++
	}
	r.countRequest(c.Kind, c.Workspace, c.Outcome, c.Code, 0)
}

// RecordDropped records a request that the generator did not send because too many were open.
func (r *Recorder) RecordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.dropped++
}

func (r *Recorder) countRequest(kind workload.Kind, workspace string, outcome Outcome, code string, tokens int64) {
	if code != "" {
		r.codes[code]++
	}
	k := r.kinds[kind]
	if k == nil {
		k = &KindReport{}
		r.kinds[kind] = k
	}
	w := r.workspaces[workspace]
	if w == nil {
		w = &WorkspaceReport{}
		r.workspaces[workspace] = w
	}
	k.Offered++
	w.Offered++
	if outcome == Completed {
		k.Completed++
		w.Completed++
		w.Tokens += tokens
		k.Tokens += tokens
	}
}

// secondAt returns the entry of the second that contains now.
func (r *Recorder) secondAt(now time.Time) *Second {
	i := max(int(now.Sub(r.start)/time.Second), 0)
	for len(r.perSecond) <= i {
		r.perSecond = append(r.perSecond, Second{Second: len(r.perSecond)})
	}
	return &r.perSecond[i]
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
