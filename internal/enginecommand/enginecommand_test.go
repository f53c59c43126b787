package enginecommand_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/commandlock"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/enginecommand"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// longTiming is for tests in which nothing may time out.
var longTiming = commandlock.Timing{SendTimeout: time.Hour, MaxDuration: time.Hour}

// platform is an object store. The next lose writes take effect without a response; the next drop
// writes neither take effect nor get a response.
type platform struct {
	mu         sync.Mutex
	version    int64
	objects    map[string]objectapi.Object
	lose, drop int
	onWrite    func(name string)
}

func (p *platform) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[kind+"/"+name]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (p *platform) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error) {
	return p.Update(ctx, kind, name, 0, value)
}

func (p *platform) Update(_ context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.objects[kind+"/"+name]; current.Version != version {
		return objectapi.Object{}, &objectapi.ConflictError{Current: current}
	}
	if p.onWrite != nil {
		p.onWrite(name)
	}
	if name == "engine-1" && p.drop > 0 {
		p.drop--
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	p.version++
	o := objectapi.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects[kind+"/"+name] = o
	if name == "engine-1" && p.lose > 0 {
		p.lose--
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	return o, nil
}

// record returns the lock record of the engine.
func (p *platform) record(t *testing.T) commandlock.Record {
	o, err := p.Get(t.Context(), "fencing", "engine-1")
	require.NoError(t, err)
	var r commandlock.Record
	require.NoError(t, json.Unmarshal(o.Value, &r))
	return r
}

// addHeldLock adds a lock held by another instance that has crashed.
func (p *platform) addHeldLock(t *testing.T, name string) {
	value, err := json.Marshal(commandlock.Record{WriteID: "other", Holder: "entry-2"})
	require.NoError(t, err)
	_, err = p.Create(t.Context(), "fencing", name, value)
	require.NoError(t, err)
}

// engines is a single engine that records its commands.
type engines struct {
	mu       sync.Mutex
	state    engine.State
	commands []engine.Command
	// err is returned for each command. If noEffect is set, commands have no effect.
	err      error
	noEffect bool
	hold     chan struct{}
}

func (e *engines) State(context.Context, string) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engines) SendCommand(_ context.Context, _ string, o engine.Command) (engine.State, error) {
	e.mu.Lock()
	e.commands = append(e.commands, o)
	hold := e.hold
	e.mu.Unlock()
	if hold != nil {
		<-hold
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.noEffect {
		e.state.Models = []engine.ModelVersion{{Name: o.Name, Version: o.Version}}
	}
	return e.state, e.err
}

func (e *engines) commandCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.commands)
}

// fakeOwnership is an ownership that can be lost.
type fakeOwnership struct{ role atomic.Int64 }

func (r *fakeOwnership) Authority(time.Time, roster.Server) permit.Authority {
	return permit.Authority{Role: permit.Role(r.role.Load())}
}

type fixture struct {
	platform  *platform
	engines   *engines
	ownership *fakeOwnership
	executor  *enginecommand.Executor
}

func start(t *testing.T, timing commandlock.Timing, fencing pollenspindle.Fencing) *fixture {
	t.Helper()
	f := &fixture{platform: &platform{objects: map[string]objectapi.Object{}}, engines: &engines{}, ownership: &fakeOwnership{}}
	f.ownership.role.Store(int64(permit.RoleOwner))
	cfg := pollenspindle.Config{
		Models: []pollenspindle.Model{{Name: "briefing", Version: "3", Service: "s"}, {Name: "foreign", Service: "other"}},
	}
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		cfg.Servers = append(cfg.Servers, pollenspindle.Server{Name: name, Service: "s", Fencing: fencing})
	}
	snap := config.NewSnapshot(1, cfg)
	executor, err := enginecommand.New(enginecommand.Options{
		Self: "entry-1", Objects: f.platform, Engines: f.engines, Ownership: f.ownership, Timing: timing,
		Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	t.Cleanup(executor.Close)
	f.executor = executor
	return f
}

func (f *fixture) load(t *testing.T, server string) (enginecommand.Outcome, error) {
	return f.executor.Load(t.Context(), enginecommand.Command{Server: server, Model: "briefing"})
}

func TestLoadReadsTheStateBeforeAndAfter(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingIgnored)
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, enginecommand.StateLoaded, outcome.State)
	require.Equal(t, []engine.Command{{FencingToken: outcome.FencingToken, Kind: engine.CommandLoadModel, Name: "briefing", Version: "3"}}, f.engines.commands)
	require.True(t, f.platform.record(t).Ended)
	again, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, enginecommand.Outcome{State: enginecommand.StateAlreadyLoaded}, again)
	require.Equal(t, 1, f.engines.commandCount())

	f.engines.state, f.engines.noEffect = engine.State{}, true
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrSuperseded, "the engine accepted the command without effect")
	_, err = f.executor.Load(t.Context(), enginecommand.Command{Server: "engine-1", Model: "foreign"})
	require.ErrorIs(t, err, enginecommand.ErrInvalid)
}

// The platform's response to acquiring the lock is lost. If the write is there when read back, the
// command continues with its token. If not, nothing is sent, since the write may still take effect
// after another instance has acquired the lock.
func TestLostResponseOfThePlatform(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingIgnored)
	f.platform.drop = 1
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrSuperseded)
	require.Zero(t, f.engines.commandCount())
	f.platform.lose = 1
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, enginecommand.StateLoaded, outcome.State)
	require.Equal(t, outcome.FencingToken, f.engines.commands[0].FencingToken)
}

// The engine's response is lost and its state doesn't show the effect: the command may still be
// running. Its lock stays held, and a repetition has to wait.
func TestLostResponseOfTheEngine(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingIgnored)
	f.engines.err, f.engines.noEffect = engine.ErrUnknownOutcome, true
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrUnknownOutcome)
	require.False(t, f.platform.record(t).Ended)
	var busy *enginecommand.BusyError
	_, err = f.load(t, "engine-1")
	require.ErrorAs(t, err, &busy)
	require.Equal(t, 1, f.engines.commandCount())

	f = start(t, longTiming, pollenspindle.FencingIgnored)
	f.engines.err = engine.ErrUnknownOutcome
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, enginecommand.StateLoaded, outcome.State, "the state shows the effect")
	require.True(t, f.platform.record(t).Ended)
}

// Another instance crashed with its lock held. An engine that checks fencing tokens gets the next
// command at once; for one that ignores them, the command waits until the other must be over.
func TestLockOfACrashedHolder(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingChecked)
	f.platform.addHeldLock(t, "engine-1")
	_, err := f.load(t, "engine-1")
	require.NoError(t, err)

	f = start(t, commandlock.Timing{SendTimeout: time.Second, MaxDuration: time.Second}, pollenspindle.FencingIgnored)
	f.platform.addHeldLock(t, "engine-1")
	started := time.Now()
	var busy *enginecommand.BusyError
	_, err = f.load(t, "engine-1")
	require.ErrorAs(t, err, &busy)
	require.Equal(t, "entry-2", busy.Holder)
	require.Eventually(t, func() bool {
		_, err = f.load(t, "engine-1")
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), 2*time.Second)
}

// The process is paused while it acquires the lock. When it resumes it is no longer the owner, or
// too late. Nothing is sent and the lock is released.
func TestPausedHolderSendsNothing(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingIgnored)
	f.platform.onWrite = func(name string) {
		if name == "engine-1" {
			f.ownership.role.Store(int64(permit.RoleNone))
		}
	}
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrSuperseded)
	require.True(t, f.platform.record(t).Ended)
	f.ownership.role.Store(int64(permit.RoleWaiting))
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrNotOwner)

	f = start(t, commandlock.Timing{SendTimeout: time.Nanosecond, MaxDuration: time.Hour}, pollenspindle.FencingChecked)
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, enginecommand.ErrSuperseded)
	require.Zero(t, f.engines.commandCount())
}

// Many loads are requested at the same time, here and on other instances. The weight store gets two
// at most, and an engine gets one command at a time.
func TestConcurrentLoads(t *testing.T) {
	f := start(t, longTiming, pollenspindle.FencingIgnored)
	f.platform.addHeldLock(t, "load slot 0")
	hold := make(chan struct{})
	f.engines.hold = hold
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			outcome, err := f.load(t, "engine-1")
			// The second call may start after the first load has ended.
			if err != nil || outcome.State == enginecommand.StateLoading {
				t.Errorf("load: %v %v", outcome, err)
			}
		})
	}
	require.Eventually(t, func() bool { return f.engines.commandCount() == 1 }, time.Minute, time.Millisecond)
	var busy *enginecommand.BusyError
	_, err := f.executor.Load(t.Context(), enginecommand.Command{Server: "engine-1", Model: "briefing", Version: "4"})
	require.ErrorAs(t, err, &busy)
	_, err = f.load(t, "engine-2")
	require.ErrorAs(t, err, &busy, "both load slots are in use")
	close(hold)
	wg.Wait()
	require.Equal(t, 1, f.engines.commandCount(), "one command for repeated calls")
	require.Eventually(t, func() bool {
		_, err = f.executor.Load(t.Context(), enginecommand.Command{Server: "engine-2", Model: "briefing", Version: "4"})
		return err == nil
	}, time.Minute, time.Millisecond)
}
