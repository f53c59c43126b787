package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// The likelihood ratios that roll a rollout back: immediateRollBackRatio at any time of
	// the canary, deadlineRollBackRatio once its time is over, promotedRollBackRatio during
	// the promotion, when no server of the old version is left to compare with. The ratio at
	// the deadline is low because a bad version that is promoted harms callers, while a good
	// one that is rolled back can be rolled out again.
	immediateRollBackRatio = 60.0
	deadlineRollBackRatio  = 2.0
	promotedRollBackRatio  = 1000.0
	// promotionShare is the part of a rollout's duration that is reserved for the promotion,
	// between minPromotionTime and maxPromotionTime.
	promotionShare   = 0.4
	minPromotionTime = 3500 * time.Millisecond
	maxPromotionTime = 10 * time.Second
	// minSamples is the number of informative answers of the new version that a promotion requires,
	// minSamplesAtDeadline that which it requires when the canary can't wait any longer.
	minSamples           = 20
	minSamplesAtDeadline = 10
	// minRemaining is the time that must remain of the rollout for a promotion to start.
	minRemaining = 2500 * time.Millisecond
	// reportTTL is the time after which a report no longer says what an instance does.
	reportTTL = 2500 * time.Millisecond
	// minServerRatio is the number of the new version's servers, as a share of the old
	// version's, that a promotion requires.
	minServerRatio = 0.75
)

// View is the state of the system, beside the reports, that a controller decides by.
type View struct {
	// Live lists the instances that may send requests to the service's servers.
	Live []string
	// OldServers and NewServers are the numbers of servers of each version that accept
	// requests.
	OldServers, NewServers int
}

// Action is [Wait] or [Write].
type Action interface{ action() }

// Wait means that there is nothing to write yet, and why.
type Wait struct{ Reason string }

// Write means that the rollout's status is to be written to the platform.
type Write struct {
	Stage  Stage
	Reason string
}

func (Wait) action()  {}
func (Write) action() {}

type receivedReport struct {
	Report
	receivedAt time.Time
}

// Controller aggregates the instances' reports on one rollout and decides its stages. Any
// instance can take over as the coordinator: the next reports hold all that it needs.
type Controller struct {
	Spec      Spec
	limits    Limits
	startedAt time.Time
	stage     Stage
	// reports holds the last report of each instance, earlier the counts of its earlier
	// incarnations.
	reports map[string]receivedReport
	earlier *Counts
	// answers is the number of requests that both versions have answered.
	answers int
	// Evidence is the result of the last comparison of the two versions.
	Evidence Evidence
	Reason   string
}

// NewController returns a controller of a rollout that started at now.
func NewController(now time.Time, spec Spec, l Limits) *Controller {
	return &Controller{Spec: spec, limits: l, startedAt: now, stage: StageCanary, reports: map[string]receivedReport{}, earlier: NewCounts()}
}

// Apply records a report and returns the lease that answers it.
func (c *Controller) Apply(now time.Time, r Report) Lease {
	previous, ok := c.reports[r.Instance]
	switch {
	case ok && (r.Incarnation < previous.Incarnation || r.Incarnation == previous.Incarnation && r.Sequence <= previous.Sequence):
		return c.Lease(now)
	case ok && r.Incarnation > previous.Incarnation:
		c.earlier.Add(previous.Cells)
	}
	c.reports[r.Instance] = receivedReport{r, now}
	if startedAt := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond); startedAt.Before(c.startedAt) {
		c.startedAt = startedAt
	}
	c.advance(r.Stage, "reported by instance "+r.Instance)
	return c.Lease(now)
}

// Lease returns the current lease.
func (c *Controller) Lease(now time.Time) Lease {
	age := now.Sub(c.startedAt)
	return Lease{RolloutID: c.Spec.ID, Stage: c.stage, AgeMillis: age.Milliseconds(), Share: c.limits.canaryShare(c.expectedRequests(age))}
}

// minRateAge is the age of a rollout from which on its rate of requests is known.
const minRateAge = time.Second

// expectedRequests returns how many requests are expectedRequests during the rollout, or 0 while
// that is unknown.
func (c *Controller) expectedRequests(age time.Duration) float64 {
	if age < minRateAge {
		return 0
	}
	return float64(c.answers) * float64(c.Spec.Duration) / float64(max(age, minRateAge))
}

// ExpireReports makes all reports outdated. It is called after this instance was
// suspended, which its monotonic clock doesn't count.
func (c *Controller) ExpireReports() {
	for by, r := range c.reports {
		r.receivedAt = time.Time{}
		c.reports[by] = r
	}
}

// Stage returns the rollout's stage.
func (c *Controller) Stage() Stage { return c.stage }

// Advance applies a stage that another instance decided on.
func (c *Controller) Advance(s Stage) { c.advance(s, "decided by another instance") }

func (c *Controller) advance(s Stage, reason string) {
	if later := c.stage.Later(s); later != c.stage {
		c.stage, c.Reason = later, reason
	}
}

// Counts returns the counts of all instances.
func (c *Controller) Counts() *Counts {
	all := NewCounts()
	all.Add(c.earlier.Cells())
	for _, r := range c.reports {
		all.Add(r.Cells)
	}
	return all
}

// Step decides what to do next.
func (c *Controller) Step(now time.Time, v View) Action {
	if c.stage.Ended() {
		return Wait{"ended"}
	}
	counts := c.Counts()
	stable, _ := counts.Total(Stable)
	canary, _ := counts.Total(Canary)
	c.answers = stable + canary
	c.Evidence = Compare(counts)
	if c.stage == StageCanary {
		c.evaluateCanary(now, v, counts)
	}
	if c.stage == StagePromoting && c.Evidence.Ratio >= promotedRollBackRatio {
		c.advance(StageRollingBack, "rolled back after promotion: "+c.Evidence.Reason)
	}
	switch c.stage {
	case StageRollingBack:
		return Write{StageRolledBack, c.Reason}
	case StagePromoting:
		return c.finish(now, v)
	}
	return Wait{"canary"}
}

// evaluateCanary ends the canary once there is enough evidence, or when its time is over.
func (c *Controller) evaluateCanary(now time.Time, v View, counts *Counts) {
	number, failed := counts.Total(Canary)
	informative := informativeSamples(counts)
	remaining := c.Spec.Duration - now.Sub(c.startedAt)
	enoughSamples := informative >= minSamples
	switch {
	case c.Evidence.Ratio >= immediateRollBackRatio:
		c.advance(StageRollingBack, "bad: "+c.Evidence.Reason)
	case remaining > c.promotionTime():
		return
	case c.Evidence.Ratio >= deadlineRollBackRatio && number >= minSamplesAtDeadline:
		c.advance(StageRollingBack, "rolled back at the deadline: "+c.Evidence.Reason)
	case enoughSamples && c.enoughServers(v), remaining <= minRemaining && informative >= minSamplesAtDeadline && c.enoughServers(v):
		c.advance(StagePromoting, fmt.Sprintf("promoted: %d of %d answers failed, likelihood ratio %.2f", failed, number, c.Evidence.Ratio))
	case remaining <= minRemaining:
		c.advance(StageRollingBack, fmt.Sprintf("rolled back for lack of samples or servers: %d answers, %.0f of them informative, %d new and %d old servers", number, informative, v.NewServers, v.OldServers))
	}
}

// informativeSamples returns how many answers of the new version would have succeeded on the old one: while both
// fail for another reason, such as an outage, the others say nothing about the new version. Its server with the
// most answers is left out, as the comparison may leave it out.
func informativeSamples(counts *Counts) float64 {
	number, _ := counts.Total(Canary)
	byServer := counts.byServer()
	if len(byServer) >= minServersToExclude {
		number -= slices.Max(slices.Collect(maps.Values(byServer)))
	}
	stable, failed := counts.Total(Stable)
	return float64(number) * (1 - float64(failed)/float64(max(1, stable)))
}

func (c *Controller) promotionTime() time.Duration {
	return min(maxPromotionTime, max(minPromotionTime, time.Duration(float64(c.Spec.Duration)*promotionShare)))
}

// enoughServers reports whether the new version's servers can take all requests.
func (c *Controller) enoughServers(v View) bool {
	return v.NewServers > 0 && float64(v.NewServers) >= minServerRatio*float64(v.OldServers)
}

// finish completes the rollout once no request is left on the old servers: the platform
// stops them as soon as it is completed.
func (c *Controller) finish(now time.Time, v View) Action {
	for _, id := range v.Live {
		r, ok := c.reports[id]
		switch {
		case !ok || now.Sub(r.receivedAt) > reportTTL:
			return Wait{"no recent report from " + id}
		case r.Stage != StagePromoting:
			return Wait{id + " hasn't applied the promotion"}
		case r.Remaining > 0:
			return Wait{fmt.Sprintf("%d requests remaining on the old version at %s", r.Remaining, id)}
		}
	}
	return Write{StageCompleted, c.Reason}
}
