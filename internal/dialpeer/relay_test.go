package dialpeer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/peer"
)

const testTimeout = 10 * time.Second

// Guards against answers that are lost because their server closes before it has read the whole request.
func TestEarlyAnswerIsRelayed(t *testing.T) {
	const requestBytes, answerBytes = 8 << 20, 60_000
	address, _ := listen(t, func(conn *net.TCPConn) {
		_, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", answerBytes, strings.Repeat("x", answerBytes))
		// The answer has arrived before the rest of the request resets the connection.
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
	})
	relay, _ := newPeer(t, "relay")
	through := serve(t, relay)
	client, _ := newPeer(t, "client")
	http := httpclient.New(httpclient.Options{Dial: func(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
		return client.Dial(ctx, through, address, timeout)
	}})
	t.Cleanup(http.Close)
	req := protocol.NewRequest("POST", "http://"+address+"/x", strings.NewReader(strings.Repeat("y", requestBytes)))
	resp, err := http.Do(t.Context(), address, req, httpclient.Call{SingleUse: true})
	require.NoError(t, err)
	defer resp.Close()
	require.Len(t, resp.Bytes(), answerBytes)
	require.Eventually(t, func() bool { return relay.Relayed() == 0 }, testTimeout, time.Millisecond)
}

// dialSlowly opens a connection through a relay for an instance whose system takes few bytes.
func dialSlowly(t *testing.T, through dialpeer.Instance, address string) *net.TCPConn {
	key, err := peer.NewKey("cG9sbGVuc3BpbmRsZS1wZWVyLWtleS0zMi1ieXRlcy4=")
	require.NoError(t, err)
	dialed, err := net.Dial("tcp", through.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	conn := dialed.(*net.TCPConn)
	require.NoError(t, conn.SetReadBuffer(4<<10))
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: relay\r\nConnection: Upgrade\r\nUpgrade: pollenspindle-dial\r\nServer-Address: %s\r\nPeer-Auth: %s\r\nDial-Timeout-Ms: 500\r\n\r\n",
		dialpeer.Path, address, key.Token(time.Now(), "client", dialpeer.Path+" "+address))
	require.NoError(t, err)
	return conn
}

// Guards against answers that are lost on their way as the process of the relaying instance ends.
func TestRelayIsCountedUntilItsAnswerHasArrived(t *testing.T) {
	const answerBytes = 30_000
	tests := map[string]struct {
		// more is what the instance sends after its request.
		more string
	}{
		"answer on its way":              {""},
		"answer on its way, more unread": {strings.Repeat("y", 1<<20)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer := make(chan struct{})
			address, _ := listen(t, func(conn *net.TCPConn) {
				<-answer
				_, _ = io.WriteString(conn, strings.Repeat("x", answerBytes))
				_ = conn.CloseWrite()
				time.Sleep(100 * time.Millisecond)
				_ = conn.Close()
			})
			relay, _ := newPeer(t, "relay")
			conn := dialSlowly(t, serve(t, relay), address)
			_, err := io.WriteString(conn, "request")
			require.NoError(t, err)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = io.WriteString(conn, tt.more)
			}()
			require.Eventually(t, func() bool { return relay.Relayed() == 1 }, testTimeout, time.Millisecond)
			relay.Drain()
			close(answer)
			require.Never(t, func() bool { return relay.Relayed() == 0 }, 500*time.Millisecond, time.Millisecond)
			all, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.Equal(t, answerBytes, strings.Count(string(all), "x"))
			_ = conn.Close()
			<-sent
			require.Eventually(t, func() bool { return relay.Relayed() == 0 }, testTimeout, time.Millisecond)
		})
	}
}

// Guards against relayed connections that never end because the instance or its machine is gone.
func TestRelayEndsWithoutItsInstance(t *testing.T) {
	end := make(chan struct{})
	address, _ := listen(t, func(conn *net.TCPConn) { <-end; _ = conn.Close() })
	relay, _ := newPeer(t, "relay")
	conn := dialSlowly(t, serve(t, relay), address)
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return relay.Relayed() == 1 }, testTimeout, time.Millisecond)
	close(end)
	require.Eventually(t, func() bool { return relay.Relayed() == 0 }, testTimeout, time.Millisecond)
}
