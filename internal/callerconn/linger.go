package callerconn

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// lingerTimeout is how long a connection waits for its caller to close, once the caller's system has confirmed
	// all bytes.
	lingerTimeout = time.Second
	// maxLinger limits the wait for a caller that reads slowly.
	maxLinger = 10 * time.Second
	// lingerInterval is how often unconfirmed bytes are looked at: the system doesn't report their confirmation.
	lingerInterval = 50 * time.Millisecond
	// maxLookGap is the maximum time between two looks of a process that runs.
	maxLookGap = 2 * lingerInterval
	// maxDiscard is the number of bytes of the caller that are dropped; a caller that sends more is reset.
	maxDiscard = 4 << 20
)

// lingering is the wait of a connection that has sent its last byte until the caller has received it.
type lingering struct {
	lookedAt time.Time
	// waited is how long the wait has lasted, idle how long since the caller's system last confirmed bytes. A time in
	// which the process didn't run isn't counted: the socket wasn't looked at.
	waited, idle time.Duration
	unconfirmed  int
	// deliveryTimeout limits the wait while the caller's system confirms nothing more of what is unconfirmed.
	deliveryTimeout time.Duration
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
	// unread says that bytes of the caller wait to be read.
	unread bool
	// closed says that the caller has closed its end, failed that the connection is broken.
	closed, failed bool
}

// isOver reports whether the connection may be closed.
func (l *lingering) isOver(now time.Time, s socketState) bool {
	delivered := !s.confirms || s.unconfirmed == 0
	elapsed := min(now.Sub(l.lookedAt), maxLookGap)
	l.lookedAt = now
	l.waited += elapsed
	l.idle += elapsed
	if s.unconfirmed < l.unconfirmed {
		l.idle = 0
	}
	l.unconfirmed = s.unconfirmed
	switch {
	case s.failed:
		return true
	case delivered && (s.closed || s.unread && !l.discard):
		return true
	}
	timeout := lingerTimeout
	if !delivered {
		timeout = max(timeout, l.deliveryTimeout)
	}
	return l.idle >= timeout || l.waited >= maxLinger
}

// linger ends the sending side and waits until the caller has received what was sent.
func (c *Conn) linger() {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	wait := lingering{lookedAt: c.listener.opts.Now(), deliveryTimeout: c.listener.opts.WriteTimeout, discard: !c.idleClosed && (c.state != idle || c.began)}
	c.mu.Unlock()
	for discarded := 0; ; {
		s := c.socketState()
		if wait.isOver(c.listener.opts.Now(), s) {
			return
		}
		if s.unread && wait.discard {
			discarded += c.discard()
			wait.discard = discarded < maxDiscard
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
	s.unconfirmed, s.confirms = c.unconfirmed()
	n, err := c.peek()
	switch {
	case n > 0:
		s.unread = true
	case err == nil:
		s.closed = true
	case isFailure(err):
		c.recordFailure()
	}
	s.failed = c.hasFailed()
	s.closed = s.closed && !s.failed
	return s
}

// isFailure reports whether the error of a look at a socket means that the connection is broken.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// discard drops bytes that wait to be read, and returns their number.
func (c *Conn) discard() int {
	var p [4 << 10]byte
	var n int
	_ = c.socket.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), p[:]) })
	return max(0, n)
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
		if isFailure(err) {
			c.recordFailure()
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
