package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/outputlength"
)

func TestSharedPrefixesLeaveMemoryFree(t *testing.T) {
	// Twelve sequences amount to 15,600 of 16,000 tokens, so that no other fits
	// unless the engine reports that it holds less because of shared prefixes.
	// Guards against admitting without limit when a report gives an implausibly
	// low value, or none.
	tests := map[string]struct {
		used int
		fits bool
	}{
		"nothing shared":  {used: 15600},
		"not reported":    {used: 0},
		"a third shared":  {used: 10400, fits: true},
		"block overhead":  {used: 17000},
		"implausibly low": {used: 1, fits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := reporting(1200, tt.used)
			_, ok := s.Acquire(now, request("next")).(admission.Granted)
			require.Equal(t, tt.fits, ok)
			require.GreaterOrEqual(t, s.LoadPermille(now), 500)
		})
	}
}

// Guards against discounting the growth of outputs for shared prefixes: only prompts
// share memory. 300 of 900 tokens of twelve prompts are the same, so that eleven
// copies of them aren't held.
func TestSharedPrefixesDoNotDiscountOutputs(t *testing.T) {
	const copies = 11 * 300
	alone, now := reporting(900, 12*1000)
	shared, _ := reporting(900, 12*1000-copies)
	freed := alone.LoadPermille(now) - shared.LoadPermille(now)
	require.InDelta(t, copies*1000/cfg.MemoryTokens, freed, 5)
}

// reporting returns a server that for half a minute has reported twelve sequences
// with 100 tokens of output each, and used tokens of memory.
func reporting(prompt, used int) (s *admission.Server, now time.Time) {
	// The limits are high enough that memory decides.
	warm := cfg
	warm.ColdLimit, warm.WarmLimit = 64, 64
	s = admission.New(warm, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams))
	s.Open(start)
	seqs := make([]admission.Sequence, 12)
	for i := range seqs {
		seqs[i] = admission.Sequence{ID: fmt.Sprint("running-", i), Prompt: prompt, Output: 100}
	}
	const reports = 60
	for i := range reports {
		r := report(i*500, seqs...)
		r.UsedTokens = used
		s.ApplyReport(at(i*500), r)
	}
	return s, at(reports * 500)
}
