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
// A retry is spent by [SharedBudgets.Draw], at the moment at which the request is sent, so that repeats that were
// decided in several windows and wait for a server can't arrive in one. Deciding only reserves a retry: it isn't
// promised to others, and still counts against what an account may hold.
//
// What happens to instances, and the result:
//
//   - They start, are killed or frozen, at any times: within the limits. An instance that has just started has only
//     one retry until it knows the others, for a copy, and has it no sooner than its part of Slack adds it.
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
//   - Another attempt, a request for the rest of a stream, a new run of a stream that can't be copied: drawn.
//   - Another server after a connection that wasn't opened: no repeat, as nothing has arrived and nothing is drawn.
//   - A run that goes on from a copy or on the engine that it was moved to: no repeat, but one if the server doesn't
//     go on with it. It is drawn, and given back by [SharedBudgets.Return] once the server goes on.
//   - Crash checks, load reports, commands for copies and connections for other instances: no requests.
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
	// Joined is set once the instance has heard from another one. Until it knows them all it saves one retry, for
	// requests that go on from a copy.
	Joined bool
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

// idleWindows is the number of windows after which an unused budget is as good as a new one.
const idleWindows = 10

// Draw is a retry that was spent.
type Draw struct {
	Service string
	At      time.Time
	From    Account
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

// Decide returns whether to retry, and if so, reserves one retry of the service's budget, which is to be drawn as
// the request is sent, or released.
func (b *SharedBudgets) Decide(now time.Time, service string, a Attempt) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(now, service)
	_, limit := b.opts.Limits.perWindow(b.opts.Part(now, service))
	kept := min(float64(a.Keep), max(0, limit-1))
	if !b.knows {
		kept = budget.slack
	}
	if a.Cause == CauseOverload || a.Number >= attemptLimit(a.Cause) || b.remaining(now, budget) < 1+kept {
		return GiveUp{}
	}
	budget.reserved++
	return Again{Delay: backoff(b.opts.Rand, a)}
}

// Reserve reserves one retry of the service's budget and reports whether there is one.
func (b *SharedBudgets) Reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(now, service)
	if b.remaining(now, budget) < 1 {
		return false
	}
	budget.reserved++
	return true
}

// Release gives a reserved retry up.
func (b *SharedBudgets) Release(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).release()
}

// Draw spends a retry that was reserved, or that nobody has reserved. It must be called as the request is sent.
// False means that the request may not be sent: a reserved retry is gone if it was earned by requests that have
// left the window.
func (b *SharedBudgets) Draw(now time.Time, service string, reserved bool) (Draw, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, number := b.budget(now, service), b.slotNumber(now)
	left := b.remaining(now, budget)
	if reserved {
		budget.release()
		left = budget.available(number, b.opts.Limits.Ratio)
	}
	if left < 1 {
		return Draw{}, false
	}
	return Draw{Service: service, At: now, From: budget.spend(number, b.opts.Limits.Ratio)}, true
}

// Return gives back a retry whose request was no repeat.
func (b *SharedBudgets) Return(now time.Time, d Draw) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(now, d.Service)
	if d.From == FromRatio {
		budget.unspend(b.slotNumber(d.At))
		return
	}
	if d.At.After(b.lostAt) {
		budget.slack++
		budget.fill(now, b.opts.Limits, b.opts.Part(now, d.Service), !b.knows)
	}
}

// Remaining returns how many retries of service may be made immediately.
func (b *SharedBudgets) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, b.budget(now, service))
}

// remaining returns what is available and not reserved.
func (b *SharedBudgets) remaining(now time.Time, budget *sharedBudget) float64 {
	return budget.available(b.slotNumber(now), b.opts.Limits.Ratio) - float64(budget.reserved)
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
	budget.fill(now, b.opts.Limits, part, !b.knows)
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
