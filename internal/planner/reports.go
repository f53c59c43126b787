package planner

import (
	"context"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// minReportInterval is the minimum time between two reports and batches changes in quick
	// succession. Loads that only grew are reported after growthReportInterval, since the planner
	// counts its own assignments; unchanged loads after unchangedReportInterval.
	minReportInterval       = 150 * time.Millisecond
	growthReportInterval    = time.Second
	unchangedReportInterval = 4 * time.Second
	// reportTimeout limits the sending of one report.
	reportTimeout = 300 * time.Millisecond
)

// sentReport is the last report sent to a planner.
type sentReport struct {
	loads map[string]balancer.Load
	at    time.Time
}

// Run sends this instance's loads on engines to the instances that plan for them, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	if p.queues != nil {
		var queues sync.WaitGroup
		queues.Go(func() { p.runQueues(ctx) })
		defer queues.Wait()
	}
	last := map[string]sentReport{}
	sequence := int64(0)
	ticker := time.NewTicker(growthReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.opts.LoadChanged:
		case <-ticker.C:
		}
		now := p.opts.Now()
		byAddress := p.loadsByPlanner()
		for address := range last {
			if _, ok := byAddress[address]; !ok {
				byAddress[address] = nil
			}
		}
		for address, loads := range byAddress {
			if !reportDue(now, last[address], loads) && !p.pacesDue(now, address, last[address].at) {
				continue
			}
			sequence++
			r := Report{Instance: p.opts.Self, Started: p.opts.Table.Self().StartedAt, Sequence: sequence, Loads: loads}
			p.addSequences(&r, p.ownSequences())
			var pacesUntil time.Time
			r.Paces, pacesUntil = p.pacesToReport(now, address)
			var lastNotice uint64
			r.Notices, lastNotice = p.noticesFor(now, address)
			res, ok := p.sendReport(ctx, now, address, r)
			if !ok {
				continue
			}
			p.recordPacesSent(now, address, pacesUntil, r, res.Paces)
			p.noticesSent(address, lastNotice)
			last[address] = sentReport{loads, now}
			if len(loads) == 0 {
				delete(last, address)
			}
		}
		if objectapi.Sleep(ctx, minReportInterval) != nil {
			return
		}
	}
}

// reportDue reports whether these loads have to be sent to a planner now.
func reportDue(now time.Time, last sentReport, loads map[string]balancer.Load) bool {
	age := now.Sub(last.at)
	if maps.Equal(last.loads, loads) {
		return len(loads) > 0 && age >= unchangedReportInterval
	}
	for id, before := range last.loads {
		if loads[id].Running < before.Running {
			return true
		}
	}
	return age >= growthReportInterval
}

// loadsByPlanner groups this instance's loads by the address of the planner; an empty address is
// this instance.
func (p *Planner) loadsByPlanner() map[string]map[string]balancer.Load {
	out := map[string]map[string]balancer.Load{}
	for id, load := range p.opts.OwnLoads() {
		server, ok := p.opts.State.Server(id)
		if !ok {
			continue
		}
		if _, err := p.engines(server.Service); err != nil {
			continue
		}
		address, ok := p.plannerAddress(p.groupKeyOf(server.Service, server.Zone, id), 0)
		if !ok {
			continue
		}
		if out[address] == nil {
			out[address] = map[string]balancer.Load{}
		}
		out[address][id] = load
	}
	return out
}

func (p *Planner) sendReport(ctx context.Context, now time.Time, address string, r Report) (ReportResponse, bool) {
	if address == "" {
		return p.applyReport(now, r), true
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := connect.NewClient[Report, ReportResponse](p.rpc.HTTP, "http://"+address+reportProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.rpc.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		_ = p.recordFailure(address, err)
		return ReportResponse{}, false
	}
	return *res.Msg, true
}

// ReportResponse is the response to a [Report].
type ReportResponse struct {
	// Paces holds the interval between events relative to the average of the group, for those engines
	// of the report that count as slow or fast, by engine ID.
	Paces map[string]float64 `json:"paces,omitempty"`
}

// applyReport stores a report of an instance.
func (p *Planner) applyReport(now time.Time, r Report) ReportResponse {
	p.applyLoads(now, r)
	p.addNotices(now, r.Notices)
	return ReportResponse{Paces: p.applyPaces(now, r)}
}

// groupEngines returns the engines in the group of an engine.
func (p *Planner) groupEngines(service, zone, id string) []*platformstate.Server {
	groups, l := p.groups(service)
	key := groupKey(l, service, zone, id)
	for _, g := range groups {
		if g.key == key {
			return g.engines
		}
	}
	return nil
}
