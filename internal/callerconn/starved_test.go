package callerconn

import (
	"io"
	"net"
	"os"
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
	tests := map[string]struct {
		sent    string
		wantErr error
	}{
		"request has arrived": {request("/a", "1"), nil},
		"part of it":          {"GET /a", nil},
		"nothing":             {"", io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dialed, accepted := acceptOne(t, Options{ReadTimeout: testTimeout})
			_, err := io.WriteString(dialed, tt.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return accepted.hasUnread() == (tt.sent != "") }, testTimeout, time.Millisecond)
			require.NoError(t, accepted.SetReadDeadline(time.Unix(1, 0)))
			p := make([]byte, 4<<10)
			n, err := accepted.Read(p)
			require.ErrorIs(t, err, tt.wantErr)
			require.Equal(t, tt.sent, string(p[:n]))
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
