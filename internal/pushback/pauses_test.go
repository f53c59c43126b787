package pushback_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/pushback"
)

func TestParseRetryAfter(t *testing.T) {
	tests := map[string]struct {
		value string
		want  time.Duration
		ok    bool
	}{
		"seconds":   {"3", 3 * time.Second, true},
		"fraction":  {"0.25", 250 * time.Millisecond, true},
		"spaces":    {" 2 ", 2 * time.Second, true},
		"none":      {"", 0, false},
		"zero":      {"0", 0, false},
		"negative":  {"-1", 0, false},
		"NaN":       {"NaN", 0, false},
		"infinite":  {"Inf", time.Hour, true},
		"too large": {"1e30", time.Hour, true},
		"a date":    {"Wed, 21 Oct 2026 07:28:00 GMT", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := pushback.ParseRetryAfter(tt.value)
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a late response that shortens a pause.
func TestPauses(t *testing.T) {
	p := pushback.NewPauses()
	require.Zero(t, p.Remaining(start, server))
	require.True(t, p.Record(start, server, 3*time.Second))
	require.False(t, p.Record(start.Add(time.Second), server, time.Second))
	require.Equal(t, 2*time.Second, p.Remaining(start.Add(time.Second), server))
	require.Equal(t, []string{server}, p.Paused(start.Add(time.Second)))
	require.Empty(t, p.Paused(start.Add(3*time.Second)))
	require.Zero(t, p.Remaining(start.Add(3*time.Second), server))
	require.True(t, p.Record(start.Add(4*time.Second), server, time.Second))
}
