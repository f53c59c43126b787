package httpclient

import (
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
	respcodec "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// maxHeadBytes limits the head of a response, and its trailers.
const maxHeadBytes = 64 << 10

// maxInterimAnswers limits the interim answers (RFC 9110, 15.2) before an answer.
const maxInterimAnswers = 8

// readHead reads the head of the answer, and skips interim ones.
func (r *Response) readHead() error {
	for range maxInterimAnswers {
		if err := respcodec.ReadHeaders(r.Response, r.conn); err != nil {
			return err
		}
		if status := r.StatusCode(); status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			return nil
		}
		r.Reset()
	}
	return merry.Wrap(ErrTooLarge)
}

// limitedConn is a connection that holds only so many bytes that the codec hasn't taken yet.
type limitedConn struct {
	network.Conn
	maxHeld int
}

// LimitHead returns a connection on which the codec fails to read a head, or trailers, of more than 64 KiB.
func LimitHead(conn network.Conn) network.Conn { return &limitedConn{conn, maxHeadBytes} }

// Peek implements network.Reader. The codec peeks at all of a head, and reads on until it is complete.
func (c *limitedConn) Peek(n int) ([]byte, error) {
	if n > c.maxHeld && n > c.Len() {
		return nil, merry.Wrap(ErrTooLarge)
	}
	return c.Conn.Peek(n)
}
