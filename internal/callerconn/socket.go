package callerconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasWaiting reports whether connections wait in the backlog of a listener.
func hasWaiting(listener syscall.RawConn) bool { return polls(listener, unix.POLLIN) }

// isWritable reports whether a socket has room for more bytes.
func isWritable(socket syscall.RawConn) bool { return polls(socket, unix.POLLOUT) }

// polls reports whether events are due at a socket.
func polls(socket syscall.RawConn, events int16) bool {
	var n int
	err := socket.Control(func(fd uintptr) {
		for {
			var err error
			fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
			if n, err = unix.Poll(fds, 0); !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && n > 0
}
