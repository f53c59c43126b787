package caller

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sendBufferBytes is the kernel's send buffer of one caller's connection. The kernel's default of
// some megabytes holds a complete generation: a caller that never reads would look like one that
// has read everything, and with maxConnections such callers the buffers would take all memory.
// This size holds some hundred tokens and allows about ten megabytes a second at a round-trip time
// of a few milliseconds.
const sendBufferBytes = 64 << 10

// setUnreadLimits limits the data that callers leave unread, in bytes and in time. Connections
// inherit these options from their listener.
//
// A connection can go silent for good when a middlebox loses its state. Writes don't fail then:
// they wait for an acknowledgement, by default for a quarter of an hour, while the engine works
// for a caller that may have resumed elsewhere. After the time limit the connection ends, which
// starts the grace period.
func setUnreadLimits(c syscall.RawConn, limit time.Duration) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
