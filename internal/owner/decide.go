package owner

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// acquireResult is the immediate result of a permit request.
type acquireResult struct {
	decision admission.Decision
	// grantingSince is when the right began under which the decision was made.
	grantingSince time.Time
	// waiter receives the decision later if the request is queued.
	waiter chan admission.Decision
	// reportReady is set when a newer load report has been requested, and closed
	// when it arrives or fails. Without a decision the request waits for it.
	reportReady chan struct{}
}

// decideOnFreshReport decides at once, or after a newer load report if nothing more may
// be granted on the last one. It returns false when the report takes too long.
func (o *Owner) decideOnFreshReport(ctx context.Context, snap *config.Snapshot, server *pollenspindle.Server, e *entry, req *peerv1.AcquireRequest) (acquireResult, bool) {
	limit := time.NewTimer(notReadyWait)
	defer limit.Stop()
	for {
		now := time.Now()
		var d acquireResult
		o.opts.Costs.Meter(controlcost.RolePermits).Run(func() { d = o.decide(now, snap, server, e, req) })
		if d.reportReady != nil {
			// The poll continues if the requesting instance goes away.
			o.poll(context.WithoutCancel(ctx), now, snap, *server, e)
		}
		if d.decision != nil {
			return d, true
		}
		select {
		case <-d.reportReady:
		case <-limit.C:
			return d, false
		case <-ctx.Done():
			return d, false
		}
	}
}

// decide runs admission, unless a newer load report is needed first.
func (o *Owner) decide(now time.Time, snap *config.Snapshot, server *pollenspindle.Server, e *entry, req *peerv1.AcquireRequest) (out acquireResult) {
	o.withLock(e, func() {
		// The right is read again under the lock, so that no decision is made
		// under a right that a newer roster has revoked.
		e.applyAuthority(now, o.authority(now, snap, server), snap.AcceptsRequests(server))
		out.grantingSince = e.grantingSince
		sufficient := e.lastReportSuffices(now, o.opts.PollInterval)
		out.reportReady = e.reportReady
		if !sufficient {
			return
		}
		out.decision = e.state.Acquire(now, o.admissionRequest(now, snap, req))
		switch d := out.decision.(type) {
		case admission.Granted:
			e.countGrant()
			e.holders[d.PermitID] = holderOf(req)
		case admission.Queued:
			out.waiter = make(chan admission.Decision, 1)
			e.waiters[d.RequestID] = out.waiter
		}
	})
	return out
}

func (o *Owner) admissionRequest(now time.Time, snap *config.Snapshot, req *peerv1.AcquireRequest) admission.AcquireRequest {
	acquireRequest := admission.AcquireRequest{
		PermitID: NewPermitID(),
		MayQueue: req.GetWaitMillis() > 0,
		Suspect:  o.opts.Suspects.check(now, req.GetFingerprint()) == crashsuspect.Suspected,
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
		acquireRequest.Weight, acquireRequest.MaxRunning, acquireRequest.MaxQueued = w.Weight, w.MaxRunning, w.MaxQueued
	}
	return acquireRequest
}

func holderOf(req *peerv1.AcquireRequest) permitHolder {
	return permitHolder{instance: req.GetAsker(), incarnation: req.GetAskerIncarnation(), fingerprint: req.GetFingerprint()}
}
