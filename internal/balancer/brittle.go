package balancer

import (
	"math"
	"time"

	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

// SetBrittle makes the balancer keep brittle servers from rejecting requests.
func (b *Balancer) SetBrittle(brittle *pushback.Brittle) { b.brittle = brittle }

// AnyBrittle reports whether one of the servers is brittle.
func (b *Balancer) AnyBrittle(now time.Time, servers []*platformstate.Server) bool {
	if b.brittle == nil {
		return false
	}
	for _, s := range servers {
		if b.brittle.Rejections(now, s.ID) > 0 {
			return true
		}
	}
	return false
}

// lastBrittle returns the server in whose order this instance ranks first, of a list that is compared
// as a whole.
func (b *Balancer) lastBrittle(now time.Time, r Request, servers []*platformstate.Server) string {
	if len(servers) > compareAllLimit || !b.AnyBrittle(now, servers) {
		return ""
	}
	best, bestRank := "", math.MaxInt
	for _, s := range servers {
		if rank := b.shareOf(now, r, s.ID).Rank; rank < bestRank {
			best, bestRank = s.ID, rank
		}
	}
	return best
}

// brittleLimit returns the number of requests that this instance may have on a server if it is
// brittle.
func (b *Balancer) brittleLimit(now time.Time, r Request, s *platformstate.Server, last string) int {
	if b.brittle == nil {
		return math.MaxInt
	}
	n := b.brittle.Rejections(now, s.ID)
	if n == 0 {
		return math.MaxInt
	}
	return pushback.BrittleShare(b.shareOf(now, r, s.ID), s.Slots, n, s.ID == last)
}

func (b *Balancer) shareOf(now time.Time, r Request, server string) pushback.Share {
	if b.share == nil {
		return pushback.Share{Instances: r.Instances, Known: true}
	}
	return b.share(now, server)
}
