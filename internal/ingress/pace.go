package ingress

import "time"

// paceEvents is over how many events of a stream their pace is taken.
const paceEvents = 16

// paceMeter takes the time between the events of a stream at one server.
type paceMeter struct {
	since time.Time
	count int
}

// event counts an event, and returns the mean time between two after each
// stretch.
func (m *paceMeter) event(now time.Time) (time.Duration, bool) {
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
