// Package router finds a backend server for each request: it requests a permit
// from the owners of a few candidates, in this process or on another instance,
// and releases permits.
//
// # Usage
//
//	r := router.New(router.Options{Self: self, Members: member, Local: owner, Peers: pool, Config: store.Snapshot})
//	go r.Run(ctx)
//	p, err := r.Acquire(ctx, time.Now(), req)
//	defer r.Release(p, outcome)
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// immediateCandidates is how many candidates are tried without queueing before
	// the request queues at the least loaded. Two choices give most of the benefit
	// of more, for one or two small messages a request.
	immediateCandidates = 2
	// acquireTimeout limits a call that doesn't queue; the deputy is tried after
	// it. It is tens of times the latency between regions.
	acquireTimeout = 400 * time.Millisecond
	// maxQueueWait is how long one call waits in a queue at most, or half a permit's
	// lifetime if that is less: the lifetime starts with the call.
	// queueWaitSlack is added to it for the call's timeout.
	maxQueueWait   = time.Second
	queueWaitSlack = 400 * time.Millisecond
	// ownerBackoff is how long an owner that didn't answer is skipped in favour of
	// the deputy. Without it each request would first wait for the timeout.
	ownerBackoff = time.Second
	// retryDelay is the delay before candidates are tried again when none had a
	// free slot or a queue.
	retryDelay = 200 * time.Millisecond
	// defaultRetryAfter is the Retry-After for callers when no owner gave a better value.
	defaultRetryAfter = time.Second
)

// Members gives access to the other instances; *member.Member implements it.
type Members interface {
	Roster() *roster.Roster
	NewWorkAllowed(now time.Time) bool
	AwaitResume(ctx context.Context)
	CatchUp(ctx context.Context, address string) bool
}

// Local is the owner in this process.
type Local interface {
	Acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse
	Release(released []*peerv1.Released)
	SettleLosses(ctx context.Context, released []*peerv1.Released)
}

// Options configures a [Router].
type Options struct {
	Self    roster.Instance
	Members Members
	Local   Local
	Peers   *peer.Pool
	Config  func() *config.Snapshot
	Policy  Policy
	// PermitLifetime is how long a permit may be used.
	PermitLifetime time.Duration
	Log            zerolog.Logger
	Metrics        tally.Scope
	Seed           uint64
}

// Router implements [permit.Acquirer]. It is safe for concurrent use.
type Router struct {
	opts     Options
	rings    atomic.Pointer[rings]
	releases chan release
	// pauses holds until when backend servers want no request from this instance.
	pauses *pushback.Pauses
	// roundRobin counts requests for the RoundRobin and LeastRequests policies.
	roundRobin atomic.Uint64

	mu    sync.Mutex
	rng   *rand.Rand
	views placement.Views
	down  map[string]time.Time
	// broken holds when a connection to a server last broke, by server name.
	broken map[string]time.Time
}

var _ permit.Acquirer = (*Router)(nil)

// New returns a router. Releases to other instances are sent by [Router.Run].
func New(opts Options) *Router {
	return &Router{
		opts:     opts,
		releases: make(chan release, releaseCapacity),
		pauses:   pushback.NewPauses(),
		rng:      rand.New(rand.NewPCG(opts.Seed, 2)),
		views:    placement.Views{},
		down:     map[string]time.Time{},
		broken:   map[string]time.Time{},
	}
}

// Acquire implements [permit.Acquirer].
func (r *Router) Acquire(ctx context.Context, now time.Time, req permit.Request) (permit.Permit, error) {
	if !r.opts.Members.NewWorkAllowed(now) {
		// The process may have been paused while the request waited or used an earlier permit.
		r.opts.Members.AwaitResume(ctx)
	}
	if !r.opts.Members.NewWorkAllowed(time.Now()) {
		return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonNotConfirmed, RetryAfter: defaultRetryAfter}
	}
	for {
		now = time.Now()
		candidates, err := r.candidates(now, &req)
		if err != nil {
			return permit.Permit{}, err
		}
		if len(candidates) == 0 {
			// No server may take the request, or each has refused or lost it already.
			// Waiting changes neither, so the caller is refused immediately.
			return permit.Permit{}, r.noCandidates(now, &req)
		}
		p, refusal := r.acquireFrom(ctx, candidates, &req)
		if refusal == nil {
			return p, nil
		}
		if isFinal(refusal.Reason) || !time.Now().Add(retryDelay).Before(req.Deadline) {
			return permit.Permit{}, refusal
		}
		if !sleep(ctx, retryDelay) {
			return permit.Permit{}, ctx.Err()
		}
	}
}

// isFinal reports whether a retry before the deadline is pointless. It isn't when
// an owner is unreachable or a server has no owner yet: rosters change within
// seconds.
func isFinal(reason permit.Reason) bool {
	return reason != permit.ReasonOwnerNotFound && reason != permit.ReasonNoServer
}

// acquireFrom tries the first candidates without queueing, and then queues the
// request at the least loaded of them.
func (r *Router) acquireFrom(ctx context.Context, candidates []*pollenspindle.Server, req *permit.Request) (permit.Permit, *permit.Refusal) {
	refusal := &permit.Refusal{Reason: permit.ReasonNoServer, RetryAfter: defaultRetryAfter}
	var best *pollenspindle.Server
	bestLoad := 0
	tried := 0
	for _, server := range candidates {
		if tried == immediateCandidates && best != nil {
			break
		}
		tried++
		switch a := r.requestPermit(ctx, server, req, 0).(type) {
		case granted:
			return a.permit, nil
		case refused:
			if isFinal(a.refusal.Reason) && a.refusal.Reason != permit.ReasonOverloaded {
				return permit.Permit{}, &a.refusal
			}
			if a.refusal.Reason == permit.ReasonOverloaded && (best == nil || a.load < bestLoad) {
				best, bestLoad = server, a.load
			}
			refusal = &a.refusal
		case unreachable:
			refusal = &permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: defaultRetryAfter}
		case queued:
			best = server
		}
	}
	if best == nil {
		return permit.Permit{}, refusal
	}
	return r.waitInQueue(ctx, best, req)
}

// waitInQueue waits in the queue of server until the request's deadline, in repeated
// calls of limited duration, so that the queue entry of a crashed instance expires
// soon. Between two calls it tries one other candidate: a request would otherwise
// wait for long generations to end while another server is idle. The owner drops
// the abandoned queue entry.
func (r *Router) waitInQueue(ctx context.Context, server *pollenspindle.Server, req *permit.Request) (permit.Permit, *permit.Refusal) {
	journal.FromContext(ctx).Add(journal.Step{At: time.Now(), Kind: journal.Enqueued, Server: server.Name})
	for {
		remaining := time.Until(req.Deadline)
		if remaining <= 0 {
			return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonDeadline, RetryAfter: defaultRetryAfter}
		}
		if ctx.Err() != nil {
			return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonDeadline, RetryAfter: defaultRetryAfter}
		}
		switch a := r.requestPermit(ctx, server, req, min(remaining, maxQueueWait, r.opts.PermitLifetime/2)).(type) {
		case granted:
			if a.permit.Valid(time.Now()) {
				return a.permit, nil
			}
			// The answer came too late to use the permit.
			r.Release(a.permit, permit.Outcome{Ending: permit.EndingNotSent})
		case refused:
			return permit.Permit{}, &a.refusal
		case unreachable:
			return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: defaultRetryAfter}
		case queued:
			if a, ok := r.tryOtherServer(ctx, server, req); ok {
				return a.permit, nil
			}
		}
		snap := r.opts.Config()
		if server := snap.Servers[server.Name]; server == nil || !r.accepts(time.Now(), snap)(server) {
			return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonNoServer, RetryAfter: defaultRetryAfter}
		}
	}
}

// tryOtherServer tries the best candidate other than server without queueing.
// Candidates are drawn anew, so that every server is tried eventually.
func (r *Router) tryOtherServer(ctx context.Context, server *pollenspindle.Server, req *permit.Request) (granted, bool) {
	candidates, err := r.candidates(time.Now(), req)
	if err != nil {
		return granted{}, false
	}
	for _, other := range candidates {
		if other.Name != server.Name {
			a, ok := r.requestPermit(ctx, other, req, 0).(granted)
			return a, ok
		}
	}
	return granted{}, false
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
