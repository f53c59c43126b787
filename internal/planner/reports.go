package planner

import (
	"context"
	"maps"
	"time"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

const (
	// reportGap is the least time between two reports, so that changes in quick
	// succession travel together. Loads that only grew are reported after growGap,
	// as the planner counts what it assigned, and those that didn't change after
	// reportEvery.
	reportGap   = 150 * time.Millisecond
	growGap     = time.Second
	reportEvery = 4 * time.Second
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
)

// sent is what a planner was last told.
type sent struct {
	loads map[string]balancer.Load
	at    time.Time
}

// Run reports what this instance has on the engines to the instances that plan
// for them, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	last := map[string]sent{}
	sequence := int64(0)
	ticker := time.NewTicker(growGap)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Changed:
		case <-ticker.C:
		}
		now := p.opts.Now()
		due := p.loadsByPlanner()
		for address := range last {
			if _, ok := due[address]; !ok {
				due[address] = nil
			}
		}
		for address, loads := range due {
			if !reportDue(now, last[address], loads) {
				continue
			}
			sequence++
			r := Report{By: p.opts.Self, Started: p.opts.Table.Self().StartedAt, Sequence: sequence, Loads: loads}
			if !p.report(ctx, now, address, r) {
				continue
			}
			last[address] = sent{loads, now}
			if len(loads) == 0 {
				delete(last, address)
			}
		}
		if objectapi.Sleep(ctx, reportGap) != nil {
			return
		}
	}
}

// reportDue reports whether a planner is to be told of these loads.
func reportDue(now time.Time, last sent, loads map[string]balancer.Load) bool {
	age := now.Sub(last.at)
	if maps.Equal(last.loads, loads) {
		return len(loads) > 0 && age >= reportEvery
	}
	for id, before := range last.loads {
		if loads[id].Running < before.Running {
			return true
		}
	}
	return age >= growGap
}

// loadsByPlanner divides this instance's loads by the instances that plan for
// their engines; the empty address is this one.
func (p *Planner) loadsByPlanner() map[string]map[string]balancer.Load {
	out := map[string]map[string]balancer.Load{}
	for id, load := range p.opts.Own() {
		server, ok := p.opts.State.Server(id)
		if !ok {
			continue
		}
		if _, err := p.engines(server.Service); err != nil {
			continue
		}
		address, ok := p.planner(p.keyOf(server.Service, server.Zone, id), 0)
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

func (p *Planner) report(ctx context.Context, now time.Time, address string, r Report) bool {
	if address == "" {
		p.loads.Take(now, r)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := connect.NewClient[Report, Reported](p.caller.HTTP, "http://"+address+reportProcedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.caller.Sign(now, req.Header(), reportProcedure)
	if _, err := client.CallUnary(ctx, req); err != nil {
		_ = p.failed(address, err)
		return false
	}
	return true
}

// Reported is the answer to a [Report].
type Reported struct{}

// groupEngines returns the engines that the group of an engine has.
func (p *Planner) groupEngines(service, zone, id string) []observed.Server {
	groups, l := p.groups(service)
	key := groupKey(l, service, zone, id)
	for _, g := range groups {
		if g.key == key {
			return g.engines
		}
	}
	return nil
}
