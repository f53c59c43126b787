package owner

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/suspect"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// decided is what became of an ask at first.
type decided struct {
	decision admission.Decision
	// opened is when the right began under which it was decided.
	opened time.Time
	// waiter is set when the request is queued and the asker wants to wait.
	waiter chan admission.Decision
	// fresh is set when a newer load report has been called for; without a
	// decision the ask waits for it.
	fresh chan struct{}
}

// decideFresh decides at once, or when the load report has come without which
// nothing more may be granted. It reports false when that takes too long.
func (o *Owner) decideFresh(ctx context.Context, snap *config.Snapshot, server *pollenspindle.Server, e *entry, req *peerv1.AcquireRequest) (decided, bool) {
	limit := time.NewTimer(waitingSlice)
	defer limit.Stop()
	for {
		now := time.Now()
		var d decided
		o.opts.Costs.Of(control.RolePermits).Run(func() { d = o.decide(now, snap, server, e, req) })
		if d.fresh != nil {
			// The poll outlives the ask, whose asker may go away.
			o.poll(context.WithoutCancel(ctx), now, snap, *server, e)
		}
		if d.decision != nil {
			return d, true
		}
		select {
		case <-d.fresh:
		case <-limit.C:
			return d, false
		case <-ctx.Done():
			return d, false
		}
	}
}

// decide asks admission, unless a newer load report is needed first.
func (o *Owner) decide(now time.Time, snap *config.Snapshot, server *pollenspindle.Server, e *entry, req *peerv1.AcquireRequest) (out decided) {
	o.with(e, func() {
		// The right is read again under the lock, so that no decision is made
		// under one that a newer roster has ended.
		e.follow(now, o.right(now, snap, server), snap.TakesNewWork(server))
		out.opened = e.openedAt
		rests := e.rests(now, o.opts.PollEvery)
		out.fresh = e.fresh
		if !rests {
			return
		}
		out.decision = e.state.Acquire(now, o.ask(now, snap, req))
		switch d := out.decision.(type) {
		case admission.Granted:
			e.granted()
			e.given[d.PermitID] = givenTo(req)
		case admission.Queued:
			out.waiter = make(chan admission.Decision, 1)
			e.waiters[d.RequestID] = out.waiter
		}
	})
	return out
}

func (o *Owner) ask(now time.Time, snap *config.Snapshot, req *peerv1.AcquireRequest) admission.AcquireRequest {
	ask := admission.AcquireRequest{
		PermitID: NewPermitID(),
		MayQueue: req.GetWaitMillis() > 0,
		Suspect:  o.opts.Suspects.check(now, req.GetFingerprint()) == suspect.Suspected,
		Request: permit.Request{
			ID:           req.GetId(),
			Service:      req.GetService(),
			Model:        req.GetModel(),
			Workspace:    req.GetWorkspace(),
			Class:        pollenspindle.Class(req.GetClass()),
			PromptTokens: int(req.GetPromptTokens()),
			MaxTokens:    int(req.GetMaxTokens()),
			PrefixHash:   req.GetPrefixHash(),
			Fingerprint:  req.GetFingerprint(),
			Deadline:     now.Add(time.Duration(req.GetDeadlineMillis()) * time.Millisecond),
		},
	}
	if w, ok := snap.WorkspaceByName[req.GetWorkspace()]; ok {
		ask.Weight, ask.MaxRunning, ask.MaxQueued = w.Weight, w.MaxRunning, w.MaxQueued
	}
	return ask
}

func givenTo(req *peerv1.AcquireRequest) given {
	return given{asker: req.GetAsker(), incarnation: req.GetAskerIncarnation(), fingerprint: req.GetFingerprint()}
}
