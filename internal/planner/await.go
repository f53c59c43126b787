package planner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/membership"
)

const (
	// minSlack is the slack from which on a request may wait: with less, the prefill of its prompt
	// alone exceeds it.
	minSlack = 300 * time.Millisecond
	// maxHeldCalls limits the placement calls that this instance has waiting at other planners.
	maxHeldCalls = 64
	// plannerCheckInterval is how often an instance checks whether the planner that holds its call
	// is known to be down. A broken link would otherwise show only after the slack.
	plannerCheckInterval = 100 * time.Millisecond
)

// ErrCallerGone means that the caller has gone while its request waited for an engine.
var ErrCallerGone = merry.Sentinel("the caller has gone")

var (
	// errNotQueued means that no planner lets the request wait.
	errNotQueued = merry.Sentinel("the request can't wait for an engine")
	// errNoPlanner means that no planner of the group can be asked.
	errNoPlanner = merry.Sentinel("no planner can be asked")
	// errPlannerDown means that the planner which held a call is known to be down.
	errPlannerDown = merry.Sentinel("planner is down")
)

// Refusal is the error for a request that isn't expected to start in time. It is an [ErrFull].
type Refusal struct {
	Reason string
	// RetryAfter is when a retry is worthwhile; 0 if not known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no engine is expected to be free in time: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Is makes a refusal an [ErrFull].
func (r *Refusal) Is(target error) bool { return errors.Is(target, ErrFull) }

// maxAwaitCalls limits the planners that one request waits at, one after the other.
const maxAwaitCalls = 3

// await lets a request wait for an engine of the groups, which are full. If the planner fails, the
// next owner is asked with the age of the request. It returns errNotQueued if none lets it wait.
func (p *Planner) await(ctx context.Context, r PlacementRequest, groups []group) (string, error) {
	if p.queues == nil || r.LengthKey == nil || r.slack() < minSlack {
		return "", errNotQueued
	}
	started := p.opts.Now()
	key := p.shortestWait(started, groups, r.Zone)
	r.Group, r.MaxScore, r.MayWait = key, 0, true
	for range maxAwaitCalls {
		elapsed := p.opts.Now().Sub(started)
		asked := r
		asked.SlackMillis, asked.AgeMillis = r.SlackMillis-elapsed.Milliseconds(), r.AgeMillis+elapsed.Milliseconds()
		if asked.slack() < minSlack {
			return "", errNotQueued
		}
		res, err := p.awaitAt(ctx, asked)
		switch {
		case ctx.Err() != nil:
			return "", ErrCallerGone
		case errors.Is(err, ErrFull):
			// A planner of an older version, or with the queue switched off.
			return "", errNotQueued
		case errors.Is(err, errNoPlanner):
			return "", errNotQueued
		case err != nil || res.Refused == string(reasonMoved):
			p.queues.metrics.plannerFailures.Inc(1)
			p.opts.Log.Info().Str("request", r.RequestID).Str("group", key).Dur("waited", elapsed).Err(err).Msg("wait at a planner lost")
			continue
		}
		now := p.opts.Now()
		retryAfter := max(0, time.Duration(res.RetryAfterMillis)*time.Millisecond)
		p.recordWait(now, key, now.Sub(started)+retryAfter)
		if res.Engine == "" {
			return "", &Refusal{Reason: res.Refused, RetryAfter: retryAfter}
		}
		return res.Engine, nil
	}
	return "", errNotQueued
}

// shortestWait returns the group whose last request waited least. Groups without a recent one count
// as without a wait; another zone counts like on placement.
func (p *Planner) shortestWait(now time.Time, groups []group, zone string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := func(g group) float64 {
		sum := 0.0
		if w, ok := p.waits[g.key]; ok && now.Sub(w.at) < scoreTTL {
			sum = w.value
		}
		if g.zone != zone {
			sum += crossZoneCost
		}
		return sum
	}
	return slices.MinFunc(groups, func(a, b group) int { return cmp.Compare(cost(a), cost(b)) }).key
}

func (p *Planner) recordWait(now time.Time, key string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.waits, func(_ string, w groupScore) bool { return now.Sub(w.at) >= scoreTTL })
	p.waits[key] = groupScore{wait.Seconds(), now}
}

// awaitAt lets a request wait at the first planner of its group that isn't in its backoff. One that
// fails is, so that the next call asks another.
func (p *Planner) awaitAt(ctx context.Context, r PlacementRequest) (PlacementResponse, error) {
	owner, address, ok := 0, "", false
	for ; owner < maxPlanners && !ok; owner++ {
		address, ok = p.plannerAddress(r.Group, owner)
	}
	if owner--; !ok {
		return PlacementResponse{}, errNoPlanner
	}
	if address == "" {
		return p.hold(ctx, r)
	}
	select {
	case p.heldCalls <- struct{}{}:
		defer func() { <-p.heldCalls }()
	default:
		p.queues.metrics.refusedHeldPool.Inc(1)
		return PlacementResponse{Refused: "heldCalls"}, nil
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if owners := p.opts.Table.Owners(r.Group, owner+1); len(owners) > owner {
		go p.watchPlanner(callCtx, owners[owner], cancel)
	}
	res, err := p.requestPlacement(callCtx, address, r)
	if err == nil || ctx.Err() != nil {
		return res, err
	}
	return PlacementResponse{}, p.recordFailure(address, err)
}

// watchPlanner cancels a held call when the instance that holds it is known to be down or has been
// replaced.
func (p *Planner) watchPlanner(ctx context.Context, owner membership.Record, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(plannerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r, ok := p.opts.Table.Get(owner.ID); !ok || r.Down || r.StartedAt != owner.StartedAt {
			cancel(errPlannerDown)
			return
		}
	}
}

// callLimit returns the time limit of a placement call. A call that may wait is held until its
// slack is over.
func callLimit(r PlacementRequest) time.Duration {
	if !r.MayWait {
		return placeTimeout
	}
	return r.slack() + 2*heldMargin
}
