package ingress

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

// runReportInterval is the time between two looks at what a run has shown of crashes.
const runReportInterval = 250 * time.Millisecond

// run is one run of a request on a server. Only the handler of the request uses it.
type run struct {
	// sentAt is when the request was sent, firstAt and lastAt are when the first and the last event arrived.
	sentAt, firstAt, lastAt time.Time
	events                  int
	// reportedAt is when the run was last looked at.
	reportedAt time.Time
}

// progress returns how far the run has got.
func (u *run) progress() crashsuspect.Progress {
	return crashsuspect.Progress{Events: u.events, Running: u.lastAt.Sub(u.firstAt)}
}

// recordEvent records an event and reports whether it is time to look at what the run has shown.
func (u *run) recordEvent(now time.Time) bool {
	if u.events == 0 {
		u.firstAt = now
	}
	u.events++
	u.lastAt = now
	if !u.progress().Passes(crashsuspect.Progress{}) || now.Sub(u.reportedAt) < runReportInterval {
		return false
	}
	u.reportedAt = now
	return true
}

// beginRun begins the next run of a request.
func (s *Server) beginRun(r *request) { r.run = run{sentAt: s.opts.Now()} }

// recordRunEvent records an event of the present run.
func (s *Server) recordRunEvent(r *request) {
	report := r.run.recordEvent(s.opts.Now())
	if r.run.events == 1 && s.opts.Suspects != nil && r.isGeneration() {
		s.opts.Suspects.recordBegin(r.service.Name, r.run.firstAt.Sub(r.run.sentAt))
	}
	if report {
		s.recordRun(r, r.run.progress())
	}
}

// recordRunComplete records that the answer has ended as it should. One without content shows nothing.
func (s *Server) recordRunComplete(r *request) {
	if r.run.events == 0 {
		return
	}
	p := r.run.progress()
	p.Complete = true
	s.recordRun(r, p)
	s.endTrials(r, crashsuspect.TrialAnswered)
}

// recordRun records what the present run shows of crashes; see [crashsuspect.Progress].
func (s *Server) recordRun(r *request, p crashsuspect.Progress) {
	if s.opts.Suspects == nil || !r.isGeneration() {
		return
	}
	now := s.opts.Now()
	s.opts.Suspects.recordServiceAnswered(now, r.service.Name)
	if len(r.parts) == 0 {
		return
	}
	s.opts.Suspects.recordPartsRun(now, r.run.sentAt, r.parts, p)
	if tried := r.trials.Load(); tried != nil && s.opts.Suspects.checkParts(now, *tried).verdict == crashsuspect.Clear {
		s.endTrials(r, crashsuspect.TrialAnswered)
	}
}
