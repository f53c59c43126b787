package relay

import "time"

const (
	// DefaultGracePeriod is how long a caller may take to reconnect. Clients reconnect within
	// seconds, and generations of callers that don't fill engine memory.
	DefaultGracePeriod = 20 * time.Second
	// silenceLimit ends a generation that sends no events although the engine has it. It is well
	// over the time that a preempted generation waits for memory.
	silenceLimit = 2 * time.Minute
	// patientSilenceLimit applies to the patient class, which is preempted first.
	patientSilenceLimit = 10 * time.Minute
	// unreachableLimit ends a started stream whose engine can't be reached: a link that is down for
	// longer rarely recovers while callers wait.
	unreachableLimit = 10 * time.Second
	// maxProbeFactor limits the growth of the probe interval. The interval grows so that a slow
	// engine isn't loaded by connections from all its silent streams.
	maxProbeFactor = 8
	// maxGaps is how often a stream is resumed because positions were missing. If they are still
	// missing after that, the engine doesn't have them.
	maxGaps = 2
)

// verdict is what to do with an event.
type verdict int

const (
	deliver verdict = iota
	duplicate
	gap
)

// progress tracks the position of one generation and the time since its last event.
type progress struct {
	// lastPosition is the last position accepted.
	lastPosition int64
	// lastEventAt is when the last event arrived, or when the first was requested.
	lastEventAt time.Time
	// probes counts the probes since the last event.
	probes int
	gaps   int
}

// accept decides what to do with an event at a position.
//
// After a resume the engine may repeat events that an earlier connection delivered, and events of
// an earlier connection may be lost. Without the check the caller would receive tokens twice, or an
// answer with a gap that looks complete.
func (p *progress) accept(now time.Time, position int64) verdict {
	switch {
	case position <= p.lastPosition:
		return duplicate
	case position > p.lastPosition+1:
		return gap
	}
	p.lastPosition = position
	p.lastEventAt = now
	p.probes = 0
	p.gaps = 0
	return deliver
}

// probeDelay returns the delay until the next probe of a silent stream.
func (p *progress) probeDelay(stall time.Duration) time.Duration {
	return stall * time.Duration(min(maxProbeFactor, 1<<min(p.probes, maxProbeFactor)))
}

func (p *progress) silentFor(now time.Time) time.Duration { return now.Sub(p.lastEventAt) }
