package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against taking a truncated response for a complete one: the end of the connection delimits
// the response, and the server crashes while sending it, which resets the connection.
func TestResetCloseDelimitedResponseIsLost(t *testing.T) {
	tests := map[string]struct {
		reset  bool
		stream bool
	}{
		"closed":           {},
		"closed, streamed": {stream: true},
		"reset":            {reset: true},
		"reset, streamed":  {reset: true, stream: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			read := make(chan struct{})
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				<-read
				if tt.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			c := New(Options{})
			defer c.Close()
			if !tt.stream {
				close(read)
			}
			resp, err := get(t.Context(), c, ln.Addr().String(), Call{SingleUse: true, Stream: tt.stream})
			if tt.stream {
				require.NoError(t, err)
				defer resp.Close()
				_, err = io.ReadFull(resp.Body(), make([]byte, 4))
				require.NoError(t, err)
				close(read)
				_, err = resp.Body().Read(make([]byte, 1))
				if !tt.reset {
					require.ErrorIs(t, err, io.EOF)
					return
				}
			}
			if tt.reset {
				require.ErrorIs(t, err, ErrUnknownOutcome)
				return
			}
			require.NoError(t, err)
			defer resp.Close()
			require.Equal(t, "half", string(resp.Bytes()))
		})
	}
}

// Guards against waiting for the end of the connection after a response that has neither a body nor
// a length.
func TestResponseWithoutContentIsComplete(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		s := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		c := New(Options{})
		defer c.Close()
		for _, stream := range []bool{false, true} {
			resp, err := get(t.Context(), c, s.address(), Call{Stream: stream})
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode())
			body, err := resp.ReadAll()
			require.NoError(t, err)
			require.Empty(t, body)
			resp.Close()
		}
	}
}

// Guards against an interim answer that is taken for the answer, and against bytes of it that are.
func TestInterimAnswersAreSkipped(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "body")
	})
	c := New(Options{})
	defer c.Close()
	resp, err := get(t.Context(), c, s.address(), Call{})
	require.NoError(t, err)
	defer resp.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode())
	require.Equal(t, "body", string(resp.Bytes()))
	require.Empty(t, resp.Header.Get("Link"))
}
