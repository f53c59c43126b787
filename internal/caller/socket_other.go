//go:build !linux

package caller

import (
	"syscall"
	"time"
)

// setUnreadLimits does nothing: these systems aren't supported in production.
func setUnreadLimits(syscall.RawConn, time.Duration) error { return nil }
