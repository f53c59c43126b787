package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/http1"
	"pollenspindle.example/pollenspindle/internal/tcpclose"
)

// maxReadAhead is the number of bytes of further requests that are read while one is handled. Once
// they are there, a caller that leaves isn't noticed before its request has been handled.
const maxReadAhead = 4 << 10

// state is what a connection holds.
type state int

const (
	// idle connections hold no request, or the beginning of one.
	idle state = iota
	// handling connections have a request that is handled.
	handling
	// answered connections have a request that was handled. Its response has been sent once the next
	// request is read.
	answered
)

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	socket   *tcpclose.Socket
	lease    *connlimit.Lease
	// requests is used by the library's reads only.
	requests *http1.Reader

	mu    sync.Mutex
	state state
	// complete is set while no byte of the present request is awaited.
	complete bool
	// unread is the number of bytes that were received and that the library hasn't read.
	unread int
	// headDeadline is until when the head has to be complete of which a part was read.
	headDeadline time.Time
	// awaitedUntil is until when more of a request is awaited: the first one of the connection, or one
	// of which a part was read.
	awaitedUntil time.Time
	// began is set while a part of a request was read that isn't handled yet.
	began bool
	// waiting is set while the library waits for bytes, after it has read all that came.
	waiting bool
	// ending is set once nothing more is read, ended once the connection was given up by the library, and aborted
	// once the connection is cut.
	ending, ended, aborted bool
	// evicted is set if it was closed to make room for others, refused once a request wasn't accepted.
	evicted, refused bool
	// held is what the connection held as it began to end.
	held contents
	// idleClosed is set if it was closed as idle.
	idleClosed bool
	recordEnd  sync.Once
	// recordUnwritten makes the first failed write of a connection be logged.
	recordUnwritten sync.Once
	// gone is set once the caller has closed its end, or the connection has failed.
	gone bool
	// request is the ID of the last request, answeredAt when its handling ended.
	request    string
	answeredAt time.Time
	// ahead holds bytes that were read while a request was handled, aheadErr the error that ended it.
	ahead    []byte
	aheadErr error
	// onGone is called if the caller leaves while its request is handled.
	onGone func()
	// watcher is closed when the reading ahead has ended; nil if there is none.
	watcher chan struct{}
	// readDeadline is set once reading ahead ends.
	readDeadline time.Time
}

func newConn(accepted net.Conn, l *Listener) (*Conn, error) {
	socket, err := tcpclose.NewSocket(accepted)
	if err != nil {
		return nil, merry.Wrap(ErrListener, merry.WithCause(err))
	}
	c := &Conn{Conn: accepted, listener: l, socket: socket, awaitedUntil: l.opts.Now().Add(requestTimeout)}
	c.requests = http1.NewReader(http1.Options{
		MaxHeadBytes: l.opts.MaxHeadBytes, Reserve: c.reservePart, Admit: c.admit, Complete: c.completeRequest,
	})
	if l.opts.ReadTimeout > 0 {
		err = c.SetReadDeadline(time.Now().Add(l.opts.ReadTimeout))
	}
	return c, err
}

// Read implements [net.Conn]. It reads no bytes of a head before the whole head is there.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.requests.Read(p, c.receive)
	c.mu.Lock()
	c.unread = c.requests.Buffered()
	c.mu.Unlock()
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && c.hasNoRequest():
		// The library would respond to the timeout, and the response be taken for that to a request on its way.
		return 0, io.EOF
	case isRefusal(err):
		return 0, c.refuse(err)
	}
	return n, err
}

// beginRead reports whether the library may read on.
func (c *Conn) beginRead() bool {
	c.mu.Lock()
	if c.ending {
		c.mu.Unlock()
		return false
	}
	awaitsNext := c.state == answered
	if awaitsNext {
		c.state, c.complete = idle, false
	}
	c.mu.Unlock()
	if awaitsNext {
		c.lease.Wait()
	}
	return true
}

// receive returns bytes that were read ahead, or waits for others.
func (c *Conn) receive(p []byte) (int, error) {
	c.mu.Lock()
	if n := copy(p, c.ahead); n > 0 {
		c.ahead = c.ahead[n:]
		c.received()
		c.mu.Unlock()
		return n, nil
	}
	c.ahead, c.unread = nil, 0
	if err := c.aheadErr; err != nil {
		c.mu.Unlock()
		return 0, err
	}
	t := c.listener.opts.ReadTimeout
	switch {
	case c.began && c.state == idle && c.requests.IsBetweenRequests():
		// Only empty lines came.
		c.began, c.awaitedUntil = false, time.Time{}
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	case c.began && !c.headDeadline.IsZero() && c.requests.AwaitsHead():
		_ = c.Conn.SetReadDeadline(c.headDeadline)
	case t > 0 && (c.state == handling || c.began):
		_ = c.Conn.SetReadDeadline(time.Now().Add(t))
	}
	c.mu.Unlock()
	return c.read(p, func(int) { c.received() })
}

// hasNoRequest reports whether nothing of a request was read.
func (c *Conn) hasNoRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == idle && !c.began
}

// received records that a part of a request was read; mu is held.
func (c *Conn) received() {
	if c.state == answered {
		c.state = idle
	}
	if !c.began {
		c.limitHead()
	}
	c.began = true
	c.awaitedUntil = c.listener.opts.Now().Add(requestTimeout)
}

// limitHead limits the time for a head that begins; mu is held.
func (c *Conn) limitHead() {
	c.headDeadline = time.Time{}
	if t := c.listener.opts.HeadTimeout(); t > 0 {
		c.headDeadline = time.Now().Add(t)
	}
}

// read waits for bytes, and calls received with their number in the step in which they are taken.
func (c *Conn) read(p []byte, received func(n int)) (int, error) {
	var n int
	var readErr error
	take := func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ending {
			readErr = net.ErrClosed
			return true
		}
		for {
			n, readErr = syscall.Read(int(fd), p)
			if !errors.Is(readErr, syscall.EINTR) {
				break
			}
		}
		if n > 0 {
			received(n)
		}
		c.waiting = errors.Is(readErr, syscall.EAGAIN)
		c.gone = c.gone || n <= 0 && !c.waiting
		if n < 0 && !c.waiting {
			c.socket.Fail()
		}
		return !c.waiting
	}
	err := c.socket.Raw().Read(take)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.look(take) {
		err = nil
	}
	if err != nil && c.stopWaiting() {
		return 0, io.EOF
	}
	switch {
	case err != nil:
		return 0, err
	case readErr != nil && errors.Is(readErr, net.ErrClosed):
		return 0, io.EOF
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n <= 0:
		return 0, io.EOF
	}
	return n, nil
}

// look takes what has arrived before the deadline was found over, and reports whether there was anything. The system
// reports a deadline first if the process didn't run meanwhile.
func (c *Conn) look(take func(fd uintptr) (done bool)) (done bool) {
	err := c.socket.Raw().Control(func(fd uintptr) { done = take(fd) })
	return err == nil && done
}

// SetReadDeadline implements [net.Conn].
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.watcher != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// stopWaiting records that the library no longer waits for bytes, and reports whether the connection ends.
func (c *Conn) stopWaiting() (ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.ending
}

// beginRequest names the request that is handled, and what is called if the caller leaves meanwhile. It returns
// false if the connection has been cut.
func (c *Conn) beginRequest(id string, onGone func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.state, c.began, c.request, c.onGone = handling, false, id, onGone
	return true
}

// endRequest ends the handling of a request; buffered says that the library has bytes of the next one. It returns false
// if bytes of the body weren't read, which would be taken for the next request.
func (c *Conn) endRequest(buffered bool) (complete bool) {
	c.stopWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	buffered = buffered || c.unread > 0
	c.state, c.began, c.onGone = answered, buffered, nil
	c.answeredAt, c.awaitedUntil = c.listener.opts.Now(), time.Time{}
	if buffered {
		c.awaitedUntil = c.listener.opts.Now().Add(requestTimeout)
		c.limitHead()
	}
	return c.complete
}

// watch reads ahead until the caller leaves, the buffer is full or the request was handled.
func (c *Conn) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watcher != nil || c.ending || c.onGone == nil {
		return
	}
	done := make(chan struct{})
	c.watcher = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		c.readAhead()
	}()
}

func (c *Conn) readAhead() {
	p := make([]byte, 512)
	for full := false; !full; {
		_, err := c.read(p, func(n int) {
			c.ahead = append(c.ahead, p[:n]...)
			full = len(c.ahead) >= maxReadAhead
		})
		if err == nil {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.mu.Lock()
		c.aheadErr = err
		onGone := c.onGone
		c.mu.Unlock()
		if onGone != nil {
			onGone()
		}
		return
	}
}

// stopWatch ends the reading ahead and restores the read deadline.
func (c *Conn) stopWatch() {
	c.mu.Lock()
	done := c.watcher
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watcher = nil
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// isBusy reports whether a request is awaited, read or answered.
func (c *Conn) isBusy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsRequest(now)
}

// holdsRequest reports whether a request is awaited, read or answered, or waits in the socket; mu is held.
func (c *Conn) holdsRequest(now time.Time) bool {
	if c.ending {
		return false
	}
	return c.state != idle || !c.waiting || c.unread+len(c.ahead) > 0 || now.Before(c.awaitedUntil) || c.hasUnread()
}

// hasUnread reports whether bytes wait in the socket.
func (c *Conn) hasUnread() bool {
	n, err := c.socket.Peek()
	return err == nil && n > 0
}
