// Package retry decides whether work that failed is tried again: pure, with
// the present time and the random source as arguments.
//
// # Usage
//
//	budget := retry.NewBudget()
//	decision := budget.Decide(now, rng, retry.Attempt{Number: 1, Cause: retry.CauseNotSent})
//	if again, ok := decision.(retry.Again); ok {
//		// wait again.After, then try elsewhere.
//	}
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// successShare is what one success adds: servers with normal headroom can take a
	// tenth more than the demand.
	successShare = 0.1
	// maxTokens bounds what a quiet, healthy hour saves up, so that a failure
	// after it can't set off a burst; ten is one small server's warm share.
	maxTokens = 10.0
	// floorPerSecond lets a service with little traffic retry at all: with no
	// successes there is no share to spend.
	floorPerSecond = 0.2
	// maxAttempts bounds one request. Every further attempt tells less: after
	// three servers the fault is seldom the server's.
	maxAttempts = 3
	// maxLostAttempts is lower: a request that was lost on two servers is more
	// likely the cause than the victim.
	maxLostAttempts = 2
	// baseDelay and maxDelay bound the backoff. Full jitter spreads requests
	// that failed at the same moment, which else return at the same moment.
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
	// CauseOverload is never retried: the servers are telling us that there
	// is too much work, and a retry is more work.
	CauseOverload Cause = "overload"
)

// Attempt is a failed attempt.
type Attempt struct {
	// Number counts the attempts made, from 1.
	Number int
	Cause  Cause
}

// Decision is [Again] or [GiveUp].
type Decision interface{ decision() }

// Again means that the work is tried on another server after a wait, in
// another availability zone first.
type Again struct{ After time.Duration }

// GiveUp means that the failure goes to the caller.
type GiveUp struct{}

func (Again) decision()  {}
func (GiveUp) decision() {}

// Limits bound a budget.
type Limits struct {
	// SuccessShare is what one success adds, MaxTokens what may be saved up and
	// FloorPerSecond what comes by time alone, in retries.
	SuccessShare   float64
	MaxTokens      float64
	FloorPerSecond float64
}

// DefaultLimits are for deployments that declare none.
var DefaultLimits = Limits{SuccessShare: successShare, MaxTokens: maxTokens, FloorPerSecond: floorPerSecond}

// Budget bounds the retries of one service to a share of its recent
// successes. It isn't safe for concurrent use; [Budgets] is.
type Budget struct {
	limits Limits
	tokens float64
	filled time.Time
}

// NewBudget returns a budget that is full.
func NewBudget(now time.Time) *Budget { return newBudget(now, DefaultLimits) }

func newBudget(now time.Time, l Limits) *Budget {
	return &Budget{limits: l, tokens: l.MaxTokens, filled: now}
}

// Succeeded adds a success.
func (b *Budget) Succeeded() {
	b.tokens = min(b.limits.MaxTokens, b.tokens+b.limits.SuccessShare)
}

// Left returns how many retries may be made at once.
func (b *Budget) Left(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Decide says whether to try again and spends the budget when so.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) Decision {
	b.fill(now)
	if a.Cause == CauseOverload || a.Number >= attemptLimit(a.Cause) || b.tokens < 1 {
		return GiveUp{}
	}
	b.tokens--
	ceiling := min(maxDelay, baseDelay<<min(a.Number, maxAttempts))
	return Again{After: time.Duration(rng.Int64N(int64(ceiling)))}
}

func attemptLimit(c Cause) int {
	if c == CauseLost {
		return maxLostAttempts
	}
	return maxAttempts
}

func (b *Budget) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.limits.MaxTokens, b.tokens+elapsed.Seconds()*b.limits.FloorPerSecond)
		b.filled = now
	}
}
