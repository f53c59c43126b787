package crashsuspect

import "time"

const (
	// trialTTL is how long a trial lasts at most: an answer that hasn't begun by then tells nothing.
	trialTTL = 4 * time.Second
	// failedTrialInterval is the time between a failed trial and the next one. Requests that were under way
	// when the part became suspected have ended by then, and don't crash the engine of the next trial.
	failedTrialInterval = time.Second
	// maxTrials limits the parts whose trials are known.
	maxTrials = 4096
)

// Trials holds which suspected parts are being tried, for the instance that decides on them. It isn't safe
// for concurrent use.
type Trials struct {
	byPart map[uint64]trial
}

type trial struct {
	holder string
	// until is when the trial ends by itself, or when the next one may begin if holder is empty.
	until time.Time
}

// NewTrials returns a Trials without any.
func NewTrials() *Trials { return &Trials{byPart: map[uint64]trial{}} }

// Begin begins a trial of a part for a holder, unless another one is in progress.
func (t *Trials) Begin(now time.Time, part uint64, holder string) bool {
	known, ok := t.byPart[part]
	if ok && now.Before(known.until) && known.holder != holder {
		return false
	}
	if !ok && len(t.byPart) >= maxTrials {
		t.removeEnded(now)
		if len(t.byPart) >= maxTrials {
			return false
		}
	}
	t.byPart[part] = trial{holder: holder, until: now.Add(trialTTL)}
	return true
}

// End ends the trial of a holder.
func (t *Trials) End(now time.Time, part uint64, holder string, failed bool) {
	known, ok := t.byPart[part]
	switch {
	case !ok || known.holder != holder:
	case failed:
		t.byPart[part] = trial{until: now.Add(failedTrialInterval)}
	default:
		delete(t.byPart, part)
	}
}

func (t *Trials) removeEnded(now time.Time) {
	for part, known := range t.byPart {
		if !now.Before(known.until) {
			delete(t.byPart, part)
		}
	}
}
