package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

const (
	// suspectCrashes is after how many crashed servers a request isn't run any
	// more: engines end often here, and take innocent ones with them.
	suspectCrashes = 3
	suspectKeep    = 5 * time.Minute
	// crashCheck bounds the connection that tells a crashed server from one that
	// broke off an answer.
	crashCheck = 300 * time.Millisecond
	// suspectRetryAfter is said for such a request: others of its caller go on.
	suspectRetryAfter = 30 * time.Second
	// maxSuspectsTold bounds what an instance that starts is told.
	maxSuspectsTold = 64
)

// Suspects are the requests that were running when servers crashed, as far as this
// instance knows. It is safe for concurrent use.
type Suspects struct {
	// Tell passes on to all instances what has changed; it doesn't wait.
	Tell func(entries []suspect.Entry)

	mu    sync.Mutex
	table *suspect.Table
}

// NewSuspects returns suspects of which none is known.
func NewSuspects() *Suspects {
	p := suspect.DefaultParams
	p.Crashes, p.Retention = suspectCrashes, suspectKeep
	return &Suspects{Tell: func([]suspect.Entry) {}, table: suspect.NewTable(p)}
}

// Merge takes over what another instance knows.
func (s *Suspects) Merge(now time.Time, entries []suspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(now, entries)
}

// Newest returns what an instance that starts is told.
func (s *Suspects) Newest(now time.Time) []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Newest(now, maxSuspectsTold)
}

func (s *Suspects) check(now time.Time, fingerprint uint64) suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(now, fingerprint)
}

// crash notes that a request ran on a server when it crashed.
func (s *Suspects) crash(now time.Time, server observed.Server, fingerprint uint64) {
	name := suspect.CrashName(server.Zone, server.ID, strconv.FormatInt(server.Born, 10))
	entry := suspect.Entry{Fingerprint: fingerprint, Crashes: []suspect.Crash{{Name: name, At: now}}}
	s.Merge(now, []suspect.Entry{entry})
	s.Tell([]suspect.Entry{entry})
}

// finished clears a request that has run to its end.
func (s *Suspects) finished(now time.Time, fingerprint uint64) {
	if s.check(now, fingerprint) == suspect.Clear {
		return
	}
	entry := suspect.Entry{Fingerprint: fingerprint, ClearedAt: now}
	s.Merge(now, []suspect.Entry{entry})
	s.Tell([]suspect.Entry{entry})
}

// suspected refuses a request that has crashed the servers that ran it: each
// further one would be a server less for all others.
func (s *Server) suspected(now time.Time, r *request) *answer.Failure {
	if s.opts.Suspects == nil || s.opts.Suspects.check(now, r.fingerprint) != suspect.Refused {
		return nil
	}
	s.log.Warn().Str("request", r.id).Str("service", r.serviceName()).Int("crashes", suspectCrashes).Msg("request isn't run, servers crashed that ran it")
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "backend servers crashed that ran this request")
	f.RetryAfter = suspectRetryAfter
	return f
}

// reportCrash notes that a request was on a server when the connection was lost,
// where the server has crashed: one that can't be connected to any more and didn't
// say that it leaves.
func (s *Server) reportCrash(server observed.Server, r *request) {
	if s.opts.Suspects == nil {
		return
	}
	if known, ok := s.opts.State.Server(server.ID); ok && known.Leaving {
		return
	}
	_ = s.carriers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheck)
		defer cancel()
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		s.log.Info().Str("request", r.id).Str("server", server.ID).Err(err).Msg("server crashed with a request on it")
		s.opts.Suspects.crash(s.opts.Now(), server, r.fingerprint)
	})
}

// clearSuspect notes that a request has run to its end.
func (s *Server) clearSuspect(now time.Time, r *request) {
	if s.opts.Suspects != nil {
		s.opts.Suspects.finished(now, r.fingerprint)
	}
}
