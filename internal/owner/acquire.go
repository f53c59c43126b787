package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// fullLoadPermille is the load reported for a server without free capacity.
const fullLoadPermille = 1000

// defaultRetryAfter is the Retry-After time without a better estimate: about the
// time until a load report arrives or a new owner may grant permits.
const defaultRetryAfter = time.Second

// firstReportTimeout is how long a new owner keeps requests waiting for the first
// load report instead of refusing them.
const firstReportTimeout = 2 * time.Second

// Acquire handles a permit request of a peer or of this instance's own router.
func (o *Owner) Acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	ctx, span := startSpan(ctx, req)
	defer span.End()
	return o.countAnswer(o.acquire(ctx, req))
}

func (o *Owner) acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	received := time.Now()
	snap := o.opts.Config()
	server, ok := snap.Servers[req.GetServer()]
	if !ok || !snap.AcceptsRequests(server) {
		return refusedResponse(permit.ReasonNoServer, defaultRetryAfter, fullLoadPermille)
	}
	if o.opts.Suspects.check(received, req.GetFingerprint()) == crashsuspect.Refused {
		return refusedResponse(permit.ReasonSuspect, o.opts.Suspects.retryAfter(received, req.GetFingerprint()), fullLoadPermille)
	}
	authority := o.authority(received, snap, server)
	if req.GetEpoch() != authority.Epoch || authority.Role == permit.RoleNone {
		return notOwnerResponse(authority)
	}
	if authority.Role == permit.RoleWaiting {
		return delayedResponse(ctx, o.waitLimit(req))
	}
	e := o.entry(snap, server)
	d, ok := o.decideOnFreshReport(ctx, snap, server, e, req)
	if !ok {
		return delayedResponse(ctx, o.waitLimit(req))
	}
	decision, grantingSince := d.decision, d.grantingSince
	if d.waiter != nil {
		decision = o.waitForDecision(ctx, e, req, d.waiter)
	}
	if ctx.Err() != nil {
		o.abandonRequest(e, req.GetId(), decision)
		return refusedResponse(permit.ReasonDeadline, defaultRetryAfter, fullLoadPermille)
	}
	if _, ok := decision.(admission.Unavailable); ok && received.Sub(grantingSince) < firstReportTimeout {
		return delayedResponse(ctx, o.waitLimit(req))
	}
	if o.permitExpired(received, decision) {
		return delayedResponse(ctx, o.waitLimit(req))
	}
	return o.response(received, authority, decision)
}

// permitExpired reports whether a permit granted to an earlier call with the same
// request ID has expired. It is then requested again, as the server isn't full.
func (o *Owner) permitExpired(received time.Time, decision admission.Decision) bool {
	g, ok := decision.(admission.Granted)
	return ok && o.validFor(received, g) <= 0
}

func (o *Owner) validFor(received time.Time, g admission.Granted) time.Duration {
	return min(o.opts.PermitLifetime, g.ExpiresAt.Sub(received))
}

// startSpan starts a span for the owner's part of a traced request, which may
// come from this process or another.
func startSpan(ctx context.Context, req *peerv1.AcquireRequest) (context.Context, trace.Span) {
	return trace.SpanFromContext(ctx).TracerProvider().Tracer("pollenspindle").Start(ctx, "owner.acquire",
		trace.WithAttributes(attribute.String("server", req.GetServer()), attribute.String("engine.request", req.GetId())))
}

// waitForDecision waits for a decision, at most as long as the request allows.
func (o *Owner) waitForDecision(ctx context.Context, e *entry, req *peerv1.AcquireRequest, waiter chan admission.Decision) admission.Decision {
	timer := time.NewTimer(o.waitLimit(req))
	defer timer.Stop()
	select {
	case d := <-waiter:
		return o.recordGrant(e, req, d)
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiters[req.GetId()] == waiter {
		delete(e.waiters, req.GetId())
	}
	select {
	case d := <-waiter:
		if g, ok := d.(admission.Granted); ok {
			e.holders[g.PermitID] = holderOf(req)
		}
		return d
	default:
		return admission.Queued{RequestID: req.GetId()}
	}
}

func (o *Owner) recordGrant(e *entry, req *peerv1.AcquireRequest, d admission.Decision) admission.Decision {
	if g, ok := d.(admission.Granted); ok {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.holders[g.PermitID] = holderOf(req)
	}
	return d
}

// abandonRequest cancels a request whose caller went away or whose connection broke,
// and releases its permit. An unused permit would occupy a slot of a cold server
// until it expires and a later load report shows that it isn't used.
func (o *Owner) abandonRequest(e *entry, id string, decision admission.Decision) {
	now := time.Now()
	o.withLock(e, func() {
		e.state.Abandon(id)
		if g, ok := decision.(admission.Granted); ok {
			delete(e.holders, g.PermitID)
			e.state.Release(now, g.PermitID, permit.Outcome{Ending: permit.EndingNotSent})
		}
		e.deliver(e.state.Tick(now))
	})
}

func (o *Owner) response(received time.Time, authority permit.Authority, decision admission.Decision) *peerv1.AcquireResponse {
	switch d := decision.(type) {
	case admission.Granted:
		return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
			PermitId:          d.PermitID,
			Epoch:             authority.Epoch,
			OwnerIncarnation:  o.opts.Incarnation,
			ServerIncarnation: d.ServerIncarnation,
			ValidMillis:       int32(o.validFor(received, d) / time.Millisecond),
			LoadPermille:      int32(d.LoadPermille),
		}}}
	case admission.Queued:
		return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Queued{Queued: &peerv1.Queued{Ahead: int32(d.Ahead)}}}
	case admission.Refused:
		return refusedResponse(d.Refusal.Reason, d.Refusal.RetryAfter, fullLoadPermille)
	case admission.Unavailable:
		return refusedResponse(permit.ReasonOverloaded, d.RetryAfter, d.LoadPermille)
	}
	return refusedResponse(permit.ReasonOverloaded, defaultRetryAfter, fullLoadPermille)
}

// delayedResponse responds while this instance can't grant permits yet. A request
// that may wait gets the response Queued after a delay and is then sent here again;
// any other is refused and goes elsewhere.
func delayedResponse(ctx context.Context, wait time.Duration) *peerv1.AcquireResponse {
	if wait == 0 {
		return refusedResponse(permit.ReasonOverloaded, defaultRetryAfter, fullLoadPermille)
	}
	timer := time.NewTimer(min(wait, notReadyWait))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Queued{Queued: &peerv1.Queued{}}}
}

// waitLimit returns how long a request may wait here. A permit's validity counts
// from the request, so one granted after half of it could hardly be used.
func (o *Owner) waitLimit(req *peerv1.AcquireRequest) time.Duration {
	return min(max(0, time.Duration(req.GetWaitMillis())*time.Millisecond), maxAcquireWait, o.opts.PermitLifetime/2)
}

func refusedResponse(reason permit.Reason, retryAfter time.Duration, loadPermille int) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Refused{Refused: &peerv1.Refused{
		Reason:           string(reason),
		RetryAfterMillis: int32(retryAfter / time.Millisecond),
		LoadPermille:     int32(loadPermille),
	}}}
}

func notOwnerResponse(authority permit.Authority) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_NotOwner{NotOwner: &peerv1.NotOwner{
		Epoch: authority.Epoch, Owner: authority.Owner,
	}}}
}

// Release handles the release of permits by the instances that hold them.
func (o *Owner) Release(released []*peerv1.Released) {
	o.opts.Costs.Meter(controlcost.RolePermits).Run(func() { o.release(released) })
}

func (o *Owner) release(released []*peerv1.Released) {
	now := time.Now()
	for _, r := range released {
		e := o.find(r.GetServer())
		if e == nil {
			continue
		}
		o.withLock(e, func() {
			if permit.Ending(r.GetEnding()) == permit.ConnectionBroken {
				e.polledAt, e.lastTroubleAt = time.Time{}, now
				e.state.MarkBroken(now, r.GetPermitId())
				return
			}
			if holder, ok := e.holders[r.GetPermitId()]; ok && r.GetEnding() == string(permit.EndingFinished) {
				o.opts.Suspects.recordFinished(now, holder.fingerprint)
			}
			delete(e.holders, r.GetPermitId())
			if wasLost(r) {
				// The server may have crashed. Polling it at once detects a
				// request that crashes servers before its caller has retried
				// it many times.
				e.polledAt, e.lastTroubleAt = time.Time{}, now
			}
			restart := e.state.Release(now, r.GetPermitId(), permit.Outcome{
				Ending:       permit.Ending(r.GetEnding()),
				OutputTokens: int(r.GetOutputTokens()),
				FirstToken:   time.Duration(r.GetFirstTokenMillis()) * time.Millisecond,
				Duration:     time.Duration(r.GetDurationMillis()) * time.Millisecond,
			})
			o.recordCrash(now, e, restart)
			e.deliver(e.state.Tick(now))
		})
	}
}
