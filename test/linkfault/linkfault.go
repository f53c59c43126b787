// Package linkfault injects faults into the connections that one instance opens to backend servers,
// while the connections of other instances to the same servers work. It is used by tests only.
//
// # Usage
//
//	links := linkfault.New()
//	go links.Follow(ctx, file)
//	err := ingressserve.Run(ctx, ingressserve.Options{Dial: links.Dial, ...})
//	...
//	linkfault.Set(file, linkfault.Hang) // in the test's process
package linkfault

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/test/faultproxy"
)

// Mode is the state of the links.
type Mode string

// The modes.
const (
	// Up links work.
	Up Mode = "up"
	// Hang drops everything: open connections go silent, and dials get no answer.
	Hang Mode = "hang"
	// Refuse refuses dials; open connections work.
	Refuse Mode = "refuse"
	// Reset resets open connections and refuses dials.
	Reset Mode = "reset"
)

// pollInterval is how often the file with the mode is read.
const pollInterval = 5 * time.Millisecond

// Links are the links of one instance. It is safe for concurrent use.
type Links struct {
	mu      sync.Mutex
	mode    Mode
	proxies map[string]*faultproxy.Proxy
}

// New returns links that are up.
func New() *Links { return &Links{mode: Up, proxies: map[string]*faultproxy.Proxy{}} }

// Set writes the mode into the file that [Links.Follow] reads.
func Set(file string, m Mode) error {
	if err := os.WriteFile(file+".new", []byte(m), 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// Follow applies the mode in a file until ctx ends.
func (l *Links) Follow(ctx context.Context, file string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if data, err := os.ReadFile(file); err == nil {
			l.SetMode(Mode(data))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// SetMode sets the mode.
func (l *Links) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == m {
		return
	}
	l.mode = m
	for _, p := range l.proxies {
		switch m {
		case Hang:
			p.SilenceOpenConnections()
		case Reset:
			p.ResetOpenConnections()
		}
	}
}

// Dial opens a connection to address, as the mode says. It implements [httpclient.DialFunc].
func (l *Links) Dial(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	proxy, err := l.proxy(address)
	l.mu.Unlock()
	switch {
	case mode == Hang:
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case mode != Up:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case err != nil:
		return nil, err
	}
	// A dial of the proxy succeeds even if the server is down.
	server, err := httpclient.DialTCP(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	_ = server.Close()
	return httpclient.DialTCP(ctx, proxy.Address(), timeout)
}

// proxy returns the proxy through which an address is reached.
func (l *Links) proxy(address string) (*faultproxy.Proxy, error) {
	if p, ok := l.proxies[address]; ok {
		return p, nil
	}
	p, err := faultproxy.Listen("127.0.0.1:0", address)
	if err == nil {
		l.proxies[address] = p
	}
	return p, err
}
