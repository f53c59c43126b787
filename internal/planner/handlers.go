package planner

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

// Handlers answer other instances, by path.
func (p *Planner) Handlers() map[string]http.Handler {
	turn := func(ctx context.Context, req *connect.Request[Leaving]) (*connect.Response[Turn], error) {
		if err := peerrpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), turnProcedure); err != nil {
			return nil, err
		}
		return reply(p.scheduleCopy(ctx, *req.Msg))
	}
	place := func(_ context.Context, req *connect.Request[Placing]) (*connect.Response[Placed], error) {
		if err := peerrpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), placeProcedure); err != nil {
			return nil, err
		}
		placed, err := p.begin(*req.Msg)
		if errors.Is(err, ErrUnavailable) {
			return nil, connect.NewError(connect.CodeUnavailable, ErrUnavailable)
		}
		if err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
		}
		return connect.NewResponse(&placed), nil
	}
	report := func(_ context.Context, req *connect.Request[Report]) (*connect.Response[Reported], error) {
		if err := peerrpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		p.loads.Take(p.opts.Now(), *req.Msg)
		return connect.NewResponse(&Reported{}), nil
	}
	options := peerrpc.HandlerOptions()
	return map[string]http.Handler{
		turnProcedure:   connect.NewUnaryHandler(turnProcedure, turn, options...),
		placeProcedure:  connect.NewUnaryHandler(placeProcedure, place, options...),
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, options...),
	}
}

func reply(t Turn, err error) (*connect.Response[Turn], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
	}
	return connect.NewResponse(&t), nil
}
