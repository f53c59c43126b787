package router

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// permitAnswer is the answer to one permit request: [granted], [refused], [queued]
// or [unreachable].
type permitAnswer interface{ permitAnswer() }

type granted struct{ permit permit.Permit }

type refused struct {
	refusal permit.Refusal
	load    int
}

// queued means that the request waits in the queue, or that the owner may not
// grant permits yet; the router asks again.
type queued struct{}

// unreachable means that neither the owner nor the deputy answered.
type unreachable struct{}

func (granted) permitAnswer()     {}
func (refused) permitAnswer()     {}
func (queued) permitAnswer()      {}
func (unreachable) permitAnswer() {}

// requestPermit requests a permit from the owner of server, and from its deputy
// if the owner doesn't answer.
func (r *Router) requestPermit(ctx context.Context, server *pollenspindle.Server, req *permit.Request, wait time.Duration) permitAnswer {
	if r.brokenRecently(time.Now(), server.Name) {
		return unreachable{}
	}
	snap := r.opts.Config()
	place := owner.RosterServer(snap, server)
	first, ok := r.opts.Members.Roster().Owner(place.Name, place.Region)
	if !ok {
		return unreachable{}
	}
	if !r.isDown(first.ID) {
		a := r.requestPermitFrom(ctx, first, server, req, wait)
		recordPermitRequest(ctx, server, first, wait, a)
		if a != (unreachable{}) {
			return a
		}
	}
	second, ok := r.opts.Members.Roster().Deputy(place.Name, place.Region)
	if !ok || r.isDown(second.ID) {
		return unreachable{}
	}
	r.opts.Metrics.Counter("deputies_asked").Inc(1)
	a := r.requestPermitFrom(ctx, second, server, req, wait)
	recordPermitRequest(ctx, server, second, wait, a)
	return a
}

// recordPermitRequest adds a permit request to the request's journal. Polls of a
// queued request are left out: one each second would hide the other steps.
func recordPermitRequest(ctx context.Context, server *pollenspindle.Server, to roster.Instance, wait time.Duration, a permitAnswer) {
	step := journal.Step{At: time.Now(), What: journal.Asked, Server: server.Name, Peer: to.ID}
	switch a := a.(type) {
	case granted:
		step.Reason = "granted"
	case refused:
		step.Reason, step.Count = string(a.refusal.Reason), int64(a.load)
	case queued:
		if wait > 0 {
			return
		}
		step.Reason = "ownerNotReady"
	case unreachable:
		step.Reason = "unreachable"
	}
	journal.From(ctx).Add(step)
}

// requestPermitFrom requests a permit from one instance. If the instance has a
// newer roster, the router fetches it and the request is tried again.
func (r *Router) requestPermitFrom(ctx context.Context, to roster.Instance, server *pollenspindle.Server, req *permit.Request, wait time.Duration) permitAnswer {
	msg := r.acquireRequest(server, req, wait)
	// The permit's lifetime starts before the call is sent.
	requestedAt := time.Now()
	res, err := r.send(ctx, to, msg, wait)
	if err != nil {
		if ctx.Err() == nil {
			r.markDown(to.ID)
		}
		return unreachable{}
	}
	switch a := res.GetAnswer().(type) {
	case *peerv1.AcquireResponse_Granted:
		// Without the load of grants a server would look idle until it first refuses, and
		// the two servers that a prompt prefix prefers would fill up while others are idle.
		r.recordLoad(server.Name, int(a.Granted.GetLoadPermille()), 0)
		return granted{r.newPermit(requestedAt, to, server, a.Granted)}
	case *peerv1.AcquireResponse_Refused:
		after := time.Duration(a.Refused.GetRetryAfterMillis()) * time.Millisecond
		r.recordLoad(server.Name, int(a.Refused.GetLoadPermille()), after)
		return refused{
			refusal: permit.Refusal{Reason: permit.Reason(a.Refused.GetReason()), RetryAfter: after},
			load:    int(a.Refused.GetLoadPermille()),
		}
	case *peerv1.AcquireResponse_Queued:
		return queued{}
	case *peerv1.AcquireResponse_NotOwner:
		if a.NotOwner.GetEpoch() > msg.GetEpoch() && to.ID != r.opts.Self.ID {
			r.opts.Members.CatchUp(ctx, to.PeerAddress)
		}
		return refused{refusal: permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: defaultRetryAfter}}
	}
	return unreachable{}
}

func (r *Router) send(ctx context.Context, to roster.Instance, msg *peerv1.AcquireRequest, wait time.Duration) (*peerv1.AcquireResponse, error) {
	if to.ID == r.opts.Self.ID {
		return r.opts.Local.Acquire(ctx, msg), nil
	}
	timeout := acquireTimeout
	if wait > 0 {
		timeout = wait + queueWaitSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.opts.Peers.Client(to.PeerAddress).Acquire(ctx, msg)
}

func (r *Router) acquireRequest(server *pollenspindle.Server, req *permit.Request, wait time.Duration) *peerv1.AcquireRequest {
	return &peerv1.AcquireRequest{
		Epoch:            r.opts.Members.Roster().Epoch,
		Asker:            r.opts.Self.ID,
		AskerIncarnation: r.opts.Self.Incarnation,
		Server:           server.Name,
		Id:               req.ID,
		Service:          req.Service,
		Model:            req.Model,
		Workspace:        req.Workspace,
		Class:            string(req.Class),
		PromptTokens:     int32(req.PromptTokens),
		MaxTokens:        int32(req.MaxTokens),
		PrefixHash:       req.PrefixHash,
		Fingerprint:      req.Fingerprint,
		WaitMillis:       int32(wait / time.Millisecond),
		DeadlineMillis:   int32(max(0, time.Until(req.Deadline)) / time.Millisecond),
	}
}

func (r *Router) newPermit(requestedAt time.Time, by roster.Instance, server *pollenspindle.Server, g *peerv1.Granted) permit.Permit {
	return permit.Permit{
		ID:                g.GetPermitId(),
		Server:            server.Name,
		Address:           server.Address,
		Zone:              server.Zone,
		Epoch:             g.GetEpoch(),
		Owner:             by.ID,
		OwnerIncarnation:  g.GetOwnerIncarnation(),
		ServerIncarnation: g.GetServerIncarnation(),
		ExpiresAt:         requestedAt.Add(time.Duration(g.GetValidMillis()) * time.Millisecond),
	}
}

func (r *Router) recordLoad(server string, load int, after time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views[server] = placement.View{LoadPermille: load, At: now, RetryAt: now.Add(after)}
}

func (r *Router) isDown(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.down[id]
	return ok && time.Now().Before(until)
}

func (r *Router) markDown(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[id] = time.Now().Add(ownerBackoff)
}
