package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
)

var start = time.Unix(1_000_000, 0)

var cfg = admission.Config{
	Name: "engine-1", ColdLimit: 2, WarmLimit: 16, MemoryTokens: 16000,
	TokenInterval: 40 * time.Millisecond, PermitLifetime: 2 * time.Second, QueueTimeout: 3 * time.Second,
}

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func request(id string) admission.AcquireRequest {
	return admission.AcquireRequest{
		PermitID: "permit-" + id, Weight: 1, MayQueue: true,
		Request: permit.Request{
			ID: id, Service: "briefing", Model: "glide", Workspace: "club",
			PromptTokens: 100, MaxTokens: 500, Deadline: start.Add(time.Minute),
		},
	}
}

// openServer returns an open server that has reported that it is idle.
func openServer() *admission.Server {
	s := admission.New(cfg, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams))
	s.Open(start)
	s.ApplyReport(start, report(0))
	return s
}

func report(millis int, seqs ...admission.Sequence) admission.Report {
	if seqs == nil {
		seqs = []admission.Sequence{}
	}
	return admission.Report{
		Incarnation: "a", MeasuredAt: at(millis), Running: len(seqs), Sequences: seqs,
		Batch: len(seqs), TokenInterval: 20 * time.Millisecond,
	}
}

func granted(t *testing.T, d admission.Decision) admission.Granted {
	t.Helper()
	require.IsType(t, admission.Granted{}, d)
	return d.(admission.Granted)
}

func TestColdServerIsLimited(t *testing.T) {
	s := openServer()
	n := 0
	for i := range 10 {
		if _, ok := s.Acquire(at(i), request(fmt.Sprint(i))).(admission.Granted); ok {
			n++
		}
	}
	require.Equal(t, cfg.ColdLimit, n)
	require.Equal(t, 8, s.Queued())
}

func TestNoGrantBeforeReportAfterTakeover(t *testing.T) {
	// Guards against a new owner granting while requests under the old owner's
	// permits are in flight. A report measured before those permits expired would
	// miss them, and the cold server would get twice what it can handle.
	s := admission.New(cfg, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams))
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(0), request("0")))
	s.Open(at(2000))
	s.ApplyReport(at(1900), report(1800))
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(1900), request("1")))
	s.ApplyReport(at(2200), report(2100, admission.Sequence{ID: "of the old owner", Prompt: 50, Output: 3}))
	granted(t, s.Acquire(at(2200), request("2")))
	require.IsType(t, admission.Queued{}, s.Acquire(at(2201), request("3")))
}

func TestLaggingReportsCountEachRequestOnce(t *testing.T) {
	s := openServer()
	g := granted(t, s.Acquire(at(100), request("1")))
	require.Equal(t, 1, s.Running())
	// The report was measured before the request reached the server.
	s.ApplyReport(at(200), report(50))
	require.Equal(t, 1, s.Running())
	// This one lists the request, which still counts once.
	s.ApplyReport(at(300), report(250, admission.Sequence{ID: "1", Prompt: 100, Output: 2}))
	require.Equal(t, 1, s.Running())
	// The request ends; a report measured before that still lists it.
	s.Release(at(400), g.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 5})
	s.ApplyReport(at(500), report(350, admission.Sequence{ID: "1", Prompt: 100, Output: 4}))
	require.Zero(t, s.Running())
	// A request without a permit of this owner counts.
	s.ApplyReport(at(600), report(550, admission.Sequence{ID: "x", Prompt: 100, Output: 4}))
	require.Equal(t, 1, s.Running())
}

func TestLostRequestKeepsItsSlotUntilAReportOmitsIt(t *testing.T) {
	// Guards against reusing the slot of a request whose connection was lost: the
	// server may still be running it, and would get one request too many.
	s := openServer()
	g := granted(t, s.Acquire(at(0), request("1")))
	s.Release(at(5000), g.PermitID, permit.Outcome{Ending: permit.EndingLost})
	require.Equal(t, 1, s.Running())
	s.ApplyReport(at(5200), report(5100, admission.Sequence{ID: "1", Prompt: 100, Output: 50}))
	s.Tick(at(5200))
	require.Equal(t, 1, s.Running())
	s.ApplyReport(at(6200), report(6100))
	s.Tick(at(6200))
	require.Zero(t, s.Running())
}

func TestNoGrantAfterACrashUntilAReport(t *testing.T) {
	// Guards against an engine that crashes and restarts cold before the next load
	// report: its callers retry immediately, and the new incarnation would get the
	// load of the warm one.
	s := openServer()
	g := granted(t, s.Acquire(at(100), request("1")))
	s.Release(at(5000), g.PermitID, permit.Outcome{Ending: permit.EndingCrashed})
	atOnce := func(id string) admission.AcquireRequest {
		a := request(id)
		a.MayQueue = false
		return a
	}
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(5001), atOnce("2")))
	s.ApplyReport(at(5100), report(4900))
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(5101), atOnce("3")), "measured before the crash")
	restarted := report(5300)
	restarted.Incarnation = "b"
	s.ApplyReport(at(5400), restarted)
	granted(t, s.Acquire(at(5401), request("4")))
}

// Guards against refusing callers that could wait when a single poll of the server
// fails and the next one, half a second later, succeeds. No caller waits for a server
// that hasn't reported for longer, or whose process has exited.
func TestRequestsQueueDuringABriefDisconnection(t *testing.T) {
	s := openServer()
	s.MarkUnreachable()
	now := request("1")
	now.MayQueue = false
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(500), now))
	require.IsType(t, admission.Queued{}, s.Acquire(at(500), request("2")))
	require.Empty(t, s.Tick(at(900)), "no grant while unreachable")
	s.ApplyReport(at(1000), report(950))
	require.Len(t, s.Tick(at(1000)), 1)
	granted(t, s.Acquire(at(1001), request("2")))

	s.MarkUnreachable()
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(4000), request("3")), "no report for too long")
	s.ApplyReport(at(5000), report(4900))
	s.MarkExited(at(5001))
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(5002), request("4")), "the process has exited")
}

func TestUnusedPermitIsReclaimed(t *testing.T) {
	// Guards against a slot that stays taken when an instance crashes between
	// getting a permit and using it.
	s := openServer()
	granted(t, s.Acquire(at(0), request("1")))
	s.ApplyReport(at(1900), report(1800))
	s.Tick(at(1900))
	require.Equal(t, 1, s.Running(), "the permit may still be used")
	s.ApplyReport(at(2300), report(2200))
	s.Tick(at(2300))
	require.Zero(t, s.Running())
}

func TestRepeatedRequestReturnsTheSamePermit(t *testing.T) {
	s := openServer()
	first := granted(t, s.Acquire(at(0), request("1")))
	again := request("1")
	again.PermitID = "another"
	require.Equal(t, first, s.Acquire(at(500), again))
	require.Equal(t, 1, s.Running())
}

func TestQueuedRequestStartsOrIsDropped(t *testing.T) {
	s := openServer()
	g := granted(t, s.Acquire(at(0), request("1")))
	granted(t, s.Acquire(at(0), request("2")))
	require.IsType(t, admission.Queued{}, s.Acquire(at(0), request("gone")))
	require.IsType(t, admission.Queued{}, s.Acquire(at(0), request("waits")))
	// The first request is polled again; the other one is abandoned.
	require.IsType(t, admission.Queued{}, s.Acquire(at(2000), request("waits")))
	s.Release(at(3500), g.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 3})
	out := s.Tick(at(3500))
	require.Len(t, out, 1)
	d := granted(t, out[0])
	require.Equal(t, "waits", d.RequestID)
	require.Equal(t, at(4000), d.ExpiresAt, "a permit's lifetime starts at the last poll")
}

func TestRestartReturnsRunningRequests(t *testing.T) {
	s := openServer()
	granted(t, s.Acquire(at(0), request("1")))
	s.ApplyReport(at(300), report(250, admission.Sequence{ID: "1", Prompt: 100, Output: 2}))
	r := report(900)
	r.Incarnation = "b"
	restart := s.ApplyReport(at(1000), r)
	require.NotNil(t, restart)
	require.Equal(t, "a", restart.OldIncarnation)
	require.Len(t, restart.Running, 1)
	require.Zero(t, s.Running())
	require.Equal(t, cfg.ColdLimit, s.Limit())
}

// Guards against a request that crashes its server before the first token, while
// its permit is valid, and isn't returned as a crash suspect: it would crash one
// server after another. The loss and the restart become known in either order. A
// request that was never sent isn't returned.
func TestRestartReturnsRequestsThatCrashedBeforeTheFirstToken(t *testing.T) {
	again := report(900)
	again.Incarnation = "b"
	tests := map[string]struct {
		ending    permit.Ending
		lossFirst bool
		returned  bool
	}{
		"loss first":               {ending: permit.EndingLost, lossFirst: true, returned: true},
		"restart first":            {ending: permit.EndingLost, returned: true},
		"seen by the sender first": {ending: permit.EndingCrashed, lossFirst: true, returned: true},
		"seen by the owner first":  {ending: permit.EndingCrashed, returned: true},
		"never sent":               {ending: permit.EndingNotSent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := openServer()
			g := granted(t, s.Acquire(at(800), request("1")))
			releaseLost := func() *admission.Restart {
				return s.Release(at(1000), g.PermitID, permit.Outcome{Ending: tt.ending})
			}
			var atLoss, atReport *admission.Restart
			if tt.lossFirst {
				atLoss = releaseLost()
			}
			atReport = s.ApplyReport(at(1000), again)
			if !tt.lossFirst {
				atLoss = releaseLost()
			}
			require.NotNil(t, atReport)
			returned := atReport.Running
			if atLoss != nil {
				require.Equal(t, "a", atLoss.OldIncarnation)
				returned = append(returned, atLoss.Running...)
			}
			require.Equal(t, tt.returned, len(returned) == 1)
			require.Zero(t, s.Running())
		})
	}
}

func TestSuspectsNeverRunTogether(t *testing.T) {
	s := openServer()
	a, b := request("1"), request("2")
	a.Suspect, b.Suspect = true, true
	g := granted(t, s.Acquire(at(0), a))
	require.IsType(t, admission.Queued{}, s.Acquire(at(1), b))
	s.Release(at(10), g.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 3})
	require.Equal(t, "2", granted(t, s.Tick(at(11))[0]).RequestID)
}

func TestSlowServerIsDrainedAndProbed(t *testing.T) {
	// Guards against sending work to a server that doesn't fail but is three times
	// too slow. It gets one request now and then; once these show that it has
	// recovered, it takes its share again.
	s := openServer()
	slow := func(from int, interval time.Duration) {
		for i := range 100 {
			r := report(from+i*10, admission.Sequence{ID: "x", Prompt: 10, Output: i + 1})
			r.TokenInterval = interval
			s.ApplyReport(at(from+i*10), r)
		}
		s.ApplyReport(at(from+1000), report(from+1000))
	}
	slow(0, 120*time.Millisecond)
	a := request("1")
	a.MayQueue = false
	g := granted(t, s.Acquire(at(1000), a))
	s.Release(at(1100), g.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 3})
	b := request("2")
	b.MayQueue = false
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(1200), b))
	g = granted(t, s.Acquire(at(9000), b))
	s.Release(at(9900), g.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 3})
	slow(10000, 20*time.Millisecond)
	for i := range 2 {
		granted(t, s.Acquire(at(12000+i), request(fmt.Sprint("later", i))))
	}
}

func TestExitedServerReturnsLostRequests(t *testing.T) {
	// Guards against missing crash suspects when a server's process exits for good:
	// its address refuses connections and no report will show a new incarnation.
	// Lost requests are returned whether their sender or the owner notices first;
	// requests that were never sent or are still open are not.
	s := openServer()
	lost := granted(t, s.Acquire(at(100), request("lost before")))
	late := granted(t, s.Acquire(at(100), request("lost after")))
	require.Nil(t, s.Release(at(200), lost.PermitID, permit.Outcome{Ending: permit.EndingLost}))
	gone := s.MarkExited(at(300))
	require.Equal(t, "a", gone.OldIncarnation)
	require.Len(t, gone.Running, 1)
	require.Equal(t, "lost before", gone.Running[0].ID)
	after := s.Release(at(400), late.PermitID, permit.Outcome{Ending: permit.EndingLost})
	require.NotNil(t, after)
	require.Equal(t, "a", after.OldIncarnation)
	require.IsType(t, admission.Unavailable{}, s.Acquire(at(500), request("new")))

	// Only the connection had failed: the same incarnation reports again, and a
	// lost request is no longer a crash.
	s.ApplyReport(at(700), report(650))
	g := granted(t, s.Acquire(at(800), request("next")))
	require.Nil(t, s.Release(at(900), g.PermitID, permit.Outcome{Ending: permit.EndingLost}))
}

// Guards against full load on an engine that crashes and restarts cold before its
// next load report, while its slots look free and callers retry immediately. After
// the first sign, a broken connection, nothing is granted until a report that was
// measured after it; a late report measured before doesn't count.
func TestNoGrantAfterAPossibleRestart(t *testing.T) {
	signs := map[string]func(s *admission.Server, permitID string){
		"connection broken": func(s *admission.Server, permitID string) { s.MarkBroken(at(1000), permitID) },
		"answer lost": func(s *admission.Server, permitID string) {
			s.Release(at(1000), permitID, permit.Outcome{Ending: permit.EndingLost})
		},
		"generation unknown": func(s *admission.Server, permitID string) {
			s.Release(at(1000), permitID, permit.Outcome{Ending: permit.EndingCrashed})
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			s := openServer()
			g := granted(t, s.Acquire(at(100), request("running")))
			sign(s, g.PermitID)
			require.IsType(t, admission.Queued{}, s.Acquire(at(1010), request("next")))
			s.ApplyReport(at(1100), report(950))
			require.Empty(t, s.Tick(at(1100)), "measured before the sign")
			s.ApplyReport(at(1500), report(1400))
			require.Len(t, s.Tick(at(1500)), 1)
		})
	}
	s := openServer()
	g := granted(t, s.Acquire(at(100), request("running")))
	next := report(1100)
	next.Incarnation = "b"
	s.ApplyReport(at(1200), next)
	s.MarkBroken(at(1300), g.PermitID)
	granted(t, s.Acquire(at(1310), request("next")))
}

// Guards against losing a plain server's slot to a queued request whose sender has gone elsewhere.
func TestUnclaimedGrantOfPlainServerExpires(t *testing.T) {
	plain := func(millis, running int) admission.Report {
		return admission.Report{Incarnation: "a", MeasuredAt: at(millis), Running: running}
	}
	tests := map[string]struct {
		claim func(s *admission.Server)
		free  bool
	}{
		"nobody waits":        {func(*admission.Server) {}, true},
		"delivered":           {func(s *admission.Server) { s.Claim("3") }, false},
		"asked for once more": {func(s *admission.Server) { s.Acquire(at(250), request("3")) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := admission.New(cfg, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams))
			s.Open(start)
			s.ApplyReport(at(0), plain(0, 0))
			granted(t, s.Acquire(at(10), request("1")))
			granted(t, s.Acquire(at(20), request("2")))
			require.IsType(t, admission.Queued{}, s.Acquire(at(30), request("3")))
			s.Release(at(200), "permit-1", permit.Outcome{Ending: permit.EndingCancelled})
			granted(t, s.Tick(at(200))[0])
			tt.claim(s)
			s.ApplyReport(at(5100), plain(5000, 1))
			s.Tick(at(5100))
			require.Equal(t, tt.free, s.Running() == 1)
		})
	}
}
