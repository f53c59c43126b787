package callerconn

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// logBuffer keeps the lines of a log.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

// ends returns the lines about connections that ended.
func (b *logBuffer) ends(t *testing.T) []map[string]any { return b.lines(t, "connection ended") }

// lines returns the lines with a message.
func (b *logBuffer) lines(t *testing.T, message string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for text := range bytes.Lines(b.bytes.Bytes()) {
		line := map[string]any{}
		require.NoError(t, json.Unmarshal(text, &line))
		if line["message"] == message {
			out = append(out, line)
		}
	}
	return out
}

// Guards against connections of a leaving instance whose end can't be told from the log.
func TestEndsAreLogged(t *testing.T) {
	const id = "X-Id: id-1\r\n"
	post := "POST /a HTTP/1.1\r\nHost: a\r\n" + id + "Content-Length: 1\r\n\r\n1"
	tests := map[string]struct {
		end  func(f *fixture, c *caller)
		want map[string]any
	}{
		"idle": {func(f *fixture, _ *caller) { f.closeIdle() }, map[string]any{"endedBy": "idle", "held": "nothing", "request": ""}},
		"idle, rest of a request crosses": {func(f *fixture, c *caller) {
			c.send(post[:10])
			go func() {
				_, _ = c.r.ReadByte()
				c.send(post[10:])
			}()
			f.closeIdle()
		}, map[string]any{"endedBy": "idle", "held": "partOfRequest", "unread": true}},
		"caller leaves": {func(f *fixture, c *caller) { _ = c.Close() }, map[string]any{"endedBy": "caller", "held": "nothing", "request": ""}},
		"answered": {func(f *fixture, c *caller) {
			c.send(post)
			f.release <- struct{}{}
			c.receive()
			_ = c.Close()
		}, map[string]any{"endedBy": "instance", "held": "response", "request": "id-1"}},
		"cut": {func(f *fixture, c *caller) {
			c.send(post)
			<-f.handled
			_ = f.Close()
		}, map[string]any{"endedBy": "abort", "held": "request", "request": "id-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log logBuffer
			f := start(t, Options{RequestID: "X-Id", Log: zerolog.New(&log)})
			f.Drain()
			c := f.dial()
			require.Eventually(t, func() bool { return len(f.open()) == 1 }, testTimeout, time.Millisecond)
			tt.end(f, c)
			require.Eventually(t, func() bool { return len(log.ends(t)) == 1 }, testTimeout, time.Millisecond)
			line := log.ends(t)[0]
			for field, want := range tt.want {
				require.Equal(t, want, line[field], field)
			}
		})
	}
}

// closeIdle waits until the connections without a request are closed.
func (f *fixture) closeIdle() {
	f.StopAccepting()
	require.Eventually(f.t, func() bool { return f.CloseIdle(time.Now()) == 0 }, testTimeout, time.Millisecond)
}

// Guards against requests that get no answer, or a part of one, and no line with their ID.
func TestUnwrittenResponsesAreLogged(t *testing.T) {
	post := func(id string) string {
		return "POST /a HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\nContent-Length: 1\r\n\r\n1"
	}
	tests := map[string]struct {
		draining bool
		end      func(f *fixture, c *caller)
		want     map[string]any
	}{
		"reset": {false, func(f *fixture, c *caller) {
			_ = c.SetLinger(0)
			_ = c.Close()
			<-f.left
		}, map[string]any{"request": "id-2", "cut": false, "callerGone": true}},
		"reset while leaving": {true, func(f *fixture, c *caller) {
			_ = c.SetLinger(0)
			_ = c.Close()
			<-f.left
		}, map[string]any{"request": "id-2", "cut": false, "callerGone": true}},
		"cut": {true, func(f *fixture, _ *caller) {
			_ = f.Close()
			<-f.left
		}, map[string]any{"request": "id-2", "cut": true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			logged := &logBuffer{}
			f := start(t, Options{ReadTimeout: testTimeout, RequestID: "X-Id", Log: zerolog.New(logged)})
			c := f.dial()
			c.send(post("id-1"))
			f.release <- struct{}{}
			c.receive()
			<-f.handled
			c.send(post("id-2"))
			<-f.handled
			if tt.draining {
				f.Drain()
			}
			tt.end(f, c)
			require.Eventually(t, func() bool { return len(logged.lines(t, "response not written")) == 1 }, testTimeout, time.Millisecond)
			line := logged.lines(t, "response not written")[0]
			for field, want := range tt.want {
				require.Equal(t, want, line[field], field)
			}
			require.NotEmpty(t, line["error"])
		})
	}
}

// Guards against resets that the log shows as responses that callers have received.
func TestResetIsLogged(t *testing.T) {
	post := "POST /a HTTP/1.1\r\nHost: a\r\nX-Id: id-1\r\nContent-Length: 1\r\n\r\n1"
	reset := func(c *caller) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	tests := map[string]func(f *fixture, c *caller){
		"idle connection": func(_ *fixture, c *caller) { reset(c) },
		"after its response": func(f *fixture, c *caller) {
			c.send(post)
			f.release <- struct{}{}
			c.receive()
			reset(c)
		},
		"while its request is handled": func(f *fixture, c *caller) {
			c.send(post)
			<-f.handled
			reset(c)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			var log logBuffer
			f := start(t, Options{RequestID: "X-Id", Log: zerolog.New(&log)})
			f.Drain()
			c := f.dial()
			require.Eventually(t, func() bool { return len(f.open()) == 1 }, testTimeout, time.Millisecond)
			end(f, c)
			require.Eventually(t, func() bool { return len(log.ends(t)) == 1 }, testTimeout, time.Millisecond)
			require.Equal(t, true, log.ends(t)[0]["failed"])
			require.Equal(t, false, log.ends(t)[0]["callerClosed"])
		})
	}
}
