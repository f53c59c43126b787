package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countingServer is a server that counts its connections.
type countingServer struct {
	*httptest.Server
	mu    sync.Mutex
	conns int
}

func serve(t testing.TB, handler http.HandlerFunc) *countingServer {
	t.Helper()
	s := &countingServer{Server: httptest.NewUnstartedServer(handler)}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *countingServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *countingServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func get(ctx context.Context, c *Client, address string, call Call) (*Response, error) {
	r := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(r)
	r.SetMethod(http.MethodGet)
	r.Header.SetHost(address)
	r.SetRequestURI("/")
	return c.Do(ctx, address, r, call)
}

func TestConnectionsAreReused(t *testing.T) {
	tests := map[string]struct {
		call  Call
		read  func(*Response)
		conns int
	}{
		"complete body":          {read: func(*Response) {}, conns: 1},
		"single-use":             {call: Call{SingleUse: true}, read: func(*Response) {}, conns: 3},
		"fresh connection":       {call: Call{FreshConnection: true}, read: func(*Response) {}, conns: 3},
		"stream drained":         {call: Call{Stream: true}, read: func(r *Response) { _, _ = io.ReadFull(r.Body(), make([]byte, 2)); r.Drain() }, conns: 1},
		"stream closed unread":   {call: Call{Stream: true}, read: func(*Response) {}, conns: 3},
		"stream aborted":         {call: Call{Stream: true}, read: func(r *Response) { r.Abort() }, conns: 3},
		"stream read to its end": {call: Call{Stream: true}, read: func(r *Response) { _, _ = io.Copy(io.Discard, r.Body()); r.Drain() }, conns: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "ab")
				w.(http.Flusher).Flush()
			})
			c := New(Options{})
			defer c.Close()
			for range 3 {
				resp, err := get(t.Context(), c, s.address(), tt.call)
				require.NoError(t, err)
				tt.read(resp)
				resp.Close()
			}
			require.Equal(t, tt.conns, s.connections())
		})
	}
}

func TestIdleConnectionsAreClosedAfterTimeout(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ab") })
	c := New(Options{})
	defer c.Close()
	resp, err := get(t.Context(), c, s.address(), Call{})
	require.NoError(t, err)
	resp.Close()
	require.Nil(t, c.pool.take(s.address(), time.Now().Add(c.opts.IdleTimeout)))
	require.Empty(t, c.pool.conns[s.address()])
}

// Guards against a read that blocks on a silent server after its context was cancelled: the read
// must end at once, and so must the connection, so that the server notices.
func TestCancelEndsReadOfSilentStream(t *testing.T) {
	left := make(chan struct{})
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(t.Context())
	c := New(Options{})
	defer c.Close()
	resp, err := get(ctx, c, s.address(), Call{Stream: true})
	require.NoError(t, err)
	defer resp.Close()
	buf := make([]byte, 1)
	_, err = io.ReadFull(resp.Body(), buf)
	require.NoError(t, err)
	cancel()
	_, err = resp.Body().Read(buf)
	require.Error(t, err)
	<-left
}

func TestResponseSizeIsLimited(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"with length": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 100)) },
		"chunked": func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = io.WriteString(w, strings.Repeat("x", 10))
				w.(http.Flusher).Flush()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, handler)
			c := New(Options{MaxResponseBytes: 50})
			defer c.Close()
			_, err := get(t.Context(), c, s.address(), Call{})
			require.ErrorIs(t, err, ErrTooLarge)
			resp, err := get(t.Context(), c, s.address(), Call{Stream: true})
			require.NoError(t, err)
			defer resp.Close()
			_, err = resp.ReadAll()
			require.ErrorIs(t, err, ErrTooLarge)
		})
	}
}

func TestHeadHasNoBody(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "1000") })
	c := New(Options{MaxResponseBytes: 50})
	defer c.Close()
	for range 2 {
		r := protocol.AcquireRequest()
		r.SetMethod(http.MethodHead)
		r.Header.SetHost(s.address())
		r.SetRequestURI("/")
		resp, err := c.Do(t.Context(), s.address(), r, Call{})
		require.NoError(t, err)
		require.Empty(t, resp.Bytes())
		resp.Close()
		protocol.ReleaseRequest(r)
	}
	require.Equal(t, 1, s.connections())
}

func TestEndedContextSendsNothing(t *testing.T) {
	s := serve(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := New(Options{})
	defer c.Close()
	_, err := get(ctx, c, s.address(), Call{})
	require.ErrorIs(t, err, ErrNotSent)
	require.Zero(t, s.connections())
}

// Guards against a late response on a reused connection that is read as the response to the next
// request: a single-use exchange must not return its connection to the pool.
func TestSingleUseKeepsNoConnection(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ab") })
	c := New(Options{})
	defer c.Close()
	resp, err := get(t.Context(), c, s.address(), Call{SingleUse: true})
	require.NoError(t, err)
	resp.Close()
	require.Nil(t, c.pool.take(s.address(), time.Now()))
}

// Guards against a request that reaches its server although it wasn't allowed to be sent.
func TestBeforeSendEndsExchange(t *testing.T) {
	reached := make(chan struct{}, 1)
	s := serve(t, func(http.ResponseWriter, *http.Request) { reached <- struct{}{} })
	c := New(Options{})
	t.Cleanup(c.Close)
	_, err := get(t.Context(), c, s.address(), Call{SingleUse: true, BeforeSend: func() error { return io.ErrClosedPipe }})
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, io.ErrClosedPipe)
	s.Close()
	require.Empty(t, reached)
}
