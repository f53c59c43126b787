package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// suspectCrashLimit is the number of server crashes after which a request isn't run any more:
	// engines often exit for other reasons and take innocent requests with them.
	suspectCrashLimit = 3
	suspectRetention  = 5 * time.Minute
	// suspectRetryAfter is the Retry-After of such a request; other requests of its caller are
	// served.
	suspectRetryAfter = 30 * time.Second
	// maxSuspectsSent limits the entries that a starting instance receives, maxRecentSuspects those that are
	// sent with a probe.
	maxSuspectsSent   = 64
	maxRecentSuspects = 8
)

// Suspects holds the requests that were running when servers crashed, as far as this instance
// knows. It is safe for concurrent use.
type Suspects struct {
	// Broadcast sends changed entries to all instances; it must not block.
	Broadcast func(entries []crashsuspect.Entry)
	// Changed is called after entries have changed; it must not block.
	Changed func()
	Log     zerolog.Logger

	mu    sync.Mutex
	table *crashsuspect.Table
	// lastAnswer is when a run of each service last showed here that its servers can run requests.
	lastAnswer map[string]time.Time
	// beginTimes is how long runs of each service take until their first event.
	beginTimes map[string]time.Duration
}

// NewSuspects returns a Suspects without entries.
func NewSuspects() *Suspects {
	p := crashsuspect.DefaultParams
	p.Crashes, p.Retention = suspectCrashLimit, suspectRetention
	return &Suspects{Broadcast: func([]crashsuspect.Entry) {}, Changed: func() {}, Log: zerolog.Nop(), table: crashsuspect.NewTable(p), lastAnswer: map[string]time.Time{}, beginTimes: map[string]time.Duration{}}
}

// Merge adds entries.
func (s *Suspects) Merge(now time.Time, entries []crashsuspect.Entry) {
	if len(entries) == 0 {
		return
	}
	s.mu.Lock()
	s.table.Merge(now, entries)
	s.mu.Unlock()
	s.Changed()
}

// Kept returns the entries that outlast all instances, at most n.
func (s *Suspects) Kept(now time.Time, n int) []crashsuspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Kept(now, n)
}

// Digest returns a digest of what every instance should know.
func (s *Suspects) Digest(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest(now)
}

// Newest returns the entries that are sent to a starting instance.
func (s *Suspects) Newest(now time.Time) []crashsuspect.Entry {
	return s.newest(now, maxSuspectsSent)
}

// Recent returns the entries that are sent to an instance that knows others: fewer, as it asks again.
func (s *Suspects) Recent(now time.Time) []crashsuspect.Entry {
	return s.newest(now, maxRecentSuspects)
}

func (s *Suspects) newest(now time.Time, n int) []crashsuspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.table.RefusedParts(now, n), s.table.Newest(now, n)...)
}

func (s *Suspects) check(now time.Time, fingerprint uint64) crashsuspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(now, fingerprint)
}

// recordCrash records that a request was running on a server when it crashed.
func (s *Suspects) recordCrash(now time.Time, server platformstate.Server, fingerprint uint64) {
	entry := crashsuspect.Entry{Fingerprint: fingerprint, Crashes: []crashsuspect.Crash{{Name: crashName(server), At: now}}}
	s.Merge(now, []crashsuspect.Entry{entry})
	s.Broadcast([]crashsuspect.Entry{entry})
}

func crashName(server platformstate.Server) string {
	return crashsuspect.CrashName(server.Zone, server.ID, strconv.FormatInt(server.StartedAtMillis, 10))
}

// clear clears a request that has completed.
func (s *Suspects) clear(now time.Time, fingerprint uint64) {
	if s.check(now, fingerprint) == crashsuspect.Clear {
		return
	}
	if e, ok := s.Entry(fingerprint); ok {
		entry := e.Clearing()
		s.Merge(now, []crashsuspect.Entry{entry})
		s.Broadcast([]crashsuspect.Entry{entry})
	}
}

// refuseSuspect refuses a request whose servers have crashed repeatedly, because each further run
// could crash another server.
func (s *Server) refuseSuspect(now time.Time, r *request) *answer.Failure {
	if s.opts.Suspects == nil || s.opts.Suspects.check(now, r.fingerprint) != crashsuspect.Refused {
		return nil
	}
	s.log.Warn().Str("request", r.id).Str("service", r.serviceName()).Int("crashes", suspectCrashLimit).Msg("request refused, servers that ran it crashed")
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "backend servers crashed while running this request")
	f.RetryAfter = suspectRetryAfter
	return f
}

// reportCrash checks whether the server crashed to which a request has lost its connection, with an error. The result
// is closed when the server has been checked for the first time.
func (s *Server) reportCrash(server platformstate.Server, r *request, err error) <-chan struct{} {
	if s.opts.Suspects == nil {
		return nil
	}
	lost := s.lost(r)
	lost.answered = errors.Is(err, httpclient.ErrMalformed)
	return s.crashes.reportLost(server, lost)
}

// lost returns what the loss of a request's server says of its present run.
func (s *Server) lost(r *request) *lostRequest {
	now, p := s.opts.Now(), r.run.progress()
	p.SinceSent = now.Sub(r.run.sentAt)
	return &lostRequest{request: r, at: now, progress: p, trial: r.triedPart()}
}

// awaitCrashCheck waits for the check of a server that a request lost if the request may have crashed others:
// its next attempt could crash one more.
func (s *Server) awaitCrashCheck(ctx context.Context, r *request, checked <-chan struct{}) {
	if s.opts.Suspects == nil || !s.opts.Suspects.hasCrashed(r.fingerprint, r.parts) {
		return
	}
	select {
	case <-checked:
	case <-ctx.Done():
	}
}

// recordAnswered records that a server has answered a request, and that the whole answer has arrived.
func (s *Server) recordAnswered(r *request) {
	s.clearSuspect(s.opts.Now(), r)
	s.recordRunComplete(r)
}

// confirmEnd records the end of an answer that ended with its connection. That of a server that crashes between
// two events ends in the same way, so that the server is checked first.
func (s *Server) confirmEnd(server platformstate.Server, r *request) {
	if s.opts.Suspects == nil {
		return
	}
	lost := s.lost(r)
	confirm := func() {
		if s.crashes.accepts(server) {
			s.recordAnswered(r)
			return
		}
		<-s.crashes.reportLost(server, lost)
		s.endTrials(r, crashsuspect.TrialFailed)
	}
	if s.opts.Suspects.hasCrashed(r.fingerprint, r.parts) {
		confirm()
		return
	}
	if s.crashes.workers.Submit(confirm) != nil {
		s.crashes.drop(server, "too many servers are being checked")
	}
}

// clearSuspect records that a request has completed.
func (s *Server) clearSuspect(now time.Time, r *request) {
	if s.opts.Suspects != nil {
		s.opts.Suspects.clear(now, r.fingerprint)
	}
}
