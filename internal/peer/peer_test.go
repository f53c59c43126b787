package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

const encodedKey = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

func newKey(t *testing.T, encoded string) peer.Key {
	key, err := peer.NewKey(encoded)
	require.NoError(t, err)
	return key
}

func TestKeyCheck(t *testing.T) {
	oldKey := newKey(t, strings.Replace(encodedKey, "AAEC", "AAEE", 1))
	key, err := peer.NewKey(encodedKey, strings.Replace(encodedKey, "AAEC", "AAEE", 1))
	require.NoError(t, err)
	now := time.Unix(10000, 0)
	token := key.Token(now, "i1", "/service/Acquire")
	tests := map[string]struct {
		token     string
		procedure string
		now       time.Time
		want      string
	}{
		"genuine":             {token: token, procedure: "/service/Acquire", now: now, want: "i1"},
		"of an accepted key":  {token: oldKey.Token(now, "i1", "/service/Acquire"), procedure: "/service/Acquire", now: now, want: "i1"},
		"small clock skew":    {token: token, procedure: "/service/Acquire", now: now.Add(-20 * time.Second), want: "i1"},
		"replayed later":      {token: token, procedure: "/service/Acquire", now: now.Add(time.Minute)},
		"of another call":     {token: token, procedure: "/service/Release", now: now},
		"of another sender":   {token: strings.Replace(token, "i1", "i2", 1), procedure: "/service/Acquire", now: now},
		"of another key":      {token: newKey(t, strings.Replace(encodedKey, "AAEC", "AAED", 1)).Token(now, "i1", "/service/Acquire"), procedure: "/service/Acquire", now: now},
		"missing":             {procedure: "/service/Acquire", now: now},
		"with too many parts": {token: token + " x", procedure: "/service/Acquire", now: now},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sender, err := key.Check(tt.now, tt.token, tt.procedure)
			require.Equal(t, tt.want, sender)
			if tt.want == "" {
				require.ErrorIs(t, err, peer.ErrUnauthenticated)
			}
		})
	}
	_, err = oldKey.Check(now, token, "/service/Acquire")
	require.ErrorIs(t, err, peer.ErrUnauthenticated, "tokens must be made with the first key")
	for _, keys := range [][]string{{"c2hvcnQ="}, {encodedKey, "c2hvcnQ="}} {
		_, err = peer.NewKey(keys[0], keys[1:]...)
		require.ErrorIs(t, err, peer.ErrKey)
	}
}

// echo answers heartbeats with the name of the sender.
type echo struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (echo) Heartbeat(ctx context.Context, _ *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return &peerv1.HeartbeatResponse{Instance: peer.Sender(ctx)}, nil
}

func serve(t *testing.T, key peer.Key) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- peer.NewServer(echo{}, key, tally.NoopScope).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func sendHeartbeat(t *testing.T, pool *peer.Pool, address string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	res, err := pool.Client(address).Heartbeat(ctx, &peerv1.HeartbeatRequest{})
	return res.GetInstance(), err
}

func TestCallsAreAuthenticatedAndCounted(t *testing.T) {
	key := newKey(t, encodedKey)
	address := serve(t, key)
	scope := tally.NewTestScope("", nil)
	pool := peer.NewPool("i1", key, scope, peer.WithMetering(controlcost.New(scope)))
	defer pool.Close()
	sender, err := sendHeartbeat(t, pool, address, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "i1", sender)
	require.Positive(t, scope.Snapshot().Counters()["peer_bytes_sent+"].Value())
	heartbeats := scope.Snapshot().Counters()["bytes+direction=received,role=heartbeats"].Value()
	require.Equal(t, int64(len("i1")+2), heartbeats)

	otherPool := peer.NewPool("i1", newKey(t, strings.Replace(encodedKey, "AAEC", "AAED", 1)), tally.NoopScope)
	defer otherPool.Close()
	_, err = sendHeartbeat(t, otherPool, address, 10*time.Second)
	require.ErrorIs(t, err, peer.ErrUnauthenticated)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	// A network device between the two ends drops an open connection: bytes on it are lost without
	// an error, while new connections work. The unanswered ping must close it, and the next call
	// must succeed on a new one, so that the instance misses only a heartbeat or two.
	key := newKey(t, encodedKey)
	target := serve(t, key)
	proxy := newProxy(t, target)
	pool := peer.NewPool("i1", key, tally.NoopScope)
	defer pool.Close()
	_, err := sendHeartbeat(t, pool, proxy.address, 10*time.Second)
	require.NoError(t, err)
	proxy.silenceOpenConns()
	_, err = sendHeartbeat(t, pool, proxy.address, 200*time.Millisecond)
	require.ErrorIs(t, err, peer.ErrUnreachable)
	require.Eventually(t, func() bool {
		_, err := sendHeartbeat(t, pool, proxy.address, 200*time.Millisecond)
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	require.Greater(t, proxy.opened.Load(), int32(1))
}

// proxy forwards connections and can make the open ones stop delivering data.
type proxy struct {
	address string
	opened  atomic.Int32
	mu      sync.Mutex
	silent  []*atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{address: listener.Addr().String()}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			p.opened.Add(1)
			silent := &atomic.Bool{}
			p.mu.Lock()
			p.silent = append(p.silent, silent)
			p.mu.Unlock()
			go forward(out, in, silent)
			go forward(in, out, silent)
		}
	}()
	return p
}

func (p *proxy) silenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
}

// forward copies data until the source ends, and discards it while silent is set.
func forward(to io.WriteCloser, from io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if !silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// Guards against strangers whose bodies are read.
func TestBodyWithoutTokenIsNotRead(t *testing.T) {
	address := serve(t, newKey(t, encodedKey))
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "POST /peer.v1.PeerService/Heartbeat HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: 1000\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.True(t, resp.Close)
}
