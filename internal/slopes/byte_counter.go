package slopes

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// byteCounter counts the bytes on all connections to a server, in both directions, without TCP
// and IP headers.
type byteCounter struct{ total atomic.Int64 }

type countingListener struct {
	net.Listener
	counter *byteCounter
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
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.total.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.total.Add(int64(n))
	return n, err
}

// serveCounted serves handler on loopback and counts the bytes.
func serveCounted(handler http.Handler) (*httptest.Server, *byteCounter) {
	c := &byteCounter{}
	s := httptest.NewUnstartedServer(handler)
	s.Listener = countingListener{s.Listener, c}
	s.Start()
	return s, c
}
