// Package enginecommand sends commands to the model engines that this instance owns: to load a
// version of a model. Each command has a fencing token from the platform, an engine gets one
// command at a time, and the engine's state is read before and after. Package commandlock decides
// when a command may be sent.
//
// # Usage
//
//	g, err := enginecommand.New(enginecommand.Options{Self: id, Objects: objects, Engines: engines, Ownership: member, ...})
//	defer g.Close()
//	outcome, err := g.Load(ctx, enginecommand.Command{Server: "engine-1", Model: "briefing", Version: "3"})
package enginecommand

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/commandlock"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// maxConcurrentLoads is the number of loads that read from the weight store at the same time,
	// in the whole fleet. Two keep the store busy while one load starts or ends; more would not
	// finish sooner, since the store limits the rate.
	maxConcurrentLoads = 2
	// maxConcurrentCommands limits the commands that one instance runs at the same time.
	maxConcurrentCommands = maxConcurrentLoads
	// callTimeout is how long a call waits for its command, which continues afterwards. It is
	// shorter than the timeout of operators' calls.
	callTimeout = 8 * time.Second
	// stateTimeout limits the reading of an engine's state.
	stateTimeout = 2 * time.Second
)

// Engines calls model engines; *engine.Client implements it.
type Engines interface {
	State(ctx context.Context, address string) (engine.State, error)
	SendCommand(ctx context.Context, address string, o engine.Command) (engine.State, error)
}

// Ownership tells what this instance may do for an engine; *member.Member implements it.
type Ownership interface {
	Authority(now time.Time, s roster.Server) permit.Authority
}

// Options configures a [Executor].
type Options struct {
	Self      string
	Objects   Objects
	Engines   Engines
	Ownership Ownership
	Config    func() *config.Snapshot
	// Timing defaults to [commandlock.DefaultTiming]; tests set it.
	Timing commandlock.Timing
	Log    zerolog.Logger
}

// Executor runs engine commands. It is safe for concurrent use.
type Executor struct {
	opts   Options
	locks  *lockStore
	pool   *ants.Pool
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// running holds the current command of each engine.
	running map[string]*commandRun
}

// New returns an executor. Close it after use.
func New(opts Options) (*Executor, error) {
	if opts.Timing == (commandlock.Timing{}) {
		opts.Timing = commandlock.DefaultTiming
	}
	pool, err := ants.NewPool(maxConcurrentCommands, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "create pool for engine commands")
	}
	g := &Executor{
		opts: opts, pool: pool, running: map[string]*commandRun{},
		locks: &lockStore{objects: opts.Objects, timing: opts.Timing, holder: opts.Self, seen: map[string]observedVersion{}},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// Close stops waiting for running commands and frees the pool. The locks of commands that were sent
// stay held in the platform, so that the next holder waits for them.
func (g *Executor) Close() {
	g.cancel()
	g.pool.Release()
}

// Command asks an engine to load a version of a model.
type Command struct {
	Server string
	Model  string
	// Version defaults to the declared one.
	Version string
}

// Outcome is the result of a command.
type Outcome struct {
	// FencingToken is the token of the command; 0 if no command was needed or none was sent yet.
	FencingToken int64
	State        State
}

// State is the progress of a command.
type State string

// States of a command.
const (
	// StateAlreadyLoaded means that the engine had loaded the version before.
	StateAlreadyLoaded State = "alreadyLoaded"
	// StateLoaded means that the engine has loaded the version after the command.
	StateLoaded State = "loaded"
	// StateLoading means that the command is still running; repeating the call waits for it.
	StateLoading State = "loading"
)

// commandRun is one running command.
type commandRun struct {
	command      Command
	server       pollenspindle.Server
	rosterServer roster.Server
	done         chan struct{}
	outcome      Outcome
	err          error
}

// Load runs a command and waits for its end up to callTimeout. If the same command is already
// running, Load waits for that one; a different command for the same engine fails with *BusyError.
func (g *Executor) Load(ctx context.Context, o Command) (Outcome, error) {
	j, err := g.prepare(o)
	if err != nil {
		return Outcome{}, err
	}
	j, err = g.start(j)
	if err != nil {
		return Outcome{}, err
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-j.done:
		return j.outcome, j.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return Outcome{State: StateLoading}, nil
}

// prepare validates a command against the configuration.
func (g *Executor) prepare(o Command) (*commandRun, error) {
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
	rosterServer := roster.Server{Name: server.Name, ColdLimit: server.ColdLimit}
	if zone, ok := snap.Zones[server.Zone]; ok {
		rosterServer.Region = zone.Region
	}
	return &commandRun{command: o, server: *server, rosterServer: rosterServer, done: make(chan struct{})}, nil
}

// start starts j, or returns the same command if it is already running.
func (g *Executor) start(j *commandRun) (*commandRun, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current, ok := g.running[j.command.Server]; ok {
		if current.command == j.command {
			return current, nil
		}
		return nil, &BusyError{Holder: g.opts.Self, RetryAfter: g.opts.Timing.MaxDuration}
	}
	err := g.pool.Submit(func() {
		j.outcome, j.err = g.run(g.ctx, j)
		g.mu.Lock()
		delete(g.running, j.command.Server)
		g.mu.Unlock()
		close(j.done)
	})
	if err != nil {
		return nil, &BusyError{Holder: g.opts.Self, RetryAfter: g.opts.Timing.SendTimeout}
	}
	g.running[j.command.Server] = j
	return j, nil
}
