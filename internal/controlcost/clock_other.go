//go:build !linux

package controlcost

import "time"

// thread is empty: these systems don't let a thread read the clocks of other threads, so CPU time
// is not counted by role.
type thread struct{}

func currentThread() thread           { return thread{} }
func threadTime(thread) time.Duration { return 0 }
