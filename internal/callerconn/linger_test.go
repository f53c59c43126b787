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
	type look func(t *testing.T, e *lingering) bool
	// after looks after a pause of the process.
	after := func(d time.Duration, s socketState) look {
		return func(_ *testing.T, e *lingering) bool { return e.isOver(at(d), s) }
	}
	// step looks on time until then, and finds the state then.
	step := func(d time.Duration, s socketState) look {
		return func(t *testing.T, e *lingering) bool {
			before := socketState{confirms: s.confirms, unconfirmed: e.unconfirmed}
			for e.lookedAt.Before(at(d - lingerInterval)) {
				require.False(t, e.isOver(e.lookedAt.Add(lingerInterval), before))
			}
			return e.isOver(at(d), s)
		}
	}
	const most, stall = maxLinger, 3 * lingerTimeout
	tests := map[string]struct {
		discard         bool
		deliveryTimeout time.Duration
		// waited is how long the connection has lingered before.
		waited time.Duration
		steps  []look
	}{
		"caller pauses":                   {deliveryTimeout: stall, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), step(stall-1, socketState{confirms: true, unconfirmed: 9}), step(stall, socketState{confirms: true, closed: true})}},
		"caller stalls":                   {deliveryTimeout: stall, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), step(stall-1, socketState{confirms: true, unconfirmed: 9}), step(stall, socketState{confirms: true, unconfirmed: 9})}},
		"caller closes":                   {discard: true, steps: []look{step(0, socketState{confirms: true}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"caller closes its sending side":  {discard: true, steps: []look{step(0, socketState{confirms: true, closed: true, unconfirmed: 9}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"reset":                           {discard: true, steps: []look{step(0, socketState{failed: true})}},
		"rest of a request":               {discard: true, steps: []look{step(0, socketState{confirms: true, unread: true}), step(time.Millisecond, socketState{confirms: true, closed: true})}},
		"request crosses the end":         {steps: []look{step(0, socketState{confirms: true, unread: true})}},
		"request crosses, not confirmed":  {steps: []look{step(0, socketState{confirms: true, unread: true, unconfirmed: 9}), step(time.Millisecond, socketState{confirms: true, unread: true})}},
		"caller doesn't close":            {discard: true, steps: []look{step(0, socketState{confirms: true}), step(lingerTimeout-1, socketState{confirms: true}), step(lingerTimeout, socketState{confirms: true})}},
		"caller's machine is gone":        {discard: true, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), step(lingerTimeout, socketState{confirms: true, unconfirmed: 9})}},
		"caller reads slowly":             {discard: true, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), step(lingerTimeout, socketState{confirms: true, unconfirmed: 8}), step(2*lingerTimeout-1, socketState{confirms: true, unconfirmed: 8}), step(2*lingerTimeout, socketState{confirms: true, unconfirmed: 8})}},
		"caller reads slowly for long":    {discard: true, waited: most - lingerTimeout, steps: []look{step(most-2, socketState{confirms: true, unconfirmed: 9}), step(most-1, socketState{confirms: true, unconfirmed: 8}), step(most, socketState{confirms: true, unconfirmed: 7})}},
		"paused before the first look":    {discard: true, steps: []look{after(3*lingerTimeout, socketState{confirms: true, unconfirmed: 100}), step(3*lingerTimeout+lingerInterval, socketState{confirms: true, closed: true})}},
		"paused between two looks":        {discard: true, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), step(lingerInterval, socketState{confirms: true, unconfirmed: 9}), after(2*lingerTimeout, socketState{confirms: true, unconfirmed: 9}), step(2*lingerTimeout+lingerInterval, socketState{confirms: true, closed: true})}},
		"paused beyond the limit":         {discard: true, steps: []look{step(0, socketState{confirms: true, unconfirmed: 9}), after(2*most, socketState{confirms: true, unconfirmed: 8}), step(2*most+lingerInterval, socketState{confirms: true, closed: true})}},
		"confirmations unknown, closes":   {discard: true, steps: []look{step(0, socketState{}), step(time.Millisecond, socketState{closed: true})}},
		"confirmations unknown, stays on": {discard: true, steps: []look{step(0, socketState{}), step(lingerTimeout, socketState{})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &lingering{lookedAt: at(tt.waited), waited: tt.waited, unconfirmed: 100, discard: tt.discard, deliveryTimeout: tt.deliveryTimeout}
			for i, over := range tt.steps {
				require.Equal(t, i == len(tt.steps)-1, over(t, e), "step %d", i)
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

// Guards against responses that are given up sooner at the end of their connection than in its middle.
func TestUndeliveredResponseKeepsItsConnection(t *testing.T) {
	f := start(t, Options{ReadTimeout: testTimeout, WriteTimeout: testTimeout})
	c := f.dial()
	require.NoError(t, c.SetReadBuffer(4<<10))
	c.send(strings.Replace(request("/a", strings.Repeat("x", 256<<10)), "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
	f.release <- struct{}{}
	time.Sleep(2 * lingerTimeout)
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
	require.Less(t, sent, 4*maxDiscard)
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
