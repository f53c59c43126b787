package dialpeer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/serverlink"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

const timeout = 500 * time.Millisecond

func newPeer(t *testing.T, id string) (*dialpeer.Peer, *serverlink.Links) {
	t.Helper()
	key, err := peer.NewKey("cG9sbGVuc3BpbmRsZS1wZWVyLWtleS0zMi1ieXRlcy4=")
	require.NoError(t, err)
	links := serverlink.NewLinks()
	p := dialpeer.New(dialpeer.Options{
		Self: id, Key: key, Links: links, Direct: httpclient.DialTCP,
		Log: zerolog.Nop(), Scope: tally.NoopScope, Now: time.Now,
	})
	t.Cleanup(p.Close)
	return p, links
}

// serve serves a peer and returns its record.
func serve(t *testing.T, p *dialpeer.Peer) dialpeer.Instance {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(dialpeer.Path, p)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return dialpeer.Instance{ID: "relay", Address: strings.TrimPrefix(server.URL, "http://")}
}

// listen accepts connections, and returns the address and the number of accepted ones.
func listen(t *testing.T, handle func(conn *net.TCPConn)) (string, *atomic.Int64) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	n := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n.Add(1)
			go handle(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String(), n
}

// exchange sends a request through the relay and returns the body of the response.
func exchange(t *testing.T, p *dialpeer.Peer, through dialpeer.Instance, address string) (string, error) {
	t.Helper()
	client := httpclient.New(httpclient.Options{Dial: func(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
		return p.Dial(ctx, through, address, timeout)
	}})
	defer client.Close()
	req := protocol.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	resp, err := client.Do(t.Context(), address, req, httpclient.Call{SingleUse: true})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	return string(resp.Bytes()), nil
}

const bodyBytes = 100_000

// Guards against truncated responses that look complete because the relay's connection was closed.
func TestRelayedResponse(t *testing.T) {
	body := strings.Repeat("x", bodyBytes)
	tests := map[string]struct {
		head string
		end  func(conn *net.TCPConn, relay *dialpeer.Peer)
		// complete says whether the caller gets the whole body.
		complete bool
	}{
		"length":                            {fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), func(*net.TCPConn, *dialpeer.Peer) {}, true},
		"length, server closes early":       {fmt.Sprintf("Content-Length: %d\r\n", bodyBytes+10), func(conn *net.TCPConn, _ *dialpeer.Peer) { _ = conn.Close() }, false},
		"no length, server closes":          {"", func(conn *net.TCPConn, _ *dialpeer.Peer) { _ = conn.Close() }, true},
		"no length, server resets":          {"", func(conn *net.TCPConn, _ *dialpeer.Peer) { _ = conn.SetLinger(0); _ = conn.Close() }, false},
		"no length, relaying instance ends": {"", func(_ *net.TCPConn, relay *dialpeer.Peer) { relay.Close() }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			relay, _ := newPeer(t, "relay")
			address, _ := listen(t, func(conn *net.TCPConn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.head+"\r\n"+body)
				tt.end(conn, relay)
			})
			client, _ := newPeer(t, "client")
			got, err := exchange(t, client, serve(t, relay), address)
			if !tt.complete {
				require.ErrorIs(t, err, httpclient.ErrUnknownOutcome)
				return
			}
			require.NoError(t, err)
			require.True(t, got == body)
		})
	}
}

// Guards against requests that are reported as not sent though a server was connected.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	tests := map[string]struct {
		prepare func(relay *dialpeer.Peer, links *serverlink.Links, address string)
		want    error
	}{
		"leaves": {func(relay *dialpeer.Peer, _ *serverlink.Links, _ string) { relay.Drain() }, dialpeer.ErrPeer},
		"has lost its own links": {func(_ *dialpeer.Peer, links *serverlink.Links, _ string) {
			links.RecordDirect(time.Now(), "10.0.0.7:8000", false)
			links.RecordDirect(time.Now(), "10.0.0.8:8000", false)
		}, dialpeer.ErrPeer},
		"has lost its link to the server": {func(_ *dialpeer.Peer, links *serverlink.Links, address string) {
			links.RecordDirect(time.Now(), address, false)
		}, dialpeer.ErrLink},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t, func(*net.TCPConn) {})
			relay, links := newPeer(t, "relay")
			through := serve(t, relay)
			tt.prepare(relay, links, address)
			client, _ := newPeer(t, "client")
			_, err := exchange(t, client, through, address)
			require.ErrorIs(t, err, httpclient.ErrNotSent)
			require.ErrorIs(t, err, tt.want)
			require.Zero(t, accepted.Load())
			require.Zero(t, relay.Relayed())
		})
	}
}

// Guards against a malformed answer of another instance that is taken for an open connection, or for what it says of
// the server.
func TestMalformedAnswerOpensNothing(t *testing.T) {
	for name, head := range map[string]string{
		"NUL in a name":          "HTTP/1.1 101 Switching Protocols\r\nX\x00: 1\r\n\r\n",
		"blank in a name":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade : other\r\n\r\n",
		"status 000":             "HTTP/1.1 000 Odd\r\n\r\n",
		"status 600, a cause":    "HTTP/1.1 600 Odd\r\nDial-Failure: link\r\nContent-Length: 0\r\n\r\n",
		"NUL in a name, a cause": "HTTP/1.1 502 Bad Gateway\r\nDial-Failure: link\r\nX\x00: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			through, _ := listen(t, func(conn *net.TCPConn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head)
				}
			})
			client, _ := newPeer(t, "client")
			_, err := exchange(t, client, dialpeer.Instance{ID: "relay", Address: through}, "127.0.0.1:1")
			require.ErrorIs(t, err, httpclient.ErrNotSent)
			require.ErrorIs(t, err, dialpeer.ErrPeer)
			require.NotErrorIs(t, err, dialpeer.ErrLink)
		})
	}
}

// Guards against requests that are refused because each other instance was slow or refused once.
func TestInstancesThatFailedAreAskedLast(t *testing.T) {
	key, err := peer.NewKey("cG9sbGVuc3BpbmRsZS1wZWVyLWtleS0zMi1ieXRlcy4=")
	require.NoError(t, err)
	all := []dialpeer.Instance{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: "127.0.0.1:1"}, {ID: "c", Address: "127.0.0.1:1"}}
	p := dialpeer.New(dialpeer.Options{
		Self: "own", Key: key, Links: serverlink.NewLinks(), Direct: httpclient.DialTCP, Log: zerolog.Nop(), Scope: tally.NoopScope, Now: time.Now,
		Relays: func(_ *rand.Rand, n int, exclude func(string) bool) []dialpeer.Instance {
			kept := slices.DeleteFunc(slices.Clone(all), func(in dialpeer.Instance) bool { return exclude(in.ID) })
			return kept[:min(n, len(kept))]
		},
	})
	rng := rand.New(rand.NewPCG(1, 1))
	fail := func(in dialpeer.Instance) {
		_, err := p.Dial(t.Context(), in, "127.0.0.1:1", timeout)
		require.ErrorIs(t, err, dialpeer.ErrPeer)
	}
	fail(all[0])
	relays := p.Relays(time.Now(), rng, 3)
	require.Len(t, relays, 3)
	require.Equal(t, "a", relays[2].ID)
	fail(all[1])
	fail(all[2])
	require.Len(t, p.Relays(time.Now(), rng, 3), 3)
}

// Guards against servers that go on with a request whose connection the instance has closed.
func TestRelayClosesServerConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := listen(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	relay, _ := newPeer(t, "relay")
	client, _ := newPeer(t, "client")
	conn, err := client.Dial(t.Context(), serve(t, relay), address, timeout)
	require.NoError(t, err)
	require.Equal(t, 1, relay.Relayed())
	require.NoError(t, conn.Close())
	<-closed
	require.Eventually(t, func() bool { return relay.Relayed() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against strangers that open connections through an instance.
func TestUnsignedRequestOpensNothing(t *testing.T) {
	address, accepted := listen(t, func(*net.TCPConn) {})
	relay, _ := newPeer(t, "relay")
	through := serve(t, relay)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+through.Address+dialpeer.Path, nil)
	require.NoError(t, err)
	req.Header.Set("Server-Address", address)
	req.Header.Set("Dial-Timeout-Ms", "100")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Zero(t, accepted.Load())
}

// Guards against answers that were cut anywhere and look whole behind another instance.
func TestRelayedCutAnswers(t *testing.T) {
	const body = "twelve bytes"
	for name, answer := range cutanswer.Answers("X-Field: value\r\n", body) {
		if answer.Method != http.MethodPost {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := cutanswer.New(answer, "X-Id")
			h := httptest.NewServer(server)
			t.Cleanup(h.Close)
			relay, _ := newPeer(t, "relay")
			client, _ := newPeer(t, "client")
			through := serve(t, relay)
			for _, end := range []cutanswer.End{cutanswer.Close, cutanswer.Reset} {
				for n := range answer.Len("") + 1 {
					server.Cut(n, end)
					got, err := exchange(t, client, through, strings.TrimPrefix(h.URL, "http://"))
					switch {
					case answer.Whole(n, "") && end == cutanswer.Close:
						require.NoError(t, err, "after %d bytes", n)
						require.Equal(t, answer.Body(n, "", body), got)
					case n < answer.Len("") || answer.Unframed:
						require.ErrorIs(t, err, httpclient.ErrUnknownOutcome, "after %d bytes: %q", n, got)
					}
				}
			}
		})
	}
}
