// Package migration decides the next step of moving a running generation to another model engine
// when its own engine is about to leave. It does no I/O; the present time is an argument.
//
// The KV cache of a generation is copied while the generation runs, once or more often. The cutover
// then stops the generation, copies the rest, and the generation resumes on the target engine. The
// caller sees a pause from the stop to the first event of the target engine.
//
// # Usage
//
//	switch step := migration.Next(now, progress).(type) {
//	case migration.Copy:
//	case migration.Cutover:
//	case migration.Stay:
//	}
package migration

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// fastCopyTime is what a copy takes when nothing else waits for the links: a few tokens and two
	// round trips. A cutover after a slower copy would queue behind the copies of other generations
	// while the caller's stream is paused.
	fastCopyTime = 45 * time.Millisecond
	// cutoverDeadline is how long after the notice a generation is cut over at the latest. Engines
	// exit 1.5 s or more after their notice; the rest of the copy takes some hundred milliseconds
	// when others wait for the link.
	cutoverDeadline = 1050 * time.Millisecond
	// minRemaining is the expected remaining time below which a generation is left to end on its
	// engine. It is well below the notice period because generations often run twice as long as
	// expected.
	minRemaining = 400 * time.Millisecond
	// maxTargets is how many engines are asked for capacity.
	maxTargets = 4
)

const (
	// cutoverTime is the time beyond the copy until the link is free for the next migration: two
	// calls, each delayed by some milliseconds on a busy machine, and the rest that is copied after
	// the stop.
	cutoverTime = 45 * time.Millisecond
	// crossZoneFactor is how much longer a copy to another availability zone takes.
	crossZoneFactor = 2
)

// TransferTime returns how long the migration of a generation with the given number of tokens
// occupies the link of its engine, including the cutover.
func TransferTime(e routes.Engine, tokens int, crossZone bool) time.Duration {
	if e.LinkMbps <= 0 {
		return cutoverTime
	}
	d := time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkMbps * float64(time.Microsecond))
	if crossZone {
		d *= crossZoneFactor
	}
	return d + cutoverTime
}

// Progress is the state of one generation's migration.
type Progress struct {
	// NoticedAt is when this instance learned that the engine leaves.
	NoticedAt time.Time
	// Copies is the number of completed copies, LastCopyTime the duration of the last one. Refusals
	// is the number of failed copies, for instance to engines without capacity.
	Copies       int
	LastCopyTime time.Duration
	Refusals     int
	// HasTransferSlot says that the planner reserved the link for this generation.
	HasTransferSlot bool
	// Remaining is the expected time until the generation ends; negative if unknown.
	Remaining time.Duration
}

// Step is [Copy], [Cutover] or [Stay].
type Step interface{ step() }

// Copy copies the KV cache while the generation runs.
type Copy struct{}

// Cutover stops the generation and copies the rest of its KV cache.
type Cutover struct{}

// Stay leaves the generation on its engine.
type Stay struct{}

func (Copy) step()    {}
func (Cutover) step() {}
func (Stay) step()    {}

// Next returns the next step of a migration.
//
// If all generations were stopped at once, each would pause while the others are copied over the
// same link. A generation is therefore cut over only when it has a transfer slot, when its last
// copy was fast and so the link is free, or when the time after the notice is used up.
func Next(now time.Time, p Progress) Step {
	switch {
	case p.Refusals >= maxTargets:
		return Stay{}
	case p.Copies == 0 && p.Remaining >= 0 && p.Remaining < minRemaining:
		return Stay{}
	case p.Copies == 0:
		return Copy{}
	case p.HasTransferSlot, p.LastCopyTime <= fastCopyTime, now.Sub(p.NoticedAt) >= cutoverDeadline:
		return Cutover{}
	}
	return Copy{}
}
