package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/pushback"
)

// SetLimits makes the balancer keep the limits that servers have named.
func (b *Balancer) SetLimits(limits *pushback.Limits) { b.limits = limits }

// SetPauses makes the balancer keep the pauses that servers have asked for.
func (b *Balancer) SetPauses(pauses *pushback.Pauses) { b.pauses = pauses }

// Admits reports whether a server takes one more request of this instance: it has asked for no
// pause, and its own limit admits the request.
func (b *Balancer) Admits(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause(now, id) == 0 && b.admits(now, id)
}

// pause returns how long a server still wants no request from this instance.
func (b *Balancer) pause(now time.Time, id string) time.Duration {
	if b.pauses == nil {
		return 0
	}
	return b.pauses.Remaining(now, id)
}

func (b *Balancer) admits(now time.Time, id string) bool {
	return b.limits == nil || b.limits.Admits(now, id)
}

func (b *Balancer) countLimited(now time.Time, id string) {
	if b.limits != nil {
		b.limits.Take(now, id)
	}
}
