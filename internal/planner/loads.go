package planner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/handover"
	"pollenspindle.example/pollenspindle/internal/pace"
)

const (
	// reportSettleTime is the time after an assignment from which the next report of its instance
	// includes it: the placement response takes a few milliseconds, and reports hold the load at
	// the time of sending.
	reportSettleTime = 200 * time.Millisecond
	// assignmentTTL is how long an assignment counts if no report follows.
	assignmentTTL = 2 * time.Second
	// reportTTL is how long a report counts if no other follows.
	reportTTL = 2*unchangedReportInterval + time.Second
)

// Report is the load of one instance on the engines that the receiver plans for.
type Report struct {
	Instance string `json:"by"`
	// Started and Sequence order the reports of an instance.
	Started  int64                    `json:"started"`
	Sequence int64                    `json:"sequence"`
	Loads    map[string]balancer.Load `json:"loads,omitempty"`
	// Paces holds what the instance has measured since its last report, by engine ID.
	Paces map[string]pace.Sample `json:"paces,omitempty"`
	// Notices are the notices of engines that the instance has observed since its last report.
	Notices []handover.Notice `json:"notices,omitempty"`
	// Sequences holds, by engine, the running generations as the numbers of tokens of the prompt, of
	// those generated, and at most to be generated, and the index of their key in Keys.
	Sequences map[string][][]int `json:"sequences,omitempty"`
	Keys      []LengthKey        `json:"keys,omitempty"`
}

// assignment is the load of a generation that was assigned to an instance.
type assignment struct {
	engine   string
	load     balancer.Load
	instance string
	at       time.Time
	// request and sequence are set for generations whose length can be estimated.
	request  string
	sequence forecast.Sequence
}

type receivedReport struct {
	Report
	at time.Time
}

// Loads adds up the loads that instances reported and the assignments since. It is safe for
// concurrent use.
type Loads struct {
	mu       sync.Mutex
	reports  map[string]receivedReport
	assigned []assignment
	// totals holds the load of each engine as of the last change.
	totals    map[string]balancer.Load
	stale     bool
	lastSweep time.Time
	// isAlive reports whether an instance is alive.
	isAlive func(id string) bool
}

// NewLoads returns empty loads. Reports of instances for which isAlive is false are dropped.
func NewLoads(isAlive func(id string) bool) *Loads {
	return &Loads{reports: map[string]receivedReport{}, isAlive: isAlive}
}

// Assign counts the load of an assignment until its instance reports it.
func (l *Loads) Assign(now time.Time, instance, engine string, tokens int) {
	l.assignLoad(now, instance, engine, balancer.Load{Running: 1, Tokens: tokens})
}

func (l *Loads) assignLoad(now time.Time, instance, engine string, load balancer.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assigned = append(l.assigned, assignment{engine: engine, load: load, instance: instance, at: now})
	l.stale = true
}

// Apply stores a report unless a later one is stored, and drops the assignments that it includes.
func (l *Loads) Apply(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.reports[r.Instance]
	if ok && (r.Started < current.Started || r.Started == current.Started && r.Sequence <= current.Sequence) {
		return
	}
	l.reports[r.Instance] = receivedReport{r, now}
	l.assigned = slices.DeleteFunc(l.assigned, func(a assignment) bool {
		return a.instance == r.Instance && now.Sub(a.at) >= reportSettleTime
	})
	l.stale = true
}

// ForEngine returns the load of an engine.
func (l *Loads) ForEngine(now time.Time, engine string) balancer.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	if l.stale {
		l.recompute()
	}
	return l.totals[engine]
}

func (l *Loads) recompute() {
	l.totals = map[string]balancer.Load{}
	for _, r := range l.reports {
		for id, load := range r.Loads {
			l.totals[id] = l.totals[id].Plus(load)
		}
	}
	for _, a := range l.assigned {
		l.totals[a.engine] = l.totals[a.engine].Plus(a.load)
	}
	l.stale = false
}

// removeExpired drops expired assignments and reports, and reports of instances that are down.
func (l *Loads) removeExpired(now time.Time) {
	if now.Sub(l.lastSweep) < reportSettleTime/2 {
		return
	}
	l.lastSweep = now
	before := len(l.assigned) + len(l.reports)
	l.assigned = slices.DeleteFunc(l.assigned, func(a assignment) bool { return now.Sub(a.at) >= assignmentTTL })
	maps.DeleteFunc(l.reports, func(_ string, r receivedReport) bool { return now.Sub(r.at) >= reportTTL || !l.isAlive(r.Instance) })
	l.stale = l.stale || before != len(l.assigned)+len(l.reports)
}
