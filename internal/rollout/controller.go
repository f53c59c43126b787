package rollout

import (
	"fmt"
	"time"
)

const (
	// stopRatio is the evidence that ends a canary at once, doubtRatio that which
	// is enough when its time is over: a bad version that is kept harms callers,
	// a good one that is rolled back can be ordered again. shiftRatio is that
	// which turns a shift back, where no old version is left to compare with.
	stopRatio  = 60.0
	doubtRatio = 2.0
	shiftRatio = 1000.0
	// reserveShare is the part of a roll-out's time that is kept for the shift,
	// between reserveLeast and reserveMost.
	reserveShare = 0.4
	reserveLeast = 3500 * time.Millisecond
	reserveMost  = 10 * time.Second
	// enoughSamples is how many answers of the new version a good verdict needs at
	// the usual time, fewSamples what it needs at the latest.
	enoughSamples = 20
	fewSamples    = 10
	// lastReserve is what has to be left of the time for a shift to begin.
	lastReserve = 2500 * time.Millisecond
	// reportTTL is how long a report tells what an instance does now.
	reportTTL = 2500 * time.Millisecond
	// leastServing is the part of the old version's servers that has to be there
	// of the new one before everything goes to it.
	leastServing = 0.75
)

// View is what a controller knows beside the reports.
type View struct {
	// Live are the instances that may send to the service's servers.
	Live []string
	// Old and New are the numbers of servers of each version that take requests.
	Old, New int
}

// Action is [Wait] or [Write].
type Action interface{ action() }

// Wait means that there is nothing to be written yet. Why says for what.
type Wait struct{ Why string }

// Write means that the platform is to be told a state.
type Write struct {
	Stage  Stage
	Reason string
}

func (Wait) action()  {}
func (Write) action() {}

type reported struct {
	Report
	at time.Time
}

// Controller collects what the instances report of one roll-out and decides its
// stages. Any instance can be the one that decides: what it needs comes with the
// next reports.
type Controller struct {
	Order Order
	limit Limits
	began time.Time
	stage Stage
	// reports are by instance, past what starts before the present one had.
	reports map[string]reported
	past    *Counts
	// seen is how many requests were answered so far.
	seen int
	// Evidence is the last comparison of the two versions.
	Evidence Evidence
	Reason   string
}

// NewController returns a controller that knows of an order since now.
func NewController(now time.Time, o Order, l Limits) *Controller {
	return &Controller{Order: o, limit: l, began: now, stage: StageCanary, reports: map[string]reported{}, past: NewCounts()}
}

// Take takes over a report and returns the lease that answers it.
func (c *Controller) Take(now time.Time, r Report) Lease {
	known, ok := c.reports[r.By]
	switch {
	case ok && (r.Started < known.Started || r.Started == known.Started && r.Sequence <= known.Sequence):
		return c.Lease(now)
	case ok && r.Started > known.Started:
		c.past.Add(known.Cells)
	}
	c.reports[r.By] = reported{r, now}
	if began := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond); began.Before(c.began) {
		c.began = began
	}
	c.advance(r.Stage, "reported by "+r.By)
	return c.Lease(now)
}

// Lease returns the present lease.
func (c *Controller) Lease(now time.Time) Lease {
	age := now.Sub(c.began)
	return Lease{Order: c.Order.ID, Stage: c.stage, AgeMillis: age.Milliseconds(), Share: c.limit.canaryShare(c.expected(age))}
}

// rateAge is from which age on the rate of requests is known.
const rateAge = time.Second

// expected returns how many requests are expected to come during the roll-out, or
// 0 while that isn't known.
func (c *Controller) expected(age time.Duration) float64 {
	if age < rateAge {
		return 0
	}
	return float64(c.seen) * float64(c.Order.Duration) / float64(max(age, rateAge))
}

// Forget drops what instances do now, after a pause of this one of which its
// clock knows nothing.
func (c *Controller) Forget() {
	for by, r := range c.reports {
		r.at = time.Time{}
		c.reports[by] = r
	}
}

// Stage returns the stage.
func (c *Controller) Stage() Stage { return c.stage }

// Advance takes over a stage that was heard of elsewhere.
func (c *Controller) Advance(s Stage) { c.advance(s, "told by another instance") }

func (c *Controller) advance(s Stage, reason string) {
	if later := c.stage.Later(s); later != c.stage {
		c.stage, c.Reason = later, reason
	}
}

// Counts returns what all instances have seen.
func (c *Controller) Counts() *Counts {
	all := NewCounts()
	all.Add(c.past.Cells())
	for _, r := range c.reports {
		all.Add(r.Cells)
	}
	return all
}

// Step decides what comes next.
func (c *Controller) Step(now time.Time, v View) Action {
	if c.stage.Ended() {
		return Wait{"ended"}
	}
	counts := c.Counts()
	stable, _ := counts.Total(Stable)
	canary, _ := counts.Total(Canary)
	c.seen = stable + canary
	c.Evidence = Judge(counts)
	if c.stage == StageCanary {
		c.judge(now, v, counts)
	}
	if c.stage == StageShift && c.Evidence.Ratio >= shiftRatio {
		c.advance(StageBack, "bad under all requests: "+c.Evidence.Reason)
	}
	switch c.stage {
	case StageBack:
		return Write{StageRolledBack, c.Reason}
	case StageShift:
		return c.finish(now, v)
	}
	return Wait{"canary"}
}

// judge ends the canary when enough is known, or when its time is over.
func (c *Controller) judge(now time.Time, v View, counts *Counts) {
	number, failed := counts.Total(Canary)
	left := c.Order.Duration - now.Sub(c.began)
	enough := number >= enoughSamples
	switch {
	case c.Evidence.Ratio >= stopRatio:
		c.advance(StageBack, "bad: "+c.Evidence.Reason)
	case left > c.reserve():
		return
	case c.Evidence.Ratio >= doubtRatio && number >= fewSamples:
		c.advance(StageBack, "in doubt: "+c.Evidence.Reason)
	case enough && c.room(v), left <= lastReserve && number >= fewSamples && c.room(v):
		c.advance(StageShift, fmt.Sprintf("good: %d of %d answers failed, likelihood ratio %.2f", failed, number, c.Evidence.Ratio))
	case left <= lastReserve:
		c.advance(StageBack, fmt.Sprintf("not judged in time: %d answers, %d servers for %d", number, v.New, v.Old))
	}
}

func (c *Controller) reserve() time.Duration {
	return min(reserveMost, max(reserveLeast, time.Duration(float64(c.Order.Duration)*reserveShare)))
}

// room reports whether the new version's servers can take everything.
func (c *Controller) room(v View) bool {
	return v.New > 0 && float64(v.New) >= leastServing*float64(v.Old)
}

// finish completes the roll-out once nothing is left on the old servers: they stop
// at once then.
func (c *Controller) finish(now time.Time, v View) Action {
	for _, id := range v.Live {
		r, ok := c.reports[id]
		switch {
		case !ok || now.Sub(r.at) > reportTTL:
			return Wait{"no report of " + id}
		case r.Stage != StageShift:
			return Wait{id + " hasn't heard of the shift"}
		case r.Left > 0:
			return Wait{fmt.Sprintf("%d requests left on the old version at %s", r.Left, id)}
		}
	}
	return Write{StageCompleted, c.Reason}
}
