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
	// reportCheck is how often changed loads are reported, reportEvery how often
	// those that haven't changed.
	reportCheck = 150 * time.Millisecond
	reportEvery = 2 * time.Second
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
)

// sent is what a planner was last told.
type sent struct {
	loads map[string]balancer.Load
	at    time.Time
}

// Run reports what this instance has on the engines to the instances that plan
// for them, until ctx ends: at once where it changed, else now and then.
func (p *Planner) Run(ctx context.Context) {
	last := map[string]sent{}
	sequence := int64(0)
	for objectapi.Pause(ctx, reportCheck) == nil {
		now := p.opts.Now()
		due := p.loadsByPlanner()
		for address := range last {
			if _, ok := due[address]; !ok {
				due[address] = nil
			}
		}
		for address, loads := range due {
			known := last[address]
			if maps.Equal(known.loads, loads) && (len(loads) == 0 || now.Sub(known.at) < reportEvery) {
				continue
			}
			sequence++
			r := Report{By: p.opts.Self, Started: p.opts.Table.Self().Started, Sequence: sequence, Loads: loads}
			if !p.report(ctx, now, address, r) {
				continue
			}
			last[address] = sent{loads, now}
			if len(loads) == 0 {
				delete(last, address)
			}
		}
	}
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
		engines := p.opts.State.Servers(server.Service)
		address, ok := p.planner(groupKey(engines, server.Service, &server), 0)
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
func (p *Planner) groupEngines(service string, engine *observed.Server) []observed.Server {
	engines := p.opts.State.Servers(service)
	key := groupKey(engines, service, engine)
	for _, g := range groupsOf(engines, service) {
		if g.key == key {
			return g.engines
		}
	}
	return nil
}
