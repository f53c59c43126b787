package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// Guards against retries that keep servers overloaded after a fault is over: when a
// service fails 100 requests a second for a minute, the retries must stay near the
// minimum rate.
func TestOutageSpendsOnlyTheBudget(t *testing.T) {
	b, rng := NewBudget(start), rand.New(rand.NewPCG(1, 2))
	retries := 0
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if again, ok := b.Decide(now, rng, Attempt{Number: 1, Cause: CauseLost}).(Again); ok {
			retries++
			require.Less(t, again.Delay, maxDelay)
		}
	}
	require.InDelta(t, maxTokens+60*floorPerSecond, retries, 1)

	for range 50 {
		b.RecordSuccess()
	}
	require.IsType(t, Again{}, b.Decide(start.Add(time.Minute), rng, Attempt{Number: 1, Cause: CauseLost}))
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		attempt Attempt
		want    Decision
	}{
		"overload is never retried": {Attempt{Number: 1, Cause: CauseOverload}, GiveUp{}},
		"attempts are limited":      {Attempt{Number: maxAttempts, Cause: CauseNotSent}, GiveUp{}},
		"lost twice isn't retried":  {Attempt{Number: maxLostAttempts, Cause: CauseLost}, GiveUp{}},
		"unsent twice is retried":   {Attempt{Number: maxLostAttempts, Cause: CauseNotSent}, Again{}},
		"a refusal is retried":      {Attempt{Number: 1, Cause: CauseRefused}, Again{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, rng := NewBudget(start), rand.New(rand.NewPCG(1, 2))
			require.IsType(t, tt.want, b.Decide(start, rng, tt.attempt))
		})
	}
}
