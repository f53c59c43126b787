// Package serverlink decides how an instance connects to a backend server, from what its earlier
// dials say about its own links. It holds no sockets; the present time is an argument.
//
// A dial that fails has two possible causes: the server is down, or this instance's link to it is.
// If the links to all servers are down, every dial fails until its timeout although other instances
// reach the same servers.
//
// # Usage
//
//	links := serverlink.NewLinks()
//	change := links.RecordDirect(now, "10.0.0.7:8000", err == nil)
//	if change == serverlink.Lost { ... }
package serverlink

import (
	"maps"
	"sync"
	"time"
)

const (
	// minFailedServers is the number of servers whose dial must have failed, without a connection to
	// any server for lostAfter, before all links count as lost: one server may have crashed, and the
	// links to one service may be down while others work.
	minFailedServers = 2
	lostAfter        = 500 * time.Millisecond
	// linkTTL is how long the state of a link is kept that isn't dialed.
	linkTTL = time.Minute
)

// Change is the change of all links together that a dial has shown.
type Change int

// The changes.
const (
	// Unchanged means that the dial shows nothing new.
	Unchanged Change = iota
	// Lost means that dials of several servers have failed and none has succeeded meanwhile.
	Lost
	// Restored means that a dial has succeeded after the links were lost.
	Restored
)

// link is what the dials of one address say.
type link struct {
	dialedAt time.Time
	// failing is set if the last dial over the own link has failed.
	failing bool
}

// Links holds what an instance knows of its links to backend servers, by their addresses. It is safe
// for concurrent use.
type Links struct {
	mu      sync.Mutex
	links   map[string]*link
	sweptAt time.Time
	// failedServers are the addresses whose dial has failed since a connection was last opened.
	failedServers map[string]bool
	connectedAt   time.Time
	lost          bool
}

// NewLinks returns links of which nothing is known: they count as up.
func NewLinks() *Links {
	return &Links{links: map[string]*link{}, failedServers: map[string]bool{}}
}

// Status is the state of all links together.
type Status struct {
	// Lost says that no link works as far as is known.
	Lost bool
	// FailedServers is the number of servers whose dial has failed since ConnectedAt, the time at which
	// a connection was last opened; zero for never.
	FailedServers int
	ConnectedAt   time.Time
}

// Status returns the state of all links together.
func (l *Links) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{Lost: l.lost, FailedServers: len(l.failedServers), ConnectedAt: l.connectedAt}
}

// RecordDirect records the outcome of a dial over the own link.
func (l *Links) RecordDirect(now time.Time, address string, connected bool) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.link(now, address)
	st.failing = !connected
	if connected {
		return l.recordConnection(now)
	}
	l.failedServers[address] = true
	if l.lost || len(l.failedServers) < minFailedServers || now.Sub(l.connectedAt) < lostAfter {
		return Unchanged
	}
	l.lost = true
	return Lost
}

func (l *Links) recordConnection(now time.Time) Change {
	clear(l.failedServers)
	l.connectedAt = now
	if !l.lost {
		return Unchanged
	}
	l.lost = false
	return Restored
}

// link returns the state of a link that is dialed now.
func (l *Links) link(now time.Time, address string) *link {
	l.sweep(now)
	st, ok := l.links[address]
	if !ok {
		st = &link{}
		l.links[address] = st
	}
	st.dialedAt = now
	return st
}

// sweep removes links that weren't dialed for long: addresses of servers change all the time.
func (l *Links) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < linkTTL {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.links, func(_ string, st *link) bool { return now.Sub(st.dialedAt) > linkTTL })
}
