package loadgen

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/loadgen/caller"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/internal/standin/service"
)

// Guards against counting errors: on an engine with too little memory, which preempts
// generations, the report must match the engine's ledger and contain every token exactly once.
func TestRunReportMatchesEngineLedger(t *testing.T) {
	opts := engine.DefaultOptions()
	opts.ColdTime, opts.TimeScale = 0, 50
	opts.Batch.MemoryTokens = 3000
	address := make(chan string, 1)
	opts.Ready = func(a string) { address <- a }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- engine.Run(ctx, opts) }()
	defer func() {
		cancel()
		require.NoError(t, <-done)
	}()
	at := <-address
	report, err := Run(ctx, Options{
		Instances: []string{at}, Engines: []string{at},
		Workload: workload.Options{Mix: workload.Inyange, Seed: 3, Rate: 40, Duration: time.Second, Max: 40, GenerationsOnly: true},
		Caller:   caller.Options{Direct: true, RetryTimeout: time.Minute},
	})
	require.NoError(t, err)
	require.Positive(t, report.Offered)
	require.Equal(t, report.Offered, report.Completed, report.Codes)
	require.Equal(t, report.Offered, report.Engines.Generations)
	require.Positive(t, report.Engines.Preemptions)
	require.Zero(t, report.Faults.Total())
	require.Equal(t, report.Tokens, report.BetweenTokens.Count+report.FirstToken.Count)
}

func TestCompareEffects(t *testing.T) {
	ledgers := []service.Ledger{
		{Effects: []service.Effect{{IdempotencyKey: "once"}, {IdempotencyKey: "twice"}, {IdempotencyKey: "denied"}}},
		{Effects: []service.Effect{{IdempotencyKey: "twice"}, {IdempotencyKey: "unsure"}}},
	}
	reported := map[string]caller.ReportedOutcome{
		"once": caller.ReportedDone, "twice": caller.ReportedDone, "denied": caller.ReportedNotRun,
		"unsure": caller.ReportedUnknown, "never": caller.ReportedDone, "refused": caller.ReportedNotRun,
	}
	require.Equal(t, &measure.EffectReport{Effects: 5, Duplicated: 1, FalseNotRun: 1, Missing: 1}, compareEffects(ledgers, reported))
}
