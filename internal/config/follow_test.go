package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
)

// A connection to the platform goes silent, so one watch gets no response. The time until that is
// detected and the next watch confirms must be less than the time after which an unconfirmed
// instance refuses new requests, or each lost connection would cause refusals.
func TestOneSilentWatchCausesNoRefusals(t *testing.T) {
	p := newWatchTiming(defaultWatchWait)
	sinceConfirmed := defaultWatchWait
	_, silent := p.next(0)
	p.failures++
	wait, _ := p.next(0)
	const dialAndAnswer = 100 * time.Millisecond
	total := sinceConfirmed + silent + minRetryBackoff + wait + dialAndAnswer
	require.Less(t, total, time.Duration(settings.DefaultTiming.ConfirmMillis)*time.Millisecond)
}

func TestTimeoutGrowsWhilePlatformIsSlow(t *testing.T) {
	p := newWatchTiming(defaultWatchWait)
	last := time.Duration(0)
	for p.failures = 1; p.failures < 100; p.failures++ {
		// A call that is refused immediately doesn't count.
		p.answerTimeout.Fail(0)
		wait, timeout := p.next(0)
		require.Zero(t, wait)
		require.GreaterOrEqual(t, timeout, last)
		require.LessOrEqual(t, timeout, maxAnswerTimeout)
		last = timeout
		p.answerTimeout.Fail(timeout)
	}
	require.Equal(t, maxAnswerTimeout, last)
	p.failures = 0
	p.answerTimeout.Succeed(maxAnswerTimeout / 2)
	_, timeout := p.next(0)
	require.Equal(t, maxAnswerTimeout, timeout, "a response that takes as long must not shorten the timeout")
	p.answerTimeout.Succeed(0)
	_, timeout = p.next(0)
	require.Less(t, timeout, maxAnswerTimeout)
}
