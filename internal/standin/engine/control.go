package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

func (s *Server) registerControlEndpoints(h *server.Hertz) {
	h.POST("/control/cold", s.handleCold)
	h.POST("/control/warm", s.handleWarm)
	h.POST("/control/leave", s.handleLeave)
	h.POST("/control/slow", s.handleSlow)
	h.POST("/control/crash", s.handleCrash)
	h.GET("/control/ledger", s.handleLedger)
}

// coldRequest is the body of /control/cold.
type coldRequest struct {
	// Hidden makes the load reports state that the engine is warm.
	Hidden bool `json:"hidden"`
	// Millis is how long the engine stays cold, nominal; 0 means Options.ColdTime.
	Millis int64 `json:"millis"`
}

func (s *Server) handleCold(_ context.Context, c *app.RequestContext) {
	var req coldRequest
	if !readControl(c, &req) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.opts.ColdTime
	if req.Millis > 0 {
		d = time.Duration(req.Millis) * time.Millisecond
	}
	s.coldUntil = now.Add(s.opts.realDuration(d))
	s.reportWarm = req.Hidden
	c.SetStatusCode(http.StatusNoContent)
}

func (s *Server) handleWarm(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Time{}
	c.SetStatusCode(http.StatusNoContent)
}

// leaveRequest is the body of /control/leave.
type leaveRequest struct {
	// NoticeMillis is the nominal time until the engine crashes. Without it the
	// running generations continue until a later call sets it.
	NoticeMillis *int64 `json:"noticeMillis"`
}

func (s *Server) handleLeave(_ context.Context, c *app.RequestContext) {
	var req leaveRequest
	if !readControl(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if req.NoticeMillis != nil {
		notice := s.opts.realDuration(time.Duration(*req.NoticeMillis) * time.Millisecond)
		time.AfterFunc(notice, func() { s.terminate(ErrCrashed) })
	}
	c.SetStatusCode(http.StatusNoContent)
}

// slowRequest is the body of /control/slow.
type slowRequest struct {
	// Factor multiplies the duration of every step; 1 restores the normal speed.
	Factor float64 `json:"factor"`
}

func (s *Server) handleSlow(_ context.Context, c *app.RequestContext) {
	var req slowRequest
	if !readControl(c, &req) {
		return
	}
	if req.Factor <= 0 {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badFactor"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = req.Factor
	c.SetStatusCode(http.StatusNoContent)
}

func (s *Server) handleCrash(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	s.crash(time.Now())
	s.mu.Unlock()
	c.SetStatusCode(http.StatusNoContent)
}

// Ledger is the response body of /control/ledger.
type Ledger struct {
	Incarnation string `json:"incarnation"`
	// Preemptions counts the preemptions of this incarnation.
	Preemptions int64   `json:"preemptions"`
	Generations []Entry `json:"generations"`
}

func (s *Server) handleLedger(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.readLedger())
}

func (s *Server) readLedger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := Ledger{
		Incarnation: s.incarnation,
		Preemptions: s.totals.preemptions,
		Generations: make([]Entry, 0, len(s.ledger)),
	}
	for _, g := range s.ledger {
		entry := g.entry
		entry.Preemptions = g.sequence.Preemptions
		entry.AcceptedUnixMillis = g.acceptedAt.UnixMilli()
		ledger.Generations = append(ledger.Generations, entry)
	}
	return ledger
}

// readControl decodes an optional JSON body and reports whether it was valid.
func readControl(c *app.RequestContext, v any) bool {
	body := c.Request.Body()
	if len(body) == 0 {
		return true
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badBody"})
		return false
	}
	return true
}
