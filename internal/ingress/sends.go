package ingress

import (
	"net/http"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

// sends is what a request has sent to backend servers, and the retry that is reserved for its next arrival. It is
// safe for concurrent use: a stream is relayed by one goroutine and migrated by another.
type sends struct {
	mu       sync.Mutex
	arrivals int
	// reservedAt is when a retry was reserved, zero for none.
	reservedAt time.Time
	// ended is set once nothing more is sent.
	ended bool
}

// arrival is a request that is sent over an open connection to a backend server.
type arrival struct {
	kind   repeatKind
	server string
	// repeated is set if the request has been sent to a server before; draw is its retry then.
	repeated bool
	draw     retry.Draw
	// reservedAt is when the retry was reserved, zero if it wasn't.
	reservedAt time.Time
}

// sinceDecision returns how long the request waited between the decision to send it and its sending.
func (a arrival) sinceDecision() time.Duration {
	if a.reservedAt.IsZero() {
		return 0
	}
	return a.draw.At.Sub(a.reservedAt)
}

// decide asks the budget for a retry after a failed attempt, in place of one that is still reserved.
func (n *sends) decide(now time.Time, budgets *retry.SharedBudgets, service string, a retry.Attempt) (retry.Again, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return retry.Again{}, false
	}
	n.drop(now, budgets, service)
	again, ok := budgets.Decide(now, service, a).(retry.Again)
	if ok {
		n.reservedAt = now
	}
	return again, ok
}

// reserve reports whether a retry is reserved for the next arrival, and reserves one if there is none.
func (n *sends) reserve(now time.Time, budgets *retry.SharedBudgets, service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.reservedAt.IsZero() && !budgets.Reserve(now, service) {
		return false
	}
	if n.reservedAt.IsZero() {
		n.reservedAt = now
	}
	return true
}

// begin records that the request is being sent, and reports whether it may be.
func (n *sends) begin(now time.Time, budgets *retry.SharedBudgets, service string, a *arrival) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.arrivals == 0 {
		n.drop(now, budgets, service)
		n.arrivals++
		return true
	}
	var ok bool
	a.repeated, a.reservedAt = true, n.reservedAt
	n.reservedAt = time.Time{}
	if a.draw, ok = budgets.Draw(now, service, !a.reservedAt.IsZero()); ok {
		n.arrivals++
	}
	return ok
}

// release gives up the reserved retry.
func (n *sends) release(now time.Time, budgets *retry.SharedBudgets, service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop(now, budgets, service)
}

// end gives up the reserved retry for good.
func (n *sends) end(now time.Time, budgets *retry.SharedBudgets, service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop(now, budgets, service)
	n.ended = true
}

func (n *sends) drop(now time.Time, budgets *retry.SharedBudgets, service string) {
	if !n.reservedAt.IsZero() {
		budgets.Release(now, service)
		n.reservedAt = time.Time{}
	}
}

// sendOutcome says what a server has done with a request.
type sendOutcome string

const (
	outcomeAccepted sendOutcome = "accepted"
	outcomeRefused  sendOutcome = "refused"
	outcomeFailed   sendOutcome = "failed"
	outcomeLost     sendOutcome = "lost"
)

func (s *Server) sendOutcome(r *request, response *upstream.Response, err error) sendOutcome {
	switch {
	case err != nil:
		return outcomeLost
	case response.Get(s.fields.NotExecuted) != "", response.Status == http.StatusMisdirectedRequest:
		return outcomeRefused
	case response.Get(s.fields.RequestID) != r.id:
		return outcomeLost
	case response.Status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeAccepted
}
