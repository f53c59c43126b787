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

// Permits answers the asks of peers; it is the owner.
type Permits interface {
	Acquire(ctx context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse
	Release(released []*peerv1.Released)
}

// maxReleased bounds the permits in one release call.
const maxReleased = 1024

// Handler returns what answers the calls of peers.
func (m *Member) Handler(permits Permits) peerv1connect.PeerServiceHandler {
	return &handler{m: m, permits: permits}
}

type handler struct {
	m       *Member
	permits Permits
}

// Heartbeat implements the service. The answer is a promise to the sender; see
// [roster.Lease].
func (h *handler) Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	if err := fromSender(ctx, req.GetInstance()); err != nil {
		return nil, err
	}
	return h.m.answer(time.Now(), req), nil
}

// answer takes in a heartbeat and returns the answer to it. The ages in it are
// of this moment or earlier, which is after the heartbeat was sent.
func (m *Member) answer(now time.Time, req *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	suspects := m.newest(now)
	m.mu.Lock()
	if m.lease.Roster().Has(req.GetInstance(), req.GetIncarnation()) {
		m.lease.RecordPromise(now, req.GetInstance(), req.GetEpoch())
		m.lease.RecordStopped(now, req.GetInstance(), req.GetEpoch())
	}
	if p, ok := m.known[req.GetInstance()]; ok {
		p.configVersion, p.epoch = req.GetConfigVersion(), req.GetEpoch()
	}
	m.silences(now, req.GetSilences())
	m.adopters(now, req.GetEpoch(), req.GetAdopters())
	version := m.opts.Config.Version()
	res := &peerv1.HeartbeatResponse{
		Instance:      m.opts.Self.ID,
		Incarnation:   m.opts.Self.Incarnation,
		Epoch:         m.lease.Roster().Epoch,
		ConfigVersion: version,
		Leaving:       m.leaving,
		Suspects:      suspects,
		Silences:      m.missed(now),
		Adopters:      m.adopterBits(),
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
	m.opts.Suspects.Merge(now, entries(now, req.GetSuspects()))
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
func (h *handler) Release(_ context.Context, req *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	if len(req.GetReleased()) > maxReleased {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooMany)
	}
	h.permits.Release(req.GetReleased())
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
	h.m.handedOver(time.Now(), req)
	return &peerv1.HandOverResponse{}, nil
}

// fromSender rejects a call in the name of another instance.
func fromSender(ctx context.Context, claimed string) error {
	if peer.Sender(ctx) != claimed {
		return connect.NewError(connect.CodePermissionDenied, errSender)
	}
	return nil
}
