package crashsuspect

import "time"

// Progress is how far a server has got with one run of a request. It decides what a run shows of the crashes
// under other runs of the same request, or of requests that share a part:
//
//   - Nothing that a server sends before the first event shows anything: a head, a failure of its own, a
//     refusal and an empty answer are sent by servers that haven't read the prompt.
//   - The first event shows that the run began. Servers may crash with it, or at any later event.
//   - A run shows that a crash wasn't its fault once it has got well past the point at which the server of the
//     other run crashed. A complete answer shows it for every point.
//   - A run that was sent before the run that crashed shows nothing: the cause may have turned bad since.
//
// A crash in turn counts against what ran on the server, but not against the parts of a run that had gone on
// for maxCrashRunning: such a run has most likely lost its server to another one.
type Progress struct {
	// Events is the number of events that have arrived, Running the time from the first of them to the last.
	Events  int
	Running time.Duration
	// SinceSent is the time since the request was sent to its server, as far as that matters.
	SinceSent time.Duration
	// Complete says that the answer has ended as it should, with content.
	Complete bool
}

const (
	// minEvents and minRunning are how much further than another run a run has to get, to show that its
	// server doesn't crash at the same point: events arrive in bursts, and servers differ in speed.
	minEvents  = 4
	minRunning = 300 * time.Millisecond
	// maxCrashRunning is how long a run may have gone on for a crash to count against its parts.
	maxCrashRunning = 2 * time.Second
)

// Passes reports whether a run shows that servers don't crash where the server of another run did.
func (p Progress) Passes(crash Progress) bool {
	return p.Complete ||
		p.Events >= crash.Events+max(minEvents, crash.Events/2) && p.Running >= crash.Running+max(minRunning, crash.Running/2)
}

// CountsAgainstParts reports whether a crash at this point counts against the parts of the run's prompt.
func (p Progress) CountsAgainstParts() bool { return p.Running < maxCrashRunning }

// further returns the values of two points that are harder to pass.
func (p Progress) further(other Progress) Progress {
	return Progress{Events: max(p.Events, other.Events), Running: max(p.Running, other.Running), SinceSent: min(p.SinceSent, other.SinceSent)}
}

// progress returns how far the run had got as its server crashed.
func (c Crash) progress() Progress {
	return Progress{
		Events: c.Events, Running: time.Duration(c.RunningMillis) * time.Millisecond, SinceSent: time.Duration(c.SinceSentMillis) * time.Millisecond,
	}
}

// setProgress sets how far the run had got.
func (c *Crash) setProgress(p Progress) {
	c.Events, c.RunningMillis, c.SinceSentMillis = p.Events, p.Running.Milliseconds(), p.SinceSent.Milliseconds()
}

// PartCrash returns the entry of a crash that counts against a part.
func PartCrash(part uint64, c Crash, p Progress) Entry {
	c.setProgress(p)
	return Entry{Fingerprint: part, Part: true, Crashes: []Crash{c}}
}

// ClearedBy returns an entry that clears the crashes that a run shows not to have been the fault of the request
// or part, and false if there are none. sentAt is when the run was sent to its server.
func (e *Entry) ClearedBy(sentAt time.Time, p Progress) (Entry, bool) {
	out := Entry{Fingerprint: e.Fingerprint, Part: e.Part}
	for _, c := range e.Uncleared() {
		crash := c.progress()
		if !c.knownAt.Add(-crash.SinceSent).After(sentAt) && p.Passes(crash) {
			c.Cleared = true
			out.Crashes = append(out.Crashes, c)
		}
	}
	return out, len(out.Crashes) > 0
}

// PassedBy reports whether a run that goes on elsewhere has itself got past all crashes that count.
func (e *Entry) PassedBy(p Progress) bool {
	for _, c := range e.Uncleared() {
		if !p.Passes(c.progress()) {
			return false
		}
	}
	return true
}
