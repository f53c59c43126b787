// Package planner has one instance plan for a group of model engines: which
// engine a generation begins on, and when a generation that leaves its engine
// is copied, and to which.
//
// Instances report what they have on the engines of a group to the one among them
// that plans for it, found by hashing, which adds what it has assigned since. It
// holds no right: an instance that can't reach it asks the next one, or decides by
// itself.
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
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

const (
	turnProcedure   = "/pollenspindle.planner.v1.Planner/Turn"
	placeProcedure  = "/pollenspindle.planner.v1.Planner/Place"
	reportProcedure = "/pollenspindle.planner.v1.Planner/Report"
	// turnTimeout bounds the call for a turn: its answer takes gather and two
	// ways, and an engine that leaves stays for one and a half seconds.
	turnTimeout = 150 * time.Millisecond
	// placeTimeout bounds the call for an engine, which takes some
	// milliseconds: a prompt is read in a few hundred.
	placeTimeout = 60 * time.Millisecond
	// plannerBackoff is how long a planner that didn't answer isn't asked again.
	plannerBackoff = time.Second
	// maxGroups is how many groups are asked for room, maxOwners how many
	// instances for a plan of one group.
	maxGroups = 3
	maxOwners = 2
)

// ErrUnavailable means that no plan was to be had; the asker goes on by itself.
var ErrUnavailable = merry.Sentinel("no plan to be had")

// ErrFull means that no engine has room now.
var ErrFull = merry.Sentinel("no engine has room")

// Leaving is a generation whose engine leaves.
type Leaving struct {
	Run     string `json:"run"`
	Service string `json:"service"`
	// By is the instance that asks.
	By string `json:"by"`
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
	Group string `json:"group"`
	Zone  string `json:"zone"`
	// Prompt is to be read, Need the memory that the generation is expected to
	// need in all, in tokens.
	Prompt int `json:"prompt"`
	Need   int `json:"need"`
	// Most is the score above which it isn't placed, 0 for none: the asker has
	// other groups to ask.
	Most float64 `json:"most,omitempty"`
	// Within is the time in milliseconds in which the first token is wanted, 0 for
	// no such time: a generation that would begin later is refused.
	Within int64 `json:"within,omitempty"`
	// Anyway has it placed on the least loaded engine where all are full.
	Anyway bool `json:"anyway,omitempty"`
	// Excluded are engines that it must not begin on.
	Excluded []string `json:"excluded,omitempty"`
}

// Placed is the id of the engine that a generation begins on, or none where the
// score of the best is above what the asker wants, and that score.
type Placed struct {
	Engine string  `json:"engine"`
	Score  float64 `json:"score"`
}

// Options configures a [Planner].
type Options struct {
	Self  string
	Table *membership.Table
	Key   peer.Key
	State *observed.State
	// Bounds are the deployment's limits on cold servers.
	Bounds balancer.Bounds
	// Own returns what this instance has on the servers.
	Own func() map[string]balancer.Load
	// Changed has an entry after that has changed.
	Changed <-chan struct{}
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
	loads    *Loads
	plan     *balancer.Balancer
	caller   *peerrpc.Client

	mu sync.Mutex
	// backoff are planners that didn't answer, and until when they aren't asked.
	backoff map[string]time.Time
	// scores are by group.
	scores map[string]score
	// grouped are by service.
	grouped map[string]grouped
}

// New returns a planner.
func New(opts Options) *Planner {
	p := &Planner{
		opts: opts, schedule: NewSchedule(), loads: NewLoads(running(opts.Table)), caller: peerrpc.NewClient(opts.Key, opts.Self, turnTimeout),
		backoff: map[string]time.Time{}, scores: map[string]score{}, grouped: map[string]grouped{},
	}
	p.plan = balancer.New(opts.Bounds, rand.New(rand.NewPCG(rand.Uint64(), 3)), p.loads.On)
	p.plan.HearFailures(opts.Failures)
	return p
}

// running reports of an instance whether it isn't known to be down.
func running(table *membership.Table) func(id string) bool {
	return func(id string) bool {
		r, ok := table.Get(id)
		return !ok || !r.Down
	}
}

// Ask gets the turn of a copy from the instance that plans for the group of the
// engine that leaves.
func (p *Planner) Ask(ctx context.Context, l Leaving) (Turn, error) {
	l.By = p.opts.Self
	address, ok := p.planner(p.keyOf(l.Service, l.Zone, l.Engine), 0)
	if !ok {
		return Turn{}, ErrUnavailable
	}
	if address == "" {
		return p.scheduleCopy(ctx, l)
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	client := connect.NewClient[Leaving, Turn](p.caller.HTTP, "http://"+address+turnProcedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(&l)
	p.caller.Sign(p.opts.Now(), req.Header(), turnProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return Turn{}, p.failed(address, err)
	}
	return *res.Msg, nil
}

// Place gets the engine that a generation begins on. Where the engines of one
// group are busy or full, those of the next are asked for; where all are, the
// generation waits at the least loaded engine of the least busy group.
func (p *Planner) Place(ctx context.Context, r Placing) (string, error) {
	r.By = p.opts.Self
	all, _ := p.groups(r.Service)
	groups := p.inOrder(p.opts.Now(), all, r.Zone, r.Request)
	groups = groups[:min(len(groups), maxGroups)]
	if len(groups) > 1 {
		r.Most = busyScore
	}
	least, leastScore, err := "", float64(fullScore), ErrUnavailable
	for _, g := range groups {
		r.Group = g.key
		placed, failure := p.placeIn(ctx, r)
		if failure == nil && placed.Engine != "" {
			p.noteScore(g.key, p.opts.Now(), placed.Score)
			return placed.Engine, nil
		}
		if failure != nil {
			placed.Score = fullScore
		}
		p.noteScore(g.key, p.opts.Now(), placed.Score)
		if failure == nil && placed.Score < leastScore {
			least, leastScore = g.key, placed.Score
		}
		if failure != nil && !errors.Is(err, ErrFull) {
			err = failure
		}
	}
	switch {
	case least != "":
		r.Group, r.Most = least, 0
	case errors.Is(err, ErrFull):
		r.Group, r.Most, r.Anyway = groups[0].key, 0, true
	default:
		return "", err
	}
	placed, err := p.placeIn(ctx, r)
	return placed.Engine, err
}

// fullScore is the score of a group without room or without a planner.
const fullScore = 10

// placeIn asks for an engine of one group. Where the instance that plans for it
// doesn't answer, the next one is asked, once.
func (p *Planner) placeIn(ctx context.Context, r Placing) (Placed, error) {
	for owner := range maxOwners {
		address, ok := p.planner(r.Group, owner)
		if !ok {
			continue
		}
		placed, err := p.placeAt(ctx, address, r)
		if err == nil || errors.Is(err, ErrFull) {
			return placed, err
		}
	}
	return Placed{}, ErrUnavailable
}

func (p *Planner) placeAt(ctx context.Context, address string, r Placing) (Placed, error) {
	if address == "" {
		return p.begin(r)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	client := connect.NewClient[Placing, Placed](p.caller.HTTP, "http://"+address+placeProcedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.caller.Sign(p.opts.Now(), req.Header(), placeProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return Placed{}, p.failed(address, err)
	}
	return *res.Msg, nil
}

// planner returns the address of the instance that plans for a key, nothing for
// this one, and false while it isn't to be asked. The first owner is 0.
func (p *Planner) planner(key string, owner int) (string, bool) {
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

// failed notes that a planner didn't answer: it isn't asked for a while, and on a
// new connection afterwards, as the kept one may be what is lost.
func (p *Planner) failed(address string, err error) error {
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return merry.Wrap(ErrFull, merry.WithCause(err))
	}
	p.mu.Lock()
	p.backoff[address] = p.opts.Now().Add(plannerBackoff)
	p.mu.Unlock()
	p.caller.CloseIdleConnections()
	p.opts.Log.Info().Str("peer", address).Err(err).Msg("planner doesn't answer")
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}
