package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/permit"
)

const reportedRate = 2.5

// limitedReport is a report of a server that takes reportedRate requests a second.
func limitedReport(millis int) admission.Report {
	r := report(millis)
	r.MaxPerSecond = reportedRate
	return r
}

// grantsWithin offers a server more than it takes for some seconds, with requests that end at once,
// and returns the number of grants, immediate or from the queue.
func grantsWithin(s *admission.Server, seconds int) int {
	n := 0
	count := func(now time.Time, decisions ...admission.Decision) {
		for _, d := range decisions {
			if g, ok := d.(admission.Granted); ok {
				n++
				s.Release(now, g.PermitID, permit.Outcome{Ending: permit.EndingFinished})
			}
		}
	}
	for millis := 0; millis < seconds*1000; millis += 50 {
		now := at(millis)
		s.ApplyReport(now, limitedReport(millis))
		count(now, s.Acquire(now, request(fmt.Sprint(millis))))
		count(now, s.Tick(now)...)
	}
	return n
}

// Guards against an owner or a deputy that grants more requests than the server takes.
func TestGrantsKeepReportedRate(t *testing.T) {
	const seconds = 8
	tests := map[string]struct {
		share    int
		min, max int
	}{
		"owner":  {0, reportedRate*seconds - 3, reportedRate * seconds},
		"deputy": {1, reportedRate*seconds/2 - 3, reportedRate * seconds / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := openServer()
			s.SetQuota(0, tt.share)
			n := grantsWithin(s, seconds)
			require.GreaterOrEqual(t, n, tt.min)
			require.LessOrEqual(t, n, tt.max)
		})
	}
}

// Guards against a new owner that grants at once what the previous one has granted just before.
func TestNewOwnerStartsReportedRateWithPause(t *testing.T) {
	s := openServer()
	s.ApplyReport(at(10), limitedReport(5))
	require.IsType(t, admission.Queued{}, s.Acquire(at(20), request("1")))
	s.Open(at(0))
	s.ApplyReport(at(2000), limitedReport(1990))
	s.Abandon("1")
	require.IsType(t, admission.Queued{}, s.Acquire(at(2010), request("2")))
	require.Empty(t, s.Tick(at(2300)))
	require.Len(t, s.Tick(at(2410)), 1)
}

// Guards against a refusal that brings the caller back before the server takes another request.
func TestRefusalByReportedRateSaysWhen(t *testing.T) {
	s := openServer()
	s.ApplyReport(at(0), limitedReport(0))
	a := request("1")
	a.MayQueue = false
	d := s.Acquire(at(100), a)
	require.IsType(t, admission.Unavailable{}, d)
	require.GreaterOrEqual(t, d.(admission.Unavailable).RetryAfter, 300*time.Millisecond)
}

func TestReportedRateEnds(t *testing.T) {
	s := openServer()
	s.ApplyReport(at(0), limitedReport(0))
	s.ApplyReport(at(10), report(10))
	granted(t, s.Acquire(at(20), request("1")))
}
