// Package order decides when an order may be given to a model engine: to load
// a model, say. Two instances may each believe to own the engine, since a
// lease can lapse while its holder is paused; an order of the one must not
// undo a later order of the other. Everything here is pure.
//
// The right to give one order is an object of the platform, taken by a
// conditional update. The object's version is the order's fencing number: it
// is unique and rises. An engine that checks numbers refuses what was
// overtaken. For one that ignores them the time does it: an order is sent
// shortly after it was taken or not at all, and who finds it open waits until
// it must be over.
//
// # Usage
//
//	switch d := order.Decide(now, timing, held, checked).(type) {
//	case order.Take: // conditional update on d.Version
//	case order.Wait: // come back after d.For
//	}
//	if order.MaySend(time.Now(), timing, began) { ... }
package order

import "time"

// Timing bounds an order.
type Timing struct {
	// SendWithin is how long after beginning to take its right a holder may
	// still send its order.
	SendWithin time.Duration
	// RunFor is the longest that an order takes from its sending to its effect.
	RunFor time.Duration
}

// DefaultTiming is for loads from a weight store that is shared. With a RunFor
// under the longest load, an order found open would be taken for over while it
// still changes the engine; only who takes over from a dead holder waits for it.
var DefaultTiming = Timing{SendWithin: 2 * time.Second, RunFor: 10 * time.Minute}

// Record is the value of the platform's object.
type Record struct {
	// Token is random; the holder knows its own write by it when the answer
	// was lost.
	Token   string `json:"token"`
	Holder  string `json:"holder"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Ended says that the holder knows its order to be over.
	Ended bool `json:"ended"`
}

// Held is the object as it was found.
type Held struct {
	// Version is 0 when there is none.
	Version int64
	Record  Record
	// SeenAt is when this instance first had this version, by its own clock.
	// The clocks of two instances are never compared.
	SeenAt time.Time
}

// Decision is [Take] or [Wait].
type Decision interface{ decision() }

// Take lets the object be replaced at Version; 0 creates it.
type Take struct{ Version int64 }

// Wait says that another order may still be under way.
type Wait struct{ For time.Duration }

func (Take) decision() {}
func (Wait) decision() {}

// Decide decides about an order for an engine whose object is held: an
// order must not take effect after one that was given later. An engine that
// checks numbers refuses the first then, so nothing is waited for. Else an
// open order counts as under way until it must have been sent and run, counted
// from when it was seen: it was taken before that.
func Decide(now time.Time, t Timing, held Held, checked bool) Decision {
	if held.Version == 0 || held.Record.Ended || checked {
		return Take{held.Version}
	}
	left := held.SeenAt.Add(t.SendWithin + t.RunFor).Sub(now)
	if left > 0 {
		return Wait{left}
	}
	return Take{held.Version}
}

// MaySend reports whether an order whose right was begun to be taken at began
// may still be sent. It is asked immediately before the first byte: a process
// that was paused since would send when another already counts the order as
// over.
func MaySend(now time.Time, t Timing, began time.Time) bool {
	return now.Before(began.Add(t.SendWithin))
}
