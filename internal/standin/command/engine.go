package command

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/standin/engine"
)

// EngineCmd runs a model engine. All times are nominal milliseconds: see engine.Options.
type EngineCmd struct {
	Address   string   `default:"127.0.0.1:0" help:"Address to listen on."`
	Name      string   `default:"engine" help:"Prefix of the incarnation names."`
	Model     []string `help:"Loaded model; may be repeated. Without any, every model name is accepted."`
	TimeScale float64  `default:"1" help:"Factor by which all times are divided."`
	Seed      int64    `default:"1" help:"Random seed of output lengths and lost events."`

	BaseTokenMillis        float64 `default:"19" help:"Duration of a step without sequences."`
	PerSequenceMillis      float64 `default:"1" help:"Duration added to a step by each sequence."`
	PerKiloTokenMillis     float64 `default:"0.25" help:"Duration added to a step by each thousand tokens in memory."`
	PrefillTokensPerSecond int     `default:"8000" help:"Prefill speed."`
	MaxBatch               int     `default:"32" help:"Maximum number of running sequences."`
	MemoryTokens           int     `default:"16000" help:"Memory for sequences and cached prefixes, in tokens."`
	MaxWaiting             int     `default:"256" help:"Maximum number of queued requests; more are refused."`

	ColdLimit    int     `default:"2" help:"Number of requests that the engine can handle while cold."`
	ColdMillis   int64   `default:"5000" help:"How long the engine is cold after its start."`
	ColdOverload string  `default:"crash" enum:"crash,slow,refuse" help:"Behavior above the cold limit (crash, slow, refuse)."`
	ColdSlowdown float64 `default:"10" help:"Factor by which an overloaded cold engine is slower."`
	PoisonMarker string  `help:"Text that crashes the engine when it occurs in a prompt."`
	PoisonMillis int64   `default:"0" help:"Time from the start of such a generation to the crash."`
	Crash        string  `default:"exit" enum:"exit,restart" help:"Whether a crash ends the process or restarts the engine within it."`

	ReportLagMillis int64   `default:"200" help:"Age of load reports."`
	EventLagMillis  int64   `default:"500" help:"Age of cache events."`
	EventLoss       float64 `default:"0.02" help:"Fraction of cache events that are lost."`
	CrossEvery      int     `default:"0" help:"Respond to every n-th request with the stream of another request; 0 for never."`
	KeepMillis      int64   `default:"30000" help:"How long a finished stream can be resumed."`
	AbandonMillis   int64   `default:"30000" help:"Time without a reader after which a generation is ended."`

	Stamp         bool   `help:"Add the write time to each chunk, for loadgen pair."`
	IgnoreFencing bool   `help:"Run commands with a stale fencing token."`
	WeightStore   string `help:"Base URL of the weight store."`
	LoadMillis    int64  `default:"2000" help:"Duration of a model load without a weight store."`
}

// Run runs the engine.
func (e *EngineCmd) Run(ctx context.Context, s *streams) error {
	opts := e.options()
	opts.Ready = s.ready
	return engine.Run(ctx, opts)
}

func (e *EngineCmd) options() engine.Options {
	opts := engine.DefaultOptions()
	opts.Address = e.Address
	opts.Name = e.Name
	opts.Models = e.Model
	opts.TimeScale = e.TimeScale
	opts.Seed = e.Seed
	opts.Batch.BaseStepTime = floatMillis(e.BaseTokenMillis)
	opts.Batch.StepTimePerSequence = floatMillis(e.PerSequenceMillis)
	opts.Batch.StepTimePerKiloToken = floatMillis(e.PerKiloTokenMillis)
	opts.Batch.PrefillTokensPerSecond = e.PrefillTokensPerSecond
	opts.Batch.MaxSequences = e.MaxBatch
	opts.Batch.MemoryTokens = e.MemoryTokens
	opts.MaxWaiting = e.MaxWaiting
	opts.ColdLimit = e.ColdLimit
	opts.ColdTime = millis(e.ColdMillis)
	opts.ColdOverload = engine.OverloadMode(e.ColdOverload)
	opts.ColdSlowdown = e.ColdSlowdown
	opts.PoisonMarker = e.PoisonMarker
	opts.PoisonDelay = millis(e.PoisonMillis)
	opts.CrashMode = engine.CrashMode(e.Crash)
	opts.ReportLag = millis(e.ReportLagMillis)
	opts.EventLag = millis(e.EventLagMillis)
	opts.EventLoss = e.EventLoss
	opts.SwapStreamEvery = e.CrossEvery
	opts.FinishedRetention = millis(e.KeepMillis)
	opts.AbandonAfter = millis(e.AbandonMillis)
	opts.EmitTimestamps = e.Stamp
	opts.CheckFencing = !e.IgnoreFencing
	opts.WeightStore = e.WeightStore
	opts.LoadTime = millis(e.LoadMillis)
	return opts
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func floatMillis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
