// Package migration decides how a running generation is carried to another
// model engine when its own is about to leave. It holds no sockets; the present
// time is an argument.
//
// A generation is copied while it goes on, once or more, and then stopped; the
// rest is copied and it goes on at the other engine. What the caller sees is the
// pause between the stop and the first event there.
//
// # Usage
//
//	switch step := migration.Next(now, progress).(type) {
//	case migration.Copy:
//	case migration.Stop:
//	case migration.Stay:
//	}
package migration

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// quickCopy is what a copy takes when nothing else waits for the links: a
	// few tokens and two ways. A stop after a longer one would queue behind the
	// copies of other generations, while the caller's stream stands still.
	quickCopy = 45 * time.Millisecond
	// mustStop is how long after the notice a generation is stopped at the
	// latest. Engines are gone 1.5 s after it or later; the rest of the copy
	// takes some hundred milliseconds when others wait for the link.
	mustStop = 1050 * time.Millisecond
	// endsByItself is the expected rest below which a generation is left to
	// end where it is. It is well below the notice, as the expectation is
	// often half of what comes.
	endsByItself = 400 * time.Millisecond
	// maxTargets is how many engines are asked for room.
	maxTargets = 4
)

const (
	// stopTime is what it takes beside the copy until the link is free for the
	// next: two calls, each given some milliseconds late on a busy machine, and
	// the rest that is copied after the stop.
	stopTime = 45 * time.Millisecond
	// farFactor is how much longer a copy to another availability zone takes.
	farFactor = 2
)

// CopyTime returns for how long a generation with so many tokens in memory
// takes its engine's link, until it is off.
func CopyTime(e routes.Engine, tokens int, far bool) time.Duration {
	if e.LinkMbps <= 0 {
		return stopTime
	}
	d := time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkMbps * float64(time.Microsecond))
	if far {
		d *= farFactor
	}
	return d + stopTime
}

// Progress is what was done for one generation.
type Progress struct {
	// Noticed is when this instance learned that the engine leaves.
	Noticed time.Time
	// Copies is how many copies have ended well, LastTook what the last one
	// took. Refused is how many engines had no room.
	Copies   int
	LastTook time.Duration
	Refused  int
	// Turn says that the link was given to this generation alone.
	Turn bool
	// Rest is the expected time until the generation ends by itself; negative
	// when nothing is known.
	Rest time.Duration
}

// Step is [Copy], [Stop] or [Stay].
type Step interface{ step() }

// Copy copies while the generation goes on.
type Copy struct{}

// Stop stops the generation and copies the rest.
type Stop struct{}

// Stay leaves the generation where it is.
type Stay struct{}

func (Copy) step() {}
func (Stop) step() {}
func (Stay) step() {}

// Next returns what is done next for a generation.
//
// Stopped at once, each would stand still while all others are copied over the
// same link. So it is stopped only when a copy has shown that the link is free, or
// when the time left demands it.
func Next(now time.Time, p Progress) Step {
	switch {
	case p.Refused >= maxTargets:
		return Stay{}
	case p.Copies == 0 && p.Rest >= 0 && p.Rest < endsByItself:
		return Stay{}
	case p.Copies == 0:
		return Copy{}
	case p.Turn, p.LastTook <= quickCopy, now.Sub(p.Noticed) >= mustStop:
		return Stop{}
	}
	return Copy{}
}
