package serve

import (
	"context"
	"errors"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// gaugeInterval is the time between two updates of the gauges, equal to telemetry's report
// interval.
const gaugeInterval = time.Second

// countCall counts a call to the platform, whose rate limits all instances share. The sixteen kinds
// of claims, one per first digit, are counted as one kind: separate series would add no
// information.
func (p *components) countCall(c objectapi.Call) {
	result, kind := "ok", c.Kind
	switch {
	case errors.Is(c.Err, objectapi.ErrWatchEnded):
		result = "cutOff"
	case c.Err != nil:
		result = "failed"
	}
	if strings.HasPrefix(kind, "claim") {
		kind = "claim"
	}
	scope := p.tel.Metrics.Tagged(map[string]string{"op": c.Op, "kind": kind, "result": result})
	scope.Counter("platform_calls").Inc(1)
	p.costs.Meter(roleOfKind(kind)).AddBytes(c.Sent, c.Received)
}

// roleOfKind returns the role that the bytes of calls for a kind of object are counted under.
func roleOfKind(kind string) controlcost.Role {
	switch kind {
	case "roster":
		return controlcost.RoleRoster
	case "claim":
		return controlcost.RoleClaims
	case "fencing":
		return controlcost.RoleEngineCommands
	}
	return controlcost.RoleConfig
}

// runGauges updates the gauges at each interval until ctx ends.
func (p *components) runGauges(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.updateGauges(time.Now())
		}
	}
}

// updateGauges sets the gauges. Only availability zones and services are labels, since there are
// few of each; 290 workspaces or 2,000 servers would each multiply the series of 350 instances. The
// operators' commands show those.
func (p *components) updateGauges(now time.Time) {
	scope, snap := p.tel.Metrics, p.store.Snapshot()
	scope.Gauge("config_version").Update(float64(snap.Version))
	ready := 0.0
	if p.ready() == nil {
		ready = 1
	}
	scope.Gauge("ready").Update(ready)
	for name := range snap.Services {
		scope.Tagged(map[string]string{"service": name}).Gauge("retry_budget").Update(p.retries.Remaining(now, name))
	}
	p.owner.UpdateGauges(now)
	p.costs.Measure()
}
