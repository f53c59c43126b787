package placementqueue

import (
	"math"
	"time"

	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// arrivalMemory is the time constant of the measured rates of arrivals: about as long as slacks.
	arrivalMemory = 2 * time.Second
	// maxWorkspaces limits the workspaces whose rates are kept.
	maxWorkspaces = 512
)

// arrivals measures the rates at which requests that can't start at once arrive, by class and
// workspace.
//
// A workspace that uses less than its share goes first, so that its later requests overtake those
// that wait: a third of the promises to the others were missed when they weren't counted.
type arrivals struct {
	counts map[pollenspindle.Class]map[string]float64
	at     time.Time
}

func newArrivals() arrivals {
	return arrivals{counts: map[pollenspindle.Class]map[string]float64{pollenspindle.ClassInteractive: {}, pollenspindle.ClassPatient: {}}}
}

// decay discounts the counts to now.
func (a *arrivals) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(a.at).Seconds()) / arrivalMemory.Seconds())
	a.at = now
	for _, byWorkspace := range a.counts {
		for name, n := range byWorkspace {
			if byWorkspace[name] = n * factor; n*factor < 0.1 {
				delete(byWorkspace, name)
			}
		}
	}
}

func (a *arrivals) record(now time.Time, r Request) {
	a.decay(now)
	byWorkspace := a.counts[classOf(r)]
	if _, ok := byWorkspace[r.Workspace]; ok || len(byWorkspace) < maxWorkspaces {
		byWorkspace[r.Workspace]++
	}
}

// within returns the expected arrivals within a time from now.
func (a *arrivals) within(now time.Time, d time.Duration) queue.Arrivals {
	a.decay(now)
	out := queue.Arrivals{}
	for class, byWorkspace := range a.counts {
		out[class] = make(map[string]float64, len(byWorkspace))
		for name, n := range byWorkspace {
			out[class][name] = n * d.Seconds() / arrivalMemory.Seconds()
		}
	}
	return out
}

func classOf(r Request) pollenspindle.Class {
	if r.Priority > 0 {
		return pollenspindle.ClassPatient
	}
	return pollenspindle.ClassInteractive
}
