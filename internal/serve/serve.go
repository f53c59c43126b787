// Package serve runs an entry instance: it creates the components from the settings, starts their
// background tasks, and shuts them down in order when the instance leaves.
//
// # Usage
//
//	err := serve.Run(ctx, s, iostreams.System())
package serve

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/caller"
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// ErrStart means that the instance could not start.
var ErrStart = merry.Sentinel("instance could not start")

// ErrServe means that a listener failed after the instance had started.
var ErrServe = merry.Sentinel("instance failed while serving")

// closeTimeout limits sending the remaining spans and releases at the end of a shutdown.
const closeTimeout = 5 * time.Second

// flushTimeout limits the wait until the last log lines are written.
const flushTimeout = 2 * time.Second

const (
	// leaveTimeout limits the wait until the other instances know that this one leaves. A roster
	// reaches them within 1 s to 2 s; in a platform outage it does not change, and waiting longer
	// would not help.
	leaveTimeout      = 10 * time.Second
	leavePollInterval = 50 * time.Millisecond
)

// Run runs an entry instance until ctx ends and its streams have finished. Canceling ctx starts a
// graceful shutdown and is not an error.
func Run(ctx context.Context, s settings.Settings, streams *iostreams.IOStreams) error {
	return RunWithDialer(ctx, s, streams, nil)
}

// RunWithDialer is [Run] with what opens connections to backend servers over the instance's own links;
// nil for plain TCP.
func RunWithDialer(ctx context.Context, s settings.Settings, streams *iostreams.IOStreams, direct httpclient.DialFunc) error {
	out := telemetry.NewLogQueue(streams.Err, s.Instance)
	// An output that isn't read takes no line about it either.
	defer func() { _ = out.Close(flushTimeout) }()
	tel, err := telemetry.New(telemetry.Options{Settings: s, Out: streams.Out, ErrOut: out})
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	telemetry.CaptureLibraries(tel.Log)
	limitMemory(s)
	p, err := newComponents(s, tel, direct)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	in := &instance{settings: s, components: p, log: telemetry.ComponentLogger(tel.Log, "serve")}
	err = in.run(ctx)
	// ctx has ended; closing telemetry gets a timeout of its own.
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if cerr := tel.Close(closing); cerr != nil {
		in.log.Warn().Err(cerr).Msg("telemetry could not be closed")
	}
	return err
}

// instance is a running entry instance.
type instance struct {
	settings   settings.Settings
	components *components
	log        zerolog.Logger
	tasks      sync.WaitGroup
}

// run starts all background tasks, waits until ctx ends, an operator requests the shutdown or a
// listener fails, and shuts down.
func (in *instance) run(ctx context.Context) error {
	listeners, err := in.listen(ctx)
	if err != nil {
		return err
	}
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := in.components
	failed := make(chan error, 3)
	in.start(func() { p.costs.RunLoop(controlcost.RoleConfig, func() { p.store.Run(tasks) }) })
	in.start(func() { p.members.Run(tasks) })
	in.start(func() { p.owner.Run(tasks) })
	in.start(func() { p.router.Run(tasks) })
	in.start(func() { p.costs.RunLoop(controlcost.RoleGauges, func() { p.runGauges(tasks) }) })
	in.start(func() { p.claims.Run(tasks) })
	in.start(func() {
		p.costs.RunLoop(controlcost.RoleClaims, func() { p.claims.RunSweep(tasks, time.Now, p.ownsShard) })
	})
	in.start(func() { failed <- p.peerServer.Serve(tasks, listeners.peer) })

	callers, err := caller.NewServer(p.callerOptions(listeners.caller))
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	operators, err := operator.New(p.operatorOptions(listeners.operator, callers))
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	in.start(func() { failed <- callers.Run(tasks) })
	in.start(func() { failed <- operators.Run() })
	in.log.Info().Str("callers", in.settings.CallerAddress).Str("peers", in.settings.PeerAddress).
		Str("operators", in.settings.OperatorAddress).Msg("instance serves")

	reason := ""
	select {
	case <-ctx.Done():
		reason = context.Cause(ctx).Error()
	case <-p.leaving:
		reason = "an operator asked for it"
	case err = <-failed:
		in.log.Error().Err(err).Msg("a listener failed")
		reason = "a listener failed"
	}
	in.leave(reason, callers, operators)
	stop()
	in.tasks.Wait()
	p.commands.Close()
	if err != nil {
		return merry.Wrap(ErrServe, merry.WithCause(err))
	}
	in.log.Info().Msg("instance has left")
	return nil
}

func (in *instance) start(task func()) {
	in.tasks.Go(task)
}

// leave shuts the instance down without interrupting callers: it is removed from /v1/instances and
// gives up its ownership, keeps serving callers that hold an older response of /v1/instances, and
// waits for all streams. The background tasks that streams need run until it returns.
func (in *instance) leave(reason string, callers *caller.Server, operators *operator.Server) {
	in.log.Info().Str("reason", reason).Msg("instance leaves")
	callers.Drain()
	in.components.dialPeer.Drain()
	in.components.members.Leave()
	in.awaitLeavePropagated()
	ctx, cancel := context.WithTimeout(context.Background(), in.shutdownTimeout())
	defer cancel()
	callers.Shutdown(ctx)
	in.awaitRelayed(ctx)
	if err := operators.Shutdown(ctx); err != nil {
		in.log.Warn().Err(err).Msg("operators' listener was not shut down cleanly")
	}
}

// awaitRelayed waits for the connections that other instances have to backend servers through this one.
func (in *instance) awaitRelayed(ctx context.Context) {
	p := in.components.dialPeer
	defer p.Close()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for p.Relayed() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			in.log.Warn().Int("relayed", p.Relayed()).Msg("connections of other instances are closed")
			return
		}
	}
}

// awaitLeavePropagated waits until no other instance lists this one in /v1/instances. Callers use a
// response of /v1/instances until it expires; if its lifetime were counted from the shutdown
// signal, the last of them could find the listener closed.
func (in *instance) awaitLeavePropagated() {
	deadline := time.Now().Add(leaveTimeout)
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for now := time.Now(); now.Before(deadline); now = <-ticker.C {
		if in.components.members.HasLeftEverywhere(now) {
			return
		}
	}
	in.log.Warn().Msg("other instances may still list this instance to callers")
}

// shutdownTimeout limits the shutdown, in which responses of /v1/instances expire and then streams
// end.
func (in *instance) shutdownTimeout() time.Duration {
	t := in.settings.Timing
	return time.Duration(t.StopSeconds+2*t.AddressSeconds)*time.Second + closeTimeout
}

// listeners are opened before any background task starts, so that an address in use is reported
// immediately and no peer announces an address that does not accept connections.
type listeners struct {
	caller, peer, operator net.Listener
}

func (in *instance) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	callers := cmp.Or(in.settings.Listen.CallerAddress, in.settings.CallerAddress)
	if l.caller, err = caller.Listen(ctx, callers); err != nil {
		return l, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	for _, to := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.peer, cmp.Or(in.settings.Listen.PeerAddress, in.settings.PeerAddress)},
		{&l.operator, cmp.Or(in.settings.Listen.OperatorAddress, in.settings.OperatorAddress)},
	} {
		opened, err := (&net.ListenConfig{}).Listen(ctx, "tcp", to.address)
		if err != nil {
			return l, merry.Wrap(ErrStart, merry.WithCause(err))
		}
		*to.listener = opened
	}
	return l, nil
}

// seed returns the random seed of a component. Each component has its own, so that they do not draw
// the same numbers.
func seed(s settings.Settings, component uint64) uint64 {
	if s.Seed == 0 {
		return rand.Uint64()
	}
	return uint64(s.Seed)*1_000_003 + component
}
