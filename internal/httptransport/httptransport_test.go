package httptransport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/http1"
	"pollenspindle.example/pollenspindle/internal/httptransport"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// get sends a request and reads its answer to the end.
func get(t *testing.T, transport httptransport.Transport, url string) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
	require.NoError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read), err
}

func newTransport(t *testing.T) httptransport.Transport {
	t.Helper()
	transport := httptransport.Transport{Transport: &http.Transport{MaxResponseHeaderBytes: 64 << 10}}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// Guards against answers with a malformed head that are taken for answers.
func TestMalformedHeadsFail(t *testing.T) {
	for name, answer := range cutanswer.Malformed("X-Field: value\r\n", "twelve bytes") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := get(t, newTransport(t), "http://"+cutanswer.Start(t, answer))
			require.Error(t, err, "status %d, body %q", status, body)
		})
	}
}

// Guards against valid answers that are refused because they are unusual.
func TestOddHeadsAreRead(t *testing.T) {
	const body = "twelve bytes"
	for name, answer := range cutanswer.Odd("X-Field: value\r\n", body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, got, err := get(t, newTransport(t), "http://"+cutanswer.Start(t, answer))
			require.NoError(t, err)
			require.Equal(t, answer.Status, status)
			require.Equal(t, body, got)
		})
	}
}

// Guards against bytes after a malformed answer that are taken for the answer to the next request.
func TestConnectionOfMalformedAnswerIsClosed(t *testing.T) {
	const malformed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length : 5\r\n\r\n"
	var conns atomic.Int64
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, malformed)
				}
			}()
		}
	}()
	transport := newTransport(t)
	for n := range 3 {
		_, _, err := get(t, transport, "http://"+l.Addr().String())
		require.ErrorIs(t, err, httptransport.ErrMalformed)
		require.EqualValues(t, n+1, conns.Load())
	}
}

// Guards against interim answers without end, which net/http doesn't limit if they are looked at.
func TestInterimAnswersAreLimited(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for name, tt := range map[string]struct {
		interim int
		ok      bool
	}{"as many as allowed": {http1.MaxAnswerHeads - 1, true}, "one more": {http1.MaxAnswerHeads, false}} {
		t.Run(name, func(t *testing.T) {
			answer := cutanswer.Answers("", "body")["length"]
			for range tt.interim {
				answer.Head = interim + answer.Head
			}
			_, _, err := get(t, newTransport(t), "http://"+cutanswer.Start(t, answer))
			if tt.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, httptransport.ErrMalformed)
		})
	}
}
