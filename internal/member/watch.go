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
	// rosterKind and rosterName name the roster's object.
	rosterKind = "roster"
	rosterName = "roster"
	// watchWait is how long a watch waits. Each answer confirms the roster,
	// and a lease is three seconds: one lost watch is tolerated. At 350 instances
	// it is 350 of the platform's two thousand reads a second.
	watchWait = time.Second
	// readTimeout bounds a read on top of its wait. It doubles with each that
	// fails, up to maxPatience, for a platform that is slow.
	readTimeout = time.Second
	maxPatience = 8 * time.Second
	firstRetry  = 200 * time.Millisecond
	maxRetry    = 3 * time.Second
)

// followRoster reads the roster once and then watches it. Every answer
// confirms what is in force for the moment of asking: the answer may be read
// long after it was sent, by a process that was paused meanwhile.
func (m *Member) followRoster(ctx context.Context) {
	backoff := objectapi.Backoff{Min: firstRetry, Max: maxRetry}
	patience := objectapi.Patience{Min: readTimeout, Max: maxPatience}
	after, read := int64(0), false
	for ctx.Err() == nil {
		asked := time.Now()
		var err error
		if read {
			after, err = m.watchRoster(ctx, asked, after, patience.Timeout())
			notePatience(&patience, err, time.Since(asked)-watchWait)
		} else {
			after, err = m.readRoster(ctx, asked, patience.Timeout())
			notePatience(&patience, err, time.Since(asked))
		}
		m.platformAnswered(err == nil || errors.Is(err, objectapi.ErrNotFound))
		if err == nil {
			read = true
			backoff.Reset()
			continue
		}
		read = false
		wait := backoff.Fail()
		if errors.Is(err, objectapi.ErrNotFound) {
			wait = firstRetry
			backoff.Reset()
		}
		pause(ctx, wait, m.reread)
	}
}

// notePatience counts how a call ended. A refusal is an answer.
func notePatience(p *objectapi.Patience, err error, took time.Duration) {
	if errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknownOutcome) {
		p.Fail(took)
		return
	}
	p.Answered(took)
}

func (m *Member) readRoster(ctx context.Context, asked time.Time, patience time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, patience), patience)
	defer cancel()
	o, err := m.opts.Objects.Get(ctx, rosterKind, rosterName)
	if err != nil {
		return 0, err
	}
	m.adopt(ctx, asked, o.Version, o.Value, true)
	return o.Version, nil
}

func (m *Member) watchRoster(ctx context.Context, asked time.Time, after int64, patience time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, patience), watchWait+patience)
	defer cancel()
	changes, err := m.opts.Objects.Watch(ctx, rosterKind, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, e := range changes.Events {
		if e.Type == objectapi.EventPut && e.Object.Name == rosterName {
			m.adopt(ctx, asked, e.Object.Version, e.Object.Value, false)
		}
	}
	m.confirm(asked)
	return max(after, changes.Version), nil
}

// confirm notes that the roster in force here was current at asked.
func (m *Member) confirm(asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.Confirm(asked, m.lease.Roster().Epoch)
	m.guard.RosterConfirmed(asked)
}

// adopt puts a roster in force if it is newer. One from a peer is adopted as
// well, but confirms nothing: the peer may be cut off.
func (m *Member) adopt(ctx context.Context, asked time.Time, epoch int64, value []byte, confirms bool) {
	var o roster.Object
	if err := json.Unmarshal(value, &o); err != nil {
		m.opts.Log.Error().Int64("epoch", epoch).Err(err).Msg("roster not readable")
		return
	}
	now := time.Now()
	m.mu.Lock()
	old := m.lease.Roster()
	next := roster.New(epoch, o)
	changed := m.lease.Adopt(now, next)
	if confirms && epoch == m.lease.Roster().Epoch {
		m.lease.Confirm(asked, epoch)
		m.guard.RosterConfirmed(asked)
	}
	if changed {
		m.differs = time.Time{}
		m.forget()
	}
	m.mu.Unlock()
	if changed {
		m.opts.Log.Info().Int64("epoch", epoch).Int64("number", o.Number).Int("instances", len(o.Instances)).Msg("roster in force")
		m.opts.Metrics.Gauge("epoch").Update(float64(epoch))
		// Who takes over waits for the word of those that stopped.
		m.handOver(ctx, old, next)
		signal(m.wake)
	}
}

// CatchUp fetches a newer roster from a peer that has one. It is for an asker
// whose roster is behind: the platform may not be readable from here.
func (m *Member) CatchUp(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := m.Roster().Epoch
	res, err := m.opts.Peers.Client(address).FetchRoster(ctx, &peerv1.FetchRosterRequest{AfterEpoch: before})
	if err != nil || res.GetEpoch() <= before {
		return false
	}
	m.adopt(ctx, time.Time{}, res.GetEpoch(), res.GetObject(), false)
	return m.Roster().Epoch > before
}
