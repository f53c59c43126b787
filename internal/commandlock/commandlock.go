// Package commandlock decides when a command, such as loading a model, may be sent to a model engine.
// Two instances may each believe that they own the engine, since a lease can expire while its holder is
// paused; a command of one must not undo a later command of the other. All functions are pure.
//
// A lock that permits one command is an object of the platform, acquired by a conditional update.
// The object's version is the fencing token of the command: it is unique and increases. An engine
// that checks fencing tokens refuses commands with an older one. For an engine that ignores them,
// timeouts take that role: a command is sent shortly after its lock was acquired or not at all, and
// an instance that finds the lock held waits until the command must be over.
//
// # Usage
//
//	switch d := commandlock.Decide(now, timing, held, checksFencing).(type) {
//	case commandlock.Acquire: // conditional update on d.Version
//	case commandlock.Wait: // retry after d.Delay
//	}
//	if commandlock.MaySend(time.Now(), timing, started) { ... }
package commandlock

import "time"

// Timing holds the timeouts of a command.
type Timing struct {
	// SendTimeout is how long after starting to acquire its lock a holder may still send its
	// command.
	SendTimeout time.Duration
	// MaxDuration is the maximum time from sending a command to its effect.
	MaxDuration time.Duration
}

// DefaultTiming suits loads from a shared weight store. If MaxDuration were shorter than the
// longest load, a command that is still changing the engine would count as over. Only an instance
// that takes over from a crashed holder waits for it.
var DefaultTiming = Timing{SendTimeout: 2 * time.Second, MaxDuration: 10 * time.Minute}

// Record is the value of the lock object.
type Record struct {
	// WriteID is random. After a lost response the holder recognizes its own write by it.
	WriteID string `json:"token"`
	Holder  string `json:"holder"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Ended is true if the holder knows that its command is over.
	Ended bool `json:"ended"`
}

// LockState is the state of the lock object as it was read.
type LockState struct {
	// Version is 0 if there is no object.
	Version int64
	Record  Record
	// ObservedAt is when this instance first saw this version, by its own clock. Clocks of different
	// instances are never compared.
	ObservedAt time.Time
}

// Decision is [Acquire] or [Wait].
type Decision interface{ decision() }

// Acquire permits replacing the object at Version; 0 creates it.
type Acquire struct{ Version int64 }

// Wait means that another command may still be running.
type Wait struct{ Delay time.Duration }

func (Acquire) decision() {}
func (Wait) decision()    {}

// Decide decides whether the lock of an engine may be acquired: a command must not take effect
// after one that was sent later. An engine that checks fencing tokens refuses the earlier one in
// that case, so there is no need to wait. Otherwise a command whose lock is held counts as running
// until it must have been sent and executed. That time is counted from when the lock was first
// seen, which is after it was acquired.
func Decide(now time.Time, t Timing, held LockState, checksFencing bool) Decision {
	if held.Version == 0 || held.Record.Ended || checksFencing {
		return Acquire{held.Version}
	}
	remaining := held.ObservedAt.Add(t.SendTimeout + t.MaxDuration).Sub(now)
	if remaining > 0 {
		return Wait{remaining}
	}
	return Acquire{held.Version}
}

// MaySend reports whether a command may still be sent if the acquiring of its lock started at the
// given time. It must be called immediately before sending the first byte: a process that was
// paused since could send a command that another instance already counts as over.
func MaySend(now time.Time, t Timing, started time.Time) bool {
	return now.Before(started.Add(t.SendTimeout))
}
