// Package pushback holds what backend servers ask of the instances in their responses. It does no
// I/O; the present time is an argument.
//
// A server under pressure names the rate of requests that it takes from all instances together,
// for as long as its responses carry it.
//
// # Usage
//
//	limits := pushback.NewLimits()
//	if limits.Observe(now, sentAt, server, pushback.Limit{PerSecond: 2.5, Named: true}) {
//		// the server's limit has changed
//	}
package pushback

import (
	"sync"
	"time"
)

// Limit is the request rate that a server takes from all instances together.
type Limit struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Named is false if the server names no limit.
	Named bool
}

// Limits holds the limits that servers have named. It is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]*limitState
}

// limitState is the limit of one server.
type limitState struct {
	limit Limit
	// changedAt is when this instance learned of the limit.
	changedAt time.Time
}

// NewLimits returns a Limits without entries.
func NewLimits() *Limits { return &Limits{servers: map[string]*limitState{}} }

// Observe records the limit in a server's response to a request that was sent at sentAt, and
// reports whether it has changed.
//
// Responses overtake each other: the response to a request that was sent before the last change
// was learned doesn't say what holds now.
func (l *Limits) Observe(now, sentAt time.Time, server string, limit Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st, ok := l.servers[server]
	switch {
	case !ok && !limit.Named:
		return false
	case !ok:
		l.servers[server] = &limitState{limit: limit, changedAt: now}
		return true
	case st.limit == limit || sentAt.Before(st.changedAt):
		return false
	}
	st.limit, st.changedAt = limit, now
	return true
}
