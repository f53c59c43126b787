package owner

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

// Suspects is the table of crash suspects, shared between the owner, which detects
// crashes, and the heartbeats, which distribute them. It is safe for concurrent use.
type Suspects struct {
	mu    sync.Mutex
	table *crashsuspect.Table
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{table: crashsuspect.NewTable(crashsuspect.DefaultParams)}
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
	s.table.Merge(now, entries)
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
	s.table.RecordFinished(now, fingerprint)
}

func (s *Suspects) recordCrash(now time.Time, name string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordCrash(now, name, fingerprint)
}
