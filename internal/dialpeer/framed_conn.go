package dialpeer

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
)

// errBroken means that the connection through another instance ended before that to the server.
var errBroken = merry.Sentinel("connection through another instance broke off")

// framedConn reads the frames of a relayed connection; it writes plain bytes. As with other
// connections, Close may be called while another goroutine reads.
type framedConn struct {
	network.Conn
	// buf[off:] was read and not consumed.
	buf []byte
	off int
	// remaining is the number of bytes of the present frame that weren't read yet.
	remaining int
	ended     bool
	closeOnce sync.Once
	onClose   func()
}

func newFramedConn(conn network.Conn, onClose func()) *framedConn {
	return &framedConn{Conn: conn, onClose: onClose}
}

// Close implements [net.Conn].
func (c *framedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// Len implements [network.Reader].
func (c *framedConn) Len() int { return len(c.buf) - c.off }

// fill reads until n bytes are buffered.
func (c *framedConn) fill(n int) error {
	for c.Len() < n {
		if err := c.readFrame(); err != nil {
			return err
		}
	}
	return nil
}

// readFrame appends what has arrived of the present or the next frame. It returns io.EOF only after
// the server has closed its connection.
func (c *framedConn) readFrame() error {
	if c.ended {
		return io.EOF
	}
	if c.remaining == 0 {
		header, err := c.Conn.Peek(frameHeader)
		if err != nil {
			return brokenError(err)
		}
		c.remaining = int(binary.BigEndian.Uint16(header))
		if err := c.Conn.Skip(frameHeader); err != nil {
			return err
		}
		if c.remaining == 0 {
			c.ended = true
			return io.EOF
		}
	}
	if c.off == len(c.buf) {
		c.buf, c.off = c.buf[:0], 0
	}
	at := len(c.buf)
	c.buf = append(c.buf, make([]byte, c.remaining)...)
	n, err := c.Conn.Read(c.buf[at:])
	c.buf = c.buf[:at+n]
	c.remaining -= n
	if err != nil && n == 0 {
		return brokenError(err)
	}
	return nil
}

func brokenError(err error) error {
	if errors.Is(err, io.EOF) {
		return merry.Wrap(errBroken)
	}
	return err
}

// Read implements [io.Reader].
func (c *framedConn) Read(p []byte) (int, error) {
	if err := c.fill(1); err != nil {
		return 0, err
	}
	n := copy(p, c.buf[c.off:])
	c.off += n
	return n, nil
}

// Peek implements [network.Reader].
func (c *framedConn) Peek(n int) ([]byte, error) {
	if err := c.fill(n); err != nil {
		return c.buf[c.off:], err
	}
	return c.buf[c.off : c.off+n], nil
}

// Skip implements [network.Reader].
func (c *framedConn) Skip(n int) error {
	if c.Len() < n {
		return io.ErrShortBuffer
	}
	c.off += n
	return nil
}

// ReadByte implements [network.Reader].
func (c *framedConn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.off++
	return b[0], nil
}

// ReadBinary implements [network.Reader].
func (c *framedConn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.off += n
	return append([]byte(nil), b...), nil
}

// Release implements [network.Reader].
func (c *framedConn) Release() error {
	if c.off == len(c.buf) {
		c.buf, c.off = c.buf[:0], 0
	}
	return c.Conn.Release()
}
