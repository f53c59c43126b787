package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// byteCounter counts the bytes sent to and received from peers, including headers and framing: the
// total traffic of an instance's control plane.
type byteCounter struct {
	sent     tally.Counter
	received tally.Counter
}

func newByteCounter(scope tally.Scope) byteCounter {
	return byteCounter{sent: scope.Counter("peer_bytes_sent"), received: scope.Counter("peer_bytes_received")}
}

type countingConn struct {
	net.Conn
	count byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Inc(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Inc(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	count byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.count}, nil
}
