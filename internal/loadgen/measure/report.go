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

// Report is what one run measured. Times are in milliseconds of the clock.
type Report struct {
	Label   string  `json:"label,omitempty"`
	Mix     string  `json:"mix"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`

	FirstToken Quantiles `json:"firstToken"`
	// Between is the time between tokens.
	Between Quantiles `json:"between"`
	// Stall is the stall time per stream.
	Stall          Quantiles `json:"stall"`
	StallMillis    float64   `json:"stallMillisTotal"`
	StalledStreams int64     `json:"stalledStreams"`

	Offered   int64            `json:"offered"`
	Completed int64            `json:"completed"`
	Refused   int64            `json:"refused"`
	Failed    int64            `json:"failed"`
	Dropped   int64            `json:"droppedByGenerator"`
	Codes     map[string]int64 `json:"codes"`
	Resumes   int64            `json:"resumes"`
	// Refusals counts all refusals, also of requests taken later.
	Refusals int64 `json:"refusals"`

	Tokens int64 `json:"tokens"`
	// Goodput is the tokens of completed generations per second.
	Goodput float64 `json:"goodputTokensPerSecond"`
	// Jain is Jain's index over the workspaces' shares of requests completed:
	// 1 when all got the same share of what they asked for.
	Jain   float64 `json:"jain"`
	Faults Faults  `json:"faults"`

	Calls          int64     `json:"calls"`
	CallsCompleted int64     `json:"callsCompleted"`
	CallsFailed    int64     `json:"callsFailed"`
	CallTime       Quantiles `json:"callTime"`

	// Engines and Effects come from the ledgers of the stand-ins; nil when
	// none were read.
	Engines *EngineReport `json:"engines,omitempty"`
	Effects *EffectReport `json:"effects,omitempty"`
	// Starts counts the generations that the engines of each availability
	// zone took, second by second.
	Starts map[string][]int64 `json:"startsByZone,omitempty"`
	// Marks name seconds of the run in which something was done to the system.
	Marks map[string]float64 `json:"marks,omitempty"`

	Processes  []ProcessReport              `json:"processes,omitempty"`
	Kinds      map[workload.Kind]KindReport `json:"kinds"`
	Workspaces map[string]WorkspaceReport   `json:"workspaces"`
	Series     []Second                     `json:"series"`
}

// Quantiles are those of one measure, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// KindReport counts one kind of request.
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
	Read        int   `json:"read"`
	Generations int64 `json:"generations"`
	Preemptions int64 `json:"preemptions"`
	StallMillis int64 `json:"stallMillis"`
	// WastedTokens are those of generations that did not finish.
	WastedTokens int64 `json:"wastedTokens"`
	Lost         int64 `json:"lost"`
	Cancelled    int64 `json:"cancelled"`
}

// EffectReport compares the services' ledgers with what callers were told.
type EffectReport struct {
	Effects int64 `json:"effects"`
	// Doubled counts keys with more than one effect, FalseNotRun keys whose
	// caller was told "not run" and that have one, Missing keys whose caller
	// was told of success and that have none.
	Doubled     int64 `json:"doubled"`
	FalseNotRun int64 `json:"falseNotRun"`
	Missing     int64 `json:"missing"`
}

// ProcessReport is what one process cost.
type ProcessReport struct {
	PID           int     `json:"pid"`
	CPUSeconds    float64 `json:"cpuSeconds"`
	StartRSSBytes int64   `json:"startRssBytes"`
	PeakRSSBytes  int64   `json:"peakRssBytes"`
	// OpenAtPeak counts the requests in progress, of all processes, when the
	// memory was at its peak.
	OpenAtPeak int64 `json:"openAtPeak"`
}

// Second is one second of a run.
type Second struct {
	Second    int   `json:"second"`
	Tokens    int64 `json:"tokens"`
	Completed int64 `json:"completed"`
	Refused   int64 `json:"refused"`
	Failed    int64 `json:"failed"`
	// DurationMillis is the sum for the generations completed in it.
	DurationMillis float64 `json:"durationMillis"`
	StallMillis    float64 `json:"stallMillis"`
	MaxGapMillis   float64 `json:"maxGapMillis"`
	// P99GapMillis is of the times between tokens that ended in it.
	P99GapMillis float64 `json:"p99GapMillis"`
	// Preemptions come from the engines' load reports, which lag a little.
	Preemptions int64 `json:"preemptions"`
}

// Report sums up the run that ended at now.
func (r *Recorder) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(len(r.seconds))
	c := r.counts
	elapsed := now.Sub(r.start).Seconds()
	report := Report{
		Seconds: elapsed, FirstToken: quantiles(r.firstToken), Between: quantiles(r.between),
		Stall: quantiles(r.stall), StallMillis: millis(c.stall), StalledStreams: c.stalled,
		Offered: c.offered, Completed: c.completed, Refused: c.refused, Failed: c.failed, Dropped: c.dropped,
		Codes: maps.Clone(r.codes), Resumes: c.resumes, Refusals: c.refusals,
		Tokens: c.tokens, Goodput: float64(c.goodTokens) / elapsed, Faults: c.faults,
		Calls: c.calls, CallsCompleted: c.callsCompleted, CallsFailed: c.callsFailed, CallTime: quantiles(r.calls),
		Kinds: map[workload.Kind]KindReport{}, Workspaces: map[string]WorkspaceReport{},
		Series: slices.Clone(r.seconds),
	}
	for name, k := range r.kinds {
		report.Kinds[name] = *k
	}
	var shares []float64
	for name, w := range r.workspaces {
		report.Workspaces[name] = *w
		shares = append(shares, float64(w.Completed)/float64(w.Offered))
	}
	report.Jain = Jain(shares)
	return report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	q := Quantiles{Count: h.TotalCount()}
	if q.Count == 0 {
		return q
	}
	q.Mean, q.Max = h.Mean()/1000, float64(h.Max())/1000
	q.P50, q.P95, q.P99 = at(50), at(95), at(99)
	return q
}

// Jain is Jain's fairness index: 1 when all are equal, 1/n when one has all.
func Jain(x []float64) float64 {
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

// Table writes reports side by side, one row each.
func Table(w io.Writer, reports ...Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "run\tstall s\tin engines\tstalled\tpreemptions\tbetween p50\tp95\tp99 ms\tfirst p50\tp95\tp99 ms\tcompleted\trefused\tfailed\tgoodput tok/s\tjain\tfaults")
	for _, r := range reports {
		preemptions, inEngines := "-", "-"
		if r.Engines != nil {
			preemptions = fmt.Sprint(r.Engines.Preemptions)
			inEngines = fmt.Sprintf("%.1f", float64(r.Engines.StallMillis)/1000)
		}
		fmt.Fprintf(tw, "%s\t%.1f\t%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%d/%d\t%d\t%d\t%.0f\t%.3f\t%d\n",
			r.name(), r.StallMillis/1000, inEngines, r.StalledStreams, preemptions,
			r.Between.P50, r.Between.P95, r.Between.P99, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99,
			r.Completed, r.Offered, r.Refused, r.Failed, r.Goodput, r.Jain, r.Faults.Sum())
	}
	return tw.Flush()
}

// Details writes what the table leaves out.
func (r Report) Details(w io.Writer) {
	fmt.Fprintf(w, "offered over %.1f s, seed %d, rate %g/s; dropped by generator %d; resumes %d; refusals %d\n",
		r.Seconds, r.Seed, r.Rate, r.Dropped, r.Resumes, r.Refusals)
	fmt.Fprintf(w, "tokens doubled %d, lost %d, out of order %d, mixed %d\n",
		r.Faults.Doubled, r.Faults.Lost, r.Faults.OutOfOrder, r.Faults.Mixed)
	if r.Calls > 0 {
		fmt.Fprintf(w, "calls %d, completed %d, p50 %.1f ms, p99 %.1f ms\n", r.Calls, r.CallsCompleted, r.CallTime.P50, r.CallTime.P99)
	}
	if r.Effects != nil {
		fmt.Fprintf(w, "effects %d, doubled %d, false notRun %d, missing %d\n",
			r.Effects.Effects, r.Effects.Doubled, r.Effects.FalseNotRun, r.Effects.Missing)
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

func (r Report) name() string {
	if r.Label != "" {
		return r.Label
	}
	return r.Mix
}
