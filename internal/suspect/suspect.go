// Package suspect finds requests that crash the backend servers that run them.
//
// A caller sends such a request again when its server is gone, so a single one
// can empty a fleet. Every request that was running when a backend server
// crashed is a suspect, by the fingerprint of its body within its workspace.
// After two crashes it is refused for a while. Instances share what they know
// in their heartbeats, so it does not matter where the caller sends it next.
//
// Most suspects are innocent neighbours of the guilty one. A suspect that
// finishes is cleared. So that a neighbour does not stand beside the guilty
// request at two crashes, the owner of a backend server runs at most one
// suspect there at a time. When several backend servers of one availability
// zone end together, the zone is the cause, and what ran on one of them is no
// suspect.
//
// # Usage
//
//	t := suspect.NewTable(suspect.DefaultParams)
//	t.Crash(now, suspect.CrashName("kigali-a", "engine-3", "5f2c"), fingerprint)
//	switch t.Check(now, fingerprint) {
//	case suspect.Clear, suspect.Suspected:
//	case suspect.Refused: // answer with t.RetryAfter(now, fingerprint)
//	}
package suspect

import (
	"slices"
	"time"
)

// Params bounds a table.
type Params struct {
	// Crashes is the number of crashes after which a request is refused. One
	// would refuse every neighbour, three would cost a third server.
	Crashes int
	// Keep is how long a crash counts against a request. It bounds how long
	// an innocent one can stay refused.
	Keep time.Duration
	// MaxEntries bounds the table; the oldest entry goes first. A crash adds
	// one entry for each request of a batch.
	MaxEntries int
	// Together is the number of servers of one availability zone that end
	// within Within of each other when the zone is the cause. A request is
	// refused after two crashes, so that alone it ends no more than a few.
	Together int
	Within   time.Duration
}

// DefaultParams is for some 45 crashes a day with batches of some tens, and for
// the loss of a zone with hundreds of servers.
var DefaultParams = Params{
	Crashes: 2, Keep: 15 * time.Minute, MaxEntries: 4096, Together: 4, Within: 10 * time.Second,
}

// Crash is the end of one start of a backend server. It has the name that
// [CrashName] gives it, so that one seen by several instances counts once.
type Crash struct {
	Name string    `json:"Name"`
	At   time.Time `json:"At"`
}

// Entry is what is known of one request. Instances send entries to each other.
type Entry struct {
	Fingerprint uint64  `json:"Fingerprint"`
	Crashes     []Crash `json:"Crashes"`
	// ClearedAt is when the request last finished; crashes before it do not
	// count.
	ClearedAt time.Time `json:"ClearedAt"`
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	// Clear means that nothing is known against the request.
	Clear Verdict = iota
	// Suspected means that it may run where no other suspect runs.
	Suspected
	// Refused means that it is not to be run.
	Refused
)

func changed(e Entry) time.Time {
	last := e.ClearedAt
	for _, c := range e.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// join takes in another view: crashes are a set and those before the newest
// clearing leave it, so the order in which views arrive makes no difference. At
// most keep crashes stay.
func (e *Entry) join(in Entry, keep int) {
	if in.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt = in.ClearedAt
	}
	for _, c := range in.Crashes {
		e.add(c)
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !c.At.After(e.ClearedAt) })
	// The newest few say all there is to say.
	if over := len(e.Crashes) - keep; over > 0 {
		e.Crashes = slices.Delete(e.Crashes, 0, over)
	}
}

// add keeps the crashes in order of time. Two instances see the same crash at
// slightly different times; the earlier one stands.
func (e *Entry) add(c Crash) {
	i := slices.IndexFunc(e.Crashes, func(o Crash) bool { return o.Name == c.Name })
	if i >= 0 {
		if !c.At.Before(e.Crashes[i].At) {
			return
		}
		e.Crashes = slices.Delete(e.Crashes, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(e.Crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	e.Crashes = slices.Insert(e.Crashes, at, c)
}
