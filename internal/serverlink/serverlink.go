// Package serverlink decides how an instance connects to a backend server: over its own link or
// through another instance, from what its earlier dials say about its own links. It holds no sockets;
// the present time is an argument.
//
// A dial that fails has two possible causes: the server is down, or this instance's link to it is.
// Only a dial through another instance tells which. If it succeeds, further connections to that server
// go through other instances, and the own link is tried again from time to time. If the links to all
// servers fail, that holds for servers that weren't dialed yet, too.
//
// # Usage
//
//	links := serverlink.NewLinks()
//	switch route := links.Route(now, "10.0.0.7:8000").(type) {
//	case serverlink.DirectFirst: ...
//	case serverlink.RelayedFirst: ...
//	case serverlink.DirectOnly: ...
//	}
//	change := links.RecordDirect(now, "10.0.0.7:8000", err == nil)
//	links.RecordRelayed(now, "10.0.0.7:8000", err == nil)
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
	lostAfter        = time.Second
	// probeInterval is the minimum time between two dials over a link that is down.
	probeInterval = 500 * time.Millisecond
	// serverDownTime is how long a server counts as down that neither this instance nor others have
	// reached.
	serverDownTime = time.Second
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

// Route is how to connect to a server: [DirectFirst], [RelayedFirst] or [DirectOnly].
type Route interface{ route() }

// DirectFirst means that the own link works as far as is known; other instances are asked only if it
// doesn't connect at once.
type DirectFirst struct{}

// RelayedFirst means that the own link is down.
type RelayedFirst struct {
	// Probe says that the own link is to be tried at the same time.
	Probe bool
	// OwnLinkLast says that the own link is to be tried if no other instance connects. If all links are
	// lost, that would only delay the caller's refusal.
	OwnLinkLast bool
}

// DirectOnly means that the server is down: other instances didn't reach it either.
type DirectOnly struct{}

func (DirectFirst) route()  {}
func (RelayedFirst) route() {}
func (DirectOnly) route()   {}

// link is what the dials of one address say.
type link struct {
	dialedAt time.Time
	// failing is set if the last dial over the own link has failed, probedAt is when it was last tried
	// since.
	failing  bool
	probedAt time.Time
	// unreachableUntil is set if other instances didn't reach the server.
	unreachableUntil time.Time
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

// Route returns how to connect to a server now.
func (l *Links) Route(now time.Time, address string) Route {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.link(now, address)
	switch {
	case !st.failing && !l.lost:
		return DirectFirst{}
	case !l.lost && now.Before(st.unreachableUntil):
		return DirectOnly{}
	}
	// While all links count as lost, one that hasn't failed itself shows first that they aren't.
	probe := !st.failing || now.Sub(st.probedAt) >= probeInterval
	if probe {
		st.probedAt = now
	}
	return RelayedFirst{Probe: probe, OwnLinkLast: !l.lost}
}

// Failing reports whether the own link to a server has failed a moment ago.
func (l *Links) Failing(now time.Time, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st, ok := l.links[address]
	return ok && st.failing && now.Sub(st.probedAt) < probeInterval
}

// RecordRelayed records whether other instances have reached a server whose own link is down.
func (l *Links) RecordRelayed(now time.Time, address string, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.link(now, address)
	st.unreachableUntil = time.Time{}
	if !connected {
		st.unreachableUntil = now.Add(serverDownTime)
	}
}

// RecordDirect records the outcome of a dial over the own link.
func (l *Links) RecordDirect(now time.Time, address string, connected bool) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.link(now, address)
	st.failing = !connected
	if connected {
		st.unreachableUntil = time.Time{}
		return l.recordConnection(now)
	}
	st.probedAt = now
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
	// Links that fail together are mostly restored together.
	for _, st := range l.links {
		st.failing = false
	}
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
