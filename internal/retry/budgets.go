package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budgets holds one [Budget] per service, so that one failing service can't spend
// the budget of another. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	rng       *rand.Rand
	byService map[string]*Budget
}

// NewBudgets returns budgets with the default limits. The jitter comes from rng.
func NewBudgets(rng *rand.Rand) *Budgets {
	return &Budgets{rng: rng, byService: map[string]*Budget{}}
}

// RecordSuccess records a success of service.
func (b *Budgets) RecordSuccess(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).RecordSuccess()
}

// Decide returns whether a failed attempt for service is retried.
func (b *Budgets) Decide(now time.Time, service string, a Attempt) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, service).Decide(now, b.rng, a)
}

// Remaining returns how many retries of service may be made immediately.
func (b *Budgets) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, service).Remaining(now)
}

func (b *Budgets) budget(now time.Time, service string) *Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = NewBudget(now)
		b.byService[service] = budget
	}
	return budget
}
