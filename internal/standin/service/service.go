// Package service is a stand-in for a plain HTTP service. It keeps a ledger of side
// effects, so that a test can tell whether a request ran twice, and injects faults on
// demand: delays, errors before or after the effect, and lost responses. It doesn't
// deduplicate requests.
//
// # Usage
//
//	err := service.Run(ctx, service.Options{Address: "127.0.0.1:0", Ready: ready})
//
// Besides the service it has control endpoints for tests:
//
//	PUT  /control/faults  sets the [Faults]
//	POST /control/cold    makes the service cold; body {"millis":5000}
//	POST /control/leave   makes it refuse new requests and report that it is leaving
//	POST /control/limit   sets the requests per second that it reports to take; body {"maxPerSecond":2}
//	POST /control/crash   drops the running requests and starts a new incarnation
//	GET  /control/ledger  returns the [Ledger]
package service

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollenspindle.example/pollenspindle/internal/standin/httpserver"
)

// maxStartTimes limits the start times in the ledger.
const maxStartTimes = 200_000

// Options configures one service.
type Options struct {
	Address string
	Name    string
	// Delay is the duration of each request.
	Delay time.Duration
	// ColdLimit is how many concurrent requests the service can handle while
	// cold, ColdTime how long it is cold after its start; 0 means that it starts
	// warm. Above the limit it crashes, or refuses requests if ColdRefuses is set.
	ColdLimit   int
	ColdTime    time.Duration
	ColdRefuses bool
	// RepeatAfter is the time after which the response to a read is sent again on
	// the same connection, which may serve another request by then; 0 for never.
	RepeatAfter time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Ready is called with the address once the service accepts connections.
	Ready func(address string)
}

// Faults are injected into the next requests that have a side effect. Each count is
// decremented with each request that it affects.
type Faults struct {
	// DelayMillis is a delay before the effect, AnswerDelayMillis one after it.
	DelayMillis       int64 `json:"delayMillis"`
	AnswerDelayMillis int64 `json:"answerDelayMillis"`
	// Refuse responds with status 503 and X-Not-Run, without the effect.
	Refuse int `json:"refuse"`
	// FailBefore responds with status 500 without the effect, FailAfter after it.
	FailBefore int `json:"failBefore"`
	FailAfter  int `json:"failAfter"`
	// LoseAnswers closes the connection after the effect, without a response.
	LoseAnswers int `json:"loseAnswers"`
}

// Effect is a side effect in the ledger.
type Effect struct {
	Seq            int64  `json:"seq"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query,omitempty"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	// BodySHA256 is lower-case hex.
	BodySHA256  string `json:"bodySha256"`
	Incarnation string `json:"incarnation"`
}

// Ledger records the requests that the service has received.
type Ledger struct {
	Incarnation string   `json:"incarnation"`
	Effects     []Effect `json:"effects"`
	// StartedQueries holds the query strings of the requests with a side effect that
	// started, whether or not the effect took place.
	StartedQueries []string `json:"begun"`
	// Reads counts the requests without a side effect, Refused those refused
	// before running.
	Reads int64 `json:"reads"`
	// StartTimes are the times at which the first maxStartTimes requests started.
	StartTimes []time.Time `json:"starts"`
	Refused    int64       `json:"refused"`
}

// Server is the stand-in of one service.
type Server struct {
	opts Options

	mu               sync.Mutex
	incarnationCount int
	incarnation      string
	coldUntil        time.Time
	leaving          bool
	maxPerSecond     float64
	faults           Faults
	running          int
	accepted         int64
	finished         int64
	reads            int64
	refused          int64
	effects          []Effect
	startTimes       []time.Time
	startedQueries   []string
	reports          []timedReport
}

// Run runs a service until ctx is done.
func Run(ctx context.Context, opts Options) error {
	s := &Server{opts: opts}
	s.startIncarnation(time.Now())
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(done)
		s.reportLoop(ctx)
	}()
	err := httpserver.Run(ctx, opts.Address, opts.Ready, s.register)
	cancel()
	<-done
	return err
}

// startIncarnation starts a new incarnation. The ledger is kept, since it represents
// the service's data store.
func (s *Server) startIncarnation(now time.Time) {
	s.incarnationCount++
	s.incarnation = fmt.Sprintf("%s-%d-%x", s.opts.Name, s.incarnationCount, now.UnixNano()&0xffffffffff)
	s.coldUntil = now.Add(s.opts.ColdTime)
	s.leaving = false
	s.running, s.accepted, s.finished = 0, 0, 0
	s.reports = nil
}

func (s *Server) register(h *server.Hertz) {
	h.GET("/load", s.handleLoad)
	h.PUT("/control/faults", s.handleFaults)
	h.POST("/control/cold", s.handleCold)
	h.POST("/control/leave", s.handleLeave)
	h.POST("/control/limit", s.handleLimit)
	h.POST("/control/crash", s.handleCrash)
	h.GET("/control/ledger", s.handleLedger)
	h.NoRoute(s.handle)
}

// admission is the decision on a new request.
type admission int

const (
	admissionAccept admission = iota
	admissionRefuse
	admissionCrash
)

// handle serves all requests without a route of their own.
func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	incarnation, decision := s.admit(time.Now(), c)
	switch decision {
	case admissionRefuse:
		c.Header("X-Not-Run", "true")
		c.Header("Retry-After", "1")
		c.JSON(http.StatusServiceUnavailable, map[string]string{"error": "notRun"})
		return
	case admissionCrash:
		httpserver.CloseConnection(c)
		return
	}
	defer s.finish(incarnation)
	if !hasEffect(c) {
		sleep(s.opts.Delay)
		s.handleRead(c)
		s.repeatResponse(c)
		return
	}
	s.handleWrite(c, incarnation)
}

// hasEffect reports whether the request's method implies a side effect.
func hasEffect(c *app.RequestContext) bool {
	method := string(c.Method())
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions
}

// admit counts a request and decides whether it runs. It returns the incarnation in
// which the request runs.
func (s *Server) admit(now time.Time, c *app.RequestContext) (string, admission) {
	effect := hasEffect(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		s.refused++
		return "", admissionRefuse
	}
	if effect && s.faults.Refuse > 0 {
		s.faults.Refuse--
		s.refused++
		return "", admissionRefuse
	}
	if now.Before(s.coldUntil) && s.running >= s.opts.ColdLimit {
		if s.opts.ColdRefuses {
			s.refused++
			return "", admissionRefuse
		}
		s.startIncarnation(now)
		return "", admissionCrash
	}
	if effect {
		s.startedQueries = append(s.startedQueries, string(c.Request.URI().QueryString()))
	}
	s.running++
	s.accepted++
	if len(s.startTimes) < maxStartTimes {
		s.startTimes = append(s.startTimes, now)
	}
	return s.incarnation, admissionAccept
}

func (s *Server) finish(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation == s.incarnation {
		s.running--
		s.finished++
	}
}

// isCurrentIncarnation reports whether the incarnation in which a request started is
// still running.
func (s *Server) isCurrentIncarnation(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return incarnation == s.incarnation
}

func (s *Server) handleRead(c *app.RequestContext) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	c.JSON(http.StatusOK, map[string]string{"path": string(c.Request.URI().PathOriginal())})
}
