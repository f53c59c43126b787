package owner

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// Suspects is the table of crash suspects, shared between the owner, which detects
// crashes, and the heartbeats, which distribute them. It is safe for concurrent use.
type Suspects struct {
	log   zerolog.Logger
	mu    sync.Mutex
	table *crashsuspect.Table
	// pending holds the crashes that the other instances haven't been told of. wake, of capacity
	// one, is full while there are any.
	pending announcement
	wake    chan struct{}
}

// NewSuspects returns an empty table. Changed verdicts are logged.
func NewSuspects(log zerolog.Logger) *Suspects {
	return &Suspects{log: log, table: crashsuspect.NewTable(crashsuspect.DefaultParams), wake: make(chan struct{}, 1)}
}

// Newest returns the newest entries, at most n, for a heartbeat.
func (s *Suspects) Newest(now time.Time, n int) []crashsuspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Newest(now, n)
}

// Merge adds the entries of a peer.
func (s *Suspects) Merge(now time.Time, entries []crashsuspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.logChange(now, e.Fingerprint, "peer", func() { s.table.Merge(now, []crashsuspect.Entry{e}) })
	}
}

func (s *Suspects) check(now time.Time, fingerprint uint64) crashsuspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(now, fingerprint)
}

func (s *Suspects) retryAfter(now time.Time, fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RetryAfter(now, fingerprint)
}

func (s *Suspects) recordFinished(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logChange(now, fingerprint, "finished", func() { s.table.RecordFinished(now, fingerprint) })
}

// recordCrash records the requests that ran when a server crashed at the time at. The returned
// channel is closed once the crash is announced.
func (s *Suspects) recordCrash(now, at time.Time, name string, running []permit.Request) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.done == nil {
		s.pending.done = make(chan struct{})
		s.wake <- struct{}{}
	}
	for _, r := range running {
		s.logChange(now, r.Fingerprint, name, func() { s.table.RecordCrash(at, name, r.Fingerprint) })
		s.pending.entries = append(s.pending.entries, crashsuspect.Entry{
			Fingerprint: r.Fingerprint, Crashes: []crashsuspect.Crash{{Name: name, At: at}},
		})
	}
	return s.pending.done
}

// takeAnnouncement returns the pending announcement without the requests that the loss of a zone
// explains.
func (s *Suspects) takeAnnouncement(now time.Time) announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.pending
	s.pending = announcement{}
	a.entries = slices.DeleteFunc(a.entries, func(e crashsuspect.Entry) bool {
		return s.table.Check(now, e.Fingerprint) == crashsuspect.Clear
	})
	return a
}

// logChange applies a change to a request's entry and logs its verdict if that differs afterwards.
func (s *Suspects) logChange(now time.Time, fingerprint uint64, cause string, change func()) {
	before := s.table.Check(now, fingerprint)
	change()
	if after := s.table.Check(now, fingerprint); after != before {
		s.log.Info().Str("fingerprint", strconv.FormatUint(fingerprint, 16)).Str("cause", cause).
			Stringer("verdict", after).Msg("crash suspect changed")
	}
}
