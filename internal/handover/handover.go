// Package handover decides how the generations of a model engine that leaves are copied to other
// engines before it exits. It does no I/O and starts no goroutines; the present time is an argument.
//
// It is for deployments in which many engines leave at once, engines are full, and a link carries
// one copy at a time, so that not every generation can be copied between the notice of an engine and
// its exit.
//
// [Order] orders the copies from one engine. [Notices] learns, on the instance that plans, how long
// engines of a service run after their notice; [Watch] observes it on the other instances.
//
// # Usage
//
//	for _, p := range handover.Order(linkFreeAt, deadline, copies) {
//		// p.Start, p.InTime
//	}
//	w := handover.NewWatch()
//	w.Leaving(now, id, incarnation)
//	w.Broke(now, service, id, incarnation)
package handover

import (
	"cmp"
	"slices"
	"time"
)

const (
	// TokenTime is the time that one token of an output takes on a loaded engine.
	TokenTime = 9 * time.Millisecond
	// unfinishedShare is the share of the generations that still run after twice their expected
	// rest: a quarter of log-normal lengths exceed twice the median (sigma 1.09).
	unfinishedShare = 0.25
	// minDuration is the link time of a copy without a declared size.
	minDuration = time.Millisecond
)

// Copy is the copy of a generation to another engine.
type Copy struct {
	ID string
	// AnswerTokens is the size of the answer that the caller loses if the generation is cut:
	// generated and expected tokens.
	AnswerTokens int
	// Rest is the expected time until the generation ends; negative if unknown.
	Rest time.Duration
	// Duration is the time that the copy occupies the link.
	Duration time.Duration
}

// Planned is a copy with its expected start. InTime says that it ends before the engine exits.
type Planned struct {
	Copy
	Start  time.Time
	InTime bool
}

// Order returns the copies in the order in which they use a link that is free at freeAt. Those that
// can end by the deadline come first, by what callers lose per link time. A copy that can't end in
// time doesn't delay one that can. If all can, generations that are expected to end by themselves
// come last.
func Order(freeAt, deadline time.Time, copies []Copy) []Planned {
	sorted := slices.Clone(copies)
	left := deadline.Sub(freeAt)
	slices.SortFunc(sorted, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(lossRate(b, left), lossRate(a, left)), cmp.Compare(a.ID, b.ID))
	})
	if total(sorted) <= left {
		slices.SortStableFunc(sorted, func(a, b Copy) int {
			return cmp.Compare(b2i(a.EndsItself(left)), b2i(b.EndsItself(left)))
		})
	}
	planned, late := make([]Planned, 0, len(sorted)), []Copy(nil)
	at := freeAt
	for _, c := range sorted {
		end := at.Add(max(minDuration, c.Duration))
		if end.After(deadline) {
			late = append(late, c)
			continue
		}
		planned = append(planned, Planned{Copy: c, Start: at, InTime: true})
		at = end
	}
	for _, c := range late {
		planned = append(planned, Planned{Copy: c, Start: at})
		at = at.Add(max(minDuration, c.Duration))
	}
	return planned
}

// total returns the link time of copies.
func total(copies []Copy) time.Duration {
	sum := time.Duration(0)
	for _, c := range copies {
		sum += max(minDuration, c.Duration)
	}
	return sum
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lossRate returns the expected loss in tokens per second of link time. A generation that is
// expected to end by itself well before the engine exits loses less.
func lossRate(c Copy, left time.Duration) float64 {
	loss := float64(max(1, c.AnswerTokens))
	if c.EndsItself(left) {
		loss *= unfinishedShare
	}
	return loss / max(minDuration, c.Duration).Seconds()
}

// EndsItself reports whether a generation is expected to end by itself well within the time left,
// since generations often run twice as long as expected.
func (c Copy) EndsItself(left time.Duration) bool { return c.Rest >= 0 && 2*c.Rest <= left }

// TokensToCopy returns how many tokens an engine has to copy for a new generation if it leaves while
// the generation runs: its prompt and half of its output. It is 0 if the generation is expected to
// end within the notice.
func TokensToCopy(promptTokens, outputTokens int, notice time.Duration) int {
	if time.Duration(outputTokens)*TokenTime <= notice {
		return 0
	}
	return promptTokens + outputTokens/2
}
