package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/internal/slowstart"
)

// maxReportAge is how long after its last report an unreachable server still queues
// requests: a few report intervals. A server without reports for longer may not
// recover, and its callers are refused immediately.
const maxReportAge = 3 * time.Second

// Server is the state of one backend server at its owner. It is not safe for
// concurrent use.
type Server struct {
	cfg      Config
	policy   Policy
	limit    *slowstart.Limit
	rate     rateLimit
	interval *forecast.Interval
	lengths  *outputlength.Estimator
	queue    *queue.Queue

	// grants is indexed by request ID, permits by permit ID.
	grants  map[string]*grant
	permits map[string]*grant
	// ended holds when requests ended, since a report measured before then still
	// lists them.
	ended map[string]time.Time
	// lastPolled holds when a queued request was last polled, by request ID.
	lastPolled     map[string]time.Time
	queuedRequests map[string]AcquireRequest

	// foreign are running requests without a permit of this owner.
	foreign      []Sequence
	foreignCount int
	memory       forecast.Memory
	margin       float64
	// sharedTokens is the average number of tokens of a sequence that the engine shares
	// with other sequences.
	sharedTokens float64
	report       Report
	reported     bool
	reachable    bool
	// reportAfter is the time after which a report must have been measured before
	// the first grant.
	reportAfter time.Time
	// exited is the incarnation whose process has exited, or empty.
	exited string
	// suspectedRestartAt is when a request last failed in a way that suggests a restart.
	suspectedRestartAt time.Time
	open               bool
	reserve            int
	share              int
	running            map[string]int
	suspects           int
	lastProbe          time.Time
}

// New returns the state of a server about which nothing is known. It grants no
// permits before Open and a load report.
func New(cfg Config, p Policy, lengths *outputlength.Estimator) *Server {
	params := queue.DefaultParams
	if cfg.MaxQueued > 0 {
		params.MaxItems = cfg.MaxQueued
	}
	return &Server{
		cfg:            cfg,
		policy:         p,
		limit:          slowstart.NewLimit(cfg.ColdLimit, cfg.WarmLimit),
		interval:       forecast.NewInterval(),
		lengths:        lengths,
		queue:          queue.New(params),
		grants:         map[string]*grant{},
		permits:        map[string]*grant{},
		ended:          map[string]time.Time{},
		lastPolled:     map[string]time.Time{},
		queuedRequests: map[string]AcquireRequest{},
		margin:         forecast.DefaultMargin,
		running:        map[string]int{},
	}
}

// Open allows grants once a report measured after reportAfter has arrived. A new
// owner starts from the running requests that the server reports: permits of the
// previous owner may have been used until reportAfter, and would otherwise not be
// counted.
func (s *Server) Open(reportAfter time.Time) {
	s.open = true
	s.rate = rateLimit{}
	s.reportAfter = reportAfter
	s.reported = s.reported && !s.report.MeasuredAt.Before(reportAfter)
}

// Close stops granting permits because another instance owns the server now. It
// returns a decision for each queued request; the senders then ask the new owner.
func (s *Server) Close(now time.Time) []Decision {
	s.open = false
	var out []Decision
	for id := range s.queuedRequests {
		s.deleteQueued(id)
		s.queue.Remove(id)
		out = append(out, Unavailable{RequestID: id, LoadPermille: s.LoadPermille(now)})
	}
	return out
}

// SetQuota sets the part of the limit that this instance may grant: it leaves
// reserve to others and, if share is positive, has at most share grants itself.
func (s *Server) SetQuota(reserve, share int) {
	s.reserve, s.share = reserve, share
}

// UpdateConfig applies a changed configuration of the server.
func (s *Server) UpdateConfig(cfg Config) {
	s.cfg = cfg
	s.limit.SetLimits(cfg.ColdLimit, cfg.WarmLimit)
}

// ResetToCold resets the server to its cold limit, after its availability zone or
// the server itself returned to service.
func (s *Server) ResetToCold() {
	s.limit.Reset()
}

// MarkUnreachable records that the server doesn't answer. Nothing is granted until it
// reports again.
func (s *Server) MarkUnreachable() {
	s.reachable = false
}

// MarkExited records that nothing listens at the server's address any more: its process
// has exited. It returns the requests that are known to have been lost with it.
//
// A process that isn't restarted never reports a new incarnation. A network that
// refuses connections looks the same; then the lost requests are wrongly suspected
// until they finish on another server.
func (s *Server) MarkExited(now time.Time) *Restart {
	s.reachable = false
	s.exited = s.report.Incarnation
	restart := &Restart{OldIncarnation: s.exited}
	for _, g := range s.grants {
		if g.incarnation == s.exited && !g.endedAt.IsZero() {
			restart.Running = append(restart.Running, g.request.Request)
			s.remove(now, g)
		}
	}
	return restart
}

// Running returns the number of requests considered running: those with a permit
// and foreign ones.
func (s *Server) Running() int {
	return len(s.grants) + s.foreignCount
}

// Queued returns the number of queued requests.
func (s *Server) Queued() int {
	return s.queue.Len()
}

// Limit returns how many requests may presently run at the same time.
func (s *Server) Limit() int {
	return s.limit.Value()
}

// Acquire decides on one request. Repeating it with the same request ID keeps the
// place in the queue, or returns the same permit if an answer was lost.
func (s *Server) Acquire(now time.Time, a AcquireRequest) Decision {
	id := a.Request.ID
	if g, ok := s.grants[id]; ok {
		g.unclaimed = false
		return s.grantedDecision(now, g)
	}
	ready := s.ready()
	if !ready && (!a.MayQueue || !s.mayRecoverSoon(now)) {
		return s.unavailable(now, id)
	}
	if _, ok := s.queue.Find(id); ok {
		s.lastPolled[id] = now
		return Queued{RequestID: id, Ahead: s.queue.Len() - 1}
	}
	it := s.newQueueItem(now, a)
	if ready && s.queue.Len() == 0 && s.fits(now, it) {
		s.queue.RecordGrant(now)
		s.queue.Charge(it.Workspace, it.Tokens, it.Weight)
		return s.grant(now, a, now)
	}
	if !a.MayQueue {
		return s.unavailable(now, id)
	}
	if refusal := s.queue.Push(now, it); refusal != nil {
		return Refused{RequestID: id, Refusal: *refusal}
	}
	s.lastPolled[id] = now
	s.queuedRequests[id] = a
	return Queued{RequestID: id, Ahead: s.queue.Len() - 1}
}

// Tick grants the queued requests that fit now, and removes those that expired or
// were abandoned.
func (s *Server) Tick(now time.Time) []Decision {
	s.removeUnused(now)
	var out []Decision
	for _, it := range s.queue.Expire(now) {
		s.deleteQueued(it.ID)
		out = append(out, Refused{RequestID: it.ID, Refusal: permit.Refusal{
			Reason: permit.ReasonDeadline, RetryAfter: s.queue.RetryAfter(s.queue.Len()),
		}})
	}
	s.dropAbandoned(now)
	if !s.ready() {
		return out
	}
	for {
		it, ok := s.queue.Next(now, func(it *queue.Item) bool { return s.fits(now, it) })
		if !ok {
			return out
		}
		polled := s.lastPolled[it.ID]
		a := s.queuedRequests[it.ID]
		s.deleteQueued(it.ID)
		out = append(out, s.grant(now, a, polled))
		s.grants[it.ID].unclaimed = true
	}
}

// Abandon removes a queued request whose sender has gone away.
func (s *Server) Abandon(requestID string) {
	s.queue.Remove(requestID)
	s.deleteQueued(requestID)
}

func (s *Server) ready() bool {
	return s.open && s.reported && s.reachable && !s.report.Leaving && !s.grantsSuspended()
}

// mayRecoverSoon reports whether a server that grants nothing now is likely to recover
// while requests wait: one or two polls failed, or a connection broke and the next
// report shows whether the server has restarted.
//
// Otherwise a network interruption of a tenth of a second during a poll would refuse
// every request as overloaded until the next poll, half a second later, although the
// requests could wait for many seconds. Queued requests are granted after the next
// report or expire at their deadline, and their senders try other servers meanwhile.
func (s *Server) mayRecoverSoon(now time.Time) bool {
	return s.open && s.reported && !s.report.Leaving && s.exited == "" && now.Sub(s.report.MeasuredAt) < maxReportAge
}

func (s *Server) unavailable(now time.Time, id string) Decision {
	return Unavailable{RequestID: id, LoadPermille: s.LoadPermille(now), RetryAfter: max(s.rate.wait(now), s.queue.RetryAfter(s.queue.Len()))}
}

func (s *Server) deleteQueued(id string) {
	delete(s.queuedRequests, id)
	delete(s.lastPolled, id)
}

// dropAbandoned removes queued requests that are no longer polled because their
// sender crashed or their caller went away. They would hold a place in the queue
// and then an unused permit.
func (s *Server) dropAbandoned(now time.Time) {
	for id, polled := range s.lastPolled {
		if now.Sub(polled) > s.cfg.QueueTimeout {
			s.Abandon(id)
		}
	}
}
