package planner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
)

const (
	// reportSettles is how long after an assignment its instance's next report
	// surely has it: the answer takes some milliseconds, and loads are read when
	// they are reported.
	reportSettles = 200 * time.Millisecond
	// assignmentTTL is how long an assignment counts that no report follows.
	assignmentTTL = 2 * time.Second
	// reportTTL is how long a report counts that none follows.
	reportTTL = 2*reportEvery + time.Second
)

// Report is what one instance has on the engines that the receiver plans for.
type Report struct {
	By string `json:"by"`
	// Started and Sequence order the reports of an instance.
	Started  int64                    `json:"started"`
	Sequence int64                    `json:"sequence"`
	Loads    map[string]balancer.Load `json:"loads,omitempty"`
}

// assignment is the load of a generation that was given to an instance.
type assignment struct {
	engine string
	load   balancer.Load
	by     string
	at     time.Time
}

type reported struct {
	Report
	at time.Time
}

// Loads adds up what instances have reported and what was assigned to them since.
// It is safe for concurrent use.
type Loads struct {
	mu       sync.Mutex
	reports  map[string]reported
	assigned []assignment
	// sum is by engine, as of the last change.
	sum   map[string]balancer.Load
	stale bool
	swept time.Time
	// runs reports whether an instance runs.
	runs func(id string) bool
}

// NewLoads returns loads of which nothing is known. Runs reports whether an
// instance runs: what others had is over.
func NewLoads(runs func(id string) bool) *Loads {
	return &Loads{reports: map[string]reported{}, runs: runs}
}

// Assign counts a load until its instance reports it.
func (l *Loads) Assign(now time.Time, by, engine string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assigned = append(l.assigned, assignment{engine: engine, load: balancer.Load{Running: 1, Tokens: tokens}, by: by, at: now})
	l.stale = true
}

// Take takes over a report, unless a later one is known, and drops the assignments
// that it has.
func (l *Loads) Take(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.reports[r.By]
	if ok && (r.Started < known.Started || r.Started == known.Started && r.Sequence <= known.Sequence) {
		return
	}
	l.reports[r.By] = reported{r, now}
	l.assigned = slices.DeleteFunc(l.assigned, func(a assignment) bool {
		return a.by == r.By && now.Sub(a.at) >= reportSettles
	})
	l.stale = true
}

// On returns the load of an engine.
func (l *Loads) On(now time.Time, engine string) balancer.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if l.stale {
		l.add()
	}
	return l.sum[engine]
}

func (l *Loads) add() {
	l.sum = map[string]balancer.Load{}
	for _, r := range l.reports {
		for id, load := range r.Loads {
			l.sum[id] = l.sum[id].Plus(load)
		}
	}
	for _, a := range l.assigned {
		l.sum[a.engine] = l.sum[a.engine].Plus(a.load)
	}
	l.stale = false
}

// sweep drops what wasn't followed up in time.
func (l *Loads) sweep(now time.Time) {
	if now.Sub(l.swept) < reportSettles/2 {
		return
	}
	l.swept = now
	before := len(l.assigned) + len(l.reports)
	l.assigned = slices.DeleteFunc(l.assigned, func(a assignment) bool { return now.Sub(a.at) >= assignmentTTL })
	maps.DeleteFunc(l.reports, func(_ string, r reported) bool { return now.Sub(r.at) >= reportTTL || !l.runs(r.By) })
	l.stale = l.stale || before != len(l.assigned)+len(l.reports)
}
