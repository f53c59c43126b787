package fleet

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// Handler returns the handler for the queries of other instances.
func (f *Fleet) Handler() peerv1connect.QueryServiceHandler { return &handler{f} }

type handler struct{ fleet *Fleet }

// FindRequest implements peerv1connect.QueryServiceHandler.
func (h *handler) FindRequest(_ context.Context, req *peerv1.FindRequestRequest) (*peerv1.FindRequestResponse, error) {
	res := &peerv1.FindRequestResponse{}
	for _, r := range h.fleet.opts.Journal.Find(req.GetId()) {
		res.Records = append(res.Records, recordToProto(r))
	}
	return res, nil
}

// ServerLoads implements peerv1connect.QueryServiceHandler.
func (h *handler) ServerLoads(context.Context, *peerv1.ServerLoadsRequest) (*peerv1.ServerLoadsResponse, error) {
	return &peerv1.ServerLoadsResponse{Loads: h.fleet.ownLoads()}, nil
}
