package planner

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// maxReportedPaces limits the engines in one report and in its response.
	maxReportedPaces = 64
	// receivedPaceTTL is how long a ratio from the planner is used. Loads are reported at least every
	// unchangedReportInterval, so an older one means that the planner can't be reached.
	receivedPaceTTL = unchangedReportInterval + 2*time.Second
	// maxPaceGauges limits the engines with an own gauge; engines are replaced, and metrics aren't
	// removed.
	maxPaceGauges = 256
	// maxOwnSamples limits the own observations that are used for a service.
	maxOwnSamples = 512
	// ownInstance is the name under which an instance's own observations are kept in its own table.
	ownInstance = "own"
	// maxReceivedRatio limits the ratios that are accepted from a planner.
	maxReceivedRatio = 1000.0
)

// PaceOptions configures the use of the pace of engines.
type PaceOptions struct {
	// Observations holds what this instance has measured.
	Observations *pace.Observations
	Scope        tally.Scope
}

// receivedPace is the ratio of an engine that a planner sent.
type receivedPace struct {
	ratio float64
	born  int64
	at    time.Time
}

// paces holds what an instance knows of the pace of engines: as the planner of groups, from the
// reports of all instances, and for its own decisions, from its own observations and the planners'
// responses. It is safe for concurrent use.
type paces struct {
	opts PaceOptions
	// planned holds the estimates of the groups that this instance plans for, own those from this
	// instance's observations alone, by service.
	planned, own *pace.Table

	mu sync.Mutex
	// sent is up to when observations have been reported, by the address of the planner.
	sent     map[string]time.Time
	received map[string]receivedPace
	gauges   map[string]tally.Gauge
	// moves is when each group last let a generation migrate for pace.
	moves map[string]time.Time
}

func newPaces(opts *PaceOptions) *paces {
	if opts == nil {
		return nil
	}
	o := *opts
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &paces{
		opts: o, planned: pace.NewTable(), own: pace.NewTable(), sent: map[string]time.Time{}, received: map[string]receivedPace{},
		gauges: map[string]tally.Gauge{}, moves: map[string]time.Time{},
	}
}

// paceEngines returns the engines of a group in the form of the table.
func paceEngines(servers []*platformstate.Server) []pace.Engine {
	out := make([]pace.Engine, len(servers))
	for i, s := range servers {
		out[i] = pace.Engine{ID: s.ID, Born: s.StartedAtMillis}
	}
	return out
}

// pacesToReport returns the observations for the planner with this address since the last report to
// it, and up to when they are included.
func (p *Planner) pacesToReport(now time.Time, address string) (map[string]pace.Sample, time.Time) {
	if p.paces == nil {
		return nil, time.Time{}
	}
	p.paces.mu.Lock()
	after := p.paces.sent[address]
	p.paces.mu.Unlock()
	return p.paces.opts.Observations.Since(now, after, maxReportedPaces, func(id string) bool {
		server, ok := p.opts.State.Server(id)
		if !ok {
			return false
		}
		planner, ok := p.plannerAddress(p.groupKeyOf(server.Service, server.Zone, id), 0)
		return ok && planner == address
	})
}

// pacesDue reports whether a report is due because of new observations.
func (p *Planner) pacesDue(now time.Time, address string, last time.Time) bool {
	if p.paces == nil || now.Sub(last) < growthReportInterval {
		return false
	}
	samples, _ := p.pacesToReport(now, address)
	return len(samples) > 0
}

// recordPacesSent records a successful report and the ratios in its response. Engines in the report
// for which there is no ratio are average.
func (p *Planner) recordPacesSent(now time.Time, address string, until time.Time, r Report, ratios map[string]float64) {
	if p.paces == nil {
		return
	}
	c := p.paces
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[address] = until
	maps.DeleteFunc(c.sent, func(_ string, at time.Time) bool { return now.Sub(at) > time.Minute })
	maps.DeleteFunc(c.received, func(_ string, v receivedPace) bool { return now.Sub(v.at) >= receivedPaceTTL })
	for id := range reportedEngines(r) {
		ratio, ok := ratios[id]
		if !ok {
			delete(c.received, id)
			continue
		}
		server, listed := p.opts.State.Server(id)
		if !listed || !(ratio > 0) || ratio > maxReceivedRatio {
			c.reject("ratio")
			continue
		}
		c.received[id] = receivedPace{ratio: ratio, born: server.StartedAtMillis, at: now}
	}
}

// reportedEngines returns the IDs of the engines that a report concerns.
func reportedEngines(r Report) map[string]bool {
	ids := make(map[string]bool, len(r.Loads)+len(r.Paces))
	for id := range r.Paces {
		ids[id] = true
	}
	for id := range r.Loads {
		ids[id] = true
	}
	return ids
}

func (c *paces) reject(reason pace.Rejection) {
	c.opts.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("pace_rejected").Inc(1)
}

// applyPaces adds the observations of a report to the table and returns the ratios of the engines
// that it concerns, except for those that are average. The result is nil if this instance doesn't
// use paces.
func (p *Planner) applyPaces(now time.Time, r Report) map[string]float64 {
	if p.paces == nil {
		return nil
	}
	c := p.paces
	taken := 0
	for id, sample := range r.Paces {
		server, ok := p.opts.State.Server(id)
		reason := pace.RejectedIncarnation
		if taken++; taken > maxReportedPaces {
			reason = pace.RejectedBound
		} else if ok {
			reason = c.planned.Apply(now, r.Instance, id, server.StartedAtMillis, sample)
		}
		if reason != "" {
			c.reject(reason)
			p.opts.Log.Debug().Str("instance", r.Instance).Str("server", id).Str("reason", string(reason)).Msg("pace of an engine ignored")
		}
	}
	ratios := map[string]float64{}
	for id := range reportedEngines(r) {
		server, ok := p.opts.State.Server(id)
		if !ok {
			continue
		}
		key := p.groupKeyOf(server.Service, server.Zone, id)
		p.refreshPaces(now, server.Service, key)
		if relative := c.planned.Relative(key, id); relative.Known && relative.Ratio != 1 && len(ratios) < maxReportedPaces {
			ratios[id] = relative.Ratio
		}
	}
	return ratios
}

// refreshPaces computes the ratios of a group's engines again if they are out of date.
func (p *Planner) refreshPaces(now time.Time, service, key string) {
	if p.paces == nil {
		return
	}
	if !p.paces.planned.Due(now, key) {
		return
	}
	var engines []pace.Engine
	groups, _ := p.groups(service)
	for _, g := range groups {
		if g.key == key {
			engines = paceEngines(g.engines)
		}
	}
	changes := p.paces.planned.Refresh(now, key, engines)
	for _, change := range changes {
		msg := "engine is no longer slow"
		if change.Slow {
			msg = "engine is slow"
		}
		p.opts.Log.Info().Str("server", change.Engine).Str("group", key).Float64("ratio", change.Ratio).
			Dur("interval", change.Interval).Dur("reference", p.paces.planned.Relative(key, change.Engine).Reference).Msg(msg)
	}
	p.paces.updateGauges(p.paces.planned.Intervals(engines))
}

func (c *paces) updateGauges(intervals map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, interval := range intervals {
		gauge, ok := c.gauges[id]
		if !ok && len(c.gauges) >= maxPaceGauges {
			continue
		}
		if !ok {
			gauge = c.opts.Scope.Tagged(map[string]string{"server": id}).Gauge("pace_interval_ms")
			c.gauges[id] = gauge
		}
		gauge.Update(float64(interval) / float64(time.Millisecond))
	}
}

// plannedPace returns the pace of an engine as the planner of its group knows it.
func (p *Planner) plannedPace(now time.Time, server *platformstate.Server) pace.Relative {
	key := p.groupKeyOf(server.Service, server.Zone, server.ID)
	p.refreshPaces(now, server.Service, key)
	return p.paces.planned.Relative(key, server.ID)
}

// recordPacePlacement records that a generation with an expected number of events was placed.
func (p *Planner) recordPacePlacement(now time.Time, group, engine string, events int) {
	if p.paces != nil {
		p.paces.planned.RecordPlacement(now, group, engine, events)
	}
}

// OwnPace returns the pace of an engine for decisions that this instance makes alone: the ratio that
// the planner of its group sent, if it is recent, or the instance's own observations.
func (p *Planner) OwnPace(now time.Time, server *platformstate.Server) pace.Relative {
	if p.paces == nil {
		return pace.Relative{Ratio: 1}
	}
	c := p.paces
	p.refreshOwnPaces(now, server.Service)
	relative := c.own.Relative(server.Service, server.ID)
	c.mu.Lock()
	received, ok := c.received[server.ID]
	c.mu.Unlock()
	if !ok || received.born != server.StartedAtMillis || now.Sub(received.at) >= receivedPaceTTL {
		return relative
	}
	relative.Ratio, relative.Mixed = received.ratio, true
	if sample, ok := c.opts.Observations.Sample(now, server.ID); ok && relative.Reference == 0 {
		relative.Reference = time.Duration(float64(sample.Interval()) / received.ratio)
	}
	return relative
}

// refreshOwnPaces adds this instance's observations to its own table. Engines without observations
// are left out.
func (p *Planner) refreshOwnPaces(now time.Time, service string) {
	c := p.paces
	if !c.own.Due(now, service) {
		return
	}
	samples, _ := c.opts.Observations.Since(now, time.Time{}, maxOwnSamples, func(id string) bool {
		_, ok := p.opts.State.Eligible(service, id)
		return ok
	})
	engines := make([]pace.Engine, 0, len(samples))
	for id, sample := range samples {
		if server, ok := p.opts.State.Server(id); ok && c.own.Apply(now, ownInstance, id, server.StartedAtMillis, sample) == "" {
			engines = append(engines, pace.Engine{ID: id, Born: server.StartedAtMillis})
		}
	}
	c.own.Refresh(now, service, engines)
}
