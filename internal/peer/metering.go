package peer

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// roleOf returns the role by which the costs of a call are counted.
func roleOf(procedure string) controlcost.Role {
	switch procedure {
	case peerv1connect.PeerServiceAcquireProcedure, peerv1connect.PeerServiceReleaseProcedure:
		return controlcost.RolePermits
	case peerv1connect.PeerServiceFetchConfigProcedure:
		return controlcost.RoleConfig
	case peerv1connect.PeerServiceFetchRosterProcedure:
		return controlcost.RoleRoster
	case peerv1connect.PeerServiceHeartbeatProcedure, peerv1connect.PeerServiceHandOverProcedure:
		return controlcost.RoleHeartbeats
	case peerv1connect.OrderServiceLoadModelProcedure:
		return controlcost.RoleEngineCommands
	}
	return controlcost.RoleOperators
}

// WithMetering returns an option for clients and handlers that counts the bytes of messages by
// role, and the CPU time of handlers that don't wait.
func WithMetering(costs *controlcost.Meters) connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			meter := costs.Meter(roleOf(req.Spec().Procedure))
			res, err := call(ctx, meter, next, req)
			requestSize, responseSize := messageSize(req.Any()), int64(0)
			if err == nil {
				responseSize = messageSize(res.Any())
			}
			if req.Spec().IsClient {
				meter.AddBytes(requestSize, responseSize)
			} else {
				meter.AddBytes(responseSize, requestSize)
			}
			return res, err
		}
	}))
}

// call runs next and measures the CPU time of heartbeat, roster and configuration handlers, which
// return without waiting. A request for a permit may wait for a second; the owner of the server
// measures the time of its parts.
func call(ctx context.Context, meter *controlcost.Meter, next connect.UnaryFunc, req connect.AnyRequest) (res connect.AnyResponse, err error) {
	switch req.Spec().Procedure {
	case peerv1connect.PeerServiceHeartbeatProcedure, peerv1connect.PeerServiceFetchRosterProcedure, peerv1connect.PeerServiceFetchConfigProcedure:
		if !req.Spec().IsClient {
			meter.Run(func() { res, err = next(ctx, req) })
			return res, err
		}
	}
	return next(ctx, req)
}

func messageSize(message any) int64 {
	if m, ok := message.(proto.Message); ok {
		return int64(proto.Size(m))
	}
	return 0
}
