package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unreadTimeout is how long the engines of these tests let a response be unread.
const unreadTimeout = 400 * time.Millisecond

// longEvent returns an event whose data tells it from its neighbours.
func longEvent(id, bytes int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat(string(rune('a'+id%26)), bytes))
}

// sendUntilUnread sends events of some bytes, and cuts the response once a write has blocked for
// unreadTimeout, which it counts.
func sendUntilUnread(events, bytes int, cut *atomic.Int64) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for id := 1; id <= events; id++ {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
			_, err := io.WriteString(w, longEvent(id, bytes))
			if err == nil {
				err = control.Flush()
			}
			if err != nil {
				cut.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// openUnread sends a request and leaves the response unread.
func (f *fixture) openUnread(path string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: api.example\r\nT-Id: id-1\r\nT-Key: secret\r\nT-Deadline: 20000\r\nContent-Length: 2\r\n\r\n{}", path)
	require.NoError(f.t, err)
	return conn
}

// Guards against streams that are cut, or migrated as stalled, because their caller doesn't read for
// a while: the instance reads on, and the caller gets every event in order.
func TestCallerThatPausesGetsEveryEvent(t *testing.T) {
	for name, tt := range map[string]struct{ events, bytes int }{"short events": {220, 1000}, "long events": {36, 6000}} {
		t.Run(name, func(t *testing.T) { readAfterPause(t, tt.events, tt.bytes) })
	}
}

func readAfterPause(t *testing.T, events, bytes int) {
	const pause = 1500 * time.Millisecond
	var cut, migrations atomic.Int64
	send := sendUntilUnread(events, bytes, &cut)
	f := startFixture(t, map[string]http.Handler{"llm-1": &backend{handle: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/move" {
			migrations.Add(1)
			w.WriteHeader(http.StatusNotFound)
			return
		}
		send(w, r)
	}}})
	conn := f.openUnread("/plan/1")
	<-time.After(pause)
	require.Positive(t, f.memory.held.Load())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var want strings.Builder
	for id := 1; id <= events; id++ {
		want.WriteString(longEvent(id, bytes))
	}
	require.True(t, want.String() == string(body), "%d of %d bytes, or others", len(body), want.Len())
	require.Zero(t, cut.Load(), "cut by the engine")
	require.Zero(t, migrations.Load(), "migrated")
	require.Eventually(t, func() bool { return f.memory.held.Load() == 0 }, testTimeout, 5*time.Millisecond)
}

// Guards against an instance that runs out of memory for hundreds of callers that don't read: what it
// holds is bounded, new requests are refused as not run, and it serves again when they have left.
func TestCallersThatDoNotReadAreBounded(t *testing.T) {
	const callers, processBytes, maxWait = 150, 8 << 20, time.Second
	var cut atomic.Int64
	f := startFixture(t, map[string]http.Handler{
		"llm-1": &backend{handle: sendUntilUnread(1000, 1000, &cut)}, "llm-2": &backend{handle: sendUntilUnread(1000, 1000, &cut)}, "llm-3": &backend{handle: sendUntilUnread(1000, 1000, &cut)},
		"llm-4": &backend{handle: sendUntilUnread(1000, 1000, &cut)}, "llm-5": &backend{handle: sendUntilUnread(1000, 1000, &cut)}, "llm-6": &backend{handle: sendUntilUnread(1000, 1000, &cut)},
		"desk-1": &backend{handle: respondWith(http.StatusOK)},
	}, func(o *Options) { o.MemoryBytes = processBytes })
	var highest atomic.Int64
	var callersLeft sync.WaitGroup
	for range callers {
		conn := f.openUnread("/plan/1")
		callersLeft.Go(func() {
			<-time.After(2 * time.Second)
			_ = conn.Close()
		})
	}
	refused := false
	for stop := time.Now().Add(2 * time.Second); time.Now().Before(stop); {
		highest.Store(max(highest.Load(), f.memory.held.Load()))
		begin := time.Now()
		response := f.send(http.MethodPost, "/book/1", strings.Repeat("x", 1000))
		if response.StatusCode == http.StatusServiceUnavailable {
			refused = true
			require.Less(t, time.Since(begin), maxWait)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Empty(t, response.Header.Get("T-Seal"))
		}
	}
	callersLeft.Wait()
	require.True(t, refused, "no request refused")
	require.LessOrEqual(t, highest.Load(), f.memory.limit)
	require.Eventually(t, func() bool { return f.memory.held.Load() == 0 }, testTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
}

// Guards against long responses that exceed the memory of a small instance, and against one that
// breaks off and looks complete.
func TestLongResponseNeedsNoMemory(t *testing.T) {
	const length = 3 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16)
	tests := map[string]struct {
		memory   int64
		sent     int
		declared bool
		complete bool
	}{
		"fits":                       {memory: 64 << 20, sent: length, declared: true, complete: true},
		"doesn't fit":                {memory: 1 << 20, sent: length, declared: true, complete: true},
		"doesn't fit, chunked":       {memory: 1 << 20, sent: length, complete: true},
		"breaks off":                 {memory: 64 << 20, sent: length / 2, declared: true},
		"doesn't fit and breaks off": {memory: 1 << 20, sent: length / 2, declared: true},
		"doesn't fit, chunks break":  {memory: 1 << 20, sent: length / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, map[string]http.Handler{"desk-1": &backend{handle: func(w http.ResponseWriter, _ *http.Request) {
				if tt.declared {
					w.Header().Set("Content-Length", fmt.Sprint(length))
				}
				_, _ = w.Write(body[:tt.sent])
				if tt.sent < length {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}}}, func(o *Options) { o.MemoryBytes = tt.memory })
			response := f.send(http.MethodPost, "/book/1", "{}")
			got, err := io.ReadAll(response.Body)
			if tt.complete {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.True(t, bytes.Equal(body, got))
			} else {
				require.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "looks complete")
			}
			require.Eventually(t, func() bool { return f.memory.held.Load() == 0 }, testTimeout, 5*time.Millisecond)
		})
	}
}
