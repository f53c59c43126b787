package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/length"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/internal/warmup"
)

// silentFor is how long after its last report an unreachable server still lets
// requests wait for it: a few periods of reports. One that is silent for longer
// may stay so, and its callers are told at once.
const silentFor = 3 * time.Second

// Server is the state of one backend server at its owner. It is not safe for
// concurrent use.
type Server struct {
	cfg      Config
	policy   Policy
	limit    *warmup.Limit
	interval *forecast.Interval
	lengths  *length.Estimator
	queue    *queue.Queue

	// grants is indexed by request id, permits by permit id.
	grants  map[string]*grant
	permits map[string]*grant
	// ended remembers when requests ended, since a report measured before
	// then still names them.
	ended map[string]time.Time
	// lastAsked is when the asker of a queued request last asked.
	lastAsked map[string]time.Time
	asks      map[string]Ask

	// foreign are running requests that this owner gave no permit for.
	foreign      []Sequence
	foreignCount int
	memory       forecast.Memory
	margin       float64
	// shared is how many tokens of a sequence the engine holds for others too.
	shared    float64
	report    Report
	reported  bool
	reachable bool
	// reportAfter is the moment a report must be from before the first grant.
	reportAfter time.Time
	// gone is the incarnation whose process has ended; empty when it has not.
	gone string
	// doubted is when a request last broke in a way that shows a restart.
	doubted   time.Time
	open      bool
	reserve   int
	share     int
	running   map[string]int
	suspects  int
	lastProbe time.Time
}

// New returns the state of a server about which nothing is known. It gives no
// permit before Open and a load report.
func New(cfg Config, p Policy, lengths *length.Estimator) *Server {
	params := queue.DefaultParams
	if cfg.MaxQueued > 0 {
		params.MaxItems = cfg.MaxQueued
	}
	return &Server{
		cfg:       cfg,
		policy:    p,
		limit:     warmup.NewLimit(cfg.ColdLimit, cfg.WarmLimit),
		interval:  forecast.NewInterval(),
		lengths:   lengths,
		queue:     queue.New(params),
		grants:    map[string]*grant{},
		permits:   map[string]*grant{},
		ended:     map[string]time.Time{},
		lastAsked: map[string]time.Time{},
		asks:      map[string]Ask{},
		margin:    forecast.DefaultMargin,
		running:   map[string]int{},
	}
}

// Open lets the server be given permits for once a report measured after
// reportAfter has come. An owner that takes over starts from the server's own
// running set: permits of the owner before it may still have been used until
// then, and would otherwise be counted by nobody.
func (s *Server) Open(reportAfter time.Time) {
	s.open = true
	s.reportAfter = reportAfter
	s.reported = s.reported && !s.report.MeasuredAt.Before(reportAfter)
}

// Close stops giving permits: another instance owns the server now. It returns
// the refusals of all that wait; their askers ask the new owner.
func (s *Server) Close(now time.Time) []Decision {
	s.open = false
	var out []Decision
	for id := range s.asks {
		s.forgetAsk(id)
		s.queue.Remove(id)
		out = append(out, NotHere{RequestID: id, LoadPermille: s.LoadPermille(now)})
	}
	return out
}

// SetBounds changes the part of the limit that this instance hands out: it
// leaves reserve to others and, when share is positive, takes no more than
// share itself.
func (s *Server) SetBounds(reserve, share int) {
	s.reserve, s.share = reserve, share
}

// Declare takes over a changed configuration of the server.
func (s *Server) Declare(cfg Config) {
	s.cfg = cfg
	s.limit.Declare(cfg.ColdLimit, cfg.WarmLimit)
}

// TurnedCold puts the server back to its cold limit: its availability zone or
// the server itself has returned.
func (s *Server) TurnedCold() {
	s.limit.TurnedCold()
}

// Unreachable tells that the server does not answer. Nothing is granted until
// it reports again.
func (s *Server) Unreachable() {
	s.reachable = false
}

// Gone tells that nothing listens at the server's address any more: its process
// has ended. It returns what is known to have ended with it.
//
// A process that stays dead names no other start in a report. A link that refuses
// connections looks the same; then what was lost on it is suspected in vain, until
// it finishes elsewhere.
func (s *Server) Gone(now time.Time) *Restart {
	s.reachable = false
	s.gone = s.report.Incarnation
	restart := &Restart{OldIncarnation: s.gone}
	for _, g := range s.grants {
		if g.incarnation == s.gone && !g.endedAt.IsZero() {
			restart.Running = append(restart.Running, g.ask.Request)
			s.remove(now, g)
		}
	}
	return restart
}

// Running returns the number of requests taken to be running: those with a
// permit and those of others.
func (s *Server) Running() int {
	return len(s.grants) + s.foreignCount
}

// Queued returns the number of requests that wait.
func (s *Server) Queued() int {
	return s.queue.Len()
}

// Limit returns how many requests may run at the same time at present.
func (s *Server) Limit() int {
	return s.limit.Value()
}

// Acquire decides about one request. Asking again with the same request id
// keeps its place, or returns the same permit if an answer was lost.
func (s *Server) Acquire(now time.Time, a Ask) Decision {
	id := a.Request.ID
	if g, ok := s.grants[id]; ok {
		return s.granted(now, g)
	}
	ready := s.ready()
	if !ready && (!a.MayQueue || !s.soonReady(now)) {
		return s.notHere(now, id)
	}
	if _, ok := s.queue.Find(id); ok {
		s.lastAsked[id] = now
		return Queued{RequestID: id, Ahead: s.queue.Len() - 1}
	}
	it := s.item(now, a)
	if ready && s.queue.Len() == 0 && s.fits(now, it) {
		s.queue.Granted(now)
		s.queue.Charge(it.Workspace, it.Tokens, it.Weight)
		return s.grant(now, a, now)
	}
	if !a.MayQueue {
		return s.notHere(now, id)
	}
	if refusal := s.queue.Push(now, it); refusal != nil {
		return Refused{RequestID: id, Refusal: *refusal}
	}
	s.lastAsked[id] = now
	s.asks[id] = a
	return Queued{RequestID: id, Ahead: s.queue.Len() - 1}
}

// Tick starts what fits now and ends what waited too long.
func (s *Server) Tick(now time.Time) []Decision {
	s.forgetUnused(now)
	var out []Decision
	for _, it := range s.queue.Expire(now) {
		s.forgetAsk(it.ID)
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
		asked := s.lastAsked[it.ID]
		a := s.asks[it.ID]
		s.forgetAsk(it.ID)
		out = append(out, s.grant(now, a, asked))
	}
}

// Abandon takes out a queued request whose asker has gone.
func (s *Server) Abandon(requestID string) {
	s.queue.Remove(requestID)
	s.forgetAsk(requestID)
}

func (s *Server) ready() bool {
	return s.open && s.reported && s.reachable && !s.report.Leaving && !s.doubtful()
}

// soonReady reports whether a server that gives nothing now is likely to within
// the time that requests wait anyway: a poll or two of it failed, or a connection
// to it broke and the next report tells whether it has restarted.
//
// The failure without it: a link breaks for a tenth of a second while the load
// is asked for. Until the next poll, half a second later, every request was
// refused as overloaded, although it had many seconds left to wait. What waits
// is granted by the first report, expires at its deadline, and its asker tries
// other servers meanwhile.
func (s *Server) soonReady(now time.Time) bool {
	return s.open && s.reported && !s.report.Leaving && s.gone == "" && now.Sub(s.report.MeasuredAt) < silentFor
}

func (s *Server) notHere(now time.Time, id string) Decision {
	return NotHere{RequestID: id, LoadPermille: s.LoadPermille(now), RetryAfter: s.queue.RetryAfter(s.queue.Len())}
}

func (s *Server) forgetAsk(id string) {
	delete(s.asks, id)
	delete(s.lastAsked, id)
}

// dropAbandoned takes out queued requests whose askers no longer ask: they
// died, or their caller went away. They would hold their place and then a
// permit that nobody uses.
func (s *Server) dropAbandoned(now time.Time) {
	for id, asked := range s.lastAsked {
		if now.Sub(asked) > s.cfg.AskFor {
			s.Abandon(id)
		}
	}
}
