// Package faultproxy is a TCP proxy that injects faults into the connections between two
// processes. It is used by tests only.
//
// # Usage
//
//	p, err := faultproxy.Listen("127.0.0.1:0", "127.0.0.1:8080")
//	defer p.Close()
//	p.SilenceOpenConnections() // existing connections stop relaying data, new ones work
package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode determines how the proxy treats new connections.
type Mode int

// The modes of a proxy.
const (
	// Pass relays both directions.
	Pass Mode = iota
	// Refuse closes new connections immediately and closes the existing ones.
	Refuse
	// Silent accepts new connections and relays no data.
	Silent
	// DropResponses relays requests and discards all response data.
	DropResponses
)

const (
	copyBufferSize      = 32 << 10
	listenRetryInterval = 50 * time.Millisecond
)

// Proxy relays TCP connections to one target.
type Proxy struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	mode     Mode
	delay    time.Duration
	open     map[*link]struct{}
	wg       sync.WaitGroup
}

// link is one relayed connection.
type link struct {
	down, up net.Conn

	mu               sync.Mutex
	silent           bool
	responsesDropped bool
}

// Listen starts a proxy at address that forwards to target. Both are host:port.
func Listen(address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, target: target, open: map[*link]struct{}{}}
	p.wg.Go(func() { p.accept(listener) })
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// SetMode sets the mode of new connections. Refuse and DropResponses also apply to the existing
// ones.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for l := range p.open {
		switch m {
		case Refuse:
			l.close()
		case DropResponses:
			l.dropResponses()
		}
	}
}

// SetDelay delays every chunk of data by d, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SilenceOpenConnections stops relaying data on the existing connections without closing them. New
// connections are not affected.
func (p *Proxy) SilenceOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.silence()
	}
}

// CloseOpenConnections closes the existing connections. New connections are not affected.
func (p *Proxy) CloseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.close()
	}
}

// ResetOpenConnections resets the existing connections. New connections are not affected.
func (p *Proxy) ResetOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.reset()
	}
}

// Down refuses new connections for d and resets the existing ones, as a server that has crashed does: once a
// connection is reset, no other one is accepted.
func (p *Proxy) Down(d time.Duration) {
	p.mu.Lock()
	_ = p.listener.Close()
	time.AfterFunc(d, p.listenAgain)
	p.mu.Unlock()
	p.ResetOpenConnections()
}

// listenAgain listens at the address of the proxy again, unless it is closed or listens.
func (p *Proxy) listenAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address)
	if err != nil {
		time.AfterFunc(listenRetryInterval, p.listenAgain)
		return
	}
	p.listener = listener
	p.wg.Go(func() { p.accept(listener) })
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.listener.Close()
	p.mu.Unlock()
	p.CloseOpenConnections()
	p.wg.Wait()
	return err
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.relay(conn) })
	}
}

func (p *Proxy) relay(down net.Conn) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == Refuse {
		down.Close()
		return
	}
	up, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		down.Close()
		return
	}
	l := &link{down: down, up: up, silent: mode == Silent, responsesDropped: mode == DropResponses}
	p.add(l)
	defer p.remove(l)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(l, up, down, false) })
	wg.Go(func() { p.copy(l, down, up, true) })
	wg.Wait()
}

func (p *Proxy) add(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[l] = struct{}{}
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, l)
}

// copy relays one direction until either end closes, and a reset as one. It keeps reading from a silent link so that
// the sender sees neither an error nor a full TCP window.
func (p *Proxy) copy(l *link, dst, src net.Conn, response bool) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && !l.shouldDrop(response) {
			p.applyDelay()
			if l.shouldDrop(response) {
				continue
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				l.close()
				return
			}
		}
		switch {
		case err == nil:
			continue
		case l.isSilent() && errors.Is(err, io.EOF):
			// The other side doesn't hear of the end either.
		case errors.Is(err, syscall.ECONNRESET):
			l.reset()
		default:
			l.close()
		}
		return
	}
}

func (p *Proxy) applyDelay() {
	p.mu.Lock()
	d := p.delay
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *link) dropResponses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesDropped = true
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) shouldDrop(response bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent || (response && l.responsesDropped)
}

func (l *link) reset() {
	for _, c := range []net.Conn{l.down, l.up} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	l.close()
}

func (l *link) close() {
	l.down.Close()
	l.up.Close()
}
