package pace

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// periodLength is the length of the periods over which windows are averaged, and keptPeriods is
	// how many of them an instance keeps for one engine. All streams on an engine are slow at the same
	// time, so several windows of one period are no more reliable than one.
	periodLength = time.Second
	keptPeriods  = 5
	// minPeriods is the number of periods from which on a sample is usable: machines are several
	// times slower for some tenths of a second at a time.
	minPeriods = 2
	// observationTTL is when an engine without windows is dropped, and maxObserved the number of
	// engines kept.
	observationTTL = time.Minute
	maxObserved    = 1024
)

// Sample is what one instance has measured on one incarnation of an engine.
type Sample struct {
	// Born is when the engine started, in milliseconds since 1970; 0 if the platform doesn't say.
	Born int64 `json:"born"`
	// IntervalMicros is the interval between two events of a stream, in microseconds.
	IntervalMicros int64 `json:"intervalMicros"`
	// Windows is the number of windows averaged, AgeMillis the time since the last one.
	Windows   int   `json:"windows"`
	AgeMillis int64 `json:"ageMillis"`
}

// Interval returns the interval between two events.
func (s Sample) Interval() time.Duration { return time.Duration(s.IntervalMicros) * time.Microsecond }

// period holds the windows that ended within periodLength.
type period struct {
	start time.Time
	sum   time.Duration
	n     int
}

// observed is what this instance has measured on one engine.
type observed struct {
	born    int64
	periods []period
	at      time.Time
}

// Observations holds what one instance has measured on its engines. It is safe for concurrent use.
type Observations struct {
	mu      sync.Mutex
	engines map[string]*observed
}

// NewObservations returns empty observations.
func NewObservations() *Observations { return &Observations{engines: map[string]*observed{}} }

// Record records the interval between events of a window that ended now, on the engine that started at born
// (milliseconds since 1970). Values out of range and those of an older incarnation are ignored.
func (o *Observations) Record(now time.Time, engine string, born int64, interval time.Duration) {
	if interval <= 0 || interval > MaxInterval {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[engine]
	if e != nil && born < e.born {
		return
	}
	if e == nil || e.born != born {
		e = &observed{born: born}
		o.makeRoom(now)
		o.engines[engine] = e
	}
	if n := len(e.periods); n == 0 || now.Sub(e.periods[n-1].start) >= periodLength {
		e.periods = append(e.periods, period{start: now})
		e.periods = e.periods[max(0, len(e.periods)-keptPeriods):]
	}
	last := &e.periods[len(e.periods)-1]
	last.sum += interval
	last.n++
	e.at = now
}

// makeRoom drops engines without recent windows, and the one with the oldest if there are too many.
func (o *Observations) makeRoom(now time.Time) {
	if len(o.engines) < maxObserved {
		return
	}
	oldest := ""
	for id, e := range o.engines {
		if now.Sub(e.at) > observationTTL {
			delete(o.engines, id)
		} else if oldest == "" || e.at.Before(o.engines[oldest].at) {
			oldest = id
		}
	}
	if len(o.engines) >= maxObserved {
		delete(o.engines, oldest)
	}
}

// sample returns the sample of an engine; false before it is usable.
//
// The interval is the lower median of the means of the periods: a single period in which the machine
// was slow doesn't make an engine slow.
func (e *observed) sample(now time.Time) (Sample, bool) {
	if len(e.periods) < minPeriods {
		return Sample{}, false
	}
	means := make([]time.Duration, len(e.periods))
	windows := 0
	for i, p := range e.periods {
		means[i] = p.sum / time.Duration(p.n)
		windows += p.n
	}
	slices.Sort(means)
	interval := means[(len(means)-1)/4]
	return Sample{Born: e.born, IntervalMicros: interval.Microseconds(), Windows: windows, AgeMillis: max(0, now.Sub(e.at).Milliseconds())}, true
}

// Sample returns what was measured on an engine; false if that isn't usable.
func (o *Observations) Sample(now time.Time, engine string) (Sample, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[engine]
	if !ok || now.Sub(e.at) > observationTTL {
		return Sample{}, false
	}
	return e.sample(now)
}

// Since returns the usable samples with windows after the given time, for the engines for which
// include is true, and the time from which on the next call continues. It returns at most n samples,
// those that changed first.
func (o *Observations) Since(now, after time.Time, n int, include func(engine string) bool) (map[string]Sample, time.Time) {
	type change struct {
		id string
		at time.Time
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var changed []change
	for id, e := range o.engines {
		if e.at.After(after) && now.Sub(e.at) <= observationTTL && len(e.periods) >= minPeriods && include(id) {
			changed = append(changed, change{id, e.at})
		}
	}
	if len(changed) == 0 {
		return nil, after
	}
	slices.SortFunc(changed, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	changed = changed[:min(n, len(changed))]
	samples := make(map[string]Sample, len(changed))
	for _, c := range changed {
		samples[c.id], _ = o.engines[c.id].sample(now)
	}
	return samples, changed[len(changed)-1].at
}
