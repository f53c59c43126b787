// Package serve runs one entry instance: it makes the parts from the settings,
// starts their duties, and ends them in order when the instance leaves.
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
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// ErrStart means that the instance could not start.
var ErrStart = merry.Sentinel("instance could not start")

// ErrServe means that the instance served, and one of its listeners failed.
var ErrServe = merry.Sentinel("instance failed while it served")

// closeTimeout bounds what is sent off at the very end: spans, releases.
const closeTimeout = 5 * time.Second

const (
	// leaveKnownWithin bounds the wait for the others to learn that the
	// instance leaves. A roster spreads within a second or two; with the
	// platform down it does not change, and waiting longer would not help.
	leaveKnownWithin = 10 * time.Second
	leaveCheck       = 50 * time.Millisecond
)

// Run runs an entry instance until ctx ends and its streams are over. Canceling
// ctx begins a graceful shutdown; it is not an error.
func Run(ctx context.Context, s settings.Settings, streams *iostreams.IOStreams) error {
	tel, err := telemetry.New(telemetry.Options{Settings: s, Out: streams.Out, ErrOut: streams.Err})
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	telemetry.CaptureLibraries(tel.Log)
	setCollector()
	p, err := newParts(s, tel)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	in := &instance{settings: s, parts: p, log: telemetry.Part(tel.Log, "serve")}
	err = in.run(ctx)
	// The context of the caller has ended; what is left gets its own time.
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if cerr := tel.Close(closing); cerr != nil {
		in.log.Warn().Err(cerr).Msg("telemetry was not sent off")
	}
	return err
}

// instance is a running entry instance.
type instance struct {
	settings settings.Settings
	parts    *parts
	log      zerolog.Logger
	duties   sync.WaitGroup
}

// run starts every duty, waits for the end of ctx, and leaves.
func (in *instance) run(ctx context.Context) error {
	listeners, err := in.listen(ctx)
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := in.parts
	failed := make(chan error, 3)
	in.start(func() { p.costs.Duty(control.RoleConfig, func() { p.store.Run(duties) }) })
	in.start(func() { p.members.Run(duties) })
	in.start(func() { p.owner.Run(duties) })
	in.start(func() { p.router.Run(duties) })
	in.start(func() { p.costs.Duty(control.RoleGauges, func() { p.runGauges(duties) }) })
	in.start(func() { p.claims.Run(duties) })
	in.start(func() { p.costs.Duty(control.RoleClaims, func() { p.claims.RunSweep(duties, time.Now, p.ownsShard) }) })
	in.start(func() { failed <- p.peerServer.Serve(duties, listeners.peer) })

	callers, err := caller.NewServer(p.callerOptions(listeners.caller))
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	operators, err := operator.New(p.operatorDeps(listeners.operator, callers))
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	in.start(func() { failed <- callers.Run(duties) })
	in.start(func() { failed <- operators.Run() })
	in.log.Info().Str("callers", in.settings.CallerAddress).Str("peers", in.settings.PeerAddress).
		Str("operators", in.settings.OperatorAddress).Msg("instance serves")

	select {
	case <-ctx.Done():
	case <-p.leaving:
	case err = <-failed:
	}
	in.leave(callers, operators)
	stop()
	in.duties.Wait()
	p.orders.Close()
	if err != nil {
		return merry.Wrap(ErrServe, merry.WithCause(err))
	}
	in.log.Info().Msg("instance has left")
	return nil
}

func (in *instance) start(duty func()) {
	in.duties.Go(duty)
}

// leave ends the instance in the order that cuts off nobody: first it is named
// to no caller and owns nothing, then those who still hold an older answer of
// /v1/instances are served, then every stream ends, and last the duties that
// streams need.
func (in *instance) leave(callers *caller.Server, operators *operator.Server) {
	in.log.Info().Msg("instance leaves")
	callers.Drain()
	in.parts.members.Leave()
	in.awaitLeft()
	ctx, cancel := context.WithTimeout(context.Background(), in.stopLimit())
	defer cancel()
	callers.Shutdown(ctx)
	if err := operators.Shutdown(ctx); err != nil {
		in.log.Warn().Err(err).Msg("operators were cut off")
	}
}

// awaitLeft waits until the others name this instance to callers no more. An
// answer of /v1/instances that one of them gives until then is used for its
// whole time; were that counted from the signal, its last callers could meet a
// closed listener.
func (in *instance) awaitLeft() {
	deadline := time.Now().Add(leaveKnownWithin)
	ticker := time.NewTicker(leaveCheck)
	defer ticker.Stop()
	for now := time.Now(); now.Before(deadline); now = <-ticker.C {
		if in.parts.members.HasLeftEverywhere(now) {
			return
		}
	}
	in.log.Warn().Msg("others may still name this instance to callers")
}

// stopLimit bounds the whole of leaving: answers of /v1/instances expire, then
// streams end.
func (in *instance) stopLimit() time.Duration {
	t := in.settings.Timing
	return time.Duration(t.StopSeconds+2*t.AddressSeconds)*time.Second + closeTimeout
}

// listeners are open before any duty starts, so that a taken address is told
// at once and nobody is pointed to an address that does not answer.
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

// seed returns the seed of the random choices of a part; each part gets its
// own, so that they do not draw the same numbers.
func seed(s settings.Settings, part uint64) uint64 {
	if s.Seed == 0 {
		return rand.Uint64()
	}
	return uint64(s.Seed)*1_000_003 + part
}
