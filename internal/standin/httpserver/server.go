// Package httpserver runs the HTTP server of the stand-ins.
//
// # Usage
//
//	err := httpserver.Run(ctx, "127.0.0.1:0", ready, func(h *server.Hertz) {
//		h.GET("/load", handleLoad)
//	})
package httpserver

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"pollenspindle.example/pollenspindle/internal/callerconn"
)

// stopTimeout limits the wait for open connections on shutdown. Idle keep-alive
// connections count as open, so most shutdowns take this long.
const stopTimeout = 200 * time.Millisecond

const stopPollInterval = 5 * time.Millisecond

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// The log level of hertz is an unsynchronized global, so it is set before any server
// runs. hertz must not log, because the output of a stand-in belongs to its commands.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Run serves until ctx is done. It calls register before the server starts, and ready
// with the address once the server accepts connections. If ctx has a cause other than
// [context.Canceled], Run simulates a crash: it returns without a graceful shutdown.
func Run(ctx context.Context, address string, ready func(string), register func(*server.Hertz)) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	callers, err := callerconn.NewListener(ln, callerconn.Options{})
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	h := server.New(append(callers.ServerOptions(),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(stopTimeout),
	)...)
	h.Use(callers.Handle, watchCaller)
	register(h)
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	if ready != nil {
		ready(ln.Addr().String())
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		// A simulated crash leaves open connections as they are.
		return errors.Join(cause, ln.Close())
	}
	// ctx is done, so the shutdown needs a new context.
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	closeIdle(stopCtx, callers)
	if err := h.Shutdown(stopCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// closeIdle refuses connections and closes the open ones once their requests have ended, or ctx has.
func closeIdle(ctx context.Context, callers *callerconn.Listener) {
	callers.Drain()
	callers.StopAccepting()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for callers.CloseIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// abortKey is the key of the function that closes the connection of a request.
const abortKey = "abort"

// watchCaller ends the context of a request as soon as its caller leaves.
func watchCaller(ctx context.Context, c *app.RequestContext) {
	c.Set(abortKey, func() { callerconn.Abort(ctx) })
	callerconn.Watch(ctx)
	c.Next(ctx)
}

// CloseConnection closes the connection of a request without completing the response,
// as a crashing server does.
func CloseConnection(c *app.RequestContext) {
	if abort, ok := c.Value(abortKey).(func()); ok {
		abort()
	}
}
