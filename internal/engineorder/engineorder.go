// Package engineorder gives orders to the model engines that this instance
// owns: to load a version of a model. Each order has a fencing number from the
// platform, one order at a time goes to an engine, and the engine's state is
// read before and after. Package order decides when one may go.
//
// # Usage
//
//	g, err := engineorder.New(engineorder.Options{Self: id, Objects: objects, Engines: engines, Rights: member, ...})
//	defer g.Close()
//	outcome, err := g.Load(ctx, engineorder.Order{Server: "engine-1", Model: "briefing", Version: "3"})
package engineorder

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/order"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// loadSlots is how many loads read from the weight store at the same time,
	// in the whole fleet. Two keep the store busy while one load begins or ends;
	// more would not finish sooner, since the rate is the store's.
	loadSlots = 2
	// workers bounds the orders of one instance at the same time.
	workers = loadSlots
	// waitFor is how long a call waits for its order; the order goes on after
	// it. It is below the time after which operators' calls end.
	waitFor = 8 * time.Second
	// stateTimeout bounds reading an engine's state.
	stateTimeout = 2 * time.Second
)

// Engines reaches model engines; it is *engine.Client.
type Engines interface {
	State(ctx context.Context, address string) (engine.State, error)
	Order(ctx context.Context, address string, o engine.Order) (engine.State, error)
}

// Rights says what this instance may do for an engine; it is *member.Member.
type Rights interface {
	Right(now time.Time, s roster.Server) permit.Authority
}

// Options is what a [Giver] needs.
type Options struct {
	Self    string
	Objects Objects
	Engines Engines
	Rights  Rights
	Config  func() *config.Snapshot
	// Timing is [order.DefaultTiming] but in tests.
	Timing order.Timing
	Log    zerolog.Logger
}

// Giver gives orders. It is safe for concurrent use.
type Giver struct {
	opts   Options
	rights *rights
	pool   *ants.Pool
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// running holds the order of each engine that has one.
	running map[string]*job
}

// New returns a giver; Close ends it.
func New(opts Options) (*Giver, error) {
	if opts.Timing == (order.Timing{}) {
		opts.Timing = order.DefaultTiming
	}
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of orders")
	}
	g := &Giver{
		opts: opts, pool: pool, running: map[string]*job{},
		rights: &rights{objects: opts.Objects, timing: opts.Timing, holder: opts.Self, seen: map[string]sighting{}},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// Close ends the orders that wait for an answer and frees the pool. What was
// sent is left open in the platform, so that the next holder waits for it.
func (g *Giver) Close() {
	g.cancel()
	g.pool.Release()
}

// Order asks for a version of a model on an engine.
type Order struct {
	Server string
	Model  string
	// Version is the declared one if empty.
	Version string
}

// Outcome tells what became of an order.
type Outcome struct {
	// Number is the fencing number; 0 if no order was needed or none given yet.
	Number int64
	State  State
}

// State is how far an order got.
type State string

// The states of an order.
const (
	// StateAlready means that the engine had the version without an order.
	StateAlready State = "alreadyLoaded"
	// StateLoaded means that the engine had it after the order.
	StateLoaded State = "loaded"
	// StateLoading means that the order goes on; asking again waits for it.
	StateLoading State = "loading"
)

// job is one order under way.
type job struct {
	order   Order
	server  pollenspindle.Server
	place   roster.Server
	done    chan struct{}
	outcome Outcome
	err     error
}

// Load gives an order and waits a while for its end. The same order while it
// is under way waits for that one; another for the same engine is busy.
func (g *Giver) Load(ctx context.Context, o Order) (Outcome, error) {
	j, err := g.prepare(o)
	if err != nil {
		return Outcome{}, err
	}
	j, err = g.start(j)
	if err != nil {
		return Outcome{}, err
	}
	timer := time.NewTimer(waitFor)
	defer timer.Stop()
	select {
	case <-j.done:
		return j.outcome, j.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return Outcome{State: StateLoading}, nil
}

// prepare checks the order against the configuration.
func (g *Giver) prepare(o Order) (*job, error) {
	snap := g.opts.Config()
	server, ok := snap.Servers[o.Server]
	if !ok {
		return nil, merry.Appendf(ErrInvalid, "backend server %q is not declared", o.Server)
	}
	model, ok := snap.Models[o.Model]
	if !ok {
		return nil, merry.Appendf(ErrInvalid, "model %q is not declared", o.Model)
	}
	if model.Service != server.Service {
		return nil, merry.Appendf(ErrInvalid, "model %q belongs to service %q, backend server %q to %q",
			o.Model, model.Service, o.Server, server.Service)
	}
	if o.Version == "" {
		o.Version = model.Version
	}
	place := roster.Server{Name: server.Name, ColdLimit: server.ColdLimit}
	if zone, ok := snap.Zones[server.Zone]; ok {
		place.Region = zone.Region
	}
	return &job{order: o, server: *server, place: place, done: make(chan struct{})}, nil
}

// start begins j, or returns the same order if it is under way.
func (g *Giver) start(j *job) (*job, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.running[j.order.Server]; ok {
		if old.order == j.order {
			return old, nil
		}
		return nil, &BusyError{Holder: g.opts.Self, For: g.opts.Timing.RunFor}
	}
	err := g.pool.Submit(func() {
		j.outcome, j.err = g.run(g.ctx, j)
		g.mu.Lock()
		delete(g.running, j.order.Server)
		g.mu.Unlock()
		close(j.done)
	})
	if err != nil {
		return nil, &BusyError{Holder: g.opts.Self, For: g.opts.Timing.SendWithin}
	}
	g.running[j.order.Server] = j
	return j, nil
}
