// Package httplisten bounds what the connections of a net/http server hold before their requests are admitted: it
// reserves their memory from an account and hands heads to the server only once they are complete.
//
// # Usage
//
//	l := httplisten.New(tcp, httplisten.Options{Account: account, Class: connlimit.Internal, MaxHeadBytes: 64 << 10})
//	server := &http.Server{Handler: mux, ConnState: l.ConnState}
//	server.Serve(l)
package httplisten

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/http1"
)

// Options configures a [Listener].
type Options struct {
	// Account bounds what the connections hold; nil for no limit.
	Account *connlimit.Account
	// Class says whom the connections serve.
	Class connlimit.Class
	// MaxHeadBytes limits the header fields of a request.
	MaxHeadBytes int
	// HTTP2 says that connections may begin with HTTP/2.
	HTTP2 bool
}

// Listener accepts connections for a net/http server.
type Listener struct {
	net.Listener
	opts Options
}

// New returns a listener for the connections of l.
func New(l net.Listener, opts Options) *Listener {
	if opts.Account == nil {
		opts.Account = connlimit.New(connlimit.Options{})
	}
	return &Listener{Listener: l, opts: opts}
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted}
		if conn.lease, err = l.opts.Account.Open(l.opts.Class, connlimit.NetConnBytes, conn.evict); err != nil {
			_ = accepted.Close()
			continue
		}
		conn.requests = http1.NewReader(http1.Options{
			MaxHeadBytes: func() int { return l.opts.MaxHeadBytes }, HTTP2: l.opts.HTTP2,
			Reserve:  func(n int) error { return conn.lease.Reserve(connlimit.PartialHeadCost(n)) },
			Admit:    func(h *http1.Head) error { return conn.lease.Reserve(connlimit.HeadCost(h.Bytes, h.Parts)) },
			Complete: conn.completeRequest,
		})
		return conn, nil
	}
}

// ConnState is the hook of the same name of the server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.awaitRequest()
	case http.StateHijacked:
		conn.requests.Switch()
		conn.lease.Work()
	case http.StateNew, http.StateActive, http.StateClosed:
	}
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	lease    *connlimit.Lease
	requests *http1.Reader

	mu sync.Mutex
	// complete is set while a request is handled of which no byte is awaited.
	complete bool
	evicted  bool
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.requests.Read(p, c.Conn.Read)
	switch {
	case c.requests.IsOpaque() && n > 0:
		c.touch()
	case errors.Is(err, connlimit.ErrFull):
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

const fullResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// refuse responds to a request without room, unless another one is handled.
func (c *Conn) refuse() {
	c.mu.Lock()
	handles := c.complete
	c.mu.Unlock()
	if !handles {
		_, _ = c.Write([]byte(fullResponse))
	}
}

// touch records that a connection of another protocol is in use.
func (c *Conn) touch() {
	c.mu.Lock()
	hijacked := c.complete
	c.mu.Unlock()
	if !hijacked {
		c.lease.Wait()
	}
}

func (c *Conn) completeRequest() {
	c.mu.Lock()
	c.complete = true
	c.mu.Unlock()
	c.lease.Work()
}

// awaitRequest records that a request was handled.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	c.complete = false
	c.mu.Unlock()
	c.lease.Shrink()
	c.lease.Wait()
}

// evict closes the connection if it waits for its client, and reports whether it has.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return false
	}
	c.evicted = true
	_ = c.Conn.Close()
	return true
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.lease.Close()
	if c.isEvicted() {
		return nil
	}
	return err
}

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// ErrSocket means that a connection has no socket of its own.
var ErrSocket = merry.Sentinel("connection has no socket")

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, merry.Wrap(ErrSocket)
	}
	return socket.SyscallConn()
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return merry.Wrap(ErrSocket)
	}
	return sender.CloseWrite()
}

// SetKeepAliveConfig sets how broken connections are found.
func (c *Conn) SetKeepAliveConfig(cfg net.KeepAliveConfig) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return merry.Wrap(ErrSocket)
	}
	return tcp.SetKeepAliveConfig(cfg)
}
