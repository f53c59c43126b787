package serve

import (
	"context"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// gaugesEvery is how often states are measured, as often as metrics are moved
// to the endpoint.
const gaugesEvery = time.Second

// countCall counts the calls to the platform, whose rates are shared by all.
// The kinds of claims, one for each first digit, count as one: they would
// multiply the series by sixteen and tell nothing.
func (p *parts) countCall(c objectapi.Call) {
	result, kind := "ok", c.Kind
	if c.Err != nil {
		result = "failed"
	}
	if strings.HasPrefix(kind, "claim") {
		kind = "claim"
	}
	scope := p.tel.Metrics.Tagged(map[string]string{"op": c.Op, "kind": kind, "result": result})
	scope.Counter("platform_calls").Inc(1)
	p.costs.Of(roleOfKind(kind)).Bytes(c.Sent, c.Received)
}

// roleOfKind says what the objects of a kind are for.
func roleOfKind(kind string) control.Role {
	switch kind {
	case "roster":
		return control.RoleRoster
	case "claim":
		return control.RoleClaims
	case "fencing":
		return control.RoleOrders
	}
	return control.RoleConfig
}

// runGauges measures states until ctx ends.
func (p *parts) runGauges(ctx context.Context) {
	tick := time.NewTicker(gaugesEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.measure(time.Now())
		}
	}
}

// measure sets the gauges. Labels are availability zones and services, a few
// of each; workspaces and servers are none, since 290 workspaces or 2,000
// servers would each multiply the series of 350 instances. The operators'
// commands show those.
func (p *parts) measure(now time.Time) {
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
	p.owner.Measure(now)
	p.costs.Measure()
}
