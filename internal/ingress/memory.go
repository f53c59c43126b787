package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
)

const (
	// heldShare is the share of the process's memory that may be held for callers: bodies of
	// requests and responses, and events of streams that aren't read.
	heldShare = 0.2
	// newWorkShare is the share of it from which on new requests are refused, so that the answers
	// to earlier ones can still be held.
	newWorkShare = 0.75
	// defaultMemoryBytes is the memory of a process without a setting.
	defaultMemoryBytes = 512 << 20
)

// memoryBudget bounds the bytes that an instance holds for all its callers. It is safe for
// concurrent use.
type memoryBudget struct {
	limit int64
	held  atomic.Int64
}

func newMemoryBudget(processBytes int64) *memoryBudget {
	if processBytes <= 0 {
		processBytes = defaultMemoryBytes
	}
	return &memoryBudget{limit: int64(float64(processBytes) * heldShare)}
}

// Reserve counts n more bytes, or reports false if they don't fit.
func (m *memoryBudget) Reserve(n int) bool { return m.reserveWithin(n, m.limit) }

// ReserveForNewWork is Reserve for a request that has not been sent to a server.
func (m *memoryBudget) ReserveForNewWork(n int) bool {
	return m.reserveWithin(n, int64(float64(m.limit)*newWorkShare))
}

func (m *memoryBudget) reserveWithin(n int, limit int64) bool {
	for {
		held := m.held.Load()
		if held+int64(n) > limit {
			return false
		}
		if m.held.CompareAndSwap(held, held+int64(n)) {
			return true
		}
	}
}

// Release ends a reservation.
func (m *memoryBudget) Release(n int) { m.held.Add(-int64(n)) }

// memoryRetryAfter is the Retry-After of an instance without memory for new requests: callers that
// don't read are cut after writeTimeout, and callers that come back may meet another instance.
const memoryRetryAfter = 500 * time.Millisecond

func (s *Server) memoryFailure() *answer.Failure {
	s.opts.Scope.Counter("requests_without_memory").Inc(1)
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeOverloaded, "this instance holds too much for its callers")
	f.RetryAfter = memoryRetryAfter + time.Duration(s.rng().Int64N(int64(fullRetryJitter)))
	return f
}
