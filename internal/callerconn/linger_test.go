package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/tcpclose"
)

// Guards against requests that were read and whose connection is closed as idle, since the process had no
// processor for longer than callers take to send a request.
func TestReadRequestIsNeverIdle(t *testing.T) {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := NewListener(tcp, Options{})
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(dialed, request("/a", "1"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 4<<10))
	require.NoError(t, err)
	later := time.Now().Add(10 * requestTimeout)
	require.Equal(t, 1, l.Busy(later))
	accepted.(*Conn).closeIdle(later)
	require.False(t, accepted.(*Conn).ending)
	_ = dialed.Close()
	require.NoError(t, accepted.Close())
}

// Guards against responses that a reset takes away from callers whose bytes weren't read.
func TestResponseOutlivesUnreadBytes(t *testing.T) {
	const bodyBytes = 512 << 10
	tests := map[string]string{
		"rest of the body": request(refusedPath, strings.Repeat("x", bodyBytes)),
		"further requests": request(refusedPath, "") + strings.Repeat(request("/a", "1"), bodyBytes/100),
		"not HTTP":         strings.Repeat("x", bodyBytes),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, Options{ReadTimeout: testTimeout})
			c := f.dial()
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			require.NoError(t, c.CloseWrite())
			time.Sleep(20 * time.Millisecond)
			resp, err := http.ReadResponse(c.r, nil)
			require.NoError(t, err)
			require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NotEmpty(t, body)
			_ = resp.Body.Close()
			_, err = c.r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against responses on connections on which nothing was requested.
func TestUnusedConnectionGetsNoResponse(t *testing.T) {
	tests := map[string]struct {
		sent string
		want error
	}{
		"nothing":        {"", io.EOF},
		"part of a head": {"GET /a HTTP/1.1\r\n", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, Options{ReadTimeout: 50 * time.Millisecond})
			c := f.dial()
			c.send(tt.sent)
			_, err := c.r.ReadByte()
			require.ErrorIs(t, err, tt.want)
		})
	}
}

// Guards against responses that are given up sooner at the end of their connection than in its middle.
func TestUndeliveredResponseKeepsItsConnection(t *testing.T) {
	f := start(t, Options{ReadTimeout: testTimeout, WriteTimeout: testTimeout})
	c := f.dial()
	require.NoError(t, c.SetReadBuffer(4<<10))
	c.send(strings.Replace(request("/a", strings.Repeat("x", 256<<10)), "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
	f.release <- struct{}{}
	time.Sleep(2 * tcpclose.Timeout)
	require.Len(t, f.open(), 1)
	body, closes := c.receive()
	require.True(t, closes)
	require.Len(t, body, 256<<10+len("/a"))
}

// Guards against callers that occupy a processor while their connection ends.
func TestDiscardedBytesAreLimited(t *testing.T) {
	f := start(t, Options{ReadTimeout: testTimeout})
	c := f.dial()
	c.send(request(refusedPath, ""))
	sent := 0
	for err := error(nil); err == nil; {
		var n int
		n, err = c.Write(make([]byte, 64<<10))
		sent += n
	}
	// The rest is what the socket buffers of both ends hold.
	require.Less(t, sent, 16<<20)
}

// Guards against connections that have ended and keep others from being accepted.
func TestEndingConnectionsLeaveRoom(t *testing.T) {
	f := start(t, Options{MaxConnections: 2})
	exchange := func() {
		c := f.dial()
		c.send(strings.Replace(request("/a", ""), "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
		f.release <- struct{}{}
		_, closes := c.receive()
		require.True(t, closes)
		_, err := c.r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	for range 6 {
		exchange()
	}
}

// Guards against responses of the last moment before a listener is closed, which are lost with the machine.
func TestClosedListenerDeliversSentResponses(t *testing.T) {
	var log logBuffer
	f := start(t, Options{ReadTimeout: testTimeout, WriteTimeout: testTimeout, Log: zerolog.New(&log)})
	f.Drain()
	c := f.dial()
	c.send(request("/a", "1"))
	f.release <- struct{}{}
	_, closes := c.receive()
	require.True(t, closes)
	require.Eventually(t, func() bool { return f.countLingering() == 1 }, testTimeout, time.Millisecond)
	time.AfterFunc(closeTimeout/5, func() { _ = c.Close() })
	_ = f.Close()
	require.Len(t, log.ends(t), 1)
	require.Equal(t, "instance", log.ends(t)[0]["endedBy"])
	require.Equal(t, true, log.ends(t)[0]["callerClosed"])
}
