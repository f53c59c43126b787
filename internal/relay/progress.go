package relay

import "time"

const (
	// DefaultGrace is how long a caller may take to come back: a client
	// reconnects within seconds, and vanished callers fill engine memory.
	DefaultGrace = 20 * time.Second
	// silenceLimit ends a generation that gives nothing although the engine
	// knows it. It is well over a preempted generation's wait for memory.
	silenceLimit = 2 * time.Minute
	// patientSilenceLimit is longer: patient work yields memory first.
	patientSilenceLimit = 10 * time.Minute
	// unreachableLimit ends a begun stream whose engine can't be reached: a
	// link that is down longer than this is seldom back while callers wait.
	unreachableLimit = 10 * time.Second
	// maxProbeFactor bounds the growth of the time between probes, so that a
	// slow engine isn't loaded by connections from all its silent streams.
	maxProbeFactor = 8
	// maxGaps is how often a stream is resumed because positions were missing.
	// A resume that skips again shows that the engine doesn't have them.
	maxGaps = 2
)

// Verdict is what to do with an event.
type verdict int

const (
	deliver verdict = iota
	duplicate
	gap
)

// progress tracks the position and the silence of one generation.
type progress struct {
	// last is the last position accepted.
	last int64
	// since is when the last event came, or when the first was asked for.
	since time.Time
	// probes counts the probes in the present silence.
	probes int
	gaps   int
}

// accept decides about an event at a position.
//
// After a resume the engine may repeat what an older connection delivered,
// and an older connection's events may be lost. Without the check the caller
// would read tokens twice, or an answer with a hole that looks whole.
func (p *progress) accept(now time.Time, position int64) verdict {
	switch {
	case position <= p.last:
		return duplicate
	case position > p.last+1:
		return gap
	}
	p.last = position
	p.since = now
	p.probes = 0
	p.gaps = 0
	return deliver
}

// nextProbe is the wait until the next probe of a silent stream.
func (p *progress) nextProbe(stall time.Duration) time.Duration {
	return stall * time.Duration(min(maxProbeFactor, 1<<min(p.probes, maxProbeFactor)))
}

func (p *progress) silent(now time.Time) time.Duration { return now.Sub(p.since) }
