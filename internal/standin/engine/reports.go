package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/standin/batch"
)

const (
	// reportsPerLag is the number of reports recorded per ReportLag.
	reportsPerLag = 4
	// minReportPeriod limits the cost of reports at a high time scale.
	minReportPeriod = 5 * time.Millisecond
	// maxEvents is the number of cache events kept. Callers that poll too rarely
	// miss older ones.
	maxEvents = 4096
)

// timedReport is a load report with the time at which it was recorded.
type timedReport struct {
	measuredAt time.Time
	report     engine.LoadReport
}

// reportLoop records load reports. They are served once they are ReportLag old.
func (s *Server) reportLoop(ctx context.Context) {
	period := max(s.opts.realDuration(s.opts.ReportLag)/reportsPerLag, minReportPeriod)
	ticker := time.NewTicker(period)
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
	report := s.buildLoadReport(now)
	s.reportCount++
	report.Tag = s.reportTagPrefix + strconv.FormatInt(s.reportCount, 36)
	s.reports = append(s.reports, timedReport{measuredAt: now, report: report})
	lag := s.opts.realDuration(s.opts.ReportLag)
	for len(s.reports) > 1 && now.Sub(s.reports[1].measuredAt) >= lag {
		s.reports = s.reports[1:]
	}
}

func (s *Server) buildLoadReport(now time.Time) engine.LoadReport {
	report := engine.LoadReport{
		Incarnation:         s.incarnation,
		State:               engine.LoadWarm,
		MemoryTokens:        s.opts.Batch.MemoryTokens,
		UsedTokens:          s.batch.UsedTokens(),
		CachedTokens:        s.batch.CachedTokens(),
		Running:             []engine.RunningSequence{},
		Waiting:             len(s.batch.Waiting()),
		TokenIntervalMillis: float64(s.lastStepDuration) / float64(time.Millisecond),
		Preemptions:         s.totals.preemptions,
		AcceptedTotal:       s.totals.accepted,
		FinishedTotal:       s.totals.finished,
		RefusedTotal:        s.totals.refused,
	}
	switch {
	case s.leaving:
		report.State = engine.LoadLeaving
	case s.isCold(now) && !s.reportWarm:
		report.State = engine.LoadCold
	}
	for _, seq := range s.batch.Running() {
		report.Running = append(report.Running, engine.RunningSequence{
			ID: seq.ID, PromptTokens: seq.PromptTokens, OutputTokens: seq.OutputTokens,
		})
	}
	return report
}

// laggedReport returns the newest report that is at least ReportLag old.
func (s *Server) laggedReport(now time.Time) engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.reports[0]
	first.report.MeasuredMillisAgo = now.Sub(first.measuredAt).Milliseconds()
	return first.report
}

func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	report := s.laggedReport(time.Now())
	if before, ok := s.recordServed(report, c.Query("after")); ok {
		c.JSON(http.StatusOK, DiffLoadReports(before, report))
		return
	}
	c.JSON(http.StatusOK, report)
}

// recordServed records a report as served. It also returns the served report with the
// tag after, if it is still kept.
func (s *Server) recordServed(report engine.LoadReport, after string) (before engine.LoadReport, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := false
	for _, r := range s.servedReports {
		known = known || r.Tag == report.Tag
		if r.Tag != "" && r.Tag == after {
			before, ok = r, true
		}
	}
	if !known {
		s.servedReports = append(s.servedReports, report)
		s.servedReports = s.servedReports[max(0, len(s.servedReports)-maxServedReports):]
	}
	return before, ok
}

// eventLog keeps the cache events. Lost events leave gaps in the sequence numbers.
type eventLog struct {
	seq    int64
	events []timedEvent
}

type timedEvent struct {
	addedAt time.Time
	event   engine.CacheEvent
}

func (l *eventLog) add(changes []batch.CacheChange, now time.Time, loss float64, rng *rand.Rand) {
	for _, change := range changes {
		l.seq++
		if rng.Float64() < loss {
			continue
		}
		op := engine.CacheStored
		if change.Evicted {
			op = engine.CacheEvicted
		}
		l.events = append(l.events, timedEvent{addedAt: now, event: engine.CacheEvent{
			Seq: l.seq, PrefixHash: fmt.Sprintf("%016x", change.Hash), Op: op,
		}})
	}
	if extra := len(l.events) - maxEvents; extra > 0 {
		l.events = l.events[extra:]
	}
}

// after returns the events with a sequence number above seq that are no newer than
// newest.
func (l *eventLog) after(seq int64, newest time.Time) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: seq + 1}
	for _, e := range l.events {
		if e.event.Seq <= seq {
			continue
		}
		if e.addedAt.After(newest) {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Seq + 1
	}
	return page
}

func (s *Server) handleCacheEvents(_ context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badSeq"})
		return
	}
	s.mu.Lock()
	page := s.events.after(after, time.Now().Add(-s.opts.realDuration(s.opts.EventLag)))
	s.mu.Unlock()
	c.JSON(http.StatusOK, page)
}
