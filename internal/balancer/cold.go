package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

// SetShare sets a function that returns the place of this instance among those that share the limits
// of a server; without it, all instances share them evenly.
func (b *Balancer) SetShare(share func(now time.Time, server string) pushback.Share) { b.share = share }

// admitsCold reports whether a cold server may get one more request.
//
// The rate that a cold server declares holds for all instances together, even if they can't reach
// each other. An instance sends whole requests, so no more of them may send than the rate has
// requests: the first ones in an order that all derive from the instances that they know.
func (b *Balancer) admitsCold(now time.Time, r Request, s *platformstate.Server) bool {
	if !now.Before(s.ColdUntil) || r.Service.ColdRequestsPerSecond <= 0 {
		return true
	}
	share := b.shareOf(now, r, s.ID)
	// A sliding window overlaps two counted windows, which may hold half of the limit each.
	perWindow := max(1, int((r.Service.ColdRequestsPerSecond*b.coldLimits.ColdOverage+b.coldLimits.ColdSlack)/2))
	holders := max(1, min(share.Instances, perWindow))
	if !share.Known || share.Rank >= holders {
		return false
	}
	own, ok := b.own[s.ID]
	return !ok || now.Sub(own.coldWindowStart) >= time.Second || own.coldCount < perWindow/holders
}

func (b *Balancer) countCold(now time.Time, own *serverState) {
	if now.Sub(own.coldWindowStart) >= time.Second {
		own.coldWindowStart, own.coldCount = now, 0
	}
	own.coldCount++
}
