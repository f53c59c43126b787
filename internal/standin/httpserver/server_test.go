package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/standin/httpserver"
)

// Guards against requests that a stand-in cuts though its shutdown leaves them time.
func TestShutdownLetsRequestsEnd(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	address := make(chan string, 1)
	begun := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- httpserver.Run(ctx, "127.0.0.1:0", func(a string) { address <- a }, func(h *server.Hertz) {
			h.GET("/slow", func(_ context.Context, c *app.RequestContext) {
				close(begun)
				time.Sleep(100 * time.Millisecond)
				c.String(http.StatusOK, "whole")
			})
		})
	}()
	conn, err := net.Dial("tcp", <-address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-begun
	stop()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.NoError(t, <-done)
}
