package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/pushback"
)

// SetLimits makes the balancer keep the limits that servers have named.
func (b *Balancer) SetLimits(limits *pushback.Limits) { b.limits = limits }

// Admits reports whether a server's own limit admits one more request of this instance.
func (b *Balancer) Admits(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admits(now, id)
}

func (b *Balancer) admits(now time.Time, id string) bool {
	return b.limits == nil || b.limits.Admits(now, id)
}

func (b *Balancer) countLimited(now time.Time, id string) {
	if b.limits != nil {
		b.limits.Take(now, id)
	}
}
