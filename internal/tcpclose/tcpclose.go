// Package tcpclose ends TCP connections so that their other end receives what was sent: a close resets the
// connection if bytes weren't read, and bytes on their way are lost with the machine of the process.
//
// # Usage
//
//	s, err := tcpclose.NewSocket(conn)
//	...
//	s.Linger(tcpclose.Options{Now: time.Now, Discard: true})
//	conn.Close()
package tcpclose

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// Timeout is how long a connection waits for its other end to close, once the system of that has confirmed
	// all bytes.
	Timeout = time.Second
	// maxLinger limits the wait for another end that reads slowly.
	maxLinger = 10 * time.Second
	// lingerInterval is how often unconfirmed bytes are looked at: the system doesn't report their confirmation.
	lingerInterval = 50 * time.Millisecond
	// maxLookGap is the maximum time between two looks of a process that runs.
	maxLookGap = 2 * lingerInterval
	// maxDiscard is the number of bytes of the other end that are dropped; one that sends more is reset.
	maxDiscard = 4 << 20
)

// ErrSocket means that a connection has no socket.
var ErrSocket = merry.Sentinel("connection has no socket")

// Options configures [Socket.Linger].
type Options struct {
	Now func() time.Time
	// DeliveryTimeout limits the wait while the system of the other end confirms nothing more of what is
	// unconfirmed; at least [Timeout].
	DeliveryTimeout time.Duration
	// Discard says that bytes of the other end are dropped. A close with bytes that weren't read resets the
	// connection, which may take the last response away from the other end. Without Discard such a reset tells
	// it that its request wasn't read.
	Discard bool
}

// State is what the system knows of a connection.
type State struct {
	// Unconfirmed is the number of bytes that the system of the other end hasn't confirmed, if Confirms is set.
	Unconfirmed int
	Confirms    bool
	// Unread says that bytes of the other end wait to be read.
	Unread bool
	// Closed says that the other end has closed its side, Failed that the connection is broken.
	Closed, Failed bool
}

// Socket is the socket of a TCP connection.
type Socket struct {
	conn net.Conn
	raw  syscall.RawConn
	// failed is kept: the system reports the error of a socket only once.
	failed atomic.Bool
}

// NewSocket returns the socket of a connection.
func NewSocket(conn net.Conn) (*Socket, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, merry.Wrap(ErrSocket, merry.AppendMessagef("%T", conn))
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, merry.Wrap(ErrSocket, merry.WithCause(err))
	}
	return &Socket{conn: conn, raw: raw}, nil
}

// Fail records that the connection is broken, or that its other end doesn't read.
func (s *Socket) Fail() { s.failed.Store(true) }

// Raw returns the socket for system calls.
func (s *Socket) Raw() syscall.RawConn { return s.raw }

// Linger ends the sending side and waits until the other end has received what was sent, or doesn't read. Nobody
// else may read meanwhile.
func (s *Socket) Linger(opts Options) {
	sender, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	l := lingering{lookedAt: opts.Now(), deliveryTimeout: opts.DeliveryTimeout, discard: opts.Discard}
	for discarded := 0; ; {
		state := s.State()
		if l.isOver(opts.Now(), state) {
			return
		}
		if state.Unread && l.discard {
			discarded += s.discard()
			l.discard = discarded < maxDiscard
			continue
		}
		if !s.wait(state) {
			return
		}
	}
}

// lingering is the wait of a connection that has sent its last byte until the other end has received it.
type lingering struct {
	lookedAt time.Time
	// waited is how long the wait has lasted, idle how long since the other end's system last confirmed bytes. A time
	// in which the process didn't run isn't counted: the socket wasn't looked at.
	waited, idle    time.Duration
	unconfirmed     int
	deliveryTimeout time.Duration
	discard         bool
}

// isOver reports whether the connection may be closed.
func (l *lingering) isOver(now time.Time, s State) bool {
	delivered := !s.Confirms || s.Unconfirmed == 0
	elapsed := min(now.Sub(l.lookedAt), maxLookGap)
	l.lookedAt = now
	l.waited += elapsed
	l.idle += elapsed
	if s.Unconfirmed < l.unconfirmed {
		l.idle = 0
	}
	l.unconfirmed = s.Unconfirmed
	switch {
	case s.Failed:
		return true
	case delivered && (s.Closed || s.Unread && !l.discard):
		return true
	}
	timeout := Timeout
	if !delivered {
		timeout = max(timeout, l.deliveryTimeout)
	}
	return l.idle >= timeout || l.waited >= maxLinger
}

// State looks at the socket.
func (s *Socket) State() State {
	var state State
	err := s.raw.Control(func(fd uintptr) { state.Unconfirmed, state.Confirms = unconfirmedBytes(fd) })
	state.Confirms = state.Confirms && err == nil
	n, err := s.Peek()
	switch {
	case n > 0:
		state.Unread = true
	case err == nil:
		state.Closed = true
	case isFailure(err):
		s.Fail()
	}
	state.Failed = s.failed.Load()
	state.Closed = state.Closed && !state.Failed
	return state
}

// isFailure reports whether the error of a look at a socket means that the connection is broken.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// Peek returns the number of bytes that wait to be read, up to one.
func (s *Socket) Peek() (n int, err error) {
	controlErr := s.raw.Control(func(fd uintptr) { n, err = peek(fd) })
	return n, errors.Join(controlErr, err)
}

func peek(fd uintptr) (int, error) {
	var p [1]byte
	n, _, err := syscall.Recvfrom(int(fd), p[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// discard drops bytes that wait to be read, and returns their number.
func (s *Socket) discard() int {
	var p [4 << 10]byte
	var n int
	_ = s.raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), p[:]) })
	return max(0, n)
}

// wait waits until the other end sends or closes, or until the socket is due for another look. It reports
// whether the socket is still open.
func (s *Socket) wait(state State) bool {
	if state.Closed || state.Unread {
		time.Sleep(lingerInterval)
		return true
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(lingerInterval)); err != nil {
		return false
	}
	err := s.raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		if isFailure(err) {
			s.Fail()
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
