package peer

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// FindRequest asks the peer for its record of a request.
func (c *Client) FindRequest(ctx context.Context, req *peerv1.FindRequestRequest) (*peerv1.FindRequestResponse, error) {
	res, err := c.queries.FindRequest(ctx, req)
	return res, convertError(err)
}

// ServerLoads asks the peer for the load of the servers that it owns.
func (c *Client) ServerLoads(ctx context.Context, req *peerv1.ServerLoadsRequest) (*peerv1.ServerLoadsResponse, error) {
	res, err := c.queries.ServerLoads(ctx, req)
	return res, convertError(err)
}

// LoadModel asks the peer to send a load command to a model engine that it owns.
func (c *Client) LoadModel(ctx context.Context, req *peerv1.LoadModelRequest) (*peerv1.LoadModelResponse, error) {
	res, err := c.engineCommands.LoadModel(ctx, req)
	return res, convertError(err)
}

// HandleQueries registers the handler of operators' queries that other instances forward. It must
// be called before [Server.Serve].
func (s *Server) HandleQueries(handler peerv1connect.QueryServiceHandler) {
	s.mux.Handle(peerv1connect.NewQueryServiceHandler(handler, s.options))
}

// HandleEngineCommands registers the handler of operators' engine commands that other instances
// forward. It must be called before [Server.Serve].
func (s *Server) HandleEngineCommands(handler peerv1connect.OrderServiceHandler) {
	s.mux.Handle(peerv1connect.NewOrderServiceHandler(handler, s.options))
}
