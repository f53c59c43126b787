package placementqueue

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/permit"
)

const (
	// minRetryAfter is the shortest Retry-After: engines report what ended about five times a
	// second. maxRetryAfter is the longest: a burst lasts for seconds, and callers retry once or
	// twice.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// maxReturns limits the refused requests that are remembered, returnTTL how long.
	maxReturns = 1024
	returnTTL  = 10 * time.Second
)

// returning is a refused request whose caller was told to retry.
type returning struct {
	arrived, expected time.Time
}

// returns holds the refused requests that are expected to return.
type returns struct {
	byOrigin  map[string]returning
	lastSweep time.Time
}

// age returns the time since a request first arrived, here or at another planner.
func (r *returns) age(now time.Time, req Request) time.Duration {
	if before, ok := r.byOrigin[req.Origin]; ok && now.Sub(before.arrived) < returnTTL {
		return max(req.Age, now.Sub(before.arrived))
	}
	return req.Age
}

// pending returns how many refused requests are expected to return later.
func (r *returns) pending(now time.Time) int {
	n := 0
	for _, e := range r.byOrigin {
		if now.Before(e.expected) {
			n++
		}
	}
	return n
}

// add remembers a refused request. Beyond maxReturns a request counts as new when it returns.
func (r *returns) add(now time.Time, req Request, after time.Duration) {
	if now.Sub(r.lastSweep) >= minRetryAfter {
		r.lastSweep = now
		for origin, e := range r.byOrigin {
			if now.Sub(e.arrived) >= returnTTL {
				delete(r.byOrigin, origin)
			}
		}
	}
	if req.Origin != "" && len(r.byOrigin) < maxReturns {
		r.byOrigin[req.Origin] = returning{arrived: now.Add(-r.age(now, req)), expected: now.Add(after)}
	}
}

// refuse refuses a request that has the given number of others before it.
func (q *Queue) refuse(now time.Time, r Request, reason Reason, ahead int, g Group) Refused {
	after := q.retryAfter(now, r, ahead, g)
	q.returns.add(now, r, after)
	return Refused{Reason: reason, RetryAfter: after}
}

// retryAfter returns when a caller should retry: when the requests before it and those that were
// told to return earlier are expected to have started, plus up to half of that, so that callers
// which are refused together don't return together.
func (q *Queue) retryAfter(now time.Time, r Request, ahead int, g Group) time.Duration {
	ahead += q.returns.pending(now)
	after, ok := q.startOf(r, maxSlack, ahead, false, g)
	if !ok {
		// Beyond the forecast the measured drain rate decides.
		after = max(q.horizon(), q.queue.RetryAfter(ahead))
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(q.rng.Int64N(int64(after/2)+1))
}

// horizon returns how far the forecast reaches.
func (q *Queue) horizon() time.Duration {
	longest := 0
	for h := 0; ; h++ {
		tokens, ok := forecast.Lookahead(h)
		if !ok {
			return time.Duration(longest) * q.params.TokenTime
		}
		longest = tokens
	}
}

func reasonOf(refusal *permit.Refusal) Reason {
	if refusal.Reason == permit.ReasonWorkspace {
		return ReasonWorkspace
	}
	return ReasonQueueFull
}
