package peer

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// roleOf says what a call between peers is for.
func roleOf(procedure string) control.Role {
	switch procedure {
	case peerv1connect.PeerServiceAcquireProcedure, peerv1connect.PeerServiceReleaseProcedure:
		return control.RolePermits
	case peerv1connect.PeerServiceFetchConfigProcedure:
		return control.RoleConfig
	case peerv1connect.PeerServiceFetchRosterProcedure:
		return control.RoleRoster
	case peerv1connect.PeerServiceHeartbeatProcedure, peerv1connect.PeerServiceHandOverProcedure:
		return control.RoleHeartbeats
	case peerv1connect.OrderServiceLoadModelProcedure:
		return control.RoleEngineCommands
	}
	return control.RoleOperators
}

// Metered counts the messages of calls by role, and the processor time of the
// handlers that wait for nothing. It serves clients and handlers alike.
func Metered(costs *control.Meters) connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			meter := costs.Meter(roleOf(req.Spec().Procedure))
			res, err := handle(ctx, meter, next, req)
			asked, answered := size(req.Any()), int64(0)
			if err == nil {
				answered = size(res.Any())
			}
			if req.Spec().IsClient {
				meter.AddBytes(asked, answered)
			} else {
				meter.AddBytes(answered, asked)
			}
			return res, err
		}
	}))
}

// handle makes the call. Only handlers of heartbeats and what belongs to them
// are known to end at once; an ask for a permit may wait for a second and has
// its time counted by the owner, piece by piece.
func handle(ctx context.Context, meter *control.Meter, next connect.UnaryFunc, req connect.AnyRequest) (res connect.AnyResponse, err error) {
	switch req.Spec().Procedure {
	case peerv1connect.PeerServiceHeartbeatProcedure, peerv1connect.PeerServiceFetchRosterProcedure, peerv1connect.PeerServiceFetchConfigProcedure:
		if !req.Spec().IsClient {
			meter.Run(func() { res, err = next(ctx, req) })
			return res, err
		}
	}
	return next(ctx, req)
}

func size(message any) int64 {
	if m, ok := message.(proto.Message); ok {
		return int64(proto.Size(m))
	}
	return 0
}
