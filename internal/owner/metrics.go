package owner

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

// UpdateGauges updates the gauges of the servers that this instance owns or deputizes
// for, summed by availability zone: one gauge for each server would be 2,000 series
// in the fleet, and a stale series whenever an owner changes.
func (o *Owner) UpdateGauges(now time.Time) {
	snap := o.opts.Config()
	sums := map[string]Load{}
	for name := range snap.Zones {
		sums[name] = Load{}
	}
	for _, server := range snap.Config.Servers {
		l, ok := o.Load(now, server.Name)
		if !ok {
			continue
		}
		sum := sums[server.Zone]
		sum.Running += l.Running
		sum.Queued += l.Queued
		sum.Limit += l.Limit
		sums[server.Zone] = sum
	}
	for zone, sum := range sums {
		scope := o.opts.Metrics.Tagged(map[string]string{"zone": zone})
		// Creates the counter, since a missing one can't be distinguished from zero.
		scope.Counter("preemptions").Inc(0)
		scope.Gauge("running").Update(float64(sum.Running))
		scope.Gauge("queued").Update(float64(sum.Queued))
		scope.Gauge("limit").Update(float64(sum.Limit))
	}
}

// countAnswer counts permits and refusals by reason.
func (o *Owner) countAnswer(res *peerv1.AcquireResponse) *peerv1.AcquireResponse {
	switch a := res.GetAnswer().(type) {
	case *peerv1.AcquireResponse_Granted:
		o.opts.Metrics.Counter("permits").Inc(1)
	case *peerv1.AcquireResponse_Refused:
		o.opts.Metrics.Tagged(map[string]string{"reason": a.Refused.GetReason()}).Counter("refusals").Inc(1)
	}
	return res
}

// countPreemptions counts the preemptions between two reports of one incarnation.
func (o *Owner) countPreemptions(zone string, before, after admission.Report) {
	if n := after.Preemptions - before.Preemptions; n > 0 && before.Incarnation == after.Incarnation {
		o.opts.Metrics.Tagged(map[string]string{"zone": zone}).Counter("preemptions").Inc(int64(n))
	}
}
