package callerconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	if c.isClosedEarly() {
		return 0, net.ErrClosed
	}
	n, err := c.write(p)
	if err != nil {
		c.socket.Fail()
		c.recordUnwritten.Do(func() { c.listener.recordUnwritten(c, err) })
	}
	return n, err
}

// isClosedEarly reports whether nothing that the library may still write belongs to a request.
func (c *Conn) isClosedEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted || c.refused
}

func (c *Conn) write(p []byte) (written int, err error) {
	for {
		if t := c.listener.opts.WriteTimeout; t > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(t)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// A process that didn't run finds the deadline over before it looks at the socket.
		if n = c.writeNow(p[written:]); n <= 0 {
			return written, err
		}
		if written += n; written == len(p) {
			return written, nil
		}
	}
}

// writeNow writes what the socket takes at once, if the caller has made room, and returns the number of bytes.
func (c *Conn) writeNow(p []byte) (n int) {
	if !isWritable(c.socket.Raw()) {
		return 0
	}
	_ = c.socket.Raw().Control(func(fd uintptr) { n, _ = syscall.Write(int(fd), p) })
	return n
}
