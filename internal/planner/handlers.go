package planner

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/peer"
)

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
		if errors.Is(err, ErrUnavailable) {
			return nil, connect.NewError(connect.CodeUnavailable, ErrUnavailable)
		}
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

// sign adds what proves to another instance who asks.
func (p *Planner) sign(header http.Header, procedure string) {
	header.Set(gossip.AuthField, p.opts.Key.Token(p.opts.Now(), p.opts.Self, procedure))
}

func (p *Planner) check(header http.Header, procedure string) error {
	if _, err := p.opts.Key.Check(p.opts.Now(), header.Get(gossip.AuthField), procedure); err != nil {
		return connect.NewError(connect.CodeUnauthenticated, peer.ErrUnauthenticated)
	}
	return nil
}
