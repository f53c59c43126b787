//go:build !linux

package callerconn

import (
	"errors"
	"syscall"
)

func refuseHandshakes(syscall.RawConn) error { return errors.ErrUnsupported }
