// Package pushback holds what backend servers ask of the instances in their responses. It does no
// I/O; the present time is an argument.
//
// [Limits]: a server under pressure names the rate of requests that it takes from all instances
// together, for as long as its responses carry it. The rate is divided among a few instances chosen
// by hashing, the holders; the others send it nothing. Every instance derives the same holders from
// the instances that it knows, also from those that it can't reach, so that the sum holds without a
// coordinator. Instances tell each other of limits, since one that sends nothing to a server doesn't
// hear that its limit has ended.
//
// # Usage
//
//	limits := pushback.NewLimits(pushback.Options{Share: share, Listed: listed})
//	limits.Observe(now, sentAt, server, pushback.Limit{PerSecond: 2.5, Named: true})
//	if limits.Admits(now, server) {
//		limits.Take(now, server)
//		// send the request
//	}
//	limits.Merge(now, entries) // from another instance
package pushback

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// minPerSecond is the rate at which a server is sent requests however low its limit is: only its
	// responses say that the limit has ended.
	minPerSecond = 0.1
	// extraHolders is the number of instances that share a limit in addition to one for each request
	// per second: callers of the other instances are refused while the holders may have room.
	extraHolders = 3
	// burstTime is the time whose requests a holder may send at once after a pause, but one at least.
	burstTime = time.Second
)

// ParseLimit parses a limit in a response, in requests per second.
func ParseLimit(value string) (Limit, bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return Limit{}, false
	}
	return Limit{PerSecond: perSecond, Named: true}, true
}

// Limit is the request rate that a server takes from all instances together.
type Limit struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Named is false if the server names no limit.
	Named bool
}

// stricter reports whether l permits less than other.
func (l Limit) stricter(other Limit) bool {
	if l.Named != other.Named {
		return l.Named
	}
	return l.Named && l.PerSecond < other.PerSecond
}

// rate returns the rate that instances use.
func (l Limit) rate() float64 { return max(l.PerSecond, minPerSecond) }

// Share is the place of this instance among those that share a server's limit.
type Share struct {
	// Rank is its place in the server's order of the instances, from 0.
	Rank int
	// Instances is the number of instances, including those that can't be reached.
	Instances int
	// Known is false while this instance doesn't know the others.
	Known bool
}

// perSecond returns the part of a limit that this instance may use.
//
// With bursts of one request each, the holders exceed the limit by their number, which is about what
// the server takes in a second.
func (s Share) perSecond(l Limit) float64 {
	holders := min(s.Instances, extraHolders+int(math.Ceil(min(l.rate(), float64(s.Instances)))))
	if !s.Known || s.Rank >= holders {
		return 0
	}
	return l.rate() / float64(holders)
}

// Options configures [Limits].
type Options struct {
	// Share returns this instance's share of a server's limit.
	Share func(now time.Time, server string) Share
	// Listed reports whether a server is listed. Limits of other servers are dropped.
	Listed func(server string) bool
}

// Limits holds the limits that servers have named. It is safe for concurrent use.
type Limits struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*limitState
	// bookedUntil is the time up to which refused callers of a service are told to come back.
	bookedUntil map[string]time.Time
	// cursor is the place in the order of servers from which the next entries are sent.
	cursor int
}

// limitState is the limit of one server.
type limitState struct {
	limit Limit
	// sequence counts the changes of the limit, over all instances.
	sequence int64
	// changedAt is when this instance learned of the limit.
	changedAt time.Time
	// tokens is the number of requests that this instance may send. It is negative after requests
	// that couldn't wait.
	tokens float64
	// perSecond is the rate at which tokens are added since filledAt.
	perSecond float64
	filledAt  time.Time
}

// NewLimits returns a Limits without entries.
func NewLimits(opts Options) *Limits {
	return &Limits{opts: opts, servers: map[string]*limitState{}, bookedUntil: map[string]time.Time{}}
}

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
		l.servers[server] = &limitState{limit: limit, sequence: 1, changedAt: now, filledAt: now}
		return true
	case st.limit == limit || sentAt.Before(st.changedAt):
		return false
	}
	st.change(now, limit, st.sequence+1)
	return true
}

// change applies a new limit. Tokens start from none: all holders learn of a limit at about the
// same time.
func (st *limitState) change(now time.Time, limit Limit, sequence int64) {
	if !st.limit.Named {
		st.tokens, st.perSecond = 0, 0
	}
	st.limit, st.sequence, st.changedAt = limit, sequence, now
}

// Admits reports whether this instance may send a request to a server.
func (l *Limits) Admits(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st, ok := l.servers[server]
	return !ok || !st.limit.Named || l.admits(now, server, st)
}

func (l *Limits) admits(now time.Time, server string, st *limitState) bool {
	l.fill(now, server, st)
	return st.perSecond > 0 && st.tokens >= 1
}

// Take counts a request to a server, also one that Admits didn't admit.
func (l *Limits) Take(now time.Time, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st, ok := l.servers[server]; ok && st.limit.Named {
		l.fill(now, server, st)
		st.tokens--
	}
}

// fill adds the tokens since the last call. An instance that has become a holder in between gets
// none for the time before.
func (l *Limits) fill(now time.Time, server string, st *limitState) {
	perSecond := l.opts.Share(now, server).perSecond(st.limit)
	if elapsed := now.Sub(st.filledAt); elapsed > 0 {
		st.tokens = min(max(1, perSecond*burstTime.Seconds()), st.tokens+elapsed.Seconds()*min(st.perSecond, perSecond))
		st.filledAt = now
	}
	st.perSecond = perSecond
}

// Limited returns the servers whose limits admit no request of this instance now.
func (l *Limits) Limited(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for server, st := range l.servers {
		if st.limit.Named && !l.admits(now, server, st) {
			out = append(out, server)
		}
	}
	return out
}

// RetryAfter returns when a caller that was refused because of the limits of a service's servers
// is to come back, at most after patience.
//
// Each refused caller is sent to the next free place of this instance's part of the service's
// rate, wherever it comes back to. Without that, all of them would come back for the same place.
func (l *Limits) RetryAfter(now time.Time, service string, servers []string, patience time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond := 0.0
	for _, server := range servers {
		if st, ok := l.servers[server]; ok && st.limit.Named {
			perSecond += st.limit.rate() / float64(max(1, l.opts.Share(now, server).Instances))
		}
	}
	at := now
	if booked := l.bookedUntil[service]; booked.After(now) {
		at = booked
	}
	wait := at.Sub(now)
	if perSecond > 0 {
		wait += time.Duration(float64(time.Second) / perSecond)
	}
	if wait > patience {
		return patience
	}
	l.bookedUntil[service] = now.Add(wait)
	return wait
}
