package controlcost

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection that counts its bytes.
type Conn struct {
	net.Conn
	sent, received atomic.Int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Dial opens a [Conn]. It is for the DialContext of a transport whose connections carry one
// exchange at a time.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Exchange counts the bytes of one exchange on connections from [Dial].
type Exchange struct {
	mu             sync.Mutex
	conn           *Conn
	sent, received int64
}

// Begin sets the connection that the transport uses, which may be wrapped by TLS. The handshake of
// a new connection counts with its first exchange. If the connection turns out to be closed, the
// transport retries on another one and calls Begin again; the bytes of both count.
func (e *Exchange) Begin(conn net.Conn, reused bool) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(e.conn, 1)
	e.conn = c
	if reused {
		e.add(c, -1)
	}
}

// add adds or subtracts the bytes counted on a connection so far.
func (e *Exchange) add(c *Conn, sign int64) {
	if c != nil {
		e.sent += sign * c.sent.Load()
		e.received += sign * c.received.Load()
	}
}

// Bytes returns the bytes of the exchange after its end.
func (e *Exchange) Bytes() (sent, received int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(e.conn, 1)
	e.conn = nil
	return e.sent, e.received
}
