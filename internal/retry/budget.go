// Package retry decides whether failed work is retried. It does no I/O; the present
// time and the random source are arguments.
//
// # Usage
//
//	budget := retry.NewBudget(now)
//	decision := budget.Decide(now, rng, retry.Attempt{Number: 1, Cause: retry.CauseNotSent})
//	if again, ok := decision.(retry.Again); ok {
//		// wait again.Delay, then try elsewhere.
//	}
//
// Instances that share the budget of a deployment use [SharedBudgets], whose limits hold for all of them together:
//
//	budgets := retry.NewSharedBudgets(now, retry.SharedOptions{Limits: limits, Part: part, Rand: rng})
//	budgets.RecordSuccess(now, sentAt, "llm")
//	if again, ok := budgets.Decide(now, "llm", attempt).(retry.Again); ok {
//		// wait again.Delay, connect to another server, then
//		draw, ok := budgets.Draw(now, "llm", true)
//	}
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// successShare is the number of retries that a success adds: servers with
	// normal headroom can take a tenth more than the demand.
	successShare = 0.1
	// maxTokens limits the retries saved up during a healthy period, so that a
	// failure after it can't cause a burst; ten is one small server's warm share.
	maxTokens = 10.0
	// floorPerSecond is the minimum rate of retries, for a service whose traffic is
	// too low for successes to add any.
	floorPerSecond = 0.2
	// maxAttempts limits the attempts of one request: after three servers the
	// fault is seldom the server's.
	maxAttempts = 3
	// maxLostAttempts is lower: a request that was lost on two servers is more
	// likely the cause than the victim.
	maxLostAttempts = 2
	// baseDelay and maxDelay limit the backoff. Full jitter spreads the retries
	// of requests that failed at the same moment.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Cause says why an attempt failed.
type Cause string

// The causes.
const (
	CauseNotSent Cause = "notSent"
	CauseRefused Cause = "refused"
	CauseLost    Cause = "lost"
	// CauseOverload is never retried: a retry would add to the overload.
	CauseOverload Cause = "overload"
)

// Attempt is a failed attempt.
type Attempt struct {
	// Number counts the attempts made, from 1.
	Number int
	Cause  Cause
	// Keep is the number of retries of a shared budget that are left for requests that give theirs back, as far as
	// an instance may hold more than one.
	Keep int
}

// Decision is [Again] or [GiveUp].
type Decision interface{ decision() }

// Again means that the work is retried on another server after a delay, preferably
// in another availability zone.
type Again struct{ Delay time.Duration }

// GiveUp means that the failure is returned to the caller.
type GiveUp struct{}

func (Again) decision()  {}
func (GiveUp) decision() {}

// Limits configures a [Budget].
type Limits struct {
	// SuccessShare is the number of retries that a success adds, MaxTokens the
	// maximum that can be saved up, and FloorPerSecond the number added per second.
	SuccessShare   float64
	MaxTokens      float64
	FloorPerSecond float64
}

// DefaultLimits are the limits of one instance; [SharedLimits] are those of a deployment.
var DefaultLimits = Limits{SuccessShare: successShare, MaxTokens: maxTokens, FloorPerSecond: floorPerSecond}

// Budget limits the retries of one service to a share of its recent successes. It
// isn't safe for concurrent use; [Budgets] is.
type Budget struct {
	limits   Limits
	tokens   float64
	lastFill time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{limits: DefaultLimits, tokens: maxTokens, lastFill: now}
}

// RecordSuccess records a success.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.limits.MaxTokens, b.tokens+b.limits.SuccessShare)
}

// Remaining returns how many retries may be made immediately.
func (b *Budget) Remaining(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Decide returns whether to retry, and if so, spends one retry of the budget.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) Decision {
	b.refill(now)
	if a.Cause == CauseOverload || a.Number >= attemptLimit(a.Cause) || b.tokens < 1 {
		return GiveUp{}
	}
	b.tokens--
	return Again{Delay: backoff(rng, a)}
}

func backoff(rng *rand.Rand, a Attempt) time.Duration {
	ceiling := min(maxDelay, baseDelay<<min(a.Number, maxAttempts))
	return time.Duration(rng.Int64N(int64(ceiling)))
}

func attemptLimit(c Cause) int {
	if c == CauseLost {
		return maxLostAttempts
	}
	return maxAttempts
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastFill); elapsed > 0 {
		b.tokens = min(b.limits.MaxTokens, b.tokens+elapsed.Seconds()*b.limits.FloorPerSecond)
		b.lastFill = now
	}
}
