package member

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// announceTimeout limits a heartbeat with announced suspects. An instance that answers nothing
	// for longer loses its right to grant permits soon.
	announceTimeout = time.Second
	// maxAnnounced limits the suspects in one heartbeat; a crash has one for each request of a batch.
	maxAnnounced = 256
)

// AnnounceSuspects sends crash suspects to all instances of the roster, also to those that get no
// heartbeats in a large one. It returns when each has answered or has had its time to.
func (m *Member) AnnounceSuspects(ctx context.Context, entries []crashsuspect.Entry) {
	entries = entries[max(0, len(entries)-maxAnnounced):]
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, to := range m.Roster().Instances {
		if to.ID == m.opts.Self.ID {
			continue
		}
		calls.Add(1)
		if err := m.announcers.Submit(func() {
			defer calls.Done()
			m.announce(ctx, to, entries)
		}); err != nil {
			calls.Done()
			return
		}
	}
}

func (m *Member) announce(ctx context.Context, to roster.Instance, entries []crashsuspect.Entry) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	sentAt := time.Now()
	req := m.newHeartbeat(sentAt, to.ID)
	req.Suspects = suspectMessages(sentAt, entries)
	if _, err := m.opts.Peers.Client(to.PeerAddress).Heartbeat(ctx, req); err != nil {
		m.opts.Metrics.Counter("announcements_missed").Inc(1)
		m.opts.Log.Warn().Str("peer", to.ID).Err(err).Msg("crash suspects not announced")
	}
}

func suspectMessages(now time.Time, entries []crashsuspect.Entry) []*peerv1.Suspect {
	var out []*peerv1.Suspect
	for _, e := range entries {
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
	for _, s := range suspects[:min(len(suspects), maxAnnounced)] {
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
