package planner

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/instancerpc"
)

// Handlers returns the handlers of requests from other instances, by path.
func (p *Planner) Handlers() map[string]http.Handler {
	transfer := func(ctx context.Context, req *connect.Request[TransferRequest]) (*connect.Response[TransferResponse], error) {
		if err := instancerpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), transferProcedure); err != nil {
			return nil, err
		}
		return reply(p.scheduleCopy(ctx, *req.Msg))
	}
	place := func(ctx context.Context, req *connect.Request[PlacementRequest]) (*connect.Response[PlacementResponse], error) {
		if err := instancerpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), placeProcedure); err != nil {
			return nil, err
		}
		res, err := p.serveHeld(ctx, *req.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(&res), nil
	}
	report := func(_ context.Context, req *connect.Request[Report]) (*connect.Response[ReportResponse], error) {
		if err := instancerpc.Verify(p.opts.Key, p.opts.Now(), req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		res := p.applyReport(p.opts.Now(), *req.Msg)
		return connect.NewResponse(&res), nil
	}
	options := instancerpc.HandlerOptions()
	return map[string]http.Handler{
		transferProcedure: connect.NewUnaryHandler(transferProcedure, transfer, options...),
		placeProcedure:    connect.NewUnaryHandler(placeProcedure, place, options...),
		reportProcedure:   connect.NewUnaryHandler(reportProcedure, report, options...),
	}
}

// servePlacement answers a placement request of another instance. Its errors carry a Connect code.
func (p *Planner) servePlacement(r PlacementRequest) (PlacementResponse, error) {
	res, err := p.chooseEngine(r)
	return res, connectError(err)
}

// serveHeld answers a placement request of another instance, which may wait. Its errors carry a
// Connect code.
func (p *Planner) serveHeld(ctx context.Context, r PlacementRequest) (PlacementResponse, error) {
	if p.queues == nil || !r.MayWait {
		return p.servePlacement(r)
	}
	res, err := p.hold(ctx, r)
	if errors.Is(err, errCallerLeft) {
		return PlacementResponse{}, connect.NewError(connect.CodeCanceled, errCallerLeft)
	}
	return res, connectError(err)
}

// connectError adds a Connect code to the error of a placement.
func connectError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, ErrUnavailable)
	}
	return connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
}

func reply(t TransferResponse, err error) (*connect.Response[TransferResponse], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, ErrUnavailable)
	}
	return connect.NewResponse(&t), nil
}
