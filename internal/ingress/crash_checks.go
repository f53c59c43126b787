package ingress

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// crashCheckTimeout limits the connection that distinguishes a crashed server from one that
	// aborted a response.
	crashCheckTimeout = 300 * time.Millisecond
	// crashRecheckDelay is the time until a server that still accepts connections is checked once more:
	// one that crashes closes its connections and its listener one after the other.
	crashRecheckDelay = 100 * time.Millisecond
	// crashMemory is how long the result of a check holds for other requests that lose their connection to
	// the same incarnation.
	crashMemory = time.Second
	// maxCrashChecks limits the servers that are checked at a time, maxLostRequests the requests that wait
	// for the check of one server.
	maxCrashChecks  = 64
	maxLostRequests = 128
	// maxAwaitingRestart limits the servers that accept connections and may have restarted.
	maxAwaitingRestart = 256
)

// restartChecks are the times after a loss at which the platform may have listed a new incarnation. The last
// one is for servers that fall silent before they end.
var restartChecks = []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// lostRequest is a request whose connection to a server was lost. progress is how far its run there had got;
// trial is the part that was tried, 0 for none. answered says that the server had sent a head, a malformed one.
type lostRequest struct {
	*request
	at       time.Time
	progress crashsuspect.Progress
	trial    uint64
	answered bool
}

// crashCheck is the check of one incarnation of a server. first is closed when it has been checked once.
type crashCheck struct {
	server  platformstate.Server
	first   chan struct{}
	once    sync.Once
	lost    []*lostRequest
	crashed bool
}

// crashChecks finds out which servers have crashed that requests lost their connections to: one check for
// each incarnation, whatever the number of its requests. It is safe for concurrent use.
type crashChecks struct {
	s       *Server
	workers *ants.Pool

	// awaiting is the number of servers that may be listed as a new incarnation.
	awaiting atomic.Int64

	mu     sync.Mutex
	checks map[string]*crashCheck
}

func newCrashChecks(s *Server) (*crashChecks, error) {
	workers, err := ants.NewPool(maxCrashChecks, ants.WithNonblocking(true))
	return &crashChecks{s: s, workers: workers, checks: map[string]*crashCheck{}}, err
}

// reportLost checks whether the server of a request has crashed whose connection was lost. The result is
// closed when the server has been checked for the first time.
func (c *crashChecks) reportLost(server platformstate.Server, lost *lostRequest) <-chan struct{} {
	name := crashName(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	check, ok := c.checks[name]
	switch {
	case ok && check.crashed:
		c.record(check.server, lost)
		return check.first
	case ok && len(check.lost) < maxLostRequests:
		check.lost = append(check.lost, lost)
		return check.first
	case ok:
		c.drop(server, "too many requests lost their connection")
		return check.first
	}
	check = &crashCheck{server: server, first: make(chan struct{}), lost: []*lostRequest{lost}}
	c.checks[name] = check
	if c.workers.Submit(func() { c.check(check, 0) }) != nil {
		c.drop(server, "too many servers are being checked")
		delete(c.checks, name)
		check.endFirst()
	}
	return check.first
}

// accepts reports whether a server still accepts connections a moment after it has ended one.
func (c *crashChecks) accepts(server platformstate.Server) bool {
	time.Sleep(crashRecheckDelay)
	conn, err := c.s.opts.Dial(context.Background(), server.Address, crashCheckTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *crashCheck) endFirst() { c.once.Do(func() { close(c.first) }) }

func (c *crashChecks) drop(server platformstate.Server, reason string) {
	c.s.opts.Scope.Counter("crash_checks_dropped").Inc(1)
	c.s.log.Warn().Str("server", server.ID).Str("reason", reason).Msg("lost connection not checked for a crash")
}

// check dials a server, again after crashRecheckDelay if it accepts the connection. One that accepts both
// has crashed if it is listed as a new incarnation later.
func (c *crashChecks) check(check *crashCheck, attempt int) {
	defer check.endFirst()
	if known, ok := c.s.opts.State.Server(check.server.ID); ok && known.Leaving {
		c.forget(check)
		return
	}
	conn, err := c.s.opts.Dial(context.Background(), check.server.Address, crashCheckTimeout)
	switch {
	case err != nil && c.s.opts.LinksLost():
		c.forget(check)
	case err != nil:
		c.recordCrashed(check, err.Error())
	default:
		_ = conn.Close()
		if attempt > 0 {
			// Requests that are lost from now on need a check of their own.
			c.forget(check)
			// A server that sends malformed answers and runs on may be replaced because of them.
			check.lost = slices.DeleteFunc(check.lost, func(lost *lostRequest) bool { return lost.answered })
			if len(check.lost) > 0 {
				c.awaitRestart(check, 0)
			}
			return
		}
		time.AfterFunc(crashRecheckDelay, func() {
			if c.workers.Submit(func() { c.check(check, attempt+1) }) != nil {
				c.drop(check.server, "too many servers are being checked")
				c.forget(check)
			}
		})
	}
}

// awaitRestart checks at some times whether the server is listed as a new incarnation.
func (c *crashChecks) awaitRestart(check *crashCheck, n int) {
	switch {
	case n == len(restartChecks):
		c.awaiting.Add(-1)
		return
	case n == 0 && c.awaiting.Add(1) > maxAwaitingRestart:
		c.awaiting.Add(-1)
		c.drop(check.server, "too many servers may have restarted")
		return
	}
	delay := restartChecks[n]
	if n > 0 {
		delay -= restartChecks[n-1]
	}
	time.AfterFunc(delay, func() {
		known, ok := c.s.opts.State.Server(check.server.ID)
		switch {
		case ok && known.Leaving:
			c.awaiting.Add(-1)
		case ok && known.StartedAtMillis > check.server.StartedAtMillis:
			c.awaiting.Add(-1)
			c.recordCrashed(check, "listed as a new incarnation")
		default:
			c.awaitRestart(check, n+1)
		}
	})
}

// recordCrashed records the crash for all requests that lost their connection.
func (c *crashChecks) recordCrashed(check *crashCheck, evidence string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check.crashed = true
	for _, lost := range check.lost {
		c.s.log.Info().Str("request", lost.id).Str("server", check.server.ID).Int("events", lost.progress.Events).Dur("running", lost.progress.Running).Int("parts", len(lost.parts)).
			Str("evidence", evidence).Msg("server crashed while running a request")
		c.record(check.server, lost)
	}
	check.lost = nil
	time.AfterFunc(crashMemory, func() { c.forget(check) })
}

// record records the crash of a server for a request; c.mu must be held. The last part of a prompt counts once
// for each request: that one request loses several servers shows nothing of others with that part.
func (c *crashChecks) record(server platformstate.Server, lost *lostRequest) {
	c.s.opts.Suspects.recordCrash(lost.at, server, lost.fingerprint)
	parts := lost.parts
	if lost.lastPartCounted && lost.trial != parts[len(parts)-1] {
		parts = parts[:len(parts)-1]
	}
	lost.lastPartCounted = len(lost.parts) > 0
	c.s.opts.Suspects.recordPartsCrash(lost.at, server, parts, lost.trial, lost.progress)
}

func (c *crashChecks) forget(check *crashCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if name := crashName(check.server); c.checks[name] == check {
		delete(c.checks, name)
	}
}
