package callerconn

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// lingerTimeout is how long a connection that ends waits for its caller while the caller's system confirms
	// nothing more.
	lingerTimeout = time.Second
	// fullTimeout is the same for a caller whose system has confirmed what it had room for: the caller is there and
	// doesn't read.
	fullTimeout = 5 * time.Second
	// maxLinger limits the wait for a caller that reads slowly.
	maxLinger = 10 * time.Second
	// lingerInterval is how often unconfirmed bytes are looked at: the system doesn't report their confirmation.
	lingerInterval = 50 * time.Millisecond
)

// ending is the wait of a connection that has sent its last byte until the caller has received it.
type ending struct {
	// began is when the wait began, progressAt when the caller's system last confirmed bytes.
	began, progressAt time.Time
	unconfirmed       int
	// discard says that bytes of the caller are dropped. A close with bytes that weren't read resets the
	// connection, which may take the last response away from the caller. Without discard such a reset tells the
	// caller that its request wasn't read.
	discard bool
}

// socketState is what the system knows of a connection.
type socketState struct {
	// unconfirmed is the number of bytes that the caller's system hasn't confirmed, if confirms is set.
	unconfirmed int
	confirms    bool
	// full says that the system of the caller has confirmed all that it had room for, and has no room.
	full bool
	// unread says that bytes of the caller wait to be read.
	unread bool
	// closed says that the caller has closed its end, failed that the connection is broken.
	closed, failed bool
}

// isOver reports whether the connection may be closed.
func (e *ending) isOver(now time.Time, s socketState) bool {
	delivered := !s.confirms || s.unconfirmed == 0
	if s.unconfirmed < e.unconfirmed {
		e.progressAt = now
	}
	e.unconfirmed = s.unconfirmed
	switch {
	case s.failed:
		return true
	case delivered && (s.closed || s.unread && !e.discard):
		return true
	}
	timeout := lingerTimeout
	if s.full {
		timeout = fullTimeout
	}
	return now.Sub(e.progressAt) >= timeout || now.Sub(e.began) >= maxLinger
}

// linger ends the sending side and waits until the caller has received what was sent.
func (c *Conn) linger() {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	now := c.listener.opts.Now()
	c.mu.Lock()
	e := ending{began: now, progressAt: now, discard: c.state != idle || c.began}
	c.mu.Unlock()
	for {
		s := c.socketState()
		if e.isOver(c.listener.opts.Now(), s) {
			return
		}
		if s.unread && e.discard {
			c.discard()
			continue
		}
		if !c.waitForCaller(s) {
			return
		}
	}
}

// socketState looks at the socket.
func (c *Conn) socketState() socketState {
	var s socketState
	s.unconfirmed, s.full, s.confirms = c.unconfirmed()
	n, err := c.peek()
	switch {
	case n > 0:
		s.unread = true
	case err == nil:
		s.closed = true
	default:
		s.failed = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	return s
}

// discard drops bytes that wait to be read.
func (c *Conn) discard() {
	var p [4 << 10]byte
	_ = c.socket.Control(func(fd uintptr) { _, _ = syscall.Read(int(fd), p[:]) })
}

// waitForCaller waits until the caller sends or closes, or until the socket is due for another look. It reports
// whether the socket is still open.
func (c *Conn) waitForCaller(s socketState) bool {
	if s.closed || s.unread {
		time.Sleep(lingerInterval)
		return true
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerInterval)); err != nil {
		return false
	}
	err := c.socket.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
