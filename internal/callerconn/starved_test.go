package callerconn

import (
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acceptOne returns both ends of a connection.
func acceptOne(t *testing.T, opts Options) (dialed *net.TCPConn, accepted *Conn) {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := NewListener(tcp, opts)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	next, err := l.Accept()
	require.NoError(t, err)
	return conn.(*net.TCPConn), next.(*Conn)
}

// Guards against requests that have arrived in time and are timed out, since the process looks late.
func TestReadLooksAfterItsDeadline(t *testing.T) {
	whole := request("/a", "1")
	tests := map[string]struct {
		// sent arrives before the deadline, rest once that has been read.
		sent, rest, want string
		wantErr          error
	}{
		"request has arrived": {whole, "", whole, nil},
		"part of it":          {whole[:6], whole[6:], whole, nil},
		"nothing":             {"", "", "", io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dialed, accepted := acceptOne(t, Options{ReadTimeout: testTimeout})
			_, err := io.WriteString(dialed, tt.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return accepted.hasUnread() == (tt.sent != "") }, testTimeout, time.Millisecond)
			require.NoError(t, accepted.SetReadDeadline(time.Unix(1, 0)))
			sent := make(chan error, 1)
			go func() {
				for tt.rest != "" && accepted.hasUnread() {
					runtime.Gosched()
				}
				_, err := io.WriteString(dialed, tt.rest)
				sent <- err
			}()
			p := make([]byte, 4<<10)
			n, err := io.ReadAtLeast(accepted, p, max(1, len(tt.want)))
			require.ErrorIs(t, err, tt.wantErr)
			require.Equal(t, tt.want, string(p[:n]))
			require.NoError(t, <-sent)
		})
	}
}

// Guards against answers that are given up though the caller can take them, since the process looks late.
func TestWriteLooksAfterItsDeadline(t *testing.T) {
	tests := map[string]struct {
		answerBytes int
		wantErr     error
	}{
		"fits":                {1 << 10, nil},
		"caller doesn't read": {16 << 20, os.ErrDeadlineExceeded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, accepted := acceptOne(t, Options{WriteTimeout: time.Nanosecond})
			n, err := accepted.Write([]byte(strings.Repeat("x", tt.answerBytes)))
			require.ErrorIs(t, err, tt.wantErr)
			require.Equal(t, tt.wantErr == nil, n == tt.answerBytes)
		})
	}
}
