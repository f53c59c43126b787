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
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/routes"
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
	// handOver is how long the load of what was given out is counted here. By
	// then the instance that got it has told of it.
	handOver = 1200 * time.Millisecond
	// usualRest is what a generation of which nothing else is known is expected
	// to make yet, in tokens: half of a usual one.
	usualRest = 450
	// groupSize is up to how many engines one instance plans for. Choosing
	// among two dozen is nearly as good as among all, and a planner has some
	// dozen calls a second at the size designed for.
	groupSize = 32
)

// ErrUnavailable means that no plan was to be had; the asker goes on by itself.
var ErrUnavailable = merry.Sentinel("no plan to be had")

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

	mu    sync.Mutex
	turns map[string]*connect.Client[Leaving, Turn]
	place map[string]*connect.Client[Placing, Placed]
	// resting are planners that didn't answer, and until when they aren't asked.
	resting map[string]time.Time
}

// New returns a planner.
func New(opts Options) *Planner {
	p := &Planner{
		opts: opts, schedule: NewSchedule(), client: gossip.NewClient(turnTimeout), resting: map[string]time.Time{},
		turns: map[string]*connect.Client[Leaving, Turn]{}, place: map[string]*connect.Client[Placing, Placed]{},
	}
	known := func(now time.Time, id string) gossip.Load {
		others, own := opts.Table.Load(now, id), opts.Own(id)
		return gossip.Load{Running: others.Running + own.Running, Tokens: others.Tokens + own.Tokens}
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
	req := connect.NewRequest(&l)
	req.Header().Set(gossip.AuthField, p.opts.Key.Token(p.opts.Now(), p.opts.Self, turnProcedure))
	res, err := p.turnClient(address).CallUnary(ctx, req)
	if err != nil {
		return Turn{}, p.failed(address, err)
	}
	return *res.Msg, nil
}

// Place gets the engine that a generation begins on.
func (p *Planner) Place(ctx context.Context, r Placing) (string, error) {
	groups := groupsOf(len(p.opts.State.Servers(r.Service)))
	r.Group = int(xxhash.Sum64String(r.Request) % uint64(groups))
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
	req := connect.NewRequest(&r)
	req.Header().Set(gossip.AuthField, p.opts.Key.Token(p.opts.Now(), p.opts.Self, placeProcedure))
	res, err := p.placeClient(address).CallUnary(ctx, req)
	if err != nil {
		return "", p.failed(address, err)
	}
	return res.Msg.Engine, nil
}

// groupsOf returns into how many groups engines are divided.
func groupsOf(engines int) int { return max(1, (engines+groupSize-1)/groupSize) }

// inGroup returns the engines of one group.
func inGroup(engines []observed.Server, group int) []observed.Server {
	groups := groupsOf(len(engines))
	if groups == 1 {
		return engines
	}
	var out []observed.Server
	for i := range engines {
		if int(xxhash.Sum64String(engines[i].ID)%uint64(groups)) == group {
			out = append(out, engines[i])
		}
	}
	return out
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
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		p.mu.Lock()
		p.resting[address] = p.opts.Now().Add(restAfter)
		p.mu.Unlock()
		p.client.CloseIdleConnections()
		p.opts.Log.Info().Str("peer", address).Err(err).Msg("planner doesn't answer")
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}

func (p *Planner) turnClient(address string) *connect.Client[Leaving, Turn] {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.turns[address]
	if !ok {
		c = connect.NewClient[Leaving, Turn](p.client, "http://"+address+turnProcedure, connect.WithCodec(gossip.PlainJSON{}))
		p.turns[address] = c
	}
	return c
}

func (p *Planner) placeClient(address string) *connect.Client[Placing, Placed] {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.place[address]
	if !ok {
		c = connect.NewClient[Placing, Placed](p.client, "http://"+address+placeProcedure, connect.WithCodec(gossip.PlainJSON{}))
		p.place[address] = c
	}
	return c
}

// Handlers answer other instances, by path.
func (p *Planner) Handlers() map[string]http.Handler {
	turn := func(ctx context.Context, req *connect.Request[Leaving]) (*connect.Response[Turn], error) {
		if err := p.check(req.Header(), turnProcedure); err != nil {
			return nil, err
		}
		return reply(p.turn(ctx, *req.Msg))
	}
	place := func(_ context.Context, req *connect.Request[Placing]) (*connect.Response[Placed], error) {
		if err := p.check(req.Header(), placeProcedure); err != nil {
			return nil, err
		}
		placed, err := p.begin(*req.Msg, false)
		if err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
		}
		return connect.NewResponse(&placed), nil
	}
	codec := connect.WithCodec(gossip.PlainJSON{})
	return map[string]http.Handler{
		turnProcedure:  connect.NewUnaryHandler(turnProcedure, turn, codec),
		placeProcedure: connect.NewUnaryHandler(placeProcedure, place, codec),
	}
}

func reply(t Turn, err error) (*connect.Response[Turn], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
	}
	return connect.NewResponse(&t), nil
}

func (p *Planner) check(header http.Header, procedure string) error {
	if _, err := p.opts.Key.Check(p.opts.Now(), header.Get(gossip.AuthField), procedure); err != nil {
		return connect.NewError(connect.CodeUnauthenticated, peer.ErrUnauthenticated)
	}
	return nil
}

// engines returns the service of engines of this name.
func (p *Planner) engines(name string) (*routes.Service, error) {
	table := p.opts.State.Table()
	if table == nil {
		return nil, ErrUnavailable
	}
	service, ok := table.Service(name)
	if !ok || service.Engine == nil {
		return nil, ErrUnavailable
	}
	return service, nil
}

// begin chooses the engine that a generation begins on. What this instance asks
// itself for is known of it at once.
func (p *Planner) begin(r Placing, own bool) (Placed, error) {
	service, err := p.engines(r.Service)
	if err != nil {
		return Placed{}, err
	}
	excluded := map[string]bool{}
	for _, id := range r.Excluded {
		excluded[id] = true
	}
	engines := inGroup(p.opts.State.Servers(r.Service), r.Group)
	picked, ok := p.plan.Pick(p.opts.Now(), balancer.Request{
		Service: service, Zone: r.Zone, Tokens: r.Need, Prompt: r.Prompt, Excluded: excluded,
		Instances: p.opts.Table.Count(), Whole: true,
	}, engines).(balancer.Picked)
	if !ok {
		return Placed{}, ErrUnavailable
	}
	if own {
		p.plan.Done(picked.Place)
	} else {
		time.AfterFunc(handOver, func() { p.plan.Done(picked.Place) })
	}
	return Placed{Engine: picked.Place.Server.ID}, nil
}

// turn plans a copy: where to, and when.
func (p *Planner) turn(ctx context.Context, l Leaving) (Turn, error) {
	service, err := p.engines(l.Service)
	if err != nil {
		return Turn{}, err
	}
	now := p.opts.Now()
	decided := p.schedule.Add(now, Copy{Run: l.Run, From: l.Engine, Tokens: l.Tokens})
	if objectapi.Pause(ctx, decided.Sub(now)) != nil {
		return Turn{}, ErrUnavailable
	}
	now = p.opts.Now()
	booked, ok := p.schedule.Turn(now, l.Engine, l.Run, &room{p: p, now: now, service: service, leaving: l})
	if !ok {
		return Turn{}, ErrUnavailable
	}
	wait := max(0, booked.At.Sub(now))
	p.opts.Log.Info().Str("request", l.Run).Str("from", l.Engine).Str("to", booked.To).Int("tokens", l.Tokens).
		Dur("wait", wait).Dur("takes", booked.Takes).Msg("turn given")
	return Turn{WaitMillis: wait.Milliseconds(), To: booked.To}, nil
}

// room knows which engines have room for the copies of one that leaves.
type room struct {
	p       *Planner
	now     time.Time
	service *routes.Service
	leaving Leaving
	found   map[string]observed.Server
}

// For returns the engines with room, the freest first.
func (r *room) For(c Copy) []Target {
	free := r.p.plan.Free(r.now, balancer.Request{
		Service: r.service, Zone: r.leaving.Zone, Tokens: r.need(c), Excluded: map[string]bool{r.leaving.Engine: true},
		Instances: r.p.opts.Table.Count(),
	}, r.p.opts.State.Servers(r.service.Name))
	r.found = map[string]observed.Server{}
	targets := make([]Target, 0, len(free))
	for _, server := range free {
		r.found[server.ID] = server
		targets = append(targets, Target{ID: server.ID, Takes: migration.CopyTime(*r.service.Engine, c.Tokens, server.Zone != r.leaving.Zone)})
	}
	return targets
}

// need is the memory that a copy is expected to need: what the asker says, or
// for others of the same engine a little more than they have now.
func (r *room) need(c Copy) int {
	if c.Run == r.leaving.Run {
		return r.leaving.Need
	}
	return c.Tokens + usualRest
}

// Take counts a copy on the engine that it goes to, until others tell of it.
func (r *room) Take(c Copy, t Target) {
	place := balancer.Place{Server: r.found[t.ID], Tokens: r.need(c)}
	r.p.plan.Reserve(r.now, place)
	time.AfterFunc(handOver, func() { r.p.plan.Done(place) })
}
