package httpclient

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// pooledConn is a connection with the time at which it became idle.
type pooledConn struct {
	network.Conn
	idleSince time.Time
}

// pool holds idle connections by address, the most recently used one last.
type pool struct {
	maxIdle     int
	idleTimeout time.Duration

	mu        sync.Mutex
	closed    bool
	conns     map[string][]*pooledConn
	lastSweep time.Time
}

func newPool(maxIdle int, idleTimeout time.Duration) *pool {
	return &pool{maxIdle: maxIdle, idleTimeout: idleTimeout, conns: map[string][]*pooledConn{}}
}

func (p *pool) take(address string, now time.Time) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	conns := p.conns[address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.conns[address] = conns
		if now.Sub(conn.idleSince) < p.idleTimeout {
			return conn
		}
		conn.Close()
	}
	return nil
}

func (p *pool) put(address string, conn *pooledConn) {
	// Bytes after the response belong to no request of this client.
	if conn.Len() > 0 {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns[address]) >= p.maxIdle {
		conn.Close()
		return
	}
	p.conns[address] = append(p.conns[address], conn)
	p.sweep(conn.idleSince)
}

// sweep closes connections that have been idle for too long, including those to addresses that
// aren't used any more. It runs within other calls and needs no goroutine.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < p.idleTimeout {
		return
	}
	p.lastSweep = now
	for address, conns := range p.conns {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Sub(conn.idleSince) < p.idleTimeout {
				kept = append(kept, conn)
			} else {
				conn.Close()
			}
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.conns, address)
		} else {
			p.conns[address] = kept
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conns := range p.conns {
		for _, conn := range conns {
			conn.Close()
		}
		delete(p.conns, address)
	}
}
