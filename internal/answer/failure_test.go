package answer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
)

func TestOf(t *testing.T) {
	tests := map[string]struct {
		err     error
		status  int
		outcome Outcome
		seconds int64
	}{
		"refusal is not run and has a Retry-After": {
			err:    fmt.Errorf("acquire: %w", &permit.Refusal{Reason: permit.ReasonOverloaded, RetryAfter: 1100 * time.Millisecond}),
			status: 429, outcome: OutcomeNotRun, seconds: 2,
		},
		"unknown error has an unknown outcome": {
			err: fmt.Errorf("dial 10.0.0.1: refused"), status: 500, outcome: OutcomeUnknown,
		},
		"wrapped failure is returned unchanged": {
			err: fmt.Errorf("handler: %w", Invalid("model", "missing")), status: 400, outcome: OutcomeNotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := FromError(tt.err)
			require.Equal(t, tt.status, f.Status)
			require.Equal(t, tt.outcome, f.Outcome)
			require.Equal(t, tt.seconds, f.RetryAfterSeconds())
			require.NotContains(t, string(f.JSON()), "10.0.0.1")
		})
	}
}
