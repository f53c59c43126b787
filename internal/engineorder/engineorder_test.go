package engineorder_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/engineorder"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/order"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// long is for tests in which no time is to run out.
var long = order.Timing{SendWithin: time.Hour, RunFor: time.Hour}

// platform keeps objects. The next writes of lose take effect without answer,
// those of drop neither take effect nor are answered.
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

// record returns the object of the engine.
func (p *platform) record(t *testing.T) order.Record {
	o, err := p.Get(t.Context(), "fencing", "engine-1")
	require.NoError(t, err)
	var r order.Record
	require.NoError(t, json.Unmarshal(o.Value, &r))
	return r
}

// leaveOpen puts an order of another instance there, which has died.
func (p *platform) leaveOpen(t *testing.T, name string) {
	value, err := json.Marshal(order.Record{Token: "other", Holder: "entry-2"})
	require.NoError(t, err)
	_, err = p.Create(t.Context(), "fencing", name, value)
	require.NoError(t, err)
}

// engines is one engine; orders are what it was given.
type engines struct {
	mu     sync.Mutex
	state  engine.State
	orders []engine.Order
	// err is answered; useless orders have no effect.
	err     error
	useless bool
	hold    chan struct{}
}

func (e *engines) State(context.Context, string) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engines) Order(_ context.Context, _ string, o engine.Order) (engine.State, error) {
	e.mu.Lock()
	e.orders = append(e.orders, o)
	hold := e.hold
	e.mu.Unlock()
	if hold != nil {
		<-hold
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.useless {
		e.state.Models = []engine.ModelVersion{{Name: o.Name, Version: o.Version}}
	}
	return e.state, e.err
}

func (e *engines) given() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// rights is a right that can be lost.
type rights struct{ role atomic.Int64 }

func (r *rights) Right(time.Time, roster.Server) permit.Authority {
	return permit.Authority{Role: permit.Role(r.role.Load())}
}

type fixture struct {
	platform *platform
	engines  *engines
	rights   *rights
	giver    *engineorder.Giver
}

func start(t *testing.T, timing order.Timing, fencing pollenspindle.Fencing) *fixture {
	t.Helper()
	f := &fixture{platform: &platform{objects: map[string]objectapi.Object{}}, engines: &engines{}, rights: &rights{}}
	f.rights.role.Store(int64(permit.RoleOwner))
	cfg := pollenspindle.Config{
		Models: []pollenspindle.Model{{Name: "briefing", Version: "3", Service: "s"}, {Name: "alien", Service: "other"}},
	}
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		cfg.Servers = append(cfg.Servers, pollenspindle.Server{Name: name, Service: "s", Fencing: fencing})
	}
	snap := config.NewSnapshot(1, cfg)
	giver, err := engineorder.New(engineorder.Options{
		Self: "entry-1", Objects: f.platform, Engines: f.engines, Rights: f.rights, Timing: timing,
		Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	t.Cleanup(giver.Close)
	f.giver = giver
	return f
}

func (f *fixture) load(t *testing.T, server string) (engineorder.Outcome, error) {
	return f.giver.Load(t.Context(), engineorder.Order{Server: server, Model: "briefing"})
}

func TestLoadReadsTheStateBeforeAndAfter(t *testing.T) {
	f := start(t, long, pollenspindle.FencingIgnored)
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, engineorder.StateLoaded, outcome.State)
	require.Equal(t, []engine.Order{{FencingNumber: outcome.Number, Kind: engine.OrderLoadModel, Name: "briefing", Version: "3"}}, f.engines.orders)
	require.True(t, f.platform.record(t).Ended)
	again, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, engineorder.Outcome{State: engineorder.StateAlready}, again)
	require.Equal(t, 1, f.engines.given())

	f.engines.state, f.engines.useless = engine.State{}, true
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrOvertaken, "the engine said yes and has it not")
	_, err = f.giver.Load(t.Context(), engineorder.Order{Server: "engine-1", Model: "alien"})
	require.ErrorIs(t, err, engineorder.ErrInvalid)
}

// The platform's answer to the taking of the right is lost. If the write is
// there when read back, the order goes on under its number; if not, nothing is
// ordered, since the write may still land when another holds the right.
func TestLostAnswerOfThePlatform(t *testing.T) {
	f := start(t, long, pollenspindle.FencingIgnored)
	f.platform.drop = 1
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrOvertaken)
	require.Zero(t, f.engines.given())
	f.platform.lose = 1
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, engineorder.StateLoaded, outcome.State)
	require.Equal(t, outcome.Number, f.engines.orders[0].FencingNumber)
}

// The engine's answer is lost and its state does not show the effect: the
// order may still run. It stays open, and a repeat is told to wait.
func TestLostAnswerOfTheEngine(t *testing.T) {
	f := start(t, long, pollenspindle.FencingIgnored)
	f.engines.err, f.engines.useless = engine.ErrLost, true
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrUnknown)
	require.False(t, f.platform.record(t).Ended)
	var busy *engineorder.BusyError
	_, err = f.load(t, "engine-1")
	require.ErrorAs(t, err, &busy)
	require.Equal(t, 1, f.engines.given())

	f = start(t, long, pollenspindle.FencingIgnored)
	f.engines.err = engine.ErrLost
	outcome, err := f.load(t, "engine-1")
	require.NoError(t, err)
	require.Equal(t, engineorder.StateLoaded, outcome.State, "the state shows the effect")
	require.True(t, f.platform.record(t).Ended)
}

// Another instance died with an order open. An engine that checks numbers is
// ordered at once; for one that ignores them the order's time is waited out.
func TestOrderLeftOpen(t *testing.T) {
	f := start(t, long, pollenspindle.FencingChecked)
	f.platform.leaveOpen(t, "engine-1")
	_, err := f.load(t, "engine-1")
	require.NoError(t, err)

	f = start(t, order.Timing{SendWithin: time.Second, RunFor: time.Second}, pollenspindle.FencingIgnored)
	f.platform.leaveOpen(t, "engine-1")
	began := time.Now()
	var busy *engineorder.BusyError
	_, err = f.load(t, "engine-1")
	require.ErrorAs(t, err, &busy)
	require.Equal(t, "entry-2", busy.Holder)
	require.Eventually(t, func() bool {
		_, err = f.load(t, "engine-1")
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), 2*time.Second)
}

// The process is paused while it takes its right: when it goes on, it is no
// longer the owner, or too late. Nothing is sent and the right is given back.
func TestPausedHolderSendsNothing(t *testing.T) {
	f := start(t, long, pollenspindle.FencingIgnored)
	f.platform.onWrite = func(name string) {
		if name == "engine-1" {
			f.rights.role.Store(int64(permit.RoleNone))
		}
	}
	_, err := f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrOvertaken)
	require.True(t, f.platform.record(t).Ended)
	f.rights.role.Store(int64(permit.RoleWaiting))
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrNotOwner)

	f = start(t, order.Timing{SendWithin: time.Nanosecond, RunFor: time.Hour}, pollenspindle.FencingChecked)
	_, err = f.load(t, "engine-1")
	require.ErrorIs(t, err, engineorder.ErrOvertaken)
	require.Zero(t, f.engines.given())
}

// Many loads are asked for at the same time, here and elsewhere. The weight
// store gets two at the most; one engine gets one order at a time.
func TestLoadsAtTheSameTime(t *testing.T) {
	f := start(t, long, pollenspindle.FencingIgnored)
	f.platform.leaveOpen(t, "load slot 0")
	hold := make(chan struct{})
	f.engines.hold = hold
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			outcome, err := f.load(t, "engine-1")
			// The second may come only when the first has ended.
			if err != nil || outcome.State == engineorder.StateLoading {
				t.Errorf("load: %v %v", outcome, err)
			}
		})
	}
	require.Eventually(t, func() bool { return f.engines.given() == 1 }, time.Minute, time.Millisecond)
	var busy *engineorder.BusyError
	_, err := f.giver.Load(t.Context(), engineorder.Order{Server: "engine-1", Model: "briefing", Version: "4"})
	require.ErrorAs(t, err, &busy)
	_, err = f.load(t, "engine-2")
	require.ErrorAs(t, err, &busy, "both slots are taken")
	close(hold)
	wg.Wait()
	require.Equal(t, 1, f.engines.given(), "one order, however often it is asked for")
	require.Eventually(t, func() bool {
		_, err = f.giver.Load(t.Context(), engineorder.Order{Server: "engine-2", Model: "briefing", Version: "4"})
		return err == nil
	}, time.Minute, time.Millisecond)
}
