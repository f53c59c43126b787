package member

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
)

func (m *Member) newestSuspects(now time.Time) []*peerv1.Suspect {
	var out []*peerv1.Suspect
	for _, e := range m.opts.Suspects.Newest(now, maxSuspects) {
		s := &peerv1.Suspect{Fingerprint: e.Fingerprint}
		if !e.ClearedAt.IsZero() {
			s.ClearedMillisAgo = now.Sub(e.ClearedAt).Milliseconds()
			s.Cleared = true
		}
		for _, c := range e.Crashes {
			s.Crashes = append(s.Crashes, &peerv1.Crash{Incarnation: c.Name, AgeMillis: now.Sub(c.At).Milliseconds()})
		}
		out = append(out, s)
	}
	return out
}

func suspectEntries(now time.Time, suspects []*peerv1.Suspect) []crashsuspect.Entry {
	var out []crashsuspect.Entry
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		e := crashsuspect.Entry{Fingerprint: s.GetFingerprint()}
		if s.GetCleared() {
			e.ClearedAt = ago(s.GetClearedMillisAgo())
		}
		for _, c := range s.GetCrashes() {
			e.Crashes = append(e.Crashes, crashsuspect.Crash{Name: c.GetIncarnation(), At: ago(c.GetAgeMillis())})
		}
		out = append(out, e)
	}
	return out
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
