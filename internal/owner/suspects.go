package owner

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/suspect"
)

// Suspects is the table of crashing requests, shared between the owner, which
// sees crashes, and the heartbeats, which spread them. It is safe for
// concurrent use.
type Suspects struct {
	mu    sync.Mutex
	table *suspect.Table
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{table: suspect.NewTable(suspect.DefaultParams)}
}

// Newest returns at most n entries for a heartbeat.
func (s *Suspects) Newest(now time.Time, n int) []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Newest(now, n)
}

// Merge takes in the entries of a peer.
func (s *Suspects) Merge(now time.Time, entries []suspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(now, entries)
}

func (s *Suspects) check(now time.Time, fingerprint uint64) suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(now, fingerprint)
}

func (s *Suspects) retryAfter(now time.Time, fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RetryAfter(now, fingerprint)
}

func (s *Suspects) finished(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordFinished(now, fingerprint)
}

func (s *Suspects) crash(now time.Time, name string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordCrash(now, name, fingerprint)
}
