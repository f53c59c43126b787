package member

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

func (m *Member) newestSuspects(now time.Time) []*peerv1.Suspect {
	return suspectMessages(now, m.opts.Suspects.Newest(now, maxSuspects))
}

// applyUpdates merges a peer's suspects and fetches its roster and configuration if they are newer.
// Only the side that is out of date fetches.
func (m *Member) applyUpdates(ctx context.Context, now time.Time, address string, epoch, version int64, suspects []*peerv1.Suspect) {
	m.opts.Suspects.Merge(now, suspectEntries(now, suspects))
	if epoch > m.Roster().Epoch {
		m.CatchUp(ctx, address)
	}
	if version > m.opts.Config.Version() {
		m.fetchConfig(ctx, address)
	}
}
