package controlcost

import (
	"time"

	"golang.org/x/sys/unix"
)

// thread is the ID of the CPU-time clock of one thread of this process.
type thread int32

// The kernel's clock ID of a thread is the shifted complement of the thread ID, combined with these
// bits, which select the scheduled CPU time of a single thread.
const (
	clockShift     = 3
	clockOfThread  = 4
	clockScheduled = 2
)

func currentThread() thread {
	return thread(int32(^unix.Gettid())<<clockShift | clockOfThread | clockScheduled)
}

// threadTime returns the CPU time that a thread has used, or 0 if it has ended.
func threadTime(t thread) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(int32(t), &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
