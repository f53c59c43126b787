package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// rosterKind and rosterName are the kind and name of the platform object that holds the roster.
	rosterKind = "roster"
	rosterName = "roster"
	// longPollTimeout is how long a watch waits for a change. Each answer confirms the roster; as a
	// lease is three seconds, one lost watch is tolerated. With 350 instances the watches use 350
	// of the platform's 2,000 reads per second.
	longPollTimeout = time.Second
	// readTimeout limits a read, in addition to the time that a watch waits. It doubles with each
	// failed call, up to maxCallTimeout, in case the platform is slow.
	readTimeout    = time.Second
	maxCallTimeout = 8 * time.Second
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
)

// followRoster reads the roster once and then watches it. Every answer confirms the roster as of
// the time of the request: the process may be paused, and read the answer long after it was sent.
func (m *Member) followRoster(ctx context.Context) {
	backoff := objectapi.Backoff{Min: minBackoff, Max: maxBackoff}
	cuts := objectapi.CutWatches{Backoff: objectapi.Backoff{Min: minBackoff, Max: longPollTimeout}}
	timeout := objectapi.AdaptiveTimeout{Min: readTimeout, Max: maxCallTimeout}
	after, listed := int64(0), false
	for ctx.Err() == nil {
		sentAt := time.Now()
		var err error
		if listed {
			wait := cuts.Wait(longPollTimeout)
			after, err = m.watchRoster(ctx, sentAt, after, wait, timeout.Timeout())
			if errors.Is(err, objectapi.ErrWatchEnded) {
				pause(ctx, cuts.Cut(time.Since(sentAt)), m.reread)
				continue
			}
			cuts.Ended()
			recordCall(&timeout, err, time.Since(sentAt)-wait)
		} else {
			after, err = m.readRoster(ctx, sentAt, timeout.Timeout())
			recordCall(&timeout, err, time.Since(sentAt))
		}
		m.recordPlatformCall(err == nil || errors.Is(err, objectapi.ErrNotFound))
		if err == nil {
			listed = true
			backoff.Reset()
			continue
		}
		listed = false
		wait := backoff.Fail()
		if errors.Is(err, objectapi.ErrNotFound) {
			wait = minBackoff
			backoff.Reset()
		}
		pause(ctx, wait, m.reread)
	}
}

// recordCall updates the call timeout with the result of a call. An error answer counts as an
// answer.
func recordCall(p *objectapi.AdaptiveTimeout, err error, elapsed time.Duration) {
	if errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknownOutcome) {
		p.Fail(elapsed)
		return
	}
	p.Succeed(elapsed)
}

func (m *Member) readRoster(ctx context.Context, sentAt time.Time, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, timeout), timeout)
	defer cancel()
	o, err := m.opts.Objects.Get(ctx, rosterKind, rosterName)
	if err != nil {
		return 0, err
	}
	m.adopt(ctx, sentAt, o.Version, o.Value, true)
	return o.Version, nil
}

func (m *Member) watchRoster(ctx context.Context, sentAt time.Time, after int64, wait, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, timeout), wait+timeout)
	defer cancel()
	changes, err := m.opts.Objects.Watch(ctx, rosterKind, after, wait)
	if err != nil {
		return after, err
	}
	for _, e := range changes.Events {
		if e.Type == objectapi.EventPut && e.Object.Name == rosterName {
			m.adopt(ctx, sentAt, e.Object.Version, e.Object.Value, false)
		}
	}
	m.confirm(sentAt)
	return max(after, changes.Version), nil
}

// confirm records that the current roster was up to date at sentAt.
func (m *Member) confirm(sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.Confirm(sentAt, m.lease.Roster().Epoch)
	m.guard.ConfirmRoster(sentAt)
}

// adopt replaces the current roster if the given one is newer. A roster from a peer is adopted as
// well but not confirmed: the peer may be cut off from the platform.
func (m *Member) adopt(ctx context.Context, sentAt time.Time, epoch int64, value []byte, confirms bool) {
	var o roster.Object
	if err := json.Unmarshal(value, &o); err != nil {
		m.opts.Log.Error().Int64("epoch", epoch).Err(err).Msg("roster is invalid")
		return
	}
	now := time.Now()
	m.mu.Lock()
	old := m.lease.Roster()
	next := roster.New(epoch, o)
	changed := m.lease.Adopt(now, next)
	if confirms && epoch == m.lease.Roster().Epoch {
		m.lease.Confirm(sentAt, epoch)
		m.guard.ConfirmRoster(sentAt)
	}
	if changed {
		m.changeDueSince = time.Time{}
		m.pruneInstances()
	}
	m.mu.Unlock()
	if changed {
		m.opts.Log.Info().Int64("epoch", epoch).Int64("number", o.Number).Int("instances", len(o.Instances)).Msg("roster adopted")
		m.opts.Metrics.Gauge("epoch").Update(float64(epoch))
		// The new owners wait for this message from the previous ones.
		m.sendHandoff(ctx, old, next)
		signal(m.wake)
	}
}

// CatchUp fetches a newer roster from a peer and reports whether it was adopted. An instance whose
// roster is out of date calls it, since it may be unable to reach the platform.
func (m *Member) CatchUp(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch := m.Roster().Epoch
	res, err := m.opts.Peers.Client(address).FetchRoster(ctx, &peerv1.FetchRosterRequest{AfterEpoch: epoch})
	if err != nil || res.GetEpoch() <= epoch {
		return false
	}
	m.adopt(ctx, time.Time{}, res.GetEpoch(), res.GetObject(), false)
	return m.Roster().Epoch > epoch
}
