package planner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/placementqueue"
)

// queueMetrics counts the decisions on requests that may wait.
type queueMetrics struct {
	interactive, patient             tally.Gauge
	waited                           tally.Histogram
	promised, missed, byForecast     tally.Counter
	invalid, sequencesRejected       tally.Counter
	plannerFailures, refusedHeldPool tally.Counter
}

// waitedBuckets are the bounds of waited_ms: waits are at most a few seconds.
var waitedBuckets = tally.ValueBuckets{0, 50, 100, 200, 400, 800, 1200, 1600, 2400, 3200, 4800, 10000}

func newQueueMetrics(scope tally.Scope) queueMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	urgency := func(name string) tally.Gauge {
		return scope.Tagged(map[string]string{"urgency": name}).Gauge("waiting")
	}
	return queueMetrics{
		interactive: urgency("interactive"), patient: urgency("patient"), waited: scope.Histogram("waited_ms", waitedBuckets),
		promised: scope.Counter("starts_promised"), missed: scope.Counter("starts_missed"), byForecast: scope.Counter("refused_by_forecast"),
		invalid: scope.Counter("placements_invalid"), sequencesRejected: scope.Counter("sequences_rejected"),
		plannerFailures: scope.Counter("waits_lost"), refusedHeldPool: scope.Counter("refused_by_held_calls"),
	}
}

// updateGauges sets the numbers of waiting requests.
func (q *placementQueues) updateGauges() {
	interactive, patient := 0, 0
	for _, g := range q.byGroup {
		i, p := g.queue.Waiting()
		interactive, patient = interactive+i, patient+p
	}
	q.metrics.interactive.Update(float64(interactive))
	q.metrics.patient.Update(float64(patient))
}

// record counts and logs a decision.
func (p *Planner) record(r PlacementRequest, d placementqueue.Decision) {
	m := &p.queues.metrics
	line := p.opts.Log.Info().Str("request", r.RequestID).Str("by", r.Instance).Str("group", r.Group).Str("workspace", r.Workspace).Int("priority", r.Priority)
	switch d := d.(type) {
	case placementqueue.Placed:
		m.waited.RecordValue(millis(d.Waited))
		line.Str("server", d.Engine).Dur("waited", d.Waited).Msg("waiting request placed")
	case placementqueue.Waiting:
		m.promised.Inc(1)
		line.Int("ahead", d.Ahead).Dur("expected", d.Start).Dur("slack", r.slack()).Msg("request waits for an engine")
	case placementqueue.Refused:
		switch d.Reason {
		case placementqueue.ReasonMissed:
			m.missed.Inc(1)
			m.waited.RecordValue(millis(d.Waited))
		case placementqueue.ReasonForecast:
			m.byForecast.Inc(1)
		}
		line.Str("reason", string(d.Reason)).Dur("slack", r.slack()).Dur("waited", d.Waited).Dur("retryAfter", d.RetryAfter).Msg("placement refused")
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
