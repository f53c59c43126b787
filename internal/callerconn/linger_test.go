package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that are closed while the last response is on its way, or that never end.
func TestEndingWaitsForDelivery(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	step := func(d time.Duration, s socketState) func(e *ending) bool {
		return func(e *ending) bool { return e.isOver(at(d), s) }
	}
	const most = maxLinger
	full := socketState{confirms: true, unconfirmed: 9, full: true}
	tests := map[string]struct {
		discard bool
		steps   []func(e *ending) bool
	}{
		"caller closes":                   {true, []func(e *ending) bool{step(0, socketState{confirms: true}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"caller closes its sending side":  {true, []func(e *ending) bool{step(0, socketState{confirms: true, closed: true, unconfirmed: 9}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"reset":                           {true, []func(e *ending) bool{step(0, socketState{failed: true})}},
		"rest of a request":               {true, []func(e *ending) bool{step(0, socketState{confirms: true, unread: true}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"request crosses the end":         {false, []func(e *ending) bool{step(0, socketState{confirms: true, unread: true})}},
		"request crosses, not confirmed":  {false, []func(e *ending) bool{step(0, socketState{confirms: true, unread: true, unconfirmed: 9}), step(time.Millisecond, socketState{confirms: true, unread: true})}},
		"caller doesn't close":            {true, []func(e *ending) bool{step(0, socketState{confirms: true}), step(lingerTimeout-1, socketState{confirms: true}), step(lingerTimeout, socketState{confirms: true})}},
		"caller's machine is gone":        {true, []func(e *ending) bool{step(0, socketState{confirms: true, unconfirmed: 9}), step(lingerTimeout, socketState{confirms: true, unconfirmed: 9})}},
		"caller has no room":              {true, []func(e *ending) bool{step(0, full), step(lingerTimeout, full), step(fullTimeout-1, full), step(fullTimeout, full)}},
		"caller without room is gone":     {true, []func(e *ending) bool{step(0, full), step(lingerTimeout, full), step(lingerTimeout+1, socketState{confirms: true, unconfirmed: 9})}},
		"caller reads slowly":             {true, []func(e *ending) bool{step(0, socketState{confirms: true, unconfirmed: 9}), step(lingerTimeout, socketState{confirms: true, unconfirmed: 8}), step(2*lingerTimeout-1, socketState{confirms: true, unconfirmed: 8}), step(2*lingerTimeout, socketState{confirms: true, unconfirmed: 8})}},
		"caller reads slowly for long":    {true, []func(e *ending) bool{step(most-2, socketState{confirms: true, unconfirmed: 9}), step(most-1, socketState{confirms: true, unconfirmed: 8}), step(most, socketState{confirms: true, unconfirmed: 7})}},
		"confirmations unknown, closes":   {true, []func(e *ending) bool{step(0, socketState{}), step(time.Millisecond, socketState{closed: true})}},
		"confirmations unknown, stays on": {true, []func(e *ending) bool{step(0, socketState{}), step(lingerTimeout, socketState{})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &ending{began: at(0), progressAt: at(0), unconfirmed: 100, discard: tt.discard}
			if name == "caller reads slowly for long" {
				e.progressAt = at(most - lingerTimeout)
			}
			for i, over := range tt.steps {
				require.Equal(t, i == len(tt.steps)-1, over(e), "step %d", i)
			}
		})
	}
}

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
