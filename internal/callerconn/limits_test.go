package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/connlimit"
)

// manyLines is a head whose lines cost far more than usual.
func manyLines(n int) string {
	return "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", n) + "\r\n"
}

// Guards against refused requests that are handled, and against refusals that don't say that they weren't run.
func TestRefusedHeads(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int
	}{
		"without name":      {"POST /a HTTP/1.1\r\nHost: a\r\n:\r\n\r\n", http.StatusBadRequest},
		"without colon":     {"POST /a HTTP/1.1\r\nHost: a\r\na\r\n", http.StatusBadRequest},
		"folded":            {"POST /a HTTP/1.1\r\nHost: a\r\n b: c\r\n", http.StatusBadRequest},
		"two lengths":       {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 9\r\n\r\n", http.StatusBadRequest},
		"too many lines":    {manyLines(DefaultMaxHeadBytes / 4), http.StatusRequestHeaderFieldsTooLarge},
		"no room for lines": {manyLines(5000), http.StatusServiceUnavailable},
		"HTTP/2":            {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusBadRequest},
		"malformed chunk":   {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			f := start(t, Options{Account: connlimit.New(connlimit.Options{Bytes: 2 << 20}), Scope: scope, WriteTimeout: testTimeout})
			c := f.dial()
			c.send(tt.text)
			resp, err := http.ReadResponse(c.r, nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.True(t, resp.Close)
			require.Contains(t, string(body), `"notRun"`)
			if tt.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
			_, err = c.r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, f.handled)
			require.Eventually(t, func() bool { return len(f.open()) == 0 }, testTimeout, time.Millisecond)
		})
	}
}

// Guards against a single request that is refused for its many lines, and against connections that keep their memory.
func TestLargeHeadIsServed(t *testing.T) {
	for name, tt := range map[string]struct {
		lines      int
		wantCloses bool
	}{"usual": {40, false}, "most lines": {4000, true}} {
		t.Run(name, func(t *testing.T) {
			f := start(t, Options{Account: connlimit.New(connlimit.Options{Bytes: 8 << 20})})
			c := f.dial()
			c.send(manyLines(tt.lines))
			f.release <- struct{}{}
			body, closes := c.receive()
			require.Equal(t, "/a", body)
			require.Equal(t, tt.wantCloses, closes)
		})
	}
}

// Guards against idle connections that keep callers out, and against requests that are cut for them.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f := start(t, Options{Account: connlimit.New(connlimit.Options{Connections: 4})})
	kept := f.dial()
	kept.send(request("/kept", ""))
	require.Equal(t, "/kept", <-f.handled)
	f.release <- struct{}{}
	body, _ := kept.receive()
	require.Equal(t, "/kept", body)
	busy := f.dial()
	busy.send(request("/busy", ""))
	require.Equal(t, "/busy", <-f.handled)
	begun := f.dial()
	begun.send("POST /begun HTTP/1.1\r\n")
	for range 20 {
		f.dial().send("POST /begun HTTP/1.1\r\n")
	}
	last := f.dial()
	last.send(request("/last", ""))
	require.Equal(t, "/last", <-f.handled)
	for _, c := range []*caller{kept, begun} {
		_, err := c.r.ReadByte()
		require.Error(t, err, "closed")
	}
	f.release <- struct{}{}
	f.release <- struct{}{}
	for path, c := range map[string]*caller{"/busy": busy, "/last": last} {
		body, _ := c.receive()
		require.Equal(t, path, body)
	}
	require.Empty(t, f.left)
}

// Guards against chunked requests that end their connection, or whose trailers are taken for a request.
func TestChunkedRequestsKeepTheirConnection(t *testing.T) {
	f := start(t, Options{})
	c := f.dial()
	for range 3 {
		c.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\na: b\r\n\r\n")
		f.release <- struct{}{}
		body, closes := c.receive()
		require.Equal(t, "/a{}", body)
		require.False(t, closes)
	}
}

// Guards against the body of a request without a use for it that is taken for the next request.
func TestBodyOfGetIsNoRequest(t *testing.T) {
	f := start(t, Options{})
	c := f.dial()
	inner := "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n"
	c.send(fmt.Sprintf("GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner))
	f.release <- struct{}{}
	body, _ := c.receive()
	require.Equal(t, "/a"+inner, body)
	c.send(request("/last", ""))
	f.release <- struct{}{}
	body, _ = c.receive()
	require.Equal(t, "/last", body)
}

// Guards against a second response to a request whose body is left unread, and is malformed.
func TestUnreadBodyGetsOneResponse(t *testing.T) {
	f := start(t, Options{WriteTimeout: testTimeout})
	c := f.dial()
	c.send("POST " + refusedPath + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2000\r\n"+strings.Repeat("x", 8192)+"\r\n", 4) + "x\r\n")
	body, closes := c.receive()
	require.Equal(t, refusedPath, body)
	require.True(t, closes)
	rest, _ := io.ReadAll(c.r)
	require.Empty(t, string(rest))
}

// Guards against heads that a caller sends without end, a byte at a time.
func TestHeadTimeout(t *testing.T) {
	f := start(t, Options{ReadTimeout: 200 * time.Millisecond})
	c := f.dial()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	sent := 0
	for _, err := io.WriteString(c, "GET /a HTTP/1.1\r\n"); err == nil; _, err = io.WriteString(c, "a") {
		<-ticker.C
		sent++
		require.Less(t, sent, 400)
	}
	require.Empty(t, f.handled)
}

// Guards against callers that end a body with an empty line, whose next request was refused.
func TestEmptyLineAfterBody(t *testing.T) {
	const readTimeout = 100 * time.Millisecond
	f := start(t, Options{ReadTimeout: readTimeout})
	c := f.dial()
	for _, lines := range []struct{ with, after string }{{}, {with: "\r\n"}, {after: "\r\n"}, {with: "\r\n", after: "\r\n\r\n"}} {
		c.send(request("/a", "x") + lines.with)
		f.release <- struct{}{}
		body, closes := c.receive()
		require.Equal(t, "/ax", body)
		require.False(t, closes)
		c.send(lines.after)
		// The connection is idle for longer than a request may take.
		require.NoError(t, c.SetReadDeadline(time.Now().Add(3*readTimeout)))
		_, err := c.r.ReadByte()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	}
}
