package retry

import (
	"math"
	"time"
)

// slotCount is the number of slots into which a window is divided for what successes add.
const slotCount = 10

// slot has what was added and spent in one part of a window.
type slot struct {
	number         int64
	requests, used int
}

// sharedBudget is one instance's part of the budget of one service.
type sharedBudget struct {
	slack    float64
	filledAt time.Time
	// early is how much slack was added before the others were known.
	early float64
	// reserved is the number of retries that were decided and aren't sent yet.
	reserved int
	// slots are those of the present window and one more.
	slots [slotCount + 1]slot
}

// fill adds the slack of the time since the last call. While the others aren't known yet, it adds one retry at most.
func (b *sharedBudget) fill(now time.Time, l SharedLimits, p SharedPart, starting bool) {
	rate, limit := l.perWindow(p)
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		added := rate * elapsed.Seconds() / l.Window.Seconds()
		switch {
		case p.Known:
			b.slack += added
		case starting && p.Joined:
			added = min(added, 1-b.early)
			b.early += added
			b.slack += added
		}
		b.filledAt = now
	}
	b.slack = min(limit, b.slack)
}

// dropSlack drops the slack that was saved until the part was lost.
func (b *sharedBudget) dropSlack(lostAt time.Time) {
	if b.filledAt.Before(lostAt) {
		b.slack, b.filledAt = 0, lostAt
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

// unspend takes back a retry that was spent from what successes have added, if its slot is still known.
func (b *sharedBudget) unspend(number int64) {
	if s := &b.slots[number%int64(len(b.slots))]; s.number == number && s.used > 0 {
		s.used--
	}
}

// release gives a reservation up.
func (b *sharedBudget) release() { b.reserved = max(0, b.reserved-1) }

// available returns the retries of both accounts: a retry is taken from one of them.
func (b *sharedBudget) available(number int64, ratio float64) float64 {
	return math.Floor(max(0, b.earned(number, ratio))) + b.slack
}
