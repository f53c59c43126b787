//go:build !linux

package callerconn

import (
	"errors"
	"syscall"
)

func refuseHandshakes(syscall.RawConn) error { return errors.ErrUnsupported }

func unconfirmedBytes(uintptr) (n int, known bool) { return 0, false }

func isFull(uintptr) bool { return false }
