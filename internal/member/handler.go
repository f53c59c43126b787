package member

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// Permits issues permits to peers for the servers that this instance owns.
type Permits interface {
	Acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse
	Release(released []*peerv1.Released)
	SettleLosses(ctx context.Context, released []*peerv1.Released)
}

// maxReleased limits the permits in one Release call.
const maxReleased = 1024

// Handler returns the handler of the calls of peers.
func (m *Member) Handler(permits Permits) peerv1connect.PeerServiceHandler {
	return &handler{m: m, permits: permits}
}

type handler struct {
	m       *Member
	permits Permits
}

// Heartbeat implements the service. The answer is a promise to the sender, as described at
// [roster.Lease].
func (h *handler) Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	if err := fromSender(ctx, req.GetInstance()); err != nil {
		return nil, err
	}
	return h.m.handleHeartbeat(time.Now(), req), nil
}

// handleHeartbeat applies a heartbeat and returns the answer to it. The ages in the answer are as
// of now or earlier; now is after the heartbeat was sent.
func (m *Member) handleHeartbeat(now time.Time, req *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	suspects := m.newestSuspects(now)
	m.mu.Lock()
	if m.lease.Roster().Has(req.GetInstance(), req.GetIncarnation()) {
		m.lease.RecordPromise(now, req.GetInstance(), req.GetEpoch())
		m.lease.RecordStopped(now, req.GetInstance(), req.GetEpoch())
	}
	if p, ok := m.peerStates[req.GetInstance()]; ok {
		p.configVersion, p.epoch = req.GetConfigVersion(), req.GetEpoch()
	}
	m.mergeSilences(now, req.GetSilences())
	m.mergeAdopters(now, req.GetEpoch(), req.GetAdopters())
	version := m.opts.Config.Version()
	res := &peerv1.HeartbeatResponse{
		Instance:      m.opts.Self.ID,
		Incarnation:   m.opts.Self.Incarnation,
		Epoch:         m.lease.Roster().Epoch,
		ConfigVersion: version,
		Leaving:       m.leaving,
		Suspects:      suspects,
		Silences:      m.recentSilences(now),
		Adopters:      m.adopterBitmap(),
	}
	if req.GetWantAges() && req.GetEpoch() == res.GetEpoch() {
		res.Ages = m.lease.Ages(now, version)
	}
	if req.GetWantIdentity() {
		res.Identity = &peerv1.Identity{
			PeerAddress:   m.opts.Self.PeerAddress,
			CallerAddress: m.opts.Self.CallerAddress,
			Zone:          m.opts.Self.Zone,
			Region:        m.opts.Self.Region,
		}
	}
	m.mu.Unlock()
	m.opts.Suspects.Merge(now, suspectEntries(now, req.GetSuspects()))
	return res
}

// Acquire implements the service.
func (h *handler) Acquire(ctx context.Context, req *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	if err := fromSender(ctx, req.GetAsker()); err != nil {
		return nil, err
	}
	return h.permits.Acquire(ctx, req), nil
}

// Release implements the service.
func (h *handler) Release(ctx context.Context, req *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	if len(req.GetReleased()) > maxReleased {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooMany)
	}
	h.permits.Release(req.GetReleased())
	if settle := time.Duration(req.GetSettleMillis()) * time.Millisecond; settle > 0 {
		ctx, cancel := context.WithTimeout(ctx, settle)
		defer cancel()
		h.permits.SettleLosses(ctx, req.GetReleased())
	}
	return &peerv1.ReleaseResponse{}, nil
}

// FetchConfig implements the service.
func (h *handler) FetchConfig(_ context.Context, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	version, objects, err := h.m.opts.Config.ObjectsAfter(req.GetAfterVersion())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errNoConfig)
	}
	res := &peerv1.FetchConfigResponse{Version: version}
	for _, o := range objects {
		res.Objects = append(res.Objects, &peerv1.ConfigObject{
			Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted,
		})
	}
	return res, nil
}

// FetchRoster implements the service.
func (h *handler) FetchRoster(_ context.Context, req *peerv1.FetchRosterRequest) (*peerv1.FetchRosterResponse, error) {
	r := h.m.Roster()
	if r.Epoch <= req.GetAfterEpoch() {
		return &peerv1.FetchRosterResponse{}, nil
	}
	object, err := json.Marshal(r.Object())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errNoRoster)
	}
	return &peerv1.FetchRosterResponse{Epoch: r.Epoch, Object: object}, nil
}

// HandOver implements the service.
func (h *handler) HandOver(ctx context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	if err := fromSender(ctx, req.GetInstance()); err != nil {
		return nil, err
	}
	h.m.receiveHandoff(time.Now(), req)
	return &peerv1.HandOverResponse{}, nil
}

// fromSender returns an error if a call names another instance than its authenticated sender.
func fromSender(ctx context.Context, claimed string) error {
	if peer.Sender(ctx) != claimed {
		return connect.NewError(connect.CodePermissionDenied, errSender)
	}
	return nil
}
