package member

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

// fetchConfig fetches a newer configuration from a peer. It doesn't confirm the configuration, as
// the peer may be cut off from the platform.
func (m *Member) fetchConfig(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	after := m.opts.Config.Version()
	res, err := m.opts.Peers.Client(address).FetchConfig(ctx, &peerv1.FetchConfigRequest{AfterVersion: after})
	if err != nil {
		return
	}
	objects := make([]config.Object, 0, len(res.GetObjects()))
	for _, o := range res.GetObjects() {
		objects = append(objects, config.Object{
			Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted(),
		})
	}
	if len(objects) == 0 {
		return
	}
	if _, err := m.opts.Config.Merge(time.Now(), objects); err != nil {
		m.opts.Log.Warn().Err(err).Int64("version", res.GetVersion()).Msg("configuration of a peer not applied")
	}
}
