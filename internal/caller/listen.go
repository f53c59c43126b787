package caller

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Listen opens the listener for callers. It disables multipath TCP, Go's default, which has no
// timeout for unacknowledged data.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var listen net.ListenConfig
	listen.SetMultipathTCP(false)
	ln, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen for callers")
	}
	return ln, nil
}

// limitUnread limits the data that callers may leave unread.
func limitUnread(ln net.Listener, limit time.Duration) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return merry.Prepend(ErrOptions, "the listener is not a socket")
	}
	c, err := socket.SyscallConn()
	if err == nil {
		err = setUnreadLimits(c, limit)
	}
	if err != nil {
		return merry.Prepend(err, "limit the unread data of callers")
	}
	return nil
}
