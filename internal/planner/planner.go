// Package planner has one instance plan for a group of model engines: which
// engine a generation begins on, and when a generation that leaves its engine
// is copied, and to which.
//
// Instances tell each other of their loads once in a while. Prompts come faster
// than that: by what each knows, all choose the same engine, and all copy over
// the same link. So they ask one among them, found by hashing, that sees what it
// has given out in the meantime. It keeps nothing but some seconds of its own
// plan and holds no right: an instance that can't reach it decides by itself,
// and the next one begins with an empty plan.
//
// # Usage
//
//	p := planner.New(planner.Options{...})
//	engine, ok := p.Place(ctx, planner.Placing{...})
//	turn, err := p.Ask(ctx, planner.Leaving{...})
package planner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
)

const (
	turnProcedure  = "/pollenspindle.planner.v1.Planner/Turn"
	placeProcedure = "/pollenspindle.planner.v1.Planner/Place"
	// turnTimeout bounds the call for a turn: its answer takes gather and two
	// ways, and an engine that leaves stays for one and a half seconds.
	turnTimeout = 150 * time.Millisecond
	// placeTimeout bounds the call for an engine, which takes some
	// milliseconds: a prompt is read in a few hundred.
	placeTimeout = 60 * time.Millisecond
	// restAfter is how long a planner that didn't answer isn't asked again.
	restAfter = time.Second
	// maxGroups is how many groups are asked for room.
	maxGroups = 3
)

// ErrUnavailable means that no plan was to be had; the asker goes on by itself.
var ErrUnavailable = merry.Sentinel("no plan to be had")

// ErrFull means that no engine has room now.
var ErrFull = merry.Sentinel("no engine has room")

// Leaving is a generation whose engine leaves.
type Leaving struct {
	Run     string `json:"run"`
	Service string `json:"service"`
	// Engine is the id of the engine that leaves, Zone where it stands.
	Engine string `json:"engine"`
	Zone   string `json:"zone"`
	// Tokens are in memory now, Need is what the generation is expected to need.
	Tokens int `json:"tokens"`
	Need   int `json:"need"`
}

// Turn is when a generation is copied, and to which engine.
type Turn struct {
	WaitMillis int64  `json:"waitMillis"`
	To         string `json:"to"`
}

// Wait returns how long the asker waits before it begins to copy.
func (t Turn) Wait() time.Duration { return time.Duration(t.WaitMillis) * time.Millisecond }

// Placing is a generation that is to begin.
type Placing struct {
	Request string `json:"request"`
	Service string `json:"service"`
	// By is the instance that asks.
	By string `json:"by"`
	// Group is the group of engines that is planned for.
	Group int    `json:"group"`
	Zone  string `json:"zone"`
	// Prompt is to be read, Need the memory that the generation is expected to
	// need in all, in tokens.
	Prompt int `json:"prompt"`
	Need   int `json:"need"`
	// Excluded are engines that it must not begin on.
	Excluded []string `json:"excluded,omitempty"`
}

// Placed is the id of the engine that a generation begins on.
type Placed struct {
	Engine string `json:"engine"`
}

// Options configures a [Planner].
type Options struct {
	Self  string
	Table *gossip.Table
	Key   peer.Key
	State *observed.State
	// Bounds are the deployment's limits on cold servers, Own is what this
	// instance has put on a server.
	Bounds balancer.Bounds
	Own    func(id string) gossip.Load
	// Failures returns how often a server failed this instance lately.
	Failures func(now time.Time, id string) float64
	Log      zerolog.Logger
	Now      func() time.Time
}

// Planner asks the instance that plans, and answers where it is this one. It is
// safe for concurrent use.
type Planner struct {
	opts     Options
	schedule *Schedule
	// plan counts what was given out and isn't known otherwise yet.
	plan   *balancer.Balancer
	client *http.Client

	mu sync.Mutex
	// given is what was given out, until its instance has told of it.
	given []given
	// resting are planners that didn't answer, and until when they aren't asked.
	resting map[string]time.Time
}

// New returns a planner.
func New(opts Options) *Planner {
	p := &Planner{opts: opts, schedule: NewSchedule(), client: gossip.NewClient(turnTimeout), resting: map[string]time.Time{}}
	known := func(now time.Time, id string) gossip.Load {
		return opts.Table.Load(now, id).Plus(opts.Own(id))
	}
	p.plan = balancer.New(opts.Bounds, rand.New(rand.NewPCG(rand.Uint64(), 3)), known)
	p.plan.HearFailures(opts.Failures)
	return p
}

// Ask gets the turn of a copy from the instance that plans the links of the
// engine's service in its availability zone.
func (p *Planner) Ask(ctx context.Context, l Leaving) (Turn, error) {
	address, ok := p.planner(l.Service + "/" + l.Zone)
	if !ok {
		return Turn{}, ErrUnavailable
	}
	if address == "" {
		return p.turn(ctx, l)
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	client := connect.NewClient[Leaving, Turn](p.client, "http://"+address+turnProcedure, connect.WithCodec(gossip.PlainJSON{}))
	req := connect.NewRequest(&l)
	p.sign(req.Header(), turnProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return Turn{}, p.failed(address, err)
	}
	return *res.Msg, nil
}

// Place gets the engine that a generation begins on. Where the engines of one
// group are full, those of the next are asked for.
//
// Load: more generations than some groups have room for, while others have.
// Harm: those that found their group full were placed by what their instance had
// heard of a few engines drawn at random, seconds ago; they waited in queues for
// seconds beside engines with room.
func (p *Planner) Place(ctx context.Context, r Placing) (string, error) {
	r.By = p.opts.Self
	groups := groupsOf(len(p.opts.State.Servers(r.Service)))
	first := groupOf(r.Request, groups)
	for i := range min(groups, maxGroups) {
		r.Group = (first + i) % groups
		if engine, err := p.placeIn(ctx, r); !errors.Is(err, ErrFull) {
			return engine, err
		}
	}
	return "", merry.Wrap(ErrFull)
}

// placeIn asks for an engine of one group.
func (p *Planner) placeIn(ctx context.Context, r Placing) (string, error) {
	address, ok := p.planner(r.Service + "#" + strconv.Itoa(r.Group))
	if !ok {
		return "", ErrUnavailable
	}
	if address == "" {
		placed, err := p.begin(r, true)
		return placed.Engine, err
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	client := connect.NewClient[Placing, Placed](p.client, "http://"+address+placeProcedure, connect.WithCodec(gossip.PlainJSON{}))
	req := connect.NewRequest(&r)
	p.sign(req.Header(), placeProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return "", p.failed(address, err)
	}
	return res.Msg.Engine, nil
}

// planner returns the address of the instance that plans for a key, nothing for
// this one, and false while it rests.
func (p *Planner) planner(key string) (string, bool) {
	now := p.opts.Now()
	address := p.opts.Table.Planner(now, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	return address, !now.Before(p.resting[address])
}

// failed notes that a planner didn't answer.
//
// The failure: an instance dies, or a link goes silent, and for seconds nobody
// knows. Each generation would wait for it first. It is left alone for a while,
// and asked on a new connection afterwards, as the kept one may be what is lost.
func (p *Planner) failed(address string, err error) error {
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return merry.Wrap(ErrFull, merry.WithCause(err))
	}
	p.mu.Lock()
	p.resting[address] = p.opts.Now().Add(restAfter)
	p.mu.Unlock()
	p.client.CloseIdleConnections()
	p.opts.Log.Info().Str("peer", address).Err(err).Msg("planner doesn't answer")
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}
