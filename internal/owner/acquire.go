package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

// fullPermille is the load that is told of a server with no place.
const fullPermille = 1000

// retryNotReady is told to callers when nothing better is known: about the
// time in which a load report or a new owner's right arrives.
const retryNotReady = time.Second

// firstReport is how long after its right began an owner keeps asks waiting for
// the first load report, in place of sending them away.
const firstReport = 2 * time.Second

// Acquire answers an ask of a peer or of this instance's own router.
func (o *Owner) Acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	ctx, span := startSpan(ctx, req)
	defer span.End()
	return o.countAnswer(o.acquire(ctx, req))
}

func (o *Owner) acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	received := time.Now()
	snap := o.opts.Config()
	server, ok := snap.Servers[req.GetServer()]
	if !ok || !snap.TakesNewWork(server) {
		return refused(permit.ReasonNoServer, retryNotReady, fullPermille)
	}
	if o.opts.Suspects.check(received, req.GetFingerprint()) == suspect.Refused {
		return refused(permit.ReasonSuspect, o.opts.Suspects.retryAfter(received, req.GetFingerprint()), fullPermille)
	}
	right := o.right(received, snap, server)
	if req.GetEpoch() != right.Epoch || right.Role == permit.RoleNone {
		return notOwner(right)
	}
	if right.Role == permit.RoleWaiting {
		return hold(ctx, o.waitOf(req))
	}
	e := o.entry(snap, server)
	d, ok := o.decideFresh(ctx, snap, server, e, req)
	if !ok {
		return hold(ctx, o.waitOf(req))
	}
	decision, opened := d.decision, d.opened
	if d.waiter != nil {
		decision = o.await(ctx, e, req, d.waiter)
	}
	if ctx.Err() != nil {
		o.gone(e, req.GetId(), decision)
		return refused(permit.ReasonDeadline, retryNotReady, fullPermille)
	}
	if _, ok := decision.(admission.Unavailable); ok && received.Sub(opened) < firstReport {
		return hold(ctx, o.waitOf(req))
	}
	if o.ranOut(received, decision) {
		return hold(ctx, o.waitOf(req))
	}
	return o.answer(received, right, decision)
}

// ranOut reports whether a permit of an earlier ask has run out before this answer:
// the asker is to ask again, as nobody is too busy for it.
func (o *Owner) ranOut(received time.Time, decision admission.Decision) bool {
	g, ok := decision.(admission.Granted)
	return ok && o.validFor(received, g) <= 0
}

func (o *Owner) validFor(received time.Time, g admission.Granted) time.Duration {
	return min(o.opts.PermitFor, g.ExpiresAt.Sub(received))
}

// startSpan makes a span for the owner's part of a request that is traced; its
// asker may be in this process or another.
func startSpan(ctx context.Context, req *peerv1.AcquireRequest) (context.Context, trace.Span) {
	return trace.SpanFromContext(ctx).TracerProvider().Tracer("pollenspindle").Start(ctx, "owner.acquire",
		trace.WithAttributes(attribute.String("server", req.GetServer()), attribute.String("engine.request", req.GetId())))
}

// await waits for a decision, at most for the slice that the asker gave.
func (o *Owner) await(ctx context.Context, e *entry, req *peerv1.AcquireRequest, waiter chan admission.Decision) admission.Decision {
	timer := time.NewTimer(o.waitOf(req))
	defer timer.Stop()
	select {
	case d := <-waiter:
		return o.taken(e, req, d)
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
			e.given[g.PermitID] = givenTo(req)
		}
		return d
	default:
		return admission.Queued{RequestID: req.GetId()}
	}
}

func (o *Owner) taken(e *entry, req *peerv1.AcquireRequest, d admission.Decision) admission.Decision {
	if g, ok := d.(admission.Granted); ok {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.given[g.PermitID] = givenTo(req)
	}
	return d
}

// gone gives back what was given to an asker that no longer listens: its
// caller went away, or its connection broke. A permit that nobody uses would
// hold a place of a cold server until it ends and a later report shows it.
func (o *Owner) gone(e *entry, id string, decision admission.Decision) {
	now := time.Now()
	o.with(e, func() {
		e.state.Abandon(id)
		if g, ok := decision.(admission.Granted); ok {
			delete(e.given, g.PermitID)
			e.state.Release(now, g.PermitID, permit.Outcome{Ending: permit.EndingNotSent})
		}
		e.deliver(e.state.Tick(now))
	})
}

func (o *Owner) answer(received time.Time, right permit.Authority, decision admission.Decision) *peerv1.AcquireResponse {
	switch d := decision.(type) {
	case admission.Granted:
		return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
			PermitId:          d.PermitID,
			Epoch:             right.Epoch,
			OwnerIncarnation:  o.opts.Incarnation,
			ServerIncarnation: d.ServerIncarnation,
			ValidMillis:       int32(o.validFor(received, d) / time.Millisecond),
			LoadPermille:      int32(d.LoadPermille),
		}}}
	case admission.Queued:
		return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Queued{Queued: &peerv1.Queued{Ahead: int32(d.Ahead)}}}
	case admission.Refused:
		return refused(d.Refusal.Reason, d.Refusal.RetryAfter, fullPermille)
	case admission.Unavailable:
		return refused(permit.ReasonOverloaded, d.RetryAfter, d.LoadPermille)
	}
	return refused(permit.ReasonOverloaded, retryNotReady, fullPermille)
}

// hold answers an ask while this instance waits for its right. Who may wait
// keeps asking here; who may not goes elsewhere.
func hold(ctx context.Context, wait time.Duration) *peerv1.AcquireResponse {
	if wait == 0 {
		return refused(permit.ReasonOverloaded, retryNotReady, fullPermille)
	}
	timer := time.NewTimer(min(wait, waitingSlice))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Queued{Queued: &peerv1.Queued{}}}
}

// waitOf returns how long an ask may wait here. The life of a permit counts
// from the ask, so one given after half of it could hardly be used.
func (o *Owner) waitOf(req *peerv1.AcquireRequest) time.Duration {
	return min(max(0, time.Duration(req.GetWaitMillis())*time.Millisecond), maxSlice, o.opts.PermitFor/2)
}

func refused(reason permit.Reason, after time.Duration, load int) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Refused{Refused: &peerv1.Refused{
		Reason:           string(reason),
		RetryAfterMillis: int32(after / time.Millisecond),
		LoadPermille:     int32(load),
	}}}
}

func notOwner(right permit.Authority) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_NotOwner{NotOwner: &peerv1.NotOwner{
		Epoch: right.Epoch, Owner: right.Owner,
	}}}
}

// Release takes back permits.
func (o *Owner) Release(released []*peerv1.Released) {
	o.opts.Costs.Of(control.RolePermits).Run(func() { o.release(released) })
}

func (o *Owner) release(released []*peerv1.Released) {
	now := time.Now()
	for _, r := range released {
		e := o.find(r.GetServer())
		if e == nil {
			continue
		}
		o.with(e, func() {
			if permit.Ending(r.GetEnding()) == permit.ConnectionBroken {
				e.polledAt, e.troubledAt = time.Time{}, now
				e.state.MarkBroken(now, r.GetPermitId())
				return
			}
			if g, ok := e.given[r.GetPermitId()]; ok && r.GetEnding() == string(permit.EndingFinished) {
				o.opts.Suspects.finished(now, g.fingerprint)
			}
			delete(e.given, r.GetPermitId())
			if ending := permit.Ending(r.GetEnding()); ending == permit.EndingLost || ending == permit.EndingCrashed {
				// The server may have crashed. Asking it now and not at the
				// next poll finds a request that crashes servers before its
				// caller has sent it many times over.
				e.polledAt, e.troubledAt = time.Time{}, now
			}
			restart := e.state.Release(now, r.GetPermitId(), permit.Outcome{
				Ending:       permit.Ending(r.GetEnding()),
				OutputTokens: int(r.GetOutputTokens()),
				FirstToken:   time.Duration(r.GetFirstTokenMillis()) * time.Millisecond,
				Duration:     time.Duration(r.GetDurationMillis()) * time.Millisecond,
			})
			o.crashed(e.lastSeen(now, restart), e, restart)
			e.deliver(e.state.Tick(now))
		})
	}
}
