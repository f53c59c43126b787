package httplisten

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

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/connlimit"
)

const testTimeout = 10 * time.Second

// fixture is a server whose handler answers with the path of a request, once it is released if the path is /held.
type fixture struct {
	t       *testing.T
	address string
	held    chan struct{}
	release chan struct{}
	// idle gets an element once a connection whose request was handled awaits the next one.
	idle chan struct{}
}

func start(t *testing.T, account *connlimit.Account) *fixture {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{t: t, address: tcp.Addr().String(), held: make(chan struct{}, 1), release: make(chan struct{}), idle: make(chan struct{}, 100)}
	l := New(tcp, Options{Account: account, Class: connlimit.Internal, MaxHeadBytes: 16 << 10})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	mux.HandleFunc("/held", func(w http.ResponseWriter, r *http.Request) {
		f.held <- struct{}{}
		select {
		case <-f.release:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	mux.HandleFunc("/switch", func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		_, _ = io.Copy(conn, buffered)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: testTimeout, ConnState: func(c net.Conn, state http.ConnState) {
		l.ConnState(c, state)
		if state == http.StateIdle {
			f.idle <- struct{}{}
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		_ = server.Close()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return f
}

type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (f *fixture) dial() *client {
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &client{conn, f.t, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) receive() (status int, body string) {
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode, string(read)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against requests that are lost or mixed up on a kept connection.
func TestRequestsInTurn(t *testing.T) {
	c := start(t, nil).dial()
	for i := range 3 {
		c.send(get(fmt.Sprint("/", i)) + "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b\r\n\r\n")
		for _, want := range []string{fmt.Sprint("/", i), "/body"} {
			status, body := c.receive()
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, want, body)
		}
	}
}

// Guards against idle connections that keep others out, and against requests that are cut for them.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f := start(t, connlimit.New(connlimit.Options{Connections: 3}))
	busy, idle := f.dial(), f.dial()
	busy.send(get("/held"))
	<-f.held
	idle.send(get("/idle"))
	_, body := idle.receive()
	require.Equal(t, "/idle", body)
	<-f.idle
	for i := range 10 {
		c := f.dial()
		c.send(get(fmt.Sprint("/", i)))
		_, body := c.receive()
		require.Equal(t, fmt.Sprint("/", i), body)
		<-f.idle
	}
	_, err := idle.r.ReadByte()
	require.Error(t, err)
	close(f.release)
	_, body = busy.receive()
	require.Equal(t, "/held", body)
}

// Guards against heads that are parsed without room for them, and against memory that isn't returned.
func TestHeadsWithoutRoom(t *testing.T) {
	f := start(t, connlimit.New(connlimit.Options{Bytes: 3 << 20}))
	large := "GET /large HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	first := f.dial()
	for range 3 {
		first.send(large)
		_, body := first.receive()
		require.Equal(t, "/large", body)
		<-f.idle
	}
	held := f.dial()
	held.send(strings.Replace(large, "/large", "/held", 1))
	<-f.held
	refused := f.dial()
	refused.send(large)
	status, _ := refused.receive()
	require.Equal(t, http.StatusServiceUnavailable, status)
	close(f.release)
	_, body := held.receive()
	require.Equal(t, "/held", body)
	<-f.idle
	first.send(large)
	_, body = first.receive()
	require.Equal(t, "/large", body)
}

// Guards against bytes of another protocol that are taken for requests.
func TestSwitchedConnection(t *testing.T) {
	c := start(t, nil).dial()
	c.send(get("/switch"))
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusSwitchingProtocols, resp.StatusCode)
	c.send("\x00no request\n")
	p := make([]byte, len("\x00no request\n"))
	_, err = io.ReadFull(c.r, p)
	require.NoError(t, err)
	require.Equal(t, "\x00no request\n", string(p))
}
