package router

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
)

const (
	// releaseCapacity is the size of the channel to [Router.Run]. At 1,000
	// requests a second over the fleet an instance has a few releases a second;
	// the capacity is for the burst of releases when an engine crashes.
	releaseCapacity = 4096
	// flushInterval is how long releases are batched. It delays freeing a slot by a
	// fraction of a token interval, and sends many releases in one message.
	flushInterval = 10 * time.Millisecond
	// maxBatchSize is the maximum number of releases in one message.
	maxBatchSize = 256
	// releaseTimeout limits one call, releaseMaxAge the total time of retries.
	// By then the owner has been replaced, or has freed the slot because the
	// server's load reports no longer show the request.
	releaseTimeout = 500 * time.Millisecond
	releaseMaxAge  = 30 * time.Second
	// releaseRetryDelay is the delay before failed releases are sent again.
	releaseRetryDelay = 200 * time.Millisecond
	// settleTimeout limits how long a lost request waits until all instances know of its crash.
	// An instance that answers nothing for longer loses its right to grant permits soon.
	settleTimeout = time.Second
	// settleSlack is added to it for the call's timeout.
	settleSlack = 200 * time.Millisecond
	// maxPending is the maximum number of pending releases for one owner.
	maxPending = 4096
)

// release is a permit to be returned to its owner.
type release struct {
	owner    string
	released *peerv1.Released
	at       time.Time
	// urgent releases are sent without batching: until the owner gets them, it
	// grants permits for a server that may have restarted.
	urgent bool
}

// Release implements [permit.Acquirer]. It never blocks. When the channel is full
// the release is dropped and counted: the owner frees the slot when the server's
// load report no longer shows the request.
func (r *Router) Release(p permit.Permit, o permit.Outcome) {
	if o.Pause > 0 {
		r.recordPause(time.Now(), p.Server, o.Pause)
	}
	r.enqueueRelease(newRelease(p, o))
}

func newRelease(p permit.Permit, o permit.Outcome) release {
	return release{owner: p.Owner, at: time.Now(), urgent: o.Ending == permit.EndingLost || o.Ending == permit.EndingCrashed, released: &peerv1.Released{
		Server:           p.Server,
		PermitId:         p.ID,
		Ending:           string(o.Ending),
		OutputTokens:     int32(o.OutputTokens),
		FirstTokenMillis: int32(o.FirstToken / time.Millisecond),
		DurationMillis:   int32(o.Duration / time.Millisecond),
	}}
}

// ReleaseLost implements [permit.Acquirer]. If the owner doesn't answer, the release is sent again
// by [Router.Run].
func (r *Router) ReleaseLost(ctx context.Context, p permit.Permit, o permit.Outcome) {
	rel := newRelease(p, o)
	req := &peerv1.ReleaseRequest{Released: []*peerv1.Released{rel.released}, SettleMillis: int32(settleTimeout / time.Millisecond)}
	if p.Owner == r.opts.Self.ID {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		r.opts.Local.Release(req.GetReleased())
		r.opts.Local.SettleLosses(ctx, req.GetReleased())
		return
	}
	to, ok := r.opts.Members.Roster().Find(p.Owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout+settleSlack)
	defer cancel()
	if _, err := r.opts.Peers.Client(to.PeerAddress).Release(ctx, req); err != nil {
		r.enqueueRelease(rel)
	}
}

// enqueueRelease passes a release to the owner in this process, or queues it for
// [Router.Run].
func (r *Router) enqueueRelease(rel release) {
	if rel.owner == r.opts.Self.ID {
		r.opts.Local.Release([]*peerv1.Released{rel.released})
		return
	}
	select {
	case r.releases <- rel:
	default:
		r.opts.Metrics.Counter("releases_dropped").Inc(1)
	}
}

// Run sends releases to their owners until ctx is done, and then flushes the
// pending ones.
func (r *Router) Run(ctx context.Context) {
	pending := map[string][]release{}
	results := make(chan batch, releaseCapacity/maxBatchSize)
	inFlight := map[string]bool{}
	// The timer runs only while releases are pending: a ticker of this period
	// would be most of the CPU use of an idle instance.
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	armed := true
	for {
		if !armed && len(pending) > 0 {
			timer.Reset(flushInterval)
			armed = true
		}
		select {
		case rel := <-r.releases:
			if len(pending[rel.owner]) < maxPending {
				pending[rel.owner] = append(pending[rel.owner], rel)
			} else {
				r.opts.Metrics.Counter("releases_dropped").Inc(1)
			}
			if rel.urgent {
				r.flush(ctx, pending, inFlight, results)
			}
		case b := <-results:
			delete(inFlight, b.owner)
			if b.failed {
				pending[b.owner] = append(filterUnexpired(time.Now(), b.releases), pending[b.owner]...)
			}
		case <-timer.C:
			armed = false
			r.flush(ctx, pending, inFlight, results)
		case <-ctx.Done():
			for owner, list := range pending {
				r.deliver(context.WithoutCancel(ctx), batch{owner: owner, releases: list})
			}
			return
		}
	}
}

// batch holds the releases of one message.
type batch struct {
	owner    string
	releases []release
	failed   bool
}

// flush sends one message to each owner that has none in flight.
func (r *Router) flush(ctx context.Context, pending map[string][]release, inFlight map[string]bool, results chan<- batch) {
	for owner, list := range pending {
		if inFlight[owner] {
			continue
		}
		n := min(len(list), maxBatchSize)
		b := batch{owner: owner, releases: list[:n:n]}
		if pending[owner] = list[n:]; len(pending[owner]) == 0 {
			delete(pending, owner)
		}
		inFlight[owner] = true
		go func() {
			b.failed = !r.deliver(ctx, b)
			if b.failed {
				sleep(ctx, releaseRetryDelay)
			}
			select {
			case results <- b:
			case <-ctx.Done():
			}
		}()
	}
}

// deliver sends one batch. An owner that left the roster needs no releases: the
// next owner starts from the server's load report.
func (r *Router) deliver(ctx context.Context, b batch) bool {
	to, ok := r.opts.Members.Roster().Find(b.owner)
	if !ok {
		return true
	}
	req := &peerv1.ReleaseRequest{}
	for _, rel := range b.releases {
		req.Released = append(req.Released, rel.released)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := r.opts.Peers.Client(to.PeerAddress).Release(ctx, req)
	return err == nil
}

func filterUnexpired(now time.Time, list []release) []release {
	var unexpired []release
	for _, rel := range list {
		if now.Sub(rel.at) < releaseMaxAge {
			unexpired = append(unexpired, rel)
		}
	}
	return unexpired
}
