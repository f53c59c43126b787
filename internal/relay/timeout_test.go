package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// A stream sends no more events. The engine either still has it and is probed at growing intervals,
// or can't be reached. In both cases the attempt must end within a limit and report the position
// reached.
func TestSilenceIsBounded(t *testing.T) {
	tests := map[string]struct {
		class      pollenspindle.Class
		unanswered int
		// answers is set if the engine answers each new connection.
		answers bool
		limit   time.Duration
		code    answer.Code
	}{
		"known and silent": {answers: true, limit: silenceLimit, code: answer.CodeGenerationStalled},
		"patient class is preempted first and may be silent longer": {
			answers: true, class: pollenspindle.ClassPatient, limit: patientSilenceLimit, code: answer.CodeGenerationStalled,
		},
		"silent on all links": {limit: unreachableLimit, code: answer.CodeBackendLost},
		"unreachable":         {unanswered: 1, limit: unreachableLimit, code: answer.CodeBackendLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fakeEngine{tokens: 9, behaviours: make([]behaviour, 1000)}
			for i := range e.behaviours {
				e.behaviours[i].silentAt = 4
			}
			s := newSession(t.Context(), newTestRelay(t, e, &fakePermits{}, time.Hour))
			s.job.Streamed, s.started = true, true
			s.job.Permit.Class = tt.class
			start := time.Now()
			a := newAttempt(s, permit.Permit{}, "r")
			a.acknowledged, a.unanswered = true, tt.unanswered
			a.progress = progress{lastPosition: 3, lastEventAt: start}
			a.probeAt = start.Add(s.relay.opts.StallTimeout)

			var res *result
			at := start
			for res == nil {
				at = at.Add(max(a.nextTimeout(at), time.Millisecond))
				if res = a.onTimer(at); res == nil && tt.answers {
					require.Nil(t, a.onConnected(connected{incarnation: "one"}))
				}
				require.LessOrEqual(t, at.Sub(start), tt.limit+maxProbeFactor*s.relay.opts.StallTimeout)
			}
			a.conn.close()
			require.GreaterOrEqual(t, at.Sub(start), tt.limit)
			require.Equal(t, tt.code, res.failure.Code)
			require.Equal(t, answer.OutcomeRan, res.failure.Outcome)
			require.Equal(t, int64(3), res.failure.Position)
			require.False(t, res.retryable)
			require.Less(t, a.progress.probes, int(tt.limit/(maxProbeFactor*s.relay.opts.StallTimeout))+10, "the probe interval must grow")
		})
	}
}

// The engine never answers. The caller has received nothing yet, so the request is retried
// elsewhere instead of failing.
func TestSilentBeforeTheFirstToken(t *testing.T) {
	s := newSession(t.Context(), newTestRelay(t, &fakeEngine{}, &fakePermits{}, time.Hour))
	s.job.Streamed = true
	a := newAttempt(s, permit.Permit{}, "r")
	a.conn = &connection{close: func() {}}
	start := time.Now()
	a.progress.lastEventAt = start
	a.probe(start.Add(s.relay.opts.StallTimeout))
	defer func() { a.conn.close() }()
	require.Nil(t, a.onTimer(start.Add(unreachableLimit-1)))
	res := a.onTimer(start.Add(unreachableLimit))
	require.NotNil(t, res)
	require.True(t, res.retryable)
	require.NotEqual(t, answer.OutcomeNotRun, res.failure.Outcome)
}

// At the end of the grace period, a generation is cancelled only if its caller hasn't resumed it
// through another instance.
func TestGraceOver(t *testing.T) {
	for name, takenOver := range map[string]bool{"taken over": true, "not resumed": false} {
		t.Run(name, func(t *testing.T) {
			e := &fakeEngine{tokens: 9}
			s := newSession(t.Context(), newTestRelay(t, e, &fakePermits{}, time.Hour))
			s.job.Streamed, s.started = true, true
			s.takenOver.Store(takenOver)
			a := newAttempt(s, permit.Permit{}, "r")
			a.conn = &connection{close: func() {}}
			start := time.Now()
			a.progress.lastEventAt, a.probeAt = start.Add(time.Hour), start.Add(2*time.Hour)
			require.Nil(t, a.onCallerGone(start))
			require.Nil(t, a.onTimer(start.Add(time.Hour-1)))
			res := a.onTimer(start.Add(time.Hour))
			require.Equal(t, takenOver, res == nil)
			require.Equal(t, takenOver, e.cancels() == 0)
		})
	}
}

// A caller stops reading. The message buffer must stay bounded and the engine must not be blocked:
// the caller is disconnected after the timeout, and the generation is cancelled as it doesn't come
// back.
func TestSlowCallerIsCutOff(t *testing.T) {
	e, p := &fakeEngine{tokens: 10 * MessageCapacity}, &fakePermits{}
	r := newTestRelay(t, e, p, time.Millisecond)
	r.opts.SlowCallerTimeout = time.Millisecond
	g, err := r.Generate(t.Context(), Job{Streamed: true})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(p.endings()) == 1 }, time.Minute, time.Millisecond)
	got := receive(g)
	require.Len(t, got.positions, MessageCapacity-1)
	require.False(t, got.finished)
	require.Nil(t, got.failure)
}
