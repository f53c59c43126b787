package serve

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/enginecommand"
	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

// forwardTimeout limits an engine command that is forwarded: the owner responds within eight
// seconds, even if the command is still running.
const forwardTimeout = 10 * time.Second

// models forwards operators' engine commands to the owners of the engines.
type models struct {
	self  string
	fleet *fleet.Fleet
	local *enginecommand.Executor
	peers *peer.Pool
}

// Load implements operator.Models.
func (m models) Load(ctx context.Context, _ time.Time, model string, o operatorapi.EngineCommand) (operatorapi.EngineCommandResult, error) {
	outcome, err := m.load(ctx, enginecommand.Command{Server: o.Server, Model: model, Version: o.Version})
	if err != nil {
		return operatorapi.EngineCommandResult{}, translateError(err)
	}
	return operatorapi.EngineCommandResult{
		Server: o.Server, Model: model, FencingNumber: outcome.FencingToken, State: string(outcome.State),
	}, nil
}

func (m models) load(ctx context.Context, command enginecommand.Command) (enginecommand.Outcome, error) {
	owner, ok := m.fleet.Owner(command.Server)
	if !ok || owner.ID == m.self {
		return m.local.Load(ctx, command)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	res, err := m.peers.Client(owner.PeerAddress).LoadModel(ctx, &peerv1.LoadModelRequest{
		Server: command.Server, Model: command.Model, Version: command.Version,
	})
	if err != nil {
		return enginecommand.Outcome{}, merry.Wrap(enginecommand.ErrUnknownOutcome, merry.WithCause(err),
			merry.AppendMessagef("owner %s did not respond; repeat the command, it reads the state first", owner.ID))
	}
	return enginecommand.FromPeer(res)
}

// translateError translates an error of an engine command to one of package operator.
func translateError(err error) error {
	var busy *enginecommand.BusyError
	switch {
	case errors.As(err, &busy), errors.Is(err, enginecommand.ErrInvalid), errors.Is(err, enginecommand.ErrSuperseded):
		return merry.Append(operator.ErrRefused, err.Error())
	case errors.Is(err, enginecommand.ErrNotOwner):
		return merry.Append(operator.ErrUnavailable, "the owner of the backend server is changing; repeat the command")
	case errors.Is(err, enginecommand.ErrUnavailable):
		return merry.Append(operator.ErrUnavailable, err.Error())
	}
	return merry.Append(operator.ErrUnknownOutcome, err.Error())
}
