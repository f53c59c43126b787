package pace

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// MaxInterval is the longest plausible interval between two events of a stream; callers leave
	// after a pause of that length.
	MaxInterval = 5 * time.Second
	// SlowRatio is the ratio to the reference from which on an engine counts as slow, and its inverse
	// as fast. Differences of batch size and prompts are within that range.
	SlowRatio = 1.5
	// deviationHalfLife is the time without windows in which the deviation of an engine from the
	// reference halves, so that a slow engine is tried again.
	deviationHalfLife = 20 * time.Second
	// sampleHalfLife is the time in which a sample's weight halves against a newer one of another
	// instance.
	sampleHalfLife = 5 * time.Second
	// minWindows is the number of windows from which on an estimate is used, minEngines the number of
	// engines with an estimate from which on there is a reference.
	minWindows = 2
	minEngines = 3
	// maxAge is the greatest age of a sample.
	maxAge = time.Minute
	// maxWindowsPerSample limits the weight of one instance.
	maxWindowsPerSample = 1000
	// maxSamples limits the instances whose samples are kept for one engine: each engine runs a few
	// dozen generations. maxEngines limits the engines.
	maxSamples = 64
	maxEngines = 2048
	// refreshInterval is how often the ratios of a group are computed: samples change every second.
	refreshInterval = 200 * time.Millisecond
	// trialTime is how long after a long generation was placed on an engine whose slowness was
	// forgotten the engine counts as slow again, unless new windows arrive: a slow engine takes 2 s
	// for two windows. Without it, every generation of that time would go to the empty engine.
	trialTime = 6 * time.Second
	// trialEvents is the number of events from which on a generation yields a usable sample.
	trialEvents = 3 * WindowGaps
)

// Relative is the pace of an engine relative to the other engines of its group.
type Relative struct {
	// Ratio is the interval between events divided by that of the reference; more is slower. An
	// engine without an estimate has the mean of its group: a new engine is empty, and would be sent
	// many generations before it is known to be slow.
	Ratio float64
	// Known says that the engine has an estimate.
	Known bool
	// Reference is the interval between events at the reference; 0 if unknown.
	Reference time.Duration
	// Mixed says that at least one engine of the group counts as slow or fast.
	Mixed bool
}

// Engine is an engine of a group, with the time of its start in milliseconds since 1970.
type Engine struct {
	ID   string
	Born int64
}

// Change says that an engine begins or ceases to count as slow.
type Change struct {
	Engine   string
	Slow     bool
	Ratio    float64
	Interval time.Duration
}

// Rejection says why a sample was ignored; it is empty for an accepted one.
type Rejection string

// The reasons for which samples are ignored.
const (
	RejectedInterval    Rejection = "interval"
	RejectedWindows     Rejection = "windows"
	RejectedAge         Rejection = "age"
	RejectedIncarnation Rejection = "incarnation"
	RejectedBound       Rejection = "bound"
)

type timedSample struct {
	Sample
	at time.Time
}

// estimate is what is known of one incarnation of an engine.
type estimate struct {
	born    int64
	samples map[string]timedSample
	at      time.Time
	// interval and measured are the estimate without the effect of age and its ratio; ratio is what
	// the engine counts as.
	interval        time.Duration
	measured, ratio float64
	slow            bool
	slowSince       time.Time
	// trialAt is when the last long generation was placed on the engine since its slowness was
	// forgotten.
	trialAt time.Time
}

// Table holds the estimates of engines. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	engines map[string]*estimate
	groups  map[string]groupState
}

// groupState is the state of a group as of the last refresh.
type groupState struct {
	at        time.Time
	reference time.Duration
	mixed     bool
	// mean is the mean ratio of the engines with an estimate, 1 if there are too few.
	mean float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{engines: map[string]*estimate{}, groups: map[string]groupState{}}
}

// Apply stores the sample of an instance for an engine that, by the platform's list, started at born.
// It returns why the sample is ignored, if it is.
func (t *Table) Apply(now time.Time, instance, engine string, born int64, s Sample) Rejection {
	switch {
	case s.Interval() <= 0 || s.IntervalMicros > MaxInterval.Microseconds():
		return RejectedInterval
	case s.Windows < 1:
		return RejectedWindows
	case s.AgeMillis < 0 || s.AgeMillis > maxAge.Milliseconds():
		return RejectedAge
	case s.Born != born:
		return RejectedIncarnation
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil || e.born != born {
		if e == nil && len(t.engines) >= maxEngines {
			return RejectedBound
		}
		e = &estimate{born: born, samples: map[string]timedSample{}, ratio: 1, measured: 1}
		t.engines[engine] = e
	}
	s.Windows = min(s.Windows, maxWindowsPerSample)
	at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
	if _, known := e.samples[instance]; !known && len(e.samples) >= maxSamples {
		e.dropOldest()
	}
	e.samples[instance] = timedSample{s, at}
	if at.After(e.at) {
		e.at = at
	}
	return ""
}

func (e *estimate) dropOldest() {
	oldest := ""
	for id, s := range e.samples {
		if oldest == "" || s.at.Before(e.samples[oldest].at) {
			oldest = id
		}
	}
	delete(e.samples, oldest)
}

// average returns the average interval over the instances; false if there are too few windows.
func (e *estimate) average() (time.Duration, bool) {
	windows, sum, weights := 0, 0.0, 0.0
	for _, s := range e.samples {
		weight := float64(s.Windows) * math.Exp2(-float64(e.at.Sub(s.at))/float64(sampleHalfLife))
		windows += s.Windows
		sum += weight * float64(s.Interval())
		weights += weight
	}
	if windows < minWindows || weights <= 0 {
		return 0, false
	}
	return time.Duration(sum / weights), true
}

// Due reports whether the ratios of a group's engines are out of date.
func (t *Table) Due(now time.Time, group string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due(now, group)
}

func (t *Table) due(now time.Time, group string) bool {
	g, ok := t.groups[group]
	return !ok || now.Sub(g.at) >= refreshInterval || now.Before(g.at)
}

// Refresh computes the ratios of a group's engines, at most every 200 ms, and drops the estimates of
// older incarnations. It returns the engines that begin or cease to count as slow.
func (t *Table) Refresh(now time.Time, group string, engines []Engine) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.due(now, group) {
		return nil
	}
	t.removeUnused(now)
	var known []string
	var intervals []time.Duration
	for _, listed := range engines {
		e, ok := t.engines[listed.ID]
		if ok && e.born != listed.Born {
			delete(t.engines, listed.ID)
			ok = false
		}
		if !ok {
			continue
		}
		if e.interval, ok = e.average(); ok {
			known, intervals = append(known, listed.ID), append(intervals, e.interval)
		}
	}
	g := groupState{at: now, mean: 1}
	var changes []Change
	if len(known) >= minEngines {
		slices.Sort(intervals)
		g.reference = intervals[(len(intervals)-1)/2]
	}
	for _, id := range known {
		e := t.engines[id]
		e.measured, e.ratio = 1, 1
		if g.reference > 0 {
			e.measured = float64(e.interval) / float64(g.reference)
			e.ratio = e.current(now)
		}
		g.mixed = g.mixed || e.ratio != 1
		if slow := e.ratio >= SlowRatio; slow != e.slow {
			e.slow, e.slowSince = slow, now
			changes = append(changes, Change{Engine: id, Slow: slow, Ratio: e.measured, Interval: e.interval})
		}
	}
	if g.mixed {
		g.mean = t.meanRatio(known)
	}
	t.groups[group] = g
	return changes
}

func (t *Table) meanRatio(engines []string) float64 {
	sum := 0.0
	for _, id := range engines {
		sum += t.engines[id].ratio
	}
	return sum / float64(len(engines))
}

// current returns the ratio that an engine counts as.
func (e *estimate) current(now time.Time) float64 {
	ratio := e.measured
	if e.trialAt.Before(e.at) || now.Sub(e.trialAt) >= trialTime {
		ratio = 1 + (e.measured-1)*math.Exp2(-float64(max(0, now.Sub(e.at)))/float64(deviationHalfLife))
	}
	if ratio < SlowRatio && ratio > 1/SlowRatio {
		return 1
	}
	return ratio
}

// removeUnused drops engines without samples and groups that aren't used any more.
func (t *Table) removeUnused(now time.Time) {
	for id, e := range t.engines {
		if now.Sub(e.at) > 3*maxAge {
			delete(t.engines, id)
		}
	}
	for name, g := range t.groups {
		if now.Sub(g.at) > maxAge {
			delete(t.groups, name)
		}
	}
}

// Relative returns the pace of an engine of a group as of the last refresh.
func (t *Table) Relative(group, engine string) Relative {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[group]
	if !ok {
		return Relative{Ratio: 1}
	}
	r := Relative{Ratio: g.mean, Reference: g.reference, Mixed: g.mixed}
	if e, ok := t.engines[engine]; ok && e.interval > 0 && g.reference > 0 {
		r.Ratio, r.Known = e.ratio, true
	}
	return r
}

// RecordPlacement records that a generation with the given number of expected events was placed on
// an engine. If the engine was slow when it was last measured, and that was long ago, it counts as
// slow again until the generation has been measured.
func (t *Table) RecordPlacement(now time.Time, group, engine string, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engine]
	if !ok || events < trialEvents || e.measured < SlowRatio || e.ratio >= SlowRatio {
		return
	}
	e.trialAt, e.ratio = now, e.measured
	g := t.groups[group]
	g.mixed = true
	t.groups[group] = g
}

// Confirmed reports whether an engine has an estimate and wasn't slow by it.
func (t *Table) Confirmed(engine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engine]
	return ok && e.interval > 0 && e.measured < SlowRatio
}

// SlowFor returns how long an engine has counted as slow without interruption; 0 if it doesn't.
func (t *Table) SlowFor(now time.Time, engine string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engine]
	if !ok || !e.slow {
		return 0
	}
	return now.Sub(e.slowSince)
}

// Intervals returns the estimate of each engine of a list that has one.
func (t *Table) Intervals(engines []Engine) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Duration, len(engines))
	for _, listed := range engines {
		if e, ok := t.engines[listed.ID]; ok && e.interval > 0 {
			out[listed.ID] = e.interval
		}
	}
	return out
}
