package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/observed"
)

// bearsCold reports whether a server that is cold may get one more request.
//
// The rate that a cold server declares holds for all instances together, also
// those that can't see each other: each keeps to its share by the number of
// instances known lately.
func (b *Balancer) bearsCold(now time.Time, r Request, s *observed.Server) bool {
	if !now.Before(s.ColdUntil) || r.Service.ColdRequestsPerSecond <= 0 {
		return true
	}
	share := (r.Service.ColdRequestsPerSecond*b.bounds.ColdOverage + b.bounds.ColdSlack) / float64(max(1, r.Instances))
	window := time.Second
	if share < 1 {
		window = time.Duration(float64(time.Second) / share)
	}
	own, ok := b.own[s.ID]
	if !ok || now.Sub(own.coldSince) >= window {
		return true
	}
	// A window that slides over two counted ones holds at most twice a half.
	return own.coldSent < max(1, int(share/2))
}

func (b *Balancer) countCold(now time.Time, own *server) {
	if now.Sub(own.coldSince) >= time.Second {
		own.coldSince, own.coldSent = now, 0
	}
	own.coldSent++
}
