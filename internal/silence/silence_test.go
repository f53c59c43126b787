package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// A stream of 28 ms per event, whose caller leaves after 7.2 s, is suspected after 350 ms.
func stream() Progress {
	return Progress{Since: start, Interval: 28 * ms, LeavesAfter: 7200 * ms, Arrived: 40, CanStop: true}
}

// Guards against moving generations that only wait, against asking engines that have refused, and
// against streams that stay on an engine that sends nothing.
func TestNext(t *testing.T) {
	probed := func(r Report, change ...func(*Progress)) Progress {
		p := stream()
		p.ProbedAt, p.Report = start.Add(400*ms), r
		for _, c := range change {
			c(&p)
		}
		return p
	}
	canContinue := func(p *Progress) { p.CanContinue = true }
	asked := func(s Stop) func(*Progress) {
		return func(p *Progress) { p.Stop, p.StoppedAt = s, start.Add(500*ms) }
	}
	unknown := Report{Answered: true}
	tests := map[string]struct {
		after time.Duration
		p     Progress
		want  Step
	}{
		"no event yet":                                {time.Minute, Progress{LeavesAfter: 2 * time.Second, CanStop: true}, Wait{}},
		"own pace":                                    {349 * ms, stream(), Wait{}},
		"eight times the own pace":                    {350 * ms, stream(), Probe{}},
		"slow stream":                                 {700 * ms, Progress{Since: start, Interval: 90 * ms, LeavesAfter: 7200 * ms}, Wait{}},
		"caller leaves soon":                          {700 * ms, Progress{Since: start, Interval: 90 * ms, LeavesAfter: 2 * time.Second}, Probe{}},
		"pace unknown":                                {899 * ms, Progress{Since: start, LeavesAfter: 7200 * ms}, Wait{}},
		"report from before the silence":              {500 * ms, Progress{Since: start, Interval: 28 * ms, LeavesAfter: 7200 * ms, ProbedAt: start.Add(-ms)}, Probe{}},
		"preempted":                                   {890 * ms, probed(Report{Answered: true, Listed: true, Events: 40}), Wait{}},
		"preempted for long":                          {6 * time.Second, probed(Report{Answered: true, Listed: true, Events: 40}), Probe{}},
		"perhaps queued":                              {890 * ms, probed(Report{Answered: true, Unlisted: 1}), Wait{}},
		"perhaps queued for long":                     {2400 * ms, probed(Report{Answered: true, Unlisted: 1}), Move{Stop: true, Reason: ReasonNoProgress, Failing: true}},
		"runs without progress":                       {890 * ms, probed(Report{Answered: true, Listed: true, Tokens: 3200, Events: 40}), Wait{}},
		"events in transit":                           {450 * ms, probed(Report{Answered: true, Listed: true, Tokens: 3200, Events: 41}), Wait{}},
		"events don't arrive":                         {500 * ms, probed(Report{Answered: true, Listed: true, Tokens: 3200, Events: 41}), Move{Stop: true, Reason: ReasonNotArrived, Failing: true}},
		"only this connection is dead":                {500 * ms, probed(Report{Answered: true, Listed: true, Tokens: 3200, Events: 41}, func(p *Progress) { p.EngineHeard = true }), Move{Stop: true, Reason: ReasonNotArrived}},
		"unknown to the engine":                       {450 * ms, probed(unknown), Move{Stop: true, Reason: ReasonUnknown, Failing: true}},
		"no answer for a moment":                      {450 * ms, probed(Report{}, canContinue), Avoid{}},
		"no answer for a while":                       {1799 * ms, probed(Report{}, func(p *Progress) { p.ProbedAt = start.Add(1700 * ms) }), Avoid{}},
		"no answer yet, asked again":                  {1799 * ms, probed(Report{}), Probe{}},
		"no answer, caller leaves soon":               {1500 * ms, probed(Report{}, canContinue, func(p *Progress) { p.LeavesAfter = 2 * time.Second }), Move{Reason: ReasonNoAnswer, Failing: true}},
		"no answer":                                   {1800 * ms, probed(Report{}), Move{Stop: true, Reason: ReasonNoAnswer, Failing: true}},
		"no answer, resumable":                        {1800 * ms, probed(Report{}, canContinue), Move{Reason: ReasonNoAnswer, Failing: true}},
		"no answer, but events of others":             {450 * ms, probed(Report{}, canContinue, func(p *Progress) { p.EngineHeard = true }), Move{Stop: true, Reason: ReasonNoAnswer, Failing: true}},
		"own link down":                               {890 * ms, probed(Report{}, canContinue, func(p *Progress) { p.Deaf = true }), Wait{}},
		"refused":                                     {890 * ms, probed(unknown, asked(StopRefused)), Wait{}},
		"refused, resumable":                          {890 * ms, probed(unknown, asked(StopRefused), canContinue), Move{Reason: ReasonUnknown, Failing: true}},
		"last events may still arrive":                {2499 * ms, probed(unknown, asked(StopUnknown), func(p *Progress) { p.ProbedAt = start.Add(2400 * ms) }), Wait{}},
		"last events can't be in transit any more":    {2500 * ms, probed(unknown, asked(StopUnknown)), GiveUp{}},
		"perhaps queued, can't be stopped":            {5 * time.Second, probed(Report{Answered: true, Unlisted: 1}, asked(StopUnknown)), Probe{}},
		"no progress, engine goes on with it":         {5 * time.Second, probed(Report{Answered: true, Listed: true, Tokens: 3200, Events: 40}, asked(StopRefused)), Probe{}},
		"no progress, caller has left":                {7200 * ms, probed(Report{Answered: true, Unlisted: 1}, asked(StopUnknown)), GiveUp{}},
		"no progress, engine without migration":       {5 * time.Second, probed(Report{Answered: true, Unlisted: 1}, func(p *Progress) { p.CanStop = false }), Probe{}},
		"an engine that hangs may go on":              {5 * time.Second, probed(Report{}, asked(StopNoAnswer)), Probe{}},
		"an engine that hung answers again":           {1500 * ms, probed(unknown, asked(StopNoAnswer)), Move{Stop: true, Reason: ReasonUnknown, Failing: true}},
		"no other engine has capacity":                {890 * ms, probed(unknown, asked(StopNoTarget), canContinue), Wait{}},
		"no other engine had capacity a second ago":   {1500 * ms, probed(unknown, asked(StopNoTarget)), Move{Stop: true, Reason: ReasonUnknown, Failing: true}},
		"engine without migration, not resumable":     {2499 * ms, probed(unknown, func(p *Progress) { p.CanStop, p.ProbedAt = false, start.Add(2400*ms) }), Wait{}},
		"engine without migration, given up":          {2500 * ms, probed(unknown, func(p *Progress) { p.CanStop = false }), GiveUp{}},
		"refused, but events arrive again afterwards": {100 * ms, probed(unknown, asked(StopRefused)), Wait{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Next(start.Add(tt.after), tt.p))
		})
	}
}

// Guards against decisions on figures that no engine can have.
func TestPlausible(t *testing.T) {
	for name, r := range map[string]Report{
		"negative tokens": {Tokens: -1}, "negative events": {Events: -1}, "negative queue": {Unlisted: -1}, "too many events": {Events: maxEvents + 1},
	} {
		require.False(t, r.Plausible(), name)
	}
	require.True(t, Report{Answered: true, Listed: true, Tokens: 3200, Events: 40}.Plausible())
}

// Guards against moving all streams of a process that was stopped for a while.
func TestWatchNoticesOwnPause(t *testing.T) {
	var w Watch
	for i := range 5 {
		resumed, continued := w.Observe(start.Add(time.Duration(i) * 150 * ms))
		require.Equal(t, start, resumed)
		require.False(t, continued)
	}
	resumed, continued := w.Observe(start.Add(3 * time.Second))
	require.Equal(t, start.Add(3*time.Second), resumed)
	require.True(t, continued)
}
