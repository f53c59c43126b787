package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// Report is the result of one run. Durations are in milliseconds of wall-clock time unless
// named otherwise.
type Report struct {
	Label          string  `json:"label,omitempty"`
	Mix            string  `json:"mix"`
	Seed           uint64  `json:"seed"`
	Rate           float64 `json:"rate"`
	ElapsedSeconds float64 `json:"seconds"`

	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"between"`
	// Stall is the stall time per stream.
	Stall          Quantiles `json:"stall"`
	StallMillis    float64   `json:"stallMillisTotal"`
	StalledStreams int64     `json:"stalledStreams"`

	Offered            int64            `json:"offered"`
	Completed          int64            `json:"completed"`
	Refused            int64            `json:"refused"`
	Failed             int64            `json:"failed"`
	DroppedByGenerator int64            `json:"droppedByGenerator"`
	Codes              map[string]int64 `json:"codes"`
	Resumes            int64            `json:"resumes"`
	// Refusals counts all refusals, including those of requests that were accepted later.
	Refusals int64 `json:"refusals"`

	Tokens int64 `json:"tokens"`
	// Goodput is the rate of tokens of completed generations, per second.
	Goodput float64 `json:"goodputTokensPerSecond"`
	// Jain is Jain's fairness index over the workspaces' fractions of completed requests: 1
	// when all fractions are equal.
	Jain   float64 `json:"jain"`
	Faults Faults  `json:"faults"`

	Calls          int64     `json:"calls"`
	CallsCompleted int64     `json:"callsCompleted"`
	CallsFailed    int64     `json:"callsFailed"`
	CallTime       Quantiles `json:"callTime"`

	// Engines and Effects come from the ledgers of the stand-ins; nil when none were read.
	Engines *EngineReport `json:"engines,omitempty"`
	Effects *EffectReport `json:"effects,omitempty"`
	// Starts counts the generations accepted by the engines of each availability zone, per
	// second.
	Starts map[string][]int64 `json:"startsByZone,omitempty"`
	// Marks are the times of events that were caused on purpose, in seconds since the start.
	Marks map[string]float64 `json:"marks,omitempty"`

	Processes  []ProcessReport              `json:"processes,omitempty"`
	Kinds      map[workload.Kind]KindReport `json:"kinds"`
	Workspaces map[string]WorkspaceReport   `json:"workspaces"`
	PerSecond  []Second                     `json:"series"`
}

// Quantiles summarizes a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// KindReport counts the requests of one kind.
type KindReport struct {
	Offered   int64 `json:"offered"`
	Completed int64 `json:"completed"`
	Tokens    int64 `json:"tokens"`
}

// WorkspaceReport counts the requests of one workspace.
type WorkspaceReport struct {
	Offered   int64 `json:"offered"`
	Completed int64 `json:"completed"`
	Tokens    int64 `json:"tokens"`
}

// EngineReport sums up the engines' ledgers.
type EngineReport struct {
	LedgersRead int   `json:"read"`
	Generations int64 `json:"generations"`
	Preemptions int64 `json:"preemptions"`
	StallMillis int64 `json:"stallMillis"`
	// WastedTokens counts the tokens of generations that did not finish.
	WastedTokens int64 `json:"wastedTokens"`
	Lost         int64 `json:"lost"`
	Cancelled    int64 `json:"cancelled"`
}

// EffectReport compares the services' ledgers with the outcomes reported to callers.
type EffectReport struct {
	Effects int64 `json:"effects"`
	// Duplicated counts keys with more than one effect, FalseNotRun keys with an effect that
	// were reported as not run, Missing keys without an effect that were reported as done.
	Duplicated  int64 `json:"doubled"`
	FalseNotRun int64 `json:"falseNotRun"`
	Missing     int64 `json:"missing"`
}

// ProcessReport is the CPU time and memory of one process.
type ProcessReport struct {
	PID           int     `json:"pid"`
	CPUSeconds    float64 `json:"cpuSeconds"`
	StartRSSBytes int64   `json:"startRssBytes"`
	PeakRSSBytes  int64   `json:"peakRssBytes"`
	// OpenAtPeak is the number of open requests, over all processes, when the memory was at its
	// peak.
	OpenAtPeak int64 `json:"openAtPeak"`
}

// Second summarizes one second of a run.
type Second struct {
	Second    int   `json:"second"`
	Tokens    int64 `json:"tokens"`
	Completed int64 `json:"completed"`
	Refused   int64 `json:"refused"`
	Failed    int64 `json:"failed"`
	// DurationMillis is the total duration of the generations completed in this second.
	DurationMillis float64 `json:"durationMillis"`
	StallMillis    float64 `json:"stallMillis"`
	MaxGapMillis   float64 `json:"maxGapMillis"`
	// P99GapMillis is the 99th percentile of the times between tokens that ended in this
	// second.
	P99GapMillis float64 `json:"p99GapMillis"`
	// Preemptions come from the engines' load reports, which lag slightly.
	Preemptions int64 `json:"preemptions"`
}

// Report returns the results of the run, which ended at now.
func (r *Recorder) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startSecond(len(r.perSecond))
	c := r.counts
	elapsed := now.Sub(r.start).Seconds()
	report := Report{
		ElapsedSeconds: elapsed, FirstToken: newQuantiles(r.firstToken), BetweenTokens: newQuantiles(r.betweenTokens),
		Stall: newQuantiles(r.stall), StallMillis: toMillis(c.stall), StalledStreams: c.stalledStreams,
		Offered: c.offered, Completed: c.completed, Refused: c.refused, Failed: c.failed, DroppedByGenerator: c.dropped,
		Codes: maps.Clone(r.codes), Resumes: c.resumes, Refusals: c.refusals,
		Tokens: c.tokens, Goodput: float64(c.completedTokens) / elapsed, Faults: c.faults,
		Calls: c.plainCalls, CallsCompleted: c.callsCompleted, CallsFailed: c.callsFailed, CallTime: newQuantiles(r.calls),
		Kinds: map[workload.Kind]KindReport{}, Workspaces: map[string]WorkspaceReport{},
		PerSecond: slices.Clone(r.perSecond),
	}
	for name, k := range r.kinds {
		report.Kinds[name] = *k
	}
	var shares []float64
	for name, w := range r.workspaces {
		report.Workspaces[name] = *w
		shares = append(shares, float64(w.Completed)/float64(w.Offered))
	}
	report.Jain = JainIndex(shares)
	return report
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	q := Quantiles{Count: h.TotalCount()}
	if q.Count == 0 {
		return q
	}
	q.Mean, q.Max = h.Mean()/1000, float64(h.Max())/1000
	q.P50, q.P95, q.P99 = at(50), at(95), at(99)
	return q
}

// JainIndex returns Jain's fairness index of x: 1 when all values are equal, 1/n when only one
// is above 0.
func JainIndex(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(x)) * squares)
}

// WriteTable writes a table with one row for each report.
func WriteTable(w io.Writer, reports ...Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "run\tstall s\tin engines\tstalled\tpreemptions\tbetween p50\tp95\tp99 ms\tfirst p50\tp95\tp99 ms\tcompleted\trefused\tfailed\tgoodput tok/s\tjain\tfaults")
	for _, r := range reports {
		preemptions, inEngines := "-", "-"
		if r.Engines != nil {
			preemptions = fmt.Sprint(r.Engines.Preemptions)
			inEngines = fmt.Sprintf("%.1f", float64(r.Engines.StallMillis)/1000)
		}
		fmt.Fprintf(tw, "%s\t%.1f\t%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%d/%d\t%d\t%d\t%.0f\t%.3f\t%d\n",
			r.displayName(), r.StallMillis/1000, inEngines, r.StalledStreams, preemptions,
			r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99,
			r.Completed, r.Offered, r.Refused, r.Failed, r.Goodput, r.Jain, r.Faults.Total())
	}
	return tw.Flush()
}

// WriteDetails writes the results that the table doesn't contain.
func (r Report) WriteDetails(w io.Writer) {
	fmt.Fprintf(w, "offered over %.1f s, seed %d, rate %g/s; dropped by generator %d; resumes %d; refusals %d\n",
		r.ElapsedSeconds, r.Seed, r.Rate, r.DroppedByGenerator, r.Resumes, r.Refusals)
	fmt.Fprintf(w, "tokens doubled %d, lost %d, out of order %d, mixed %d\n",
		r.Faults.Duplicated, r.Faults.Lost, r.Faults.OutOfOrder, r.Faults.Foreign)
	if r.Calls > 0 {
		fmt.Fprintf(w, "calls %d, completed %d, p50 %.1f ms, p99 %.1f ms\n", r.Calls, r.CallsCompleted, r.CallTime.P50, r.CallTime.P99)
	}
	if r.Effects != nil {
		fmt.Fprintf(w, "effects %d, doubled %d, false notRun %d, missing %d\n",
			r.Effects.Effects, r.Effects.Duplicated, r.Effects.FalseNotRun, r.Effects.Missing)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(w, "process %d: %.2f s of processor time, memory %d to %d KiB with %d requests open at its peak\n",
			p.PID, p.CPUSeconds, p.StartRSSBytes>>10, p.PeakRSSBytes>>10, p.OpenAtPeak)
	}
	if len(r.Codes) > 0 {
		var parts []string
		for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
			parts = append(parts, fmt.Sprintf("%s %d", code, r.Codes[code]))
		}
		fmt.Fprintf(w, "codes: %s\n", strings.Join(parts, ", "))
	}
}

func (r Report) displayName() string {
	if r.Label != "" {
		return r.Label
	}
	return r.Mix
}
