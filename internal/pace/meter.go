// Package pace measures how fast model engines decode. It does no I/O and starts no goroutines; the
// present time is an argument.
//
// It is for services whose engines differ in speed. A [Meter] measures the interval between the
// events of one stream on one engine.
//
// # Usage
//
//	var m pace.Meter
//	if interval, ok := m.Record(now); ok {
//		// the median interval of the last window
//	}
//	m.Interrupt() // the next gap isn't the engine's
package pace

import (
	"slices"
	"time"
)

// WindowGaps is the number of gaps between events in one window of a [Meter].
const WindowGaps = 16

// Meter measures the interval between the events of a stream on one engine. Its zero value is ready
// to use. It is not safe for concurrent use.
//
// It returns medians: the prefill of other prompts lengthens a part of the gaps, and events that
// arrive together shorten some, neither of which says how fast the engine decodes.
type Meter struct {
	last time.Time
	gaps [WindowGaps]time.Duration
	n    int
	// decode is the first quartile of the last window.
	decode time.Duration
}

// Record records the arrival of an event. At the end of a window it returns the median gap.
func (m *Meter) Record(now time.Time) (time.Duration, bool) {
	gap := now.Sub(m.last)
	first := m.last.IsZero()
	m.last = now
	if first || gap < 0 {
		return 0, false
	}
	m.gaps[m.n] = gap
	if m.n++; m.n < WindowGaps {
		return 0, false
	}
	m.n = 0
	sorted := m.gaps
	slices.Sort(sorted[:])
	m.decode = (sorted[WindowGaps/4-1] + sorted[WindowGaps/4]) / 2
	return (sorted[WindowGaps/2-1] + sorted[WindowGaps/2]) / 2, true
}

// Decode returns the first quartile of the gaps of the last window; 0 before the first one ends. It
// is the interval between events while the engine processes no prompts, unless it does so for three
// quarters of the time: in bursts it does for more than half, which changes the median.
func (m *Meter) Decode() time.Duration { return m.decode }

// Interrupt excludes the gap before the next event, for instance when the stream resumes on another
// engine or its caller reads slowly.
func (m *Meter) Interrupt() { m.last = time.Time{} }

// Reset starts anew on another engine.
func (m *Meter) Reset() { *m = Meter{} }
