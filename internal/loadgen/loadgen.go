// Package loadgen offers the work of a deployment to a running system and
// measures what its callers get. Requests arrive whatever happens to earlier
// ones, so a system that falls behind is seen to. Time, number of requests and
// number of open ones are bounded.
//
// # Usage
//
//	report, err := loadgen.Run(ctx, loadgen.Options{
//		Instances: []string{"127.0.0.1:8080"},
//		Workload:  workload.Options{Mix: workload.Inyange, Seed: 1, Rate: 10, Duration: time.Minute, Max: 1000},
//	})
package loadgen

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"

	"pollenspindle.example/pollenspindle/internal/loadgen/caller"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// Options describe one run.
type Options struct {
	Label string
	// Instances are addresses of entry instances that are asked first.
	Instances []string
	// Engines and Services are addresses of stand-ins whose ledgers are read
	// before and after.
	Engines  []string
	Services []string
	// EngineZones are the availability zones of Engines, in the same order;
	// without them no starts are counted by zone.
	EngineZones []string
	// Marks are copied into the report.
	Marks map[string]float64
	// PIDs are processes whose cost is measured.
	PIDs     []int
	Workload workload.Options
	Caller   caller.Options
	Measure  measure.Options
	// MaxOpen bounds the requests in progress; more are dropped and counted.
	MaxOpen int
	// Drain is how long the run waits for open requests after the last
	// arrival.
	Drain time.Duration
}

const (
	defaultMaxOpen = 4096
	defaultDrain   = time.Minute
)

func (o Options) withDefaults() Options {
	if o.MaxOpen <= 0 {
		o.MaxOpen = defaultMaxOpen
	}
	if o.Drain <= 0 {
		o.Drain = defaultDrain
	}
	if o.Measure.StallThreshold <= 0 {
		o.Measure.StallThreshold = DefaultStallThreshold
	}
	o.Caller.Instances = o.Instances
	return o
}

// DefaultStallThreshold is four times the target of 42 ms between tokens.
const DefaultStallThreshold = 168 * time.Millisecond

// Run offers the work and returns the report.
func Run(ctx context.Context, opts Options) (measure.Report, error) {
	opts = opts.withDefaults()
	requests, err := workload.Generate(opts.Workload)
	if err != nil {
		return measure.Report{}, err
	}
	if len(opts.Instances) == 0 {
		return measure.Report{}, merry.New("no instance to ask")
	}
	before, err := readLedgers(ctx, opts)
	if err != nil {
		return measure.Report{}, err
	}
	start := time.Now()
	recorder := measure.NewRecorder(opts.Measure, start)
	c := caller.New(opts.Caller, recorder)
	defer c.Close()
	var open atomic.Int64
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	processes := watch(watchCtx, opts.PIDs, open.Load)
	preemptions := watchPreemptions(watchCtx, opts.Engines)
	err = offer(ctx, opts, recorder, requests, start, func(ctx context.Context, arrival time.Time, req workload.Request) {
		open.Add(1)
		defer open.Add(-1)
		c.Do(ctx, arrival, req)
	})
	stopWatch()
	costs := <-processes
	if err != nil {
		return measure.Report{}, err
	}
	report := recorder.Report(time.Now())
	report.Processes = costs
	for second, n := range <-preemptions {
		if second < len(report.Series) {
			report.Series[second].Preemptions = n
		}
	}
	report.Label, report.Mix = opts.Label, string(opts.Workload.Mix)
	report.Seed, report.Rate = opts.Workload.Seed, opts.Workload.Rate
	after, err := readLedgers(ctx, opts)
	if err != nil {
		return measure.Report{}, err
	}
	compare(&report, before, after, c.Told())
	report.Marks = opts.Marks
	report.Starts = startsByZone(start, opts.EngineZones, after.starts)
	return report, nil
}

// doFunc does one request to its end.
type doFunc func(ctx context.Context, arrival time.Time, req workload.Request)

// offer sends each request at its time and waits for the open ones.
func offer(ctx context.Context, opts Options, recorder *measure.Recorder, requests []workload.Request, start time.Time, do doFunc) error {
	// A full pool drops the request instead of waiting: waiting would let a
	// slow system slow down its callers, and so hide how slow it is.
	pool, err := ants.NewPool(opts.MaxOpen, ants.WithNonblocking(true))
	if err != nil {
		return merry.Wrap(err)
	}
	defer pool.Release()
	runCtx, cancel := context.WithDeadline(ctx, start.Add(opts.Workload.Duration+opts.Drain))
	defer cancel()
	done := make(chan struct{}, opts.MaxOpen)
	open := 0
	for _, req := range requests {
		arrival := start.Add(req.At)
		open -= waitUntil(runCtx, arrival, done)
		if runCtx.Err() != nil {
			break
		}
		err := pool.Submit(func() {
			defer func() { done <- struct{}{} }()
			do(runCtx, arrival, req)
		})
		if err != nil {
			recorder.Dropped()
			continue
		}
		open++
	}
	// Each ends by the context at the latest.
	for ; open > 0; open-- {
		<-done
	}
	return ctx.Err()
}

// waitUntil waits for a time and returns how many requests ended meanwhile.
func waitUntil(ctx context.Context, at time.Time, done <-chan struct{}) int {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for ended := 0; ; {
		select {
		case <-ctx.Done():
			return ended
		case <-done:
			ended++
		case <-timer.C:
			return ended
		}
	}
}
