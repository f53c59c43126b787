package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// admitsCold reports whether a cold server may get one more request.
//
// The rate that a cold server declares holds for all instances together, even if they can't reach
// each other: each instance uses its share by the last known number of instances.
func (b *Balancer) admitsCold(now time.Time, r Request, s *platformstate.Server) bool {
	if !now.Before(s.ColdUntil) || r.Service.ColdRequestsPerSecond <= 0 {
		return true
	}
	share := (r.Service.ColdRequestsPerSecond*b.coldLimits.ColdOverage + b.coldLimits.ColdSlack) / float64(max(1, r.Instances))
	window := time.Second
	if share < 1 {
		window = time.Duration(float64(time.Second) / share)
	}
	own, ok := b.own[s.ID]
	if !ok || now.Sub(own.coldWindowStart) >= window {
		return true
	}
	// A sliding window overlaps two counted windows, so it holds at most twice half the share.
	return own.coldCount < max(1, int(share/2))
}

func (b *Balancer) countCold(now time.Time, own *serverState) {
	if now.Sub(own.coldWindowStart) >= time.Second {
		own.coldWindowStart, own.coldCount = now, 0
	}
	own.coldCount++
}
