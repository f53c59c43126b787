package crashsuspect

import "time"

const (
	// trialTTL is how long a trial lasts at most: an answer that hasn't begun by then tells nothing.
	trialTTL = 4 * time.Second
	// failedTrialInterval is the time between a failed trial and the next one. Requests that were under way
	// when the part became suspected have ended by then, and don't crash the engine of the next trial.
	failedTrialInterval = time.Second
	// unclearTrialInterval is the time between an unclear trial and the next one: an engine that fails a request
	// by itself says nothing of a sound part, whose requests wait. From fastTrials on it doubles, up to
	// maxUnclearInterval.
	unclearTrialInterval = 150 * time.Millisecond
	fastTrials           = 4
	maxUnclearInterval   = 5 * time.Second
	// maxTrialInterval limits the time between trials of a part that is refused but for them. It doubles from
	// retrialAfter on.
	maxTrialInterval = 2 * time.Minute
	// maxTrials limits the parts whose trials are known.
	maxTrials = 4096
)

// TrialOutcome is what a trial of a part has shown.
type TrialOutcome int

// The outcomes of trials.
const (
	// TrialNotRun means that the request reached no server.
	TrialNotRun TrialOutcome = iota
	// TrialAnswered means that a server wrote on the part.
	TrialAnswered
	// TrialFailed means that the connection to the server was lost before.
	TrialFailed
	// TrialUnclear means that the server neither wrote on the part nor was lost.
	TrialUnclear
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
	// failed is the number of failed trials that were known as it began, unclear that of unclear ones since
	// the last answer.
	failed, unclear int
}

// NewTrials returns a Trials without any.
func NewTrials() *Trials { return &Trials{byPart: map[uint64]trial{}} }

// Begin begins a trial of a part for a holder, unless another one is in progress. failed is the number of failed
// trials of the part; see [Entry.FailedTrials].
func (t *Trials) Begin(now time.Time, part uint64, holder string, failed int) bool {
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
	t.byPart[part] = trial{holder: holder, until: now.Add(trialTTL), failed: failed, unclear: known.unclear}
	return true
}

// Renew keeps a trial in progress. It also tells a keeper of it that has started since, or has replaced
// another one.
func (t *Trials) Renew(now time.Time, part uint64, holder string) {
	known := t.byPart[part]
	if known.holder == holder || known.holder == "" || !now.Before(known.until) {
		t.byPart[part] = trial{holder: holder, until: now.Add(trialTTL), failed: known.failed, unclear: known.unclear}
	}
}

// End ends the trial of a holder.
func (t *Trials) End(now time.Time, part uint64, holder string, outcome TrialOutcome) {
	known, ok := t.byPart[part]
	if !ok || known.holder != holder {
		return
	}
	switch outcome {
	case TrialAnswered:
		delete(t.byPart, part)
	case TrialNotRun:
		t.byPart[part] = trial{until: now, unclear: known.unclear}
	case TrialFailed:
		t.byPart[part] = trial{until: now.Add(failedTrialInterval), unclear: known.unclear}
	case TrialUnclear:
		n := known.unclear + 1
		interval := min(maxUnclearInterval, unclearTrialInterval<<min(max(0, n-fastTrials), 10))
		if known.failed >= failedTrials {
			interval = min(maxTrialInterval, retrialAfter<<min(n-1, 10))
		}
		t.byPart[part] = trial{until: now.Add(interval), unclear: n}
	}
}

func (t *Trials) removeEnded(now time.Time) {
	for part, known := range t.byPart {
		if !now.Before(known.until) {
			delete(t.byPart, part)
		}
	}
}
