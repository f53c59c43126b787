// Package planner assigns generations to model engines. For each group of engines one instance
// plans which engine a generation starts on, and when and to which engine a generation is migrated
// if its engine shuts down.
//
// Instances send load reports for the engines of a group to the instance that plans for it, which
// is found by hashing. The planner adds the assignments that no report includes yet. Planning needs
// no lock: an instance that can't reach the planner asks the next one, or decides by itself.
//
// # Usage
//
//	p := planner.New(planner.Options{...})
//	engine, err := p.Place(ctx, planner.PlacementRequest{...})
//	slot, err := p.RequestTransfer(ctx, planner.TransferRequest{...})
package planner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

const (
	transferProcedure = "/pollenspindle.planner.v1.Planner/Turn"
	placeProcedure    = "/pollenspindle.planner.v1.Planner/Place"
	reportProcedure   = "/pollenspindle.planner.v1.Planner/Report"
	// transferTimeout limits the request for a transfer slot. The response takes collectWindow and
	// a round trip, and an engine stays up for 1.5 s after its shutdown notice.
	transferTimeout = 150 * time.Millisecond
	// placeTimeout limits a placement request. It takes a few milliseconds; a prompt's prefill
	// takes a few hundred.
	placeTimeout = 60 * time.Millisecond
	// plannerBackoff is how long a planner that didn't answer isn't asked again.
	plannerBackoff = time.Second
	// maxGroups is how many groups are asked for a placement, maxPlanners how many instances are
	// asked to plan for one group.
	maxGroups   = 3
	maxPlanners = 2
)

// ErrUnavailable means that no plan is available; the caller decides by itself.
var ErrUnavailable = merry.Sentinel("no plan available")

// ErrFull means that no engine has free capacity.
var ErrFull = merry.Sentinel("no engine has free capacity")

// ErrLate means that the planner hasn't answered a repeated request in time.
var ErrLate = merry.Sentinel("the planner's answer is late")

// TransferRequest requests a transfer slot for a generation whose engine shuts down.
type TransferRequest struct {
	GenerationID string `json:"run"`
	Service      string `json:"service"`
	// Instance is the ID of the requesting instance.
	Instance string `json:"by"`
	// Engine is the ID of the engine that shuts down, Zone its availability zone.
	Engine string `json:"engine"`
	Zone   string `json:"zone"`
	// Tokens is the current size of the KV cache, RequiredTokens its expected final size.
	Tokens         int `json:"tokens"`
	RequiredTokens int `json:"need"`
	// Reason is empty if the engine shuts down, or [ReasonPace].
	Reason string `json:"reason,omitempty"`
	// AnswerTokens is the size of the answer, generated and expected, RestMillis the expected time
	// until the generation ends, at most 0 if unknown.
	AnswerTokens int   `json:"answer,omitempty"`
	RestMillis   int64 `json:"restMillis,omitempty"`
	// NoticeAgeMillis is how long the requester has known that the engine leaves, at least 1; 0 if
	// it doesn't know.
	NoticeAgeMillis int64 `json:"noticeAgeMillis,omitempty"`
	// Resumable says that the stream can be continued by a new run.
	Resumable bool `json:"resumable,omitempty"`
	// MayAskAgain says that the requester accepts AskAgainMillis as a response.
	MayAskAgain bool `json:"mayAskAgain,omitempty"`
	// Version, if set, is the version of the server's software that the target must have.
	Version string `json:"version,omitempty"`
	// Repeated says that the planner has told the requester to ask again. A single late answer then
	// doesn't count as a failure of the planner.
	Repeated bool `json:"-"`
}

// TransferResponse tells when a generation is copied, and to which engine.
type TransferResponse struct {
	WaitMillis int64  `json:"waitMillis"`
	Target     string `json:"to"`
	// Reason repeats the reason of the request; a planner that doesn't know the reason leaves it out.
	Reason string `json:"reason,omitempty"`
	// InTime says that the copy is expected to end before the engine exits.
	InTime bool `json:"inTime,omitempty"`
	// AskAgainMillis, if not 0, is the time after which to request the slot again; there is none yet.
	AskAgainMillis int64 `json:"askAgainMillis,omitempty"`
	// StartMillis is the expected time until the copy starts, for requesters that can't ask again.
	StartMillis int64 `json:"startMillis,omitempty"`
	// TooLate says that no copy would end before the engine exits, and the stream has to be
	// continued by a new run.
	TooLate bool `json:"tooLate,omitempty"`
	// Lost is how many generations of the engine can't be handed over.
	Lost int `json:"lost,omitempty"`
}

// Wait returns how long to wait before the copy starts.
func (t TransferResponse) Wait() time.Duration { return time.Duration(t.WaitMillis) * time.Millisecond }

// PlacementRequest requests an engine for a new generation.
type PlacementRequest struct {
	RequestID string `json:"request"`
	Service   string `json:"service"`
	// Instance is the ID of the requesting instance.
	Instance string `json:"by"`
	// Group is the key of the engine group to place on.
	Group string `json:"group"`
	Zone  string `json:"zone"`
	// PromptTokens is the length of the prompt, RequiredTokens the expected memory demand of the
	// whole generation.
	PromptTokens   int `json:"prompt"`
	RequiredTokens int `json:"need"`
	// MaxScore is the score above which no engine is assigned because the requester has other
	// groups to ask; 0 means no limit.
	MaxScore float64 `json:"most,omitempty"`
	// MaxPrefillWaitMillis is the time in which the first token is wanted; a request whose prefill
	// would end later is refused. 0 means no limit.
	MaxPrefillWaitMillis int64 `json:"within,omitempty"`
	// Force assigns the least loaded engine if all are full.
	Force bool `json:"anyway,omitempty"`
	// Excluded are the IDs of engines that must not be assigned.
	Excluded []string `json:"excluded,omitempty"`
	// Version, if set, is the version of the server's software that the engine must have.
	Version string `json:"version,omitempty"`
	// Workspace and Priority order the requests that wait; priority 0 is interactive.
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// MaxTokens is the limit of the output, LengthKey identifies outputs of similar length.
	MaxTokens int        `json:"maxTokens,omitempty"`
	LengthKey *LengthKey `json:"lengthKey,omitempty"`
	// SlackMillis is the time left until the first event is wanted, AgeMillis the time since the
	// request arrived.
	SlackMillis int64 `json:"slackMillis,omitempty"`
	AgeMillis   int64 `json:"ageMillis,omitempty"`
	// MayWait holds the call while the group is full, at most until the slack is over.
	MayWait bool `json:"mayWait,omitempty"`
}

// PlacementResponse holds the ID of the assigned engine and its score. The ID is empty if the best
// score exceeds the requested maximum.
type PlacementResponse struct {
	Engine string  `json:"engine"`
	Score  float64 `json:"score"`
	// Refused is why a request that may wait was refused, RetryAfterMillis when to retry.
	Refused          string `json:"refused,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// Options configures a [Planner].
type Options struct {
	Self  string
	Table *membership.Table
	Key   peer.Key
	State *platformstate.State
	// ColdLimits limits the request rate of cold servers.
	ColdLimits balancer.ColdLimits
	// Share returns the place of this instance among those that share the limits of a server; nil
	// means that all share them evenly.
	Share func(now time.Time, server string) pushback.Share
	// OwnLoads returns this instance's load on each server.
	OwnLoads func() map[string]balancer.Load
	// LoadChanged signals a change of this instance's load.
	LoadChanged <-chan struct{}
	// Failures returns the decayed number of recent failures of a server.
	Failures func(now time.Time, id string) float64
	// Pace, if set, makes the planner use the measured pace of engines.
	Pace *PaceOptions
	// Handover makes handovers keep to the time between the notice of an engine and its exit; nil
	// means that they don't.
	Handover *Handover
	// Queue, if set, lets generations wait at the planner while engines have no free memory.
	Queue *QueueOptions
	Log   zerolog.Logger
	Now   func() time.Time
}

// Planner requests plans from the planning instance, or makes them if it is this one. It is safe
// for concurrent use.
type Planner struct {
	opts         Options
	schedule     *Schedule
	loads        *Loads
	loadBalancer *balancer.Balancer
	rpc          *instancerpc.Client
	// paces is nil without [Options.Pace].
	paces  *paces
	bounds *bounds
	// requestPlacement sends a placement request to the instance with the given address. Its errors
	// carry a Connect code.
	requestPlacement func(ctx context.Context, address string, r PlacementRequest) (PlacementResponse, error)
	// queues holds the requests that wait here; nil without [Options.Queue].
	queues *placementQueues
	// waits holds the last wait or Retry-After of each group, in seconds.
	waits map[string]groupScore
	// heldCalls limits the calls that wait at other planners.
	heldCalls chan struct{}

	mu sync.Mutex
	// backoff holds the planners that didn't answer, and until when they aren't asked.
	backoff map[string]time.Time
	// scores holds the last score of each group.
	scores map[string]groupScore
	// groupCache holds the groups of each service.
	groupCache map[string]serviceGroups
}

// New returns a planner.
func New(opts Options) *Planner {
	p := &Planner{
		opts: opts, schedule: NewSchedule(), loads: NewLoads(isAlive(opts.Table)), rpc: instancerpc.NewClient(opts.Key, opts.Self, transferTimeout),
		backoff: map[string]time.Time{}, scores: map[string]groupScore{}, groupCache: map[string]serviceGroups{},
	}
	p.loadBalancer = balancer.New(opts.ColdLimits, rand.New(rand.NewPCG(rand.Uint64(), 3)), p.loads.ForEngine)
	p.loadBalancer.SetExternalFailures(opts.Failures)
	p.loadBalancer.SetShare(opts.Share)
	if p.paces = newPaces(opts.Pace); p.paces != nil {
		p.loadBalancer.SetPace(p.plannedPace)
	}
	p.requestPlacement = p.callPlace
	if p.bounds = newBounds(opts.Handover); p.bounds != nil {
		p.loadBalancer.SetHandover(p.bounds.notices.Notice)
	}
	if opts.Queue != nil {
		p.queues, p.heldCalls, p.waits = newPlacementQueues(opts.Queue.Scope), make(chan struct{}, maxHeldCalls), map[string]groupScore{}
	}
	return p
}

// isAlive returns a function that reports whether an instance isn't known to be down.
func isAlive(table *membership.Table) func(id string) bool {
	return func(id string) bool {
		r, ok := table.Get(id)
		return !ok || !r.Down
	}
}

// RequestTransfer requests a transfer slot from the instance that plans for the group of the engine
// that shuts down.
func (p *Planner) RequestTransfer(ctx context.Context, l TransferRequest) (TransferResponse, error) {
	l.Instance = p.opts.Self
	address, ok := p.plannerAddress(p.groupKeyOf(l.Service, l.Zone, l.Engine), 0)
	if !ok {
		return TransferResponse{}, ErrUnavailable
	}
	if address == "" {
		return p.scheduleCopy(ctx, l)
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	client := connect.NewClient[TransferRequest, TransferResponse](p.rpc.HTTP, "http://"+address+transferProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&l)
	p.rpc.Sign(p.opts.Now(), req.Header(), transferProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil && l.Repeated && connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return TransferResponse{}, merry.Wrap(ErrLate, merry.WithCause(err))
	}
	if err != nil {
		return TransferResponse{}, p.recordFailure(address, err)
	}
	return *res.Msg, nil
}

// Place returns the engine that a generation starts on. If the engines of one group are busy or
// full, the next group is asked. If all groups are, the generation queues at the least loaded
// engine of the least busy group.
func (p *Planner) Place(ctx context.Context, r PlacementRequest) (string, error) {
	r.Instance = p.opts.Self
	all, _ := p.groups(r.Service)
	groups := p.bestGroups(p.opts.Now(), all, r.Zone, r.RequestID, maxGroups)
	if len(groups) > 1 {
		r.MaxScore = busyScore
	}
	bestGroup, bestScore, err := "", float64(fullScore), ErrUnavailable
	for _, g := range groups {
		r.Group = g.key
		res, failure := p.placeIn(ctx, r)
		if failure == nil && res.Engine != "" {
			p.recordScore(g.key, p.opts.Now(), res.Score)
			return res.Engine, nil
		}
		if failure != nil {
			res.Score = fullScore
		}
		p.recordScore(g.key, p.opts.Now(), res.Score)
		if failure == nil && res.Score < bestScore {
			bestGroup, bestScore = g.key, res.Score
		}
		if failure != nil && !errors.Is(err, ErrFull) {
			err = failure
		}
	}
	switch {
	case bestGroup != "":
		r.Group, r.MaxScore = bestGroup, 0
	case errors.Is(err, ErrFull):
		if engine, err := p.await(ctx, r, groups); !errors.Is(err, errNotQueued) {
			return engine, err
		}
		r.Group, r.MaxScore, r.Force = groups[0].key, 0, true
	default:
		return "", err
	}
	res, err := p.placeIn(ctx, r)
	return res.Engine, err
}

// fullScore is the score of a group without capacity or without a reachable planner.
const fullScore = 10

// placeIn requests an engine of one group. If its planner doesn't answer, the next instance is
// asked, once.
func (p *Planner) placeIn(ctx context.Context, r PlacementRequest) (PlacementResponse, error) {
	for candidate := range maxPlanners {
		address, ok := p.plannerAddress(r.Group, candidate)
		if !ok {
			continue
		}
		res, err := p.placeAt(ctx, address, r)
		if err == nil || errors.Is(err, ErrFull) {
			return res, err
		}
	}
	return PlacementResponse{}, ErrUnavailable
}

func (p *Planner) placeAt(ctx context.Context, address string, r PlacementRequest) (PlacementResponse, error) {
	if address == "" {
		return p.chooseEngine(r)
	}
	res, err := p.requestPlacement(ctx, address, r)
	if err != nil {
		return PlacementResponse{}, p.recordFailure(address, err)
	}
	return res, nil
}

// callPlace sends a placement request over HTTP.
func (p *Planner) callPlace(ctx context.Context, address string, r PlacementRequest) (PlacementResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit(r))
	defer cancel()
	client := connect.NewClient[PlacementRequest, PlacementResponse](p.rpc.HTTP, "http://"+address+placeProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.rpc.Sign(p.opts.Now(), req.Header(), placeProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return PlacementResponse{}, err
	}
	return *res.Msg, nil
}

// plannerAddress returns the address of the instance that plans for a key. It is empty for this
// instance; ok is false during the backoff of the planner. Owners count from 0.
func (p *Planner) plannerAddress(key string, owner int) (string, bool) {
	now := p.opts.Now()
	owners := p.opts.Table.Owners(key, owner+1)
	if len(owners) <= owner {
		return "", owner == 0
	}
	if owners[owner].ID == p.opts.Self {
		return "", true
	}
	address := owners[owner].Peer
	p.mu.Lock()
	defer p.mu.Unlock()
	return address, !now.Before(p.backoff[address])
}

// recordFailure starts the backoff of a planner that didn't answer and closes its connection, since
// the connection may be what failed.
func (p *Planner) recordFailure(address string, err error) error {
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return merry.Wrap(ErrFull, merry.WithCause(err))
	}
	p.mu.Lock()
	p.backoff[address] = p.opts.Now().Add(plannerBackoff)
	p.mu.Unlock()
	p.rpc.CloseIdleConnections()
	p.opts.Log.Info().Str("peer", address).Err(err).Msg("planner doesn't answer")
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}
