// Package crashsuspect finds requests that crash the backend servers that run them.
//
// Callers retry such a poison request when its server crashes, so that a single one
// can crash a whole fleet. Every request that was running when a backend server
// crashed is a crash suspect, identified by the fingerprint of its body within its
// workspace. After two crashes it is refused for some time. Instances tell each other
// of suspects, so it doesn't matter which instance gets the retry.
//
// Most suspects only ran beside the poison request. A suspect that finishes is
// cleared. So that no request runs beside the poison request at two crashes, the
// owner of a backend server runs at most one suspect there at a time. When several
// backend servers of one availability zone crash together, the zone is the cause,
// and the requests that ran on only one of them aren't suspects.
//
// Requests that crash servers may share only a part of their prompts. Parts are suspects
// of their own: see [Table.CheckPart] and [Trials].
//
// # Usage
//
//	t := crashsuspect.NewTable(crashsuspect.DefaultParams)
//	t.RecordCrash(now, crashsuspect.CrashName("kigali-a", "engine-3", "5f2c"), fingerprint)
//	switch t.Check(now, fingerprint) {
//	case crashsuspect.Clear, crashsuspect.Suspected:
//	case crashsuspect.Refused: // answer with t.RetryAfter(now, fingerprint)
//	}
package crashsuspect

import (
	"slices"
	"time"
)

// Params configures a [Table].
type Params struct {
	// Crashes is the number of crashes after which a request is refused. One would
	// refuse every request that ran beside a poison request, three would cost a
	// third server.
	Crashes int
	// Retention is how long a crash counts against a request. It limits how long a
	// harmless request can be refused.
	Retention time.Duration
	// MaxEntries limits the table; the oldest entry is evicted first. A crash adds
	// one entry for each request of a batch.
	MaxEntries int
	// ZoneCrashes is the number of servers of one availability zone that must crash
	// within ZoneWindow of each other for the zone to be the cause. A single poison
	// request crashes fewer servers, since it is refused after two crashes.
	ZoneCrashes int
	ZoneWindow  time.Duration
}

// DefaultParams is for some 45 crashes a day with batches of some tens of requests,
// and for the loss of a zone with hundreds of servers.
var DefaultParams = Params{
	Crashes: 2, Retention: 15 * time.Minute, MaxEntries: 4096, ZoneCrashes: 4, ZoneWindow: 10 * time.Second,
}

// Crash is the crash of one incarnation of a backend server. Its name, from
// [CrashName], makes a crash that several instances see count once.
type Crash struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
	// Trial says that the part was the only suspected one of its request, and in a trial.
	Trial bool `json:"trial,omitempty"`
	// Cleared says that a run since the crash has shown that the request or part isn't its cause; see
	// [Progress]. It doesn't depend on the clocks of the instances that saw the one and the other.
	Cleared bool `json:"cleared,omitempty"`
	// Events, RunningMillis and SinceSentMillis say how far the run had got; see [Progress]. The last one is
	// relative, so that the clocks of instances make no difference.
	Events          int   `json:"events,omitempty"`
	RunningMillis   int64 `json:"runningMillis,omitempty"`
	SinceSentMillis int64 `json:"sinceSentMillis,omitempty"`
	// knownAt is when this instance first knew of the crash.
	knownAt time.Time
}

// Entry holds the crashes of one request. Instances send entries to each other.
type Entry struct {
	Fingerprint uint64  `json:"fingerprint"`
	Crashes     []Crash `json:"crashes"`
	// ClearedAt is when the request last finished; earlier crashes don't count.
	ClearedAt time.Time `json:"clearedAt,omitzero"`
	// RefusedAt is about when a request with a refused part last came.
	RefusedAt time.Time `json:"refusedAt,omitzero"`
	// Part says that the fingerprint is the key of a part of prompts.
	Part bool `json:"part,omitempty"`
}

// keptClearedCrashes is the number of cleared crashes that are kept of an entry, so that late news of them
// don't count.
const keptClearedCrashes = 16

// Uncleared returns the crashes that count, in order of time.
func (e *Entry) Uncleared() []Crash {
	var out []Crash
	for _, c := range e.Crashes {
		if !c.Cleared {
			out = append(out, c)
		}
	}
	return out
}

// uncleared returns the number of crashes that count.
func (e *Entry) uncleared() int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// Clearing returns an entry that clears the known crashes of an entry, and no others.
func (e *Entry) Clearing() Entry {
	out := Entry{Fingerprint: e.Fingerprint, Part: e.Part}
	for _, c := range e.Uncleared() {
		c.Cleared = true
		out.Crashes = append(out.Crashes, c)
	}
	return out
}

func (e *Entry) clone() Entry {
	out := *e
	out.Crashes = slices.Clone(e.Crashes)
	return out
}

// Verdict is the result of checking a request.
type Verdict int

// The verdicts.
const (
	// Clear means that the request is not a suspect.
	Clear Verdict = iota
	// Suspected means that the request may run where no other suspect runs.
	Suspected
	// Refused means that the request must not run.
	Refused
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case Suspected:
		return "suspected"
	case Refused:
		return "refused"
	}
	return "unknown"
}

func lastChange(e Entry) time.Time {
	last := e.ClearedAt
	if e.RefusedAt.After(last) {
		last = e.RefusedAt
	}
	for _, c := range e.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// merge merges another entry of the request: the crashes form a set without those
// before the latest ClearedAt, so the order of merges makes no difference. At most
// keep crashes that count remain.
func (e *Entry) merge(now time.Time, in Entry, keep int) {
	if in.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt = in.ClearedAt
	}
	if in.RefusedAt.After(e.RefusedAt) {
		e.RefusedAt = in.RefusedAt
	}
	for _, c := range in.Crashes {
		e.add(now, c)
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !c.At.After(e.ClearedAt) })
	// The newest crashes and those in trials are enough to decide.
	n := e.uncleared()
	for ; n > keep; n-- {
		oldest := slices.IndexFunc(e.Crashes, func(c Crash) bool { return !c.Cleared && !c.Trial })
		if oldest < 0 {
			oldest = slices.IndexFunc(e.Crashes, func(c Crash) bool { return !c.Cleared })
		}
		e.Crashes = slices.Delete(e.Crashes, oldest, oldest+1)
	}
	for len(e.Crashes)-n > keptClearedCrashes {
		oldest := slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.Cleared })
		e.Crashes = slices.Delete(e.Crashes, oldest, oldest+1)
	}
}

// add inserts a crash in order of time. Two instances see the same crash at slightly different times, under
// runs that had got to different points: the earlier time and the further point are kept.
func (e *Entry) add(now time.Time, c Crash) {
	c.knownAt = now
	i := slices.IndexFunc(e.Crashes, func(o Crash) bool { return o.Name == c.Name })
	if i >= 0 {
		known := &e.Crashes[i]
		point := known.progress().further(c.progress())
		c.Trial, c.Cleared, c.knownAt = c.Trial || known.Trial, c.Cleared || known.Cleared, known.knownAt
		c.setProgress(point)
		if !c.At.Before(known.At) {
			c.At = known.At
			*known = c
			return
		}
		e.Crashes = slices.Delete(e.Crashes, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(e.Crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	e.Crashes = slices.Insert(e.Crashes, at, c)
}
