package callerconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasWaiting reports whether connections wait in the backlog of a listener.
func hasWaiting(listener syscall.RawConn) bool {
	var n int
	err := listener.Control(func(fd uintptr) {
		for {
			var err error
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			if n, err = unix.Poll(fds, 0); !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && n > 0
}
