package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// SharedLimits is the retry budget of one service for all instances of a deployment together: in no window may
// servers get more repeats than Slack plus Ratio times the requests that callers sent, those of the window or of
// the one before it. A repeat is an arrival beyond the first of a request, also one that the server rejects.
//
// An instance spends from two accounts that start empty, without a message to others:
//
//   - Slack. The account adds half of the instance's part of Slack per window and holds as much at most. What an
//     instance spends in a window is what it had saved and what is added, its part. What an incarnation has saved
//     ends with it, and time is added to one of them only, so that starts add nothing. Parts below one make one
//     repeat in as many windows; if there are more instances than Slack, the first ones by rank have a part.
//   - Ratio. A success adds half of Ratio, for a window from when its request was sent. What is spent in a window
//     thus comes from the requests of that window and of the one before.
//
// What happens to instances, and the result:
//
//   - They start, are killed or frozen, at any times: within the limits.
//   - More come: within the limits, as they add slack only once they know the others, which have heard of them.
//   - Some leave, end or are cut off: within the limits. Those that reach most of the others divide the parts of
//     the rest among themselves, but only after the rest has given them up (see [membership.Table.LimitShare]).
//     If most leave or end for good at once, those that are left have no slack until they are started again.
//   - One starts that reaches no other, or groups start that don't reach each other: within the limits. Only a
//     group that reaches most seeds has slack, and those that come to know of it. If all on the smaller side of
//     a cut of over a minute are started again and have most seeds, they take Slack once more: not within the limits.
//
// The ways by which a request reaches a second server, and the result:
//
//   - Another attempt, a request for the rest of a stream, a new run of a stream that can't be copied: they ask
//     [SharedBudgets.Decide] before.
//   - Another server after a connection that wasn't opened: no repeat, as nothing has arrived.
//   - A run that goes on from a copy or on the engine that it was moved to: no repeat. If the server refuses it,
//     [SharedBudgets.Charge] takes it from what is left or added later: within the limits unless many are refused
//     at once.
//   - Crash checks, load reports and connections for other instances: no requests.
//   - Calls that a server makes while it runs a repeat: not known here, and not counted.
type SharedLimits struct {
	// Window is the length of the spans of time for which the limits hold.
	Window time.Duration
	// Ratio is the number of repeats per request.
	Ratio float64
	// Slack is the number of repeats in a window beside those.
	Slack float64
}

// Account is a part of a shared budget that retries are taken from.
type Account string

// The accounts of a shared budget.
const (
	FromRatio Account = "ratio"
	FromSlack Account = "slack"
)

// SharedPart says which part of the limits an instance has.
type SharedPart struct {
	// Instances is the number of instances that share the limits, including those that can't be reached. Rank
	// is the place of this one among them for the service, from 0.
	Instances, Rank int
	// Known is false while the instance doesn't know the others. It adds no slack then.
	Known bool
	// Lost is set while the others may have divided this instance's part among themselves, as it is cut off from
	// them. It loses the slack that it has saved.
	Lost bool
}

// perWindow returns how much slack an instance adds per window, and how much it saves at most.
func (l SharedLimits) perWindow(p SharedPart) (rate, limit float64) {
	holders := min(float64(max(1, p.Instances)), math.Floor(l.Slack))
	if float64(p.Rank) >= holders {
		return 0, 0
	}
	rate = l.Slack / holders / 2
	return rate, max(1, rate)
}

const (
	// slotCount is the number of slots into which a window is divided for what successes add.
	slotCount = 10
	// idleWindows is the number of windows after which an unused budget is as good as a new one.
	idleWindows = 10
)

// slot has what was added and spent in one part of a window.
type slot struct {
	number         int64
	requests, used int
}

// sharedBudget is one instance's part of the budget of one service.
type sharedBudget struct {
	slack    float64
	filledAt time.Time
	// slots are those of the present window and one more.
	slots [slotCount + 1]slot
}

// fill adds the slack of the time since the last call.
func (b *sharedBudget) fill(now time.Time, l SharedLimits, p SharedPart) {
	rate, limit := l.perWindow(p)
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		if p.Known {
			b.slack += rate * elapsed.Seconds() / l.Window.Seconds()
		}
		b.filledAt = now
	}
	b.slack = max(-limit, min(limit, b.slack))
}

// dropSlack drops the slack that was saved until the part was lost.
func (b *sharedBudget) dropSlack(lostAt time.Time) {
	if b.filledAt.Before(lostAt) {
		b.slack, b.filledAt = min(0, b.slack), lostAt
	}
}

// slotAt returns the slot of a number, which is emptied if it holds an older one.
func (b *sharedBudget) slotAt(number int64) *slot {
	s := &b.slots[number%int64(len(b.slots))]
	if s.number < number {
		*s = slot{number: number}
	}
	return s
}

// earned returns the retries that successes have added and that aren't spent yet. The oldest slot is only in
// part within the window: it counts for what is spent, and not for what was added.
func (b *sharedBudget) earned(number int64, ratio float64) float64 {
	requests, used := 0, 0
	for _, s := range b.slots {
		if s.number > number-slotCount {
			requests += s.requests
		}
		if s.number >= number-slotCount {
			used += s.used
		}
	}
	return ratio/2*float64(requests) - float64(used)
}

// spend spends one retry and returns the account that it was taken from.
func (b *sharedBudget) spend(number int64, ratio float64) Account {
	if b.earned(number, ratio) >= 1 {
		b.slotAt(number).used++
		return FromRatio
	}
	b.slack--
	return FromSlack
}

// SharedOptions configures [SharedBudgets].
type SharedOptions struct {
	Limits SharedLimits
	// Part returns this instance's part of the limits of a service.
	Part func(now time.Time, service string) SharedPart
	// Rand is the source of the jitter.
	Rand *rand.Rand
}

// SharedBudgets holds this instance's part of the budget of each service. It is safe for concurrent use.
type SharedBudgets struct {
	opts SharedOptions

	mu sync.Mutex
	// startedAt is when slots begin to count, knownSince since when the instance has known the others.
	startedAt, knownSince time.Time
	// lostAt is when the instance's part of the limits was last found to be lost.
	lostAt time.Time
	// knows is set once the instance has known the others.
	knows     bool
	byService map[string]*sharedBudget
}

// NewSharedBudgets returns empty budgets.
func NewSharedBudgets(now time.Time, opts SharedOptions) *SharedBudgets {
	return &SharedBudgets{opts: opts, startedAt: now, byService: map[string]*sharedBudget{}}
}

// RecordSuccess records the success of a request for service that its caller sent at sentAt. One that was sent
// longer ago than the window adds nothing.
func (b *SharedBudgets) RecordSuccess(now, sentAt time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(now, service)
	if sent := b.slotNumber(sentAt); sent >= 0 && sent > b.slotNumber(now)-slotCount {
		budget.slotAt(sent).requests++
	}
}

// Decide returns whether to retry, and if so, spends one retry of the service's budget.
func (b *SharedBudgets) Decide(now time.Time, service string, a Attempt) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(now, service)
	if a.Cause == CauseOverload || a.Number >= attemptLimit(a.Cause) || b.remaining(now, budget) < 1 {
		return GiveUp{}
	}
	from := budget.spend(b.slotNumber(now), b.opts.Limits.Ratio)
	return Again{Delay: backoff(b.opts.Rand, a), From: from}
}

// Charge spends one retry for a repeat that was sent without asking, as far as the budget remembers it: what
// is missing is taken from what is added later.
func (b *SharedBudgets) Charge(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).spend(b.slotNumber(now), b.opts.Limits.Ratio)
}

// Remaining returns how many retries of service may be made immediately.
func (b *SharedBudgets) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, b.budget(now, service))
}

// remaining returns what either account allows: a retry is taken from one of them.
func (b *SharedBudgets) remaining(now time.Time, budget *sharedBudget) float64 {
	earned := math.Floor(max(0, budget.earned(b.slotNumber(now), b.opts.Limits.Ratio)))
	return earned + budget.slack
}

// slotNumber returns the number of the slot of a time, below zero before the start.
func (b *SharedBudgets) slotNumber(t time.Time) int64 {
	return int64(math.Floor(t.Sub(b.startedAt).Seconds() * slotCount / b.opts.Limits.Window.Seconds()))
}

// Observe notices whether this instance knows the others or has lost its part. It must be called every few
// seconds: budgets fill from the first call on that finds that it knows the others.
func (b *SharedBudgets) Observe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(now, b.opts.Part(now, ""))
}

func (b *SharedBudgets) observe(now time.Time, p SharedPart) {
	if !p.Known || !b.knows {
		b.knownSince = now
	}
	b.knows = b.knows || p.Known
	if p.Lost {
		b.lostAt = now
	}
}

// budget returns the filled budget of a service. One that is new has saved since the others are known.
func (b *SharedBudgets) budget(now time.Time, service string) *sharedBudget {
	part := b.opts.Part(now, service)
	b.observe(now, part)
	budget, ok := b.byService[service]
	if !ok {
		b.removeIdle(now)
		budget = &sharedBudget{filledAt: b.knownSince}
		for i := range budget.slots {
			budget.slots[i].number = -1 - slotCount
		}
		b.byService[service] = budget
	}
	budget.dropSlack(b.lostAt)
	budget.fill(now, b.opts.Limits, part)
	return budget
}

// removeIdle removes budgets that weren't used for long.
func (b *SharedBudgets) removeIdle(now time.Time) {
	for service, budget := range b.byService {
		if now.Sub(budget.filledAt) > idleWindows*b.opts.Limits.Window {
			delete(b.byService, service)
		}
	}
}
