package ingress

import (
	"net/http"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

// sends is what a request has sent to backend servers. It is safe for concurrent use.
type sends struct {
	mu       sync.Mutex
	arrivals int
	// drawnAt is when a retry was drawn that isn't sent yet, from an account; zero for none.
	drawnAt   time.Time
	drawnFrom retry.Account
}

// recordDraw records that a retry was drawn.
func (n *sends) recordDraw(now time.Time, from retry.Account) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drawnAt, n.drawnFrom = now, from
}

// arrival is a request that is sent over an open connection to a backend server.
type arrival struct {
	kind   repeatKind
	server string
	// at is when it was sent, zero if it wasn't.
	at time.Time
	// repeated is set if the request has been sent to a server before.
	repeated bool
	// drawnAt is when the retry was drawn, zero for none, from is its account.
	drawnAt time.Time
	from    retry.Account
}

// arrive records that the request is being sent, on the retry that was drawn last.
func (n *sends) arrive(now time.Time, a *arrival) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a.at, a.repeated = now, n.arrivals > 0
	n.arrivals++
	if a.repeated {
		a.drawnAt, a.from = n.drawnAt, n.drawnFrom
		n.drawnAt, n.drawnFrom = time.Time{}, ""
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

// recordArrival logs and counts an arrival of a request after its first one.
func (s *Server) recordArrival(r *request, a arrival, response *upstream.Response, err error) {
	if !a.repeated {
		return
	}
	from, waited := string(a.from), time.Duration(0)
	if a.drawnAt.IsZero() {
		from = "nothing"
	} else {
		waited = a.at.Sub(a.drawnAt)
	}
	outcome := s.sendOutcome(r, response, err)
	s.log.Info().Str("request", r.id).Str("service", r.service.Name).Str("server", a.server).Str("kind", string(a.kind)).Str("outcome", string(outcome)).
		Str("drawnFrom", from).Dur("sinceDraw", waited).Dur("ago", s.opts.Now().Sub(a.at)).Msg("repeat sent")
	s.opts.Scope.Tagged(map[string]string{"kind": string(a.kind), "outcome": string(outcome), "drawnFrom": from}).Counter("repeats_sent").Inc(1)
}
