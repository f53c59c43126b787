package controlcost

import (
	"runtime"
	"time"
)

// Run runs f and counts the CPU time of its thread meanwhile. f must not block, except on locks
// that are held briefly, since it blocks its thread too. The two clock reads and the locking to the
// thread take a microsecond, so f should take several.
func (m *Meter) Run(f func()) {
	if m == nil {
		f()
		return
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := threadTime(currentThread())
	f()
	// Reading a clock can fail, and decreasing a Prometheus counter panics, which ends the process.
	m.cpu.Inc(max(0, int64(threadTime(currentThread())-before)))
}

// loop is a background loop that runs on its own thread.
type loop struct {
	meter   *Meter
	thread  thread
	counted time.Duration
}

// RunLoop runs the background loop f of a role on its own thread, whose CPU time [Meters.Measure]
// counts. It is for loops that wake up a few times a second: each wake-up costs a thread switch of
// some ten microseconds.
func (c *Meters) RunLoop(r Role, f func()) {
	if c == nil {
		f()
		return
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	t := currentThread()
	l := &loop{meter: c.Meter(r), thread: t, counted: threadTime(t)}
	c.mu.Lock()
	c.loops[l] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		l.measure()
		// The thread ID may be reused after the loop has ended.
		delete(c.loops, l)
	}()
	f()
}

// Measure counts the CPU time that the running loops have used since its last call.
func (c *Meters) Measure() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.loops {
		l.measure()
	}
}

func (l *loop) measure() {
	if used := threadTime(l.thread); used > l.counted {
		l.meter.cpu.Inc(int64(used - l.counted))
		l.counted = used
	}
}
