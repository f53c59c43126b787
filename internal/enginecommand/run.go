package enginecommand

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/commandlock"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// run acquires the locks of a command, sends it and checks its effect.
func (g *Executor) run(ctx context.Context, j *commandRun) (Outcome, error) {
	// An owner that still waits for the permits of the previous owner to expire must not send
	// commands either: the previous owner may be sending some.
	if !g.isOwner(time.Now(), j) {
		return Outcome{}, ErrNotOwner
	}
	loaded, err := g.hasVersion(ctx, j)
	if err != nil {
		return Outcome{}, err
	}
	if loaded {
		return Outcome{State: StateAlreadyLoaded}, nil
	}
	slot, err := g.acquireLoadSlot(ctx, j)
	if err != nil {
		return Outcome{}, err
	}
	checksFencing := j.server.Fencing == pollenspindle.FencingChecked
	lock, err := g.locks.acquire(ctx, j.command.Server, checksFencing, j.command.Model, j.command.Version)
	if err != nil {
		g.locks.release(ctx, slot)
		return Outcome{}, err
	}
	// The slot was acquired first, so its time ends first.
	lock.acquireStarted = slot.acquireStarted
	outcome, over, err := g.send(ctx, j, lock)
	if over {
		g.locks.release(ctx, lock)
		g.locks.release(ctx, slot)
	}
	g.opts.Log.Info().Str("server", j.command.Server).Str("model", j.command.Model).Str("version", j.command.Version).
		Int64("fencing", lock.fencingToken).Str("state", string(outcome.State)).Err(err).Msg("engine command finished")
	return outcome, err
}

// send sends the command. over is true if the command can't take effect any more.
func (g *Executor) send(ctx context.Context, j *commandRun, lock commandLock) (outcome Outcome, over bool, err error) {
	outcome.FencingToken = lock.fencingToken
	sendCtx, cancel := context.WithTimeout(ctx, g.opts.Timing.MaxDuration)
	defer cancel()
	now := time.Now()
	// If the process was paused after it started to acquire the lock, another instance may already
	// treat the command as over.
	if !commandlock.MaySend(now, g.opts.Timing, lock.acquireStarted) || !g.isOwner(now, j) {
		return outcome, true, ErrSuperseded
	}
	_, err = g.opts.Engines.SendCommand(sendCtx, j.server.Address, engine.Command{
		FencingToken: lock.fencingToken, Kind: engine.CommandLoadModel, Name: j.command.Model, Version: j.command.Version,
	})
	switch {
	case errors.Is(err, engine.ErrStaleFencing):
		return outcome, true, ErrSuperseded
	case errors.Is(err, engine.ErrNotSent):
		return outcome, true, unavailable(err)
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrBadRequest):
		return outcome, true, merry.Wrap(ErrInvalid, merry.WithCause(err), merry.AppendMessage("the engine refused the command"))
	}
	// Whatever the response was, the engine's state tells what it has loaded. If the response was
	// lost, the command may still be running, so its lock stays held unless the state shows the
	// effect.
	loaded, stateErr := g.hasVersion(ctx, j)
	switch {
	case stateErr == nil && loaded:
		outcome.State = StateLoaded
		return outcome, true, nil
	case stateErr != nil || errors.Is(err, engine.ErrUnknownOutcome):
		return outcome, false, merry.Wrap(ErrUnknownOutcome, merry.WithCause(errors.Join(err, stateErr)))
	case err != nil:
		return outcome, true, merry.Wrap(ErrInvalid, merry.WithCause(err), merry.AppendMessage("the engine failed to execute the command"))
	}
	return outcome, true, ErrSuperseded
}

func (g *Executor) isOwner(now time.Time, j *commandRun) bool {
	return g.opts.Ownership.Authority(now, j.rosterServer).Role == permit.RoleOwner
}

// hasVersion reports whether the engine has loaded the version.
func (g *Executor) hasVersion(ctx context.Context, j *commandRun) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := g.opts.Engines.State(ctx, j.server.Address)
	if err != nil {
		return false, unavailable(err)
	}
	want := engine.ModelVersion{Name: j.command.Model, Version: j.command.Version}
	return slices.Contains(state.Models, want), nil
}

// acquireLoadSlot acquires one of the fleet's load slots. A slot that its holder didn't release is
// free again once that load must be over.
func (g *Executor) acquireLoadSlot(ctx context.Context, j *commandRun) (commandLock, error) {
	var busy *BusyError
	for i := range maxConcurrentLoads {
		slot, err := g.locks.acquire(ctx, fmt.Sprintf("load slot %d", i), false, j.command.Model, j.command.Version)
		if err == nil {
			return slot, nil
		}
		var full *BusyError
		switch {
		case errors.As(err, &full):
			if busy == nil || full.RetryAfter < busy.RetryAfter {
				busy = full
			}
		case !errors.Is(err, ErrSuperseded):
			return commandLock{}, err
		}
	}
	if busy == nil {
		busy = &BusyError{Holder: "other instances", RetryAfter: g.opts.Timing.SendTimeout}
	}
	return commandLock{}, busy
}
