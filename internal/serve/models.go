package serve

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/engineorder"
	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

// orderTimeout bounds an order that is passed on: an owner answers within
// eight seconds, also when the order goes on.
const orderTimeout = 10 * time.Second

// models passes operators' orders on to the owners of the engines.
type models struct {
	self  string
	fleet *fleet.Fleet
	local *engineorder.Executor
	peers *peer.Pool
}

// Load implements operator.Models.
func (m models) Load(ctx context.Context, _ time.Time, model string, o operatorapi.Order) (operatorapi.OrderOutcome, error) {
	outcome, err := m.give(ctx, engineorder.Command{Server: o.Server, Model: model, Version: o.Version})
	if err != nil {
		return operatorapi.OrderOutcome{}, orderError(err)
	}
	return operatorapi.OrderOutcome{
		Server: o.Server, Model: model, FencingNumber: outcome.FencingToken, State: string(outcome.State),
	}, nil
}

func (m models) give(ctx context.Context, o engineorder.Command) (engineorder.Outcome, error) {
	to, ok := m.fleet.Owner(o.Server)
	if !ok || to.ID == m.self {
		return m.local.Load(ctx, o)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := m.peers.Client(to.PeerAddress).LoadModel(ctx, &peerv1.LoadModelRequest{
		Server: o.Server, Model: o.Model, Version: o.Version,
	})
	if err != nil {
		return engineorder.Outcome{}, merry.Wrap(engineorder.ErrUnknownOutcome, merry.WithCause(err),
			merry.AppendMessagef("owner %s gave no answer; repeat the order, it reads the state first", to.ID))
	}
	return engineorder.FromPeer(res)
}

// orderError turns an error of orders into one of the operators' listener.
func orderError(err error) error {
	var busy *engineorder.BusyError
	switch {
	case errors.As(err, &busy), errors.Is(err, engineorder.ErrInvalid), errors.Is(err, engineorder.ErrSuperseded):
		return merry.Append(operator.ErrRefused, err.Error())
	case errors.Is(err, engineorder.ErrNotOwner):
		return merry.Append(operator.ErrUnavailable, "the backend server is changing its owner; repeat the order")
	case errors.Is(err, engineorder.ErrUnavailable):
		return merry.Append(operator.ErrUnavailable, err.Error())
	}
	return merry.Append(operator.ErrUnknownOutcome, err.Error())
}
