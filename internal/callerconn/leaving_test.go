package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/require"
)

// Guards against connections that are made between the last look at the backlog and the end of the listener.
func TestConnectionsAtTheEndOfTheListenerAreServed(t *testing.T) {
	for range 8 {
		f := start(t, Options{})
		var cut, answered atomic.Int64
		var wg sync.WaitGroup
		done := make(chan struct{})
		go func() {
			for {
				select {
				case f.release <- struct{}{}:
				case <-f.handled:
				case <-f.left:
				case <-done:
					return
				}
			}
		}()
		for range 8 {
			wg.Go(func() {
				for {
					conn, err := net.Dial("tcp", f.Addr().String())
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					if err != nil {
						t.Log(err)
						return
					}
					_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
					_, err = http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Log(err)
						cut.Add(1)
					} else {
						answered.Add(1)
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		f.StopAccepting()
		wg.Wait()
		close(done)
		require.Zero(t, cut.Load(), "answered %d", answered.Load())
	}
}

// Guards against connections that hold no request and keep an instance from leaving.
func TestConnectionsWithoutRequestsAreClosed(t *testing.T) {
	tests := map[string]string{
		"line break after the body": request("/a", "1") + "\r\n",
		"plain":                     request("/a", "1"),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, Options{ReadTimeout: testTimeout})
			c := f.dial()
			c.send(text)
			f.release <- struct{}{}
			_, _ = c.receive()
			f.StopAccepting()
			require.Eventually(t, func() bool { return f.CloseIdle(time.Now()) == 0 }, testTimeout/2, 10*time.Millisecond)
		})
	}
}

// Guards against goroutines that outlive their connections.
func TestNoGoroutinesAreLeft(t *testing.T) {
	f := start(t, Options{ReadTimeout: testTimeout})
	n := runtime.NumGoroutine()
	for range 50 {
		c := f.dial()
		c.send(request("/a", "1"))
		<-f.handled
		_ = c.Close()
		<-f.left
	}
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= n+1 && len(f.open()) == 0 }, testTimeout, 10*time.Millisecond)
}

// Guards against requests that are handled although their connection was cut before.
func TestRequestOnCutConnectionIsNotHandled(t *testing.T) {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := NewListener(tcp, Options{})
	require.NoError(t, err)
	read, proceed, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	handled := false
	h := server.New(append(l.ServerOptions(), server.WithDisablePrintRoute(true))...)
	h.Use(func(ctx context.Context, c *app.RequestContext) {
		close(read)
		<-proceed
		c.Next(ctx)
		close(ended)
	}, l.Handle)
	h.NoRoute(func(context.Context, *app.RequestContext) { handled = true })
	go func() { _ = h.Run() }()
	f := &fixture{Listener: l, t: t}
	require.Eventually(t, l.accepting.Load, testTimeout, time.Millisecond)
	f.dial().send(request("/a", "1"))
	<-read
	_ = l.Close()
	close(proceed)
	<-ended
	require.False(t, handled)
}
