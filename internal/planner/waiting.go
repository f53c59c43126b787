package planner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/placementqueue"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// queueInterval is how often waiting requests are decided on besides after each report: prompts
	// are processed and generations grow between reports.
	queueInterval = 20 * time.Millisecond
	// maxEngineFailures is the number of recent failures from which on no waiting request starts on
	// an engine: one that has exited is the only one with free memory in a full group.
	maxEngineFailures = 0.5
	// heldMargin is how much longer than its slack a placement call is held: the response takes a
	// few milliseconds.
	heldMargin = 200 * time.Millisecond
)

// errCallerLeft means that the caller of a waiting request has gone.
var errCallerLeft = merry.Sentinel("the caller of a waiting request has gone")

// QueueOptions lets generations wait at the planner while engines have no free memory.
type QueueOptions struct {
	// Curve returns the survival curve of the outputs with a key.
	Curve func(key outputlength.Key) *outputlength.Curve
	// Sequences returns the running generations of this instance.
	Sequences func() []RunningSequence
	// Scope is for metrics; nil for none.
	Scope tally.Scope
}

// placementQueues holds the requests that wait at this planner, by group.
type placementQueues struct {
	metrics queueMetrics
	// wake signals a change that may let requests start.
	wake chan struct{}

	mu      sync.Mutex
	byGroup map[string]*groupQueue
	held    map[string]*heldRequest
	lastID  uint64
}

// groupQueue is the queue of one group of engines.
type groupQueue struct {
	service string
	queue   *placementqueue.Queue
}

// heldRequest is a request whose call is held until outcome receives the decision.
type heldRequest struct {
	PlacementRequest
	outcome chan placementqueue.Decision
	// owned is set if this instance was the first owner of the group when the request arrived.
	owned bool
}

func newPlacementQueues(scope tally.Scope) *placementQueues {
	return &placementQueues{
		metrics: newQueueMetrics(scope), wake: make(chan struct{}, 1), byGroup: map[string]*groupQueue{}, held: map[string]*heldRequest{},
	}
}

func (q *placementQueues) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// holds reports whether requests wait for the engines of a group.
func (q *placementQueues) holds(group string) bool {
	if q == nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	g, ok := q.byGroup[group]
	return ok && g.queue.Len() > 0
}

// hold decides on a request that may wait, and returns when it is placed or refused, or its caller
// has gone.
func (p *Planner) hold(ctx context.Context, r PlacementRequest) (PlacementResponse, error) {
	now := p.opts.Now()
	id, outcome, err := p.enqueue(now, r)
	if err != nil {
		return PlacementResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.slack(), maxHold)+heldMargin)
	defer cancel()
	select {
	case d := <-outcome:
		return placementResponse(d), nil
	case <-ctx.Done():
	}
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	d, decided := p.abandon(id, outcome)
	switch {
	case decided && timedOut:
		return placementResponse(d), nil
	case decided:
		p.undo(r, id, d)
		return PlacementResponse{}, errCallerLeft
	case timedOut:
		// Decisions are overdue.
		d = placementqueue.Refused{Reason: placementqueue.ReasonMissed, RetryAfter: fullPoolRetryAfter, Waited: p.opts.Now().Sub(now)}
		p.record(r, d)
		return placementResponse(d), nil
	}
	p.opts.Log.Info().Str("request", r.RequestID).Str("by", r.Instance).Str("group", r.Group).Dur("waited", p.opts.Now().Sub(now)).
		Msg("waiting request abandoned")
	p.queues.signal()
	return PlacementResponse{}, errCallerLeft
}

// undo takes back the placement of a request whose caller has gone at the same moment.
func (p *Planner) undo(r PlacementRequest, id string, d placementqueue.Decision) {
	if placed, ok := d.(placementqueue.Placed); ok {
		p.loads.Unassign(r.Instance, placed.Engine, id)
		if server, ok := p.opts.State.Server(placed.Engine); ok {
			p.loadBalancer.CancelPrefill(balancer.Placement{Server: server, PromptTokens: r.PromptTokens})
		}
		p.opts.Log.Info().Str("request", r.RequestID).Str("server", placed.Engine).Msg("placement taken back, the caller has gone")
	}
}

// maxHold limits how long a call is held, whatever slack it states.
const maxHold = time.Minute

// enqueue decides on a request and returns the channel that receives the decision.
func (p *Planner) enqueue(now time.Time, r PlacementRequest) (string, chan placementqueue.Decision, error) {
	service, err := p.engines(r.Service)
	if err != nil {
		return "", nil, err
	}
	q := p.queues
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := r.Instance + "/" + r.RequestID + "/" + strconv.FormatUint(q.lastID, 10)
	outcome := make(chan placementqueue.Decision, 1)
	state := p.queueGroup(now, service.Name, r.Group, map[string]PlacementRequest{id: r})
	if len(state.Engines) == 0 {
		return "", nil, ErrFull
	}
	req := p.queueRequest(id, r)
	if r.LengthKey != nil && req.Curve == nil {
		// Outputs of the route aren't known yet.
		return "", nil, ErrFull
	}
	d := q.group(r.Group, service.Name).Request(now, req, state)
	if refused, ok := d.(placementqueue.Refused); ok && refused.Reason == placementqueue.ReasonInvalid {
		q.metrics.invalid.Inc(1)
		p.opts.Log.Debug().Str("request", r.RequestID).Str("by", r.Instance).Msg("invalid request to wait for an engine")
		return "", nil, ErrFull
	}
	if _, waits := d.(placementqueue.Waiting); waits && len(q.held) >= placementqueue.DefaultParams.MaxRequests {
		q.byGroup[r.Group].queue.Abandon(id)
		d = placementqueue.Refused{Reason: placementqueue.ReasonQueueFull, RetryAfter: fullPoolRetryAfter}
	}
	p.record(r, d)
	if _, waits := d.(placementqueue.Waiting); waits {
		q.held[id] = &heldRequest{r, outcome, p.ownsGroup(r.Group)}
		q.updateGauges()
		q.signal()
		return id, outcome, nil
	}
	outcome <- d
	return id, outcome, nil
}

// fullPoolRetryAfter is the Retry-After when requests of other groups take all places: they wait
// for a few seconds at most.
const fullPoolRetryAfter = time.Second

// maxQueues is the number of queues from which on empty ones are dropped. An instance plans for a
// few groups at a time, but groups change with the number of engines.
const maxQueues = 64

// group returns the queue of a group.
func (q *placementQueues) group(key, service string) *placementqueue.Queue {
	g, ok := q.byGroup[key]
	if !ok {
		if len(q.byGroup) >= maxQueues {
			maps.DeleteFunc(q.byGroup, func(_ string, g *groupQueue) bool { return g.queue.Len() == 0 })
		}
		g = &groupQueue{service: service, queue: placementqueue.New(placementqueue.DefaultParams, rand.New(rand.NewPCG(rand.Uint64(), 5)))}
		q.byGroup[key] = g
	}
	return g.queue
}

// abandon removes a waiting request, or returns the decision that was made meanwhile.
func (p *Planner) abandon(id string, outcome chan placementqueue.Decision) (placementqueue.Decision, bool) {
	q := p.queues
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case d := <-outcome:
		return d, true
	default:
	}
	if h, ok := q.held[id]; ok {
		q.byGroup[h.Group].queue.Abandon(id)
		delete(q.held, id)
	}
	q.updateGauges()
	return nil, false
}

// tickQueues decides on the waiting requests and returns how many still wait.
func (p *Planner) tickQueues(now time.Time) int {
	q := p.queues
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.held) == 0 {
		return 0
	}
	requests := make(map[string]PlacementRequest, len(q.held))
	for id, h := range q.held {
		if h.owned && !p.ownsGroup(h.Group) {
			p.handOver(id, h)
			continue
		}
		requests[id] = h.PlacementRequest
	}
	for key, g := range q.byGroup {
		if g.queue.Len() == 0 {
			continue
		}
		for _, o := range g.queue.Tick(now, p.queueGroup(now, g.service, key, requests)) {
			h := q.held[o.Request.ID]
			delete(q.held, o.Request.ID)
			p.record(h.PlacementRequest, o.Decision)
			h.outcome <- o.Decision
		}
	}
	q.updateGauges()
	return len(q.held)
}

// ownsGroup reports whether this instance is the first owner of a group.
func (p *Planner) ownsGroup(group string) bool {
	address, ok := p.plannerAddress(group, 0)
	return ok && address == ""
}

// reasonMoved tells an instance to ask the new owner of the group, which gets the load reports from
// now on.
const reasonMoved = placementqueue.Reason("moved")

// handOver ends the wait of a request whose group has a new owner.
func (p *Planner) handOver(id string, h *heldRequest) {
	p.queues.byGroup[h.Group].queue.Abandon(id)
	delete(p.queues.held, id)
	d := placementqueue.Refused{Reason: reasonMoved}
	p.record(h.PlacementRequest, d)
	h.outcome <- d
}

// queueGroup returns the state of the engines of a group. Requests holds the waiting requests by
// the ID under which they wait.
func (p *Planner) queueGroup(now time.Time, service, key string, requests map[string]PlacementRequest) placementqueue.Group {
	s, err := p.engines(service)
	if err != nil {
		return placementqueue.Group{Choose: func(placementqueue.Request, []string) (string, bool) { return "", false }}
	}
	servers := map[string]*platformstate.Server{}
	groups, _ := p.groups(service)
	for _, g := range groups {
		if g.key != key {
			continue
		}
		for _, server := range g.engines {
			if p.opts.Failures(now, server.ID) < maxEngineFailures {
				servers[server.ID] = server
			}
		}
	}
	forecasts := p.loads.forecasts(now, servers, remember(p.curve))
	var out placementqueue.Group
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		e := placementqueue.Engine{ID: id, MemoryTokens: s.Engine.MemoryTokens, Slots: servers[id].Slots, PrefillWait: p.loadBalancer.PrefillWait(now, id)}
		if s.ColdRequestsPerSecond > 0 {
			e.ColdFor = servers[id].ColdUntil.Sub(now)
		}
		if f, ok := forecasts[id]; ok {
			e.Memory, e.Running = f.memory, f.running
		}
		out.Engines = append(out.Engines, e)
	}
	out.Choose = func(r placementqueue.Request, fitting []string) (string, bool) {
		list := make([]*platformstate.Server, len(fitting))
		for i, id := range fitting {
			list[i] = servers[id]
		}
		// The forecast has decided on the memory; the score decides which engine is best.
		waiting := requests[r.ID]
		events := expectedEvents(s, r.RequiredTokens-r.PromptTokens)
		picked, ok := p.loadBalancer.Pick(now, balancer.Request{
			Service: s, Zone: waiting.Zone, Tokens: r.RequiredTokens, PromptTokens: r.PromptTokens, Excluded: r.Excluded,
			Instances: p.opts.Table.Count(now), CompareAll: true, Force: true, HandoverTokens: p.handoverTokens(now, waiting),
			ExpectedEvents: events, Target: time.Duration(waiting.MaxPrefillWaitMillis) * time.Millisecond,
		}, list).(balancer.Picked)
		if !ok {
			return "", false
		}
		p.loadBalancer.Release(picked.Placement)
		id := picked.Placement.Server.ID
		load := loadOf(r.RequiredTokens, p.handoverTokens(now, waiting))
		p.loads.AssignSequence(now, waiting.Instance, id, r.ID, load, forecast.Sequence{Prompt: r.PromptTokens, MaxTokens: r.MaxTokens, Curve: r.Curve})
		p.recordPacePlacement(now, waiting.Group, id, events)
		return id, true
	}
	return out
}

// queueRequest converts a placement request.
func (p *Planner) queueRequest(id string, r PlacementRequest) placementqueue.Request {
	out := placementqueue.Request{
		ID: id, Origin: strconv.FormatUint(xxhash.Sum64String(r.Workspace+"/"+r.RequestID), 36), Workspace: r.Workspace, Priority: r.Priority,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, RequiredTokens: r.RequiredTokens, Prefill: balancer.PrefillTime(max(0, r.PromptTokens)),
		Slack: r.slack(), Age: time.Duration(r.AgeMillis) * time.Millisecond, Excluded: map[string]bool{},
	}
	if r.LengthKey != nil {
		out.Curve = p.curve(outputlength.Key(*r.LengthKey))
	}
	for _, id := range r.Excluded {
		out.Excluded[id] = true
	}
	return out
}

func (r *PlacementRequest) slack() time.Duration {
	return time.Duration(r.SlackMillis) * time.Millisecond
}

// assign counts a generation that is placed at once.
func (p *Planner) assign(now time.Time, r PlacementRequest, engine string) {
	load := loadOf(r.RequiredTokens, p.handoverTokens(now, r))
	if p.queues == nil || r.LengthKey == nil {
		p.loads.assignLoad(now, r.Instance, engine, load)
		return
	}
	seq := forecast.Sequence{Prompt: r.PromptTokens, MaxTokens: r.MaxTokens, Curve: p.curve(outputlength.Key(*r.LengthKey))}
	p.loads.AssignSequence(now, r.Instance, engine, r.RequestID, load, seq)
}

func placementResponse(d placementqueue.Decision) PlacementResponse {
	switch d := d.(type) {
	case placementqueue.Placed:
		return PlacementResponse{Engine: d.Engine, Score: fullScore}
	case placementqueue.Refused:
		return PlacementResponse{Refused: string(d.Reason), RetryAfterMillis: d.RetryAfter.Milliseconds()}
	}
	return PlacementResponse{}
}

// runQueues decides on waiting requests until ctx ends: at each change, and while requests wait at
// least every queueInterval.
func (p *Planner) runQueues(ctx context.Context) {
	ticker := time.NewTicker(queueInterval)
	defer ticker.Stop()
	waiting := 0
	for {
		var tick <-chan time.Time
		if waiting > 0 {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case <-p.queues.wake:
		case <-tick:
		}
		waiting = p.tickQueues(p.opts.Now())
	}
}
