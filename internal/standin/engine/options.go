// Package engine is a stand-in for a model engine. It simulates continuous batching
// with a memory limit, prefix caching, preemption with recomputation, cold starts and
// the failures of real engines. Its output is meaningless text.
//
// Scheduling is in package batch, which is independent of HTTP and of the clock, so
// that it can be tested step by step.
//
// # Usage
//
//	opts := engine.DefaultOptions()
//	opts.Address = "127.0.0.1:0"
//	opts.Ready = func(address string) { ... }
//	err := engine.Run(ctx, opts)
//
// Besides the protocol of docs/design/outside-protocols.md it has control endpoints
// for tests:
//
//	POST /control/cold    makes the engine cold; body {"hidden":true} keeps reporting warm
//	POST /control/warm    makes it warm
//	POST /control/leave   body {"noticeMillis":500}: refuses new requests, then crashes
//	POST /control/slow    body {"factor":3}: every step takes three times as long
//	POST /control/crash   crashes as set in Options.CrashMode
//	GET  /control/ledger  returns the [Ledger] of all generations
package engine

import (
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/standin/batch"
)

// ErrCrashed is returned by [Run] after a simulated crash.
var ErrCrashed = merry.Sentinel("engine stand-in crashed")

// OverloadMode is the behavior of a cold engine above its limit.
type OverloadMode string

// Behaviors of an overloaded cold engine: it crashes, slows down, or refuses requests.
const (
	OverloadCrash  OverloadMode = "crash"
	OverloadSlow   OverloadMode = "slow"
	OverloadRefuse OverloadMode = "refuse"
)

// CrashMode is the behavior of an engine on a crash.
type CrashMode string

// Behaviors on a crash: [Run] returns, or the engine restarts at once with a new
// incarnation and without its former state.
const (
	CrashExit    CrashMode = "exit"
	CrashRestart CrashMode = "restart"
)

// Options configures one engine. Durations are nominal: the actual ones are shorter
// by the factor TimeScale.
type Options struct {
	Address   string
	Name      string
	Models    []string
	TimeScale float64
	Seed      int64

	Batch batch.Params
	// MaxWaiting limits the queue; further requests get status 429.
	MaxWaiting int

	// ColdLimit is how many requests a cold engine can handle, ColdTime how long it
	// stays cold after its start; 0 means that it starts warm.
	ColdLimit    int
	ColdTime     time.Duration
	ColdOverload OverloadMode
	// ColdSlowdown multiplies step durations while a cold engine is overloaded in
	// mode OverloadSlow.
	ColdSlowdown float64

	// PoisonMarker is a text that crashes the engine when it occurs in a prompt;
	// empty disables this.
	PoisonMarker string
	// PoisonDelay is the time from the start of such a generation to the crash.
	PoisonDelay time.Duration
	CrashMode   CrashMode

	// ReportLag is the age of load reports, EventLag that of cache events.
	// EventLoss is the fraction of cache events that are lost.
	ReportLag time.Duration
	EventLag  time.Duration
	EventLoss float64

	// SwapStreamEvery makes the engine respond to every n-th request with the
	// stream of another running generation; its own keeps running. 0 is never.
	SwapStreamEvery int

	// FinishedRetention is how long a finished generation can be resumed.
	// AbandonAfter is the time without a reader after which a generation ends.
	FinishedRetention time.Duration
	AbandonAfter      time.Duration

	// CheckFencing makes the engine reject commands with a stale fencing token.
	CheckFencing bool
	// WeightStore is the base URL from which models are loaded. If it is empty, a
	// load takes LoadTime.
	WeightStore string
	LoadTime    time.Duration

	// EmitTimestamps adds the write time to each chunk as emittedNanos, in
	// nanoseconds since 1970.
	EmitTimestamps bool

	// Ready is called with the address once the engine accepts connections.
	Ready func(address string)
}

// DefaultOptions returns the default options. The engine has the size that benchmarks use.
func DefaultOptions() Options {
	return Options{
		Address:           "127.0.0.1:0",
		Name:              "engine",
		TimeScale:         1,
		Seed:              1,
		Batch:             batch.DefaultParams(),
		MaxWaiting:        256,
		ColdLimit:         2,
		ColdTime:          5 * time.Second,
		ColdOverload:      OverloadCrash,
		ColdSlowdown:      10,
		CrashMode:         CrashRestart,
		ReportLag:         200 * time.Millisecond,
		EventLag:          500 * time.Millisecond,
		EventLoss:         0.02,
		FinishedRetention: 30 * time.Second,
		AbandonAfter:      30 * time.Second,
		CheckFencing:      true,
		LoadTime:          2 * time.Second,
	}
}

func (o Options) validate() error {
	if o.TimeScale <= 0 {
		return merry.Sentinel("time scale must be above 0")
	}
	if o.Batch.MaxSequences < 1 || o.Batch.MemoryTokens < 1 || o.Batch.PrefillTokensPerSecond < 1 || o.Batch.BlockTokens < 1 {
		return merry.Sentinel("batch size, memory, block size and prefill rate must be above 0")
	}
	return nil
}

// realDuration converts a nominal duration into the actual one.
func (o Options) realDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.TimeScale)
}
