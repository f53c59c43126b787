package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/standin/httpserver"
)

// reportPeriod is the interval between load reports.
const reportPeriod = 20 * time.Millisecond

// requestFaults are the faults injected into one request.
type requestFaults struct {
	delay       time.Duration
	answerDelay time.Duration
	failBefore  bool
	failAfter   bool
	loseAnswer  bool
}

// handleWrite records the side effect of a request and responds, with the injected
// faults. It continues when the caller disconnects, as real services do.
func (s *Server) handleWrite(c *app.RequestContext, incarnation string) {
	faults := s.nextRequestFaults()
	sleep(s.opts.Delay + faults.delay)
	if !s.isCurrentIncarnation(incarnation) {
		httpserver.CloseConnection(c)
		return
	}
	if faults.failBefore {
		c.JSON(http.StatusInternalServerError, map[string]string{"error": "failed"})
		return
	}
	effect := s.recordEffect(c, incarnation)
	sleep(faults.answerDelay)
	switch {
	case faults.loseAnswer || !s.isCurrentIncarnation(incarnation):
		httpserver.CloseConnection(c)
	case faults.failAfter:
		c.JSON(http.StatusInternalServerError, map[string]string{"error": "failed"})
	default:
		c.JSON(http.StatusOK, effect)
	}
}

func (s *Server) nextRequestFaults() requestFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	return requestFaults{
		delay:       time.Duration(f.DelayMillis) * time.Millisecond,
		answerDelay: time.Duration(f.AnswerDelayMillis) * time.Millisecond,
		failBefore:  consume(&f.FailBefore),
		failAfter:   consume(&f.FailAfter),
		loseAnswer:  consume(&f.LoseAnswers),
	}
}

// consume decrements n if it is positive, and reports whether it was.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Server) recordEffect(c *app.RequestContext, incarnation string) Effect {
	sum := sha256.Sum256(c.Request.Body())
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := Effect{
		Seq:            int64(len(s.effects)) + 1,
		Method:         string(c.Method()),
		Path:           string(c.Request.URI().PathOriginal()),
		Query:          string(c.Request.URI().QueryString()),
		IdempotencyKey: string(c.GetHeader("Idempotency-Key")),
		BodySHA256:     hex.EncodeToString(sum[:]),
		Incarnation:    incarnation,
	}
	s.effects = append(s.effects, effect)
	return effect
}

// repeatResponse sends the response again later, as a broken proxy does.
func (s *Server) repeatResponse(c *app.RequestContext) {
	if s.opts.RepeatAfter <= 0 {
		return
	}
	body, conn := c.Response.Body(), c.GetConn()
	repeated := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.AfterFunc(s.opts.RepeatAfter, func() { _, _ = conn.Write(repeated) })
}

// sleep simulates the duration of a request.
func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

type timedReport struct {
	measuredAt time.Time
	report     service.LoadReport
}

// reportLoop records load reports. They are served once they are ReportLag old.
func (s *Server) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.recordReport(now)
		}
	}
}

func (s *Server) recordReport(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, timedReport{measuredAt: now, report: s.buildLoadReport(now)})
	for len(s.reports) > 1 && now.Sub(s.reports[1].measuredAt) >= s.opts.ReportLag {
		s.reports = s.reports[1:]
	}
}

func (s *Server) buildLoadReport(now time.Time) service.LoadReport {
	state := service.LoadWarm
	switch {
	case s.leaving:
		state = service.LoadLeaving
	case now.Before(s.coldUntil):
		state = service.LoadCold
	}
	return service.LoadReport{
		Incarnation:   s.incarnation,
		State:         state,
		Running:       s.running,
		AcceptedTotal: s.accepted,
		FinishedTotal: s.finished,
		MaxPerSecond:  s.maxPerSecond,
	}
}

func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		c.JSON(http.StatusOK, s.buildLoadReport(now))
		return
	}
	oldest := s.reports[0]
	oldest.report.MeasuredMillisAgo = now.Sub(oldest.measuredAt).Milliseconds()
	c.JSON(http.StatusOK, oldest.report)
}

func (s *Server) handleFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	c.SetStatusCode(http.StatusNoContent)
}

// coldRequest is the body of /control/cold.
type coldRequest struct {
	// Millis is how long the service stays cold; 0 means Options.ColdTime.
	Millis int64 `json:"millis"`
}

func (s *Server) handleCold(_ context.Context, c *app.RequestContext) {
	var req coldRequest
	if body := c.Request.Body(); len(body) > 0 && json.Unmarshal(body, &req) != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.opts.ColdTime
	if req.Millis > 0 {
		d = time.Duration(req.Millis) * time.Millisecond
	}
	s.coldUntil = time.Now().Add(d)
	c.SetStatusCode(http.StatusNoContent)
}

// limitRequest is the body of /control/limit.
type limitRequest struct {
	// MaxPerSecond is the limit; 0 for none.
	MaxPerSecond float64 `json:"maxPerSecond"`
}

func (s *Server) handleLimit(_ context.Context, c *app.RequestContext) {
	var req limitRequest
	if json.Unmarshal(c.Request.Body(), &req) != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxPerSecond = req.MaxPerSecond
	c.SetStatusCode(http.StatusNoContent)
}

func (s *Server) handleLeave(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	c.SetStatusCode(http.StatusNoContent)
}

func (s *Server) handleCrash(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startIncarnation(time.Now())
	c.SetStatusCode(http.StatusNoContent)
}

func (s *Server) handleLedger(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, Ledger{
		Incarnation:    s.incarnation,
		Effects:        append([]Effect{}, s.effects...),
		StartedQueries: append([]string{}, s.startedQueries...),
		Reads:          s.reads,
		StartTimes:     append([]time.Time{}, s.startTimes...),
		Refused:        s.refused,
	})
}
