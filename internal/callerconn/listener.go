// Package callerconn accepts the connections of callers for the HTTP library. It tells a connection
// without a request from one with a request that is awaited, read or answered, so that a leaving
// instance closes only the former, and it notices callers that leave while their request is handled.
//
// The state of a connection changes in the same step in which its bytes are read, or in which it is
// closed as idle: a request that was read is never cut by the end of an idle connection.
//
// # Usage
//
//	l := callerconn.NewListener(tcp, callerconn.Options{ReadTimeout: 10 * time.Second})
//	h := server.New(append(l.ServerOptions(), ...)...)
//	h.Use(l.Handle)
//	...
//	l.Drain()          // responses close their connections
//	l.StopAccepting()  // accepts what has connected, refuses the rest
//	for l.CloseIdle(now) > 0 { ... }
//	l.Close()          // aborts the requests in progress
//
// A handler calls [Watch] once it has read the body of its request. Its context then ends as soon as
// the caller leaves.
package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/connlimit"
)

// ErrListener means that a listener isn't one of TCP sockets.
var ErrListener = merry.Sentinel("listener doesn't accept TCP connections")

// DefaultMaxHeadBytes is the default of [Options.MaxHeadBytes].
const DefaultMaxHeadBytes = 64 << 10

const (
	// requestTimeout is how long a new connection, or one with a part of a request, isn't closed as
	// idle without a further byte: its caller is about to send the rest.
	requestTimeout = time.Second
	// minAcceptBackoff and maxAcceptBackoff limit the pause after an error that passes, such as
	// the lack of file descriptors.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// handshakeTimeout is how long a listener that stops waits for handshakes that have begun.
	handshakeTimeout = 50 * time.Millisecond
	// closeTimeout is how long a listener that is closed waits for callers to receive what was sent.
	closeTimeout      = 100 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines of refused requests.
	refusalLogInterval = 10 * time.Second
)

// Options configures a [Listener].
type Options struct {
	// ReadTimeout limits the wait for the first byte of a new connection, and for further bytes of a
	// request. The HTTP library limits the wait for later requests.
	ReadTimeout time.Duration
	// WriteTimeout limits each write to a caller that doesn't read.
	WriteTimeout time.Duration
	// MaxConnections limits the connections that callers may use; further ones are closed at once. As many may wait
	// for their callers to receive what was sent; others end without that. 0 means no limit.
	MaxConnections int
	// RequestID is the header field with the ID of a request, for the log; empty for none.
	RequestID string
	// Account bounds what connections and heads hold; nil for no limit.
	Account *connlimit.Account
	// Class says whom the connections serve.
	Class connlimit.Class
	// MaxHeadBytes returns the maximum size of the header fields of a request; nil for the default.
	MaxHeadBytes func() int
	// HeadTimeout returns the time for a head, from its first byte; nil for ReadTimeout.
	HeadTimeout func() time.Duration
	Log         zerolog.Logger
	// Scope is where the ends of connections are counted; nil for nowhere.
	Scope tally.Scope
	// Now returns the present time; nil for the clock of the machine.
	Now func() time.Time
}

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	tcp      *net.TCPListener
	socket   syscall.RawConn
	opts     Options
	draining atomic.Bool
	stopping atomic.Bool
	// accepting is set while the HTTP library may still accept connections.
	accepting atomic.Bool
	// refusals logs a few of the requests that are refused before they are read.
	refusals zerolog.Logger

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// lingering is the number of conns that wait for their callers to receive what was sent.
	lingering int
	// ended is closed by Close.
	ended     chan struct{}
	closeOnce sync.Once
}

// NewListener returns a listener that accepts the connections of l, which has TCP sockets.
func NewListener(l net.Listener, opts Options) (*Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, merry.Wrap(ErrListener, merry.AppendMessagef("%T", l))
	}
	socket, err := tcp.SyscallConn()
	if err != nil {
		return nil, merry.Wrap(ErrListener, merry.WithCause(err))
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Account == nil {
		opts.Account = connlimit.New(connlimit.Options{})
	}
	if opts.MaxHeadBytes == nil {
		opts.MaxHeadBytes = func() int { return DefaultMaxHeadBytes }
	}
	if opts.HeadTimeout == nil {
		opts.HeadTimeout = func() time.Duration { return opts.ReadTimeout }
	}
	return &Listener{
		Listener: l, tcp: tcp, socket: socket, opts: opts, conns: map[*Conn]struct{}{}, ended: make(chan struct{}),
		refusals: opts.Log.Sample(&zerolog.BurstSampler{Burst: 1, Period: refusalLogInterval}),
	}, nil
}

type connKey struct{}

// ServerOptions returns the options with which the HTTP library serves the listener.
//
// The library's default transport waits in system calls that the Go scheduler doesn't know to be
// waits, which delays everything else on an instance with one core.
func (l *Listener) ServerOptions() []config.Option {
	return []config.Option{
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	}
}

// Handle is the middleware that tells the connection when a request has been handled.
func (l *Listener) Handle(ctx context.Context, c *app.RequestContext) {
	conn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		c.Next(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !conn.beginRequest(l.requestID(c), cancel) {
		c.SetConnectionClose()
		c.Abort()
		return
	}
	defer func() {
		if !conn.endRequest(c.GetReader().Len() > 0) {
			c.SetConnectionClose()
		}
		if conn.lease.IsLarge() {
			// The library keeps the memory of a request for others.
			c.SetConnectionClose()
			c.Exile()
		}
		if l.draining.Load() && c.Response.GetHijackWriter() == nil {
			c.SetConnectionClose()
		}
	}()
	if l.draining.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}

func (l *Listener) requestID(c *app.RequestContext) string {
	if l.opts.RequestID == "" {
		return ""
	}
	return string(c.GetHeader(l.opts.RequestID))
}

// Watch ends the context of a request as soon as its caller leaves. The body must have been read.
func Watch(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.watch()
	}
}

// Abort cuts the connection of a request.
func Abort(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.abort()
	}
}

// Accept implements [net.Listener]. Once the listener has stopped, it returns after Close: the library
// serves no accepted connection any more after an error of Accept.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Store(true)
	conn, err := l.next()
	if err == nil {
		return conn, nil
	}
	l.accepting.Store(false)
	if l.stopping.Load() {
		<-l.ended
	}
	return nil, err
}

// next returns the next connection, after a pause if there is an error that passes.
func (l *Listener) next() (*Conn, error) {
	backoff := minAcceptBackoff
	for {
		accepted, err := l.accept()
		switch {
		case err == nil:
			conn, err := l.add(accepted)
			if err == nil {
				return conn, nil
			}
			_ = accepted.Close()
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
		case !passes(err):
			return nil, err
		default:
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// passes reports whether an error of accept passes by itself.
func passes(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// accept returns the next connection. Once the listener stops, it closes the listener after the last
// connection of the backlog.
func (l *Listener) accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// A process that stood still has a deadline that is over before Accept looks.
		if !hasWaiting(l.socket) {
			_ = l.Listener.Close()
			return nil, net.ErrClosed
		}
		if err := l.limitAccept(); err != nil {
			return nil, err
		}
	}
}

// limitAccept limits the time in which connections are still accepted.
func (l *Listener) limitAccept() error {
	return l.tcp.SetDeadline(time.Now().Add(handshakeTimeout))
}

var errTooManyConnections = merry.Sentinel("too many connections")

// add registers a connection.
func (l *Listener) add(accepted net.Conn) (*Conn, error) {
	conn, err := newConn(accepted, l)
	if err != nil {
		return nil, err
	}
	if conn.lease, err = l.opts.Account.Open(l.opts.Class, connlimit.LibraryConnBytes, conn.evict); err != nil {
		return nil, err
	}
	if err := l.register(conn); err != nil {
		conn.lease.Close()
		return nil, err
	}
	return conn, nil
}

func (l *Listener) register(conn *Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.isClosed():
		return net.ErrClosed
	case l.opts.MaxConnections > 0 && len(l.conns)-l.lingering >= l.opts.MaxConnections:
		return errTooManyConnections
	}
	l.conns[conn] = struct{}{}
	return nil
}

// beginLinger reports whether one more connection may wait for its caller. endLinger must follow.
func (l *Listener) beginLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.MaxConnections > 0 && l.lingering >= l.opts.MaxConnections {
		return false
	}
	l.lingering++
	return true
}

func (l *Listener) endLinger() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}

func (l *Listener) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Conn, 0, len(l.conns))
	for conn := range l.conns {
		out = append(out, conn)
	}
	return out
}

// Drain makes responses close their connections.
func (l *Listener) Drain() { l.draining.Store(true) }

// StopAccepting refuses connections from now on. Those that wait to be accepted are served. A connection
// that is made at the moment at which the listener closes is reset if its socket has multipath TCP, or
// outside of Linux.
func (l *Listener) StopAccepting() {
	if l.stopping.Swap(true) {
		return
	}
	// A connection that is made after the last look at the backlog would be reset.
	_ = refuseHandshakes(l.socket)
	_ = l.limitAccept()
}

// Busy returns the number of connections with a request that is awaited, read or answered.
func (l *Listener) Busy(now time.Time) int {
	n := 0
	for _, conn := range l.open() {
		if conn.isBusy(now) {
			n++
		}
	}
	return n
}

// CloseIdle closes the connections without a request, once there are no others, and returns the number
// of those that are still open. It counts the listener as one until it has stopped accepting.
func (l *Listener) CloseIdle(now time.Time) int {
	n := l.Busy(now)
	if l.accepting.Load() {
		n++
	}
	if n > 0 {
		return n
	}
	for _, conn := range l.open() {
		conn.closeIdle(now)
	}
	return len(l.open())
}

// Shutdown refuses connections, and closes the open ones once each request that was accepted has been answered, or
// when ctx ends.
func (l *Listener) Shutdown(ctx context.Context) {
	l.Drain()
	l.StopAccepting()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for l.CloseIdle(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	_ = l.Close()
}

// Close closes the listener and cuts the requests in progress. Callers of other connections that end still have
// closeTimeout to receive their responses.
func (l *Listener) Close() error {
	l.stopping.Store(true)
	err := l.Listener.Close()
	l.mu.Lock()
	l.closeOnce.Do(func() { close(l.ended) })
	l.mu.Unlock()
	for _, conn := range l.open() {
		if !conn.isEnding() {
			conn.abort()
		}
	}
	for until := time.Now().Add(closeTimeout); l.countLingering() > 0 && time.Now().Before(until); {
		time.Sleep(closePollInterval)
	}
	for _, conn := range l.open() {
		conn.abort()
	}
	return err
}

func (l *Listener) countLingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}
