package slopes

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// counter counts the bytes of all connections to a server, both ways. The
// headers of TCP and IP are left out.
type counter struct{ bytes atomic.Int64 }

type countingListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// serve serves handler on loopback and counts its bytes.
func serve(handler http.Handler) (*httptest.Server, *counter) {
	c := &counter{}
	s := httptest.NewUnstartedServer(handler)
	s.Listener = countingListener{s.Listener, c}
	s.Start()
	return s, c
}
