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

// outcome is the answer to one ask: [given], [full], [waiting] or
// [unreachable].
type outcome interface{ outcome() }

type given struct{ permit permit.Permit }

type full struct {
	refusal permit.Refusal
	load    int
}

// waiting means that the request is queued, or that its owner waits for its
// right; it asks again.
type waiting struct{}

// unreachable means that neither owner nor deputy gave an answer.
type unreachable struct{}

func (given) outcome()       {}
func (full) outcome()        {}
func (waiting) outcome()     {}
func (unreachable) outcome() {}

// ask asks the owner of server, and its deputy when the owner gives no answer.
func (r *Router) ask(ctx context.Context, server *pollenspindle.Server, req *permit.Request, wait time.Duration) outcome {
	if r.passedOver(time.Now(), server.Name) {
		return unreachable{}
	}
	snap := r.opts.Config()
	place := owner.RosterServer(snap, server)
	first, ok := r.opts.Members.Roster().Owner(place.Name, place.Region)
	if !ok {
		return unreachable{}
	}
	if !r.isDown(first.ID) {
		a := r.askInstance(ctx, first, server, req, wait)
		note(ctx, server, first, wait, a)
		if a != (unreachable{}) {
			return a
		}
	}
	second, ok := r.opts.Members.Roster().Deputy(place.Name, place.Region)
	if !ok || r.isDown(second.ID) {
		return unreachable{}
	}
	r.opts.Metrics.Counter("deputies_asked").Inc(1)
	a := r.askInstance(ctx, second, server, req, wait)
	note(ctx, server, second, wait, a)
	return a
}

// note records an ask for operators. Asks that go on waiting in a queue are
// left out: one each second would hide the rest.
func note(ctx context.Context, server *pollenspindle.Server, to roster.Instance, wait time.Duration, a outcome) {
	step := journal.Step{At: time.Now(), What: journal.Asked, Server: server.Name, Peer: to.ID}
	switch a := a.(type) {
	case given:
		step.Reason = "granted"
	case full:
		step.Reason, step.Count = string(a.refusal.Reason), int64(a.load)
	case waiting:
		if wait > 0 {
			return
		}
		step.Reason = "ownerNotReady"
	case unreachable:
		step.Reason = "unreachable"
	}
	journal.From(ctx).Add(step)
}

// askInstance asks one instance. If it has a newer roster, that is fetched and
// the request starts over with it.
func (r *Router) askInstance(ctx context.Context, to roster.Instance, server *pollenspindle.Server, req *permit.Request, wait time.Duration) outcome {
	msg := r.message(server, req, wait)
	// The permit's life counts from here: before the call leaves.
	asked := time.Now()
	res, err := r.send(ctx, to, msg, wait)
	if err != nil {
		if ctx.Err() == nil {
			r.setDown(to.ID)
		}
		return unreachable{}
	}
	switch a := res.GetAnswer().(type) {
	case *peerv1.AcquireResponse_Granted:
		// Without it a server would look idle until it first refuses, and the two
		// that a beginning of prompts prefers would fill up beside idle ones.
		r.see(server.Name, int(a.Granted.GetLoadPermille()), 0)
		return given{r.permitOf(asked, to, server, a.Granted)}
	case *peerv1.AcquireResponse_Refused:
		after := time.Duration(a.Refused.GetRetryAfterMillis()) * time.Millisecond
		r.see(server.Name, int(a.Refused.GetLoadPermille()), after)
		return full{
			refusal: permit.Refusal{Reason: permit.Reason(a.Refused.GetReason()), RetryAfter: after},
			load:    int(a.Refused.GetLoadPermille()),
		}
	case *peerv1.AcquireResponse_Queued:
		return waiting{}
	case *peerv1.AcquireResponse_NotOwner:
		if a.NotOwner.GetEpoch() > msg.GetEpoch() && to.ID != r.opts.Self.ID {
			r.opts.Members.CatchUp(ctx, to.PeerAddress)
		}
		return full{refusal: permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: retryAfter}}
	}
	return unreachable{}
}

func (r *Router) send(ctx context.Context, to roster.Instance, msg *peerv1.AcquireRequest, wait time.Duration) (*peerv1.AcquireResponse, error) {
	if to.ID == r.opts.Self.ID {
		return r.opts.Local.Acquire(ctx, msg), nil
	}
	timeout := probeTimeout
	if wait > 0 {
		timeout = wait + sliceSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.opts.Peers.Client(to.PeerAddress).Acquire(ctx, msg)
}

func (r *Router) message(server *pollenspindle.Server, req *permit.Request, wait time.Duration) *peerv1.AcquireRequest {
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

func (r *Router) permitOf(asked time.Time, by roster.Instance, server *pollenspindle.Server, g *peerv1.Granted) permit.Permit {
	return permit.Permit{
		ID:                g.GetPermitId(),
		Server:            server.Name,
		Address:           server.Address,
		Zone:              server.Zone,
		Epoch:             g.GetEpoch(),
		Owner:             by.ID,
		OwnerIncarnation:  g.GetOwnerIncarnation(),
		ServerIncarnation: g.GetServerIncarnation(),
		ExpiresAt:         asked.Add(time.Duration(g.GetValidMillis()) * time.Millisecond),
	}
}

func (r *Router) see(server string, load int, after time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views[server] = placement.View{LoadPermille: load, ObservedAt: now, RetryAt: now.Add(after)}
}

func (r *Router) isDown(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.down[id]
	return ok && time.Now().Before(until)
}

func (r *Router) setDown(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[id] = time.Now().Add(downFor)
}
