package ingress

import "time"

// paceEvents is the number of events over which the event interval is averaged.
const paceEvents = 16

// paceMeter measures the interval between the events of a stream on one server.
type paceMeter struct {
	since time.Time
	count int
}

// record counts an event, and after every paceEvents events returns the mean interval between them.
func (m *paceMeter) record(now time.Time) (time.Duration, bool) {
	if m.since.IsZero() {
		m.since = now
		return 0, false
	}
	if m.count++; m.count < paceEvents {
		return 0, false
	}
	mean := now.Sub(m.since) / paceEvents
	m.since, m.count = now, 0
	return mean, true
}
