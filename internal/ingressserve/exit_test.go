package ingressserve

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/logqueue"
)

// Guards against panics that end the process without a line in its log.
func TestPanicOfTaskIsLogged(t *testing.T) {
	text := &strings.Builder{}
	out := logqueue.New(text, logqueue.Options{Capacity: 1})
	in := &instance{out: out, log: zerolog.New(out)}
	require.PanicsWithValue(t, "broken", func() { in.guard(func() { panic("broken") }) })
	require.Contains(t, text.String(), "instance ends, a task panicked")
	require.Contains(t, text.String(), "TestPanicOfTaskIsLogged")
}

// Guards against instances that are killed at the end of their grace period while they wait for their log.
func TestFlushEndsWithGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		endsBy time.Time
		want   time.Duration
	}{
		"failed start":         {time.Time{}, maxFlushTime},
		"nothing left to do":   {now.Add(time.Minute), maxFlushTime},
		"end of the grace":     {now.Add(time.Second), time.Second},
		"requests were cut":    {now, minFlushTime},
		"the process was late": {now.Add(-time.Minute), minFlushTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, flushTime(now, tt.endsBy)) })
	}
	require.Less(t, minFlushTime, exitMargin)
}
