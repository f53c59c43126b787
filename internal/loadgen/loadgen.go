// Package loadgen sends a deployment's workload to a running system and measures what its
// callers get. Requests are sent at their scheduled times whether or not earlier ones have
// ended (open loop), so a system that falls behind becomes visible. The duration, the number of
// requests and the number of open requests are limited.
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

// Options configure one run.
type Options struct {
	Label string
	// Instances are addresses of entry instances that are asked for the list of instances.
	Instances []string
	// Engines and Services are the addresses of stand-ins whose ledgers are read before and
	// after the run.
	Engines  []string
	Services []string
	// EngineZones are the availability zones of Engines, in the same order; without them,
	// starts are not counted by zone.
	EngineZones []string
	// Marks are the times of events that are caused on purpose, in seconds since the start, by
	// name. They are copied into the report.
	Marks map[string]float64
	// PIDs are the processes whose CPU time and memory are measured.
	PIDs     []int
	Workload workload.Options
	Caller   caller.Options
	Measure  measure.Options
	// MaxOpen limits the open requests; requests beyond it are dropped and counted.
	MaxOpen int
	// Drain is how long the run waits for open requests after the last arrival.
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

// Run sends the workload and returns the report.
func Run(ctx context.Context, opts Options) (measure.Report, error) {
	opts = opts.withDefaults()
	requests, err := workload.Generate(opts.Workload)
	if err != nil {
		return measure.Report{}, err
	}
	if len(opts.Instances) == 0 {
		return measure.Report{}, merry.New("no instance addresses given")
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
	processes := sampleProcesses(watchCtx, opts.PIDs, open.Load)
	preemptions := samplePreemptions(watchCtx, opts.Engines)
	err = sendRequests(ctx, opts, recorder, requests, start, func(ctx context.Context, arrival time.Time, req workload.Request) {
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
		if second < len(report.PerSecond) {
			report.PerSecond[second].Preemptions = n
		}
	}
	report.Label, report.Mix = opts.Label, string(opts.Workload.Mix)
	report.Seed, report.Rate = opts.Workload.Seed, opts.Workload.Rate
	after, err := readLedgers(ctx, opts)
	if err != nil {
		return measure.Report{}, err
	}
	fillFromLedgers(&report, before, after, c.ReportedOutcomes())
	report.Marks = opts.Marks
	report.Starts = countStartsByZone(start, opts.EngineZones, after.startTimes)
	return report, nil
}

// doFunc sends one request and returns when it has ended.
type doFunc func(ctx context.Context, arrival time.Time, req workload.Request)

// sendRequests sends each request at its arrival time and waits for the open ones.
func sendRequests(ctx context.Context, opts Options, recorder *measure.Recorder, requests []workload.Request, start time.Time, do doFunc) error {
	// When the pool is full, the request is dropped rather than delayed: waiting would let a
	// slow system slow down its callers and hide how slow it is.
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
		arrival := start.Add(req.ArrivalOffset)
		open -= waitUntil(runCtx, arrival, done)
		if runCtx.Err() != nil {
			break
		}
		err := pool.Submit(func() {
			defer func() { done <- struct{}{} }()
			do(runCtx, arrival, req)
		})
		if err != nil {
			recorder.RecordDropped()
			continue
		}
		open++
	}
	// Each request ends at the latest when its context does.
	for ; open > 0; open-- {
		<-done
	}
	return ctx.Err()
}

// waitUntil waits until t and returns how many requests ended meanwhile.
func waitUntil(ctx context.Context, t time.Time, done <-chan struct{}) int {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	for finished := 0; ; {
		select {
		case <-ctx.Done():
			return finished
		case <-done:
			finished++
		case <-timer.C:
			return finished
		}
	}
}
