package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// listEvery is how often the list is looked at. It lags by more than that.
	listEvery = time.Second
	// listedByAll is the size of a roster up to which each instance reads the
	// list at each look.
	listedByAll = 12
	// listReaders is how many instances of a large roster read the list each
	// time: it is some 50 KB at 350 instances, and its readers are those that
	// propose first. The others read it once in spareEvery looks on average,
	// in case all of the first are gone; in a larger roster more rarely, so
	// that spareReads a second are made of it in all. By random, since all may
	// have started together.
	listReaders = 3
	spareEvery  = 15
	spareReads  = 6
	// proposeStep is the time between two proposers: a write and its way to
	// the next by watch or heartbeat.
	proposeStep = 300 * time.Millisecond
	// answeredFor is how long an answered heartbeat shows that an instance
	// runs, and missedAfter how old the last answer of a silent one is.
	answeredFor = 3 * time.Second
	missedAfter = 1500 * time.Millisecond
	// writeTimeout bounds the write of a roster, for a platform that isn't slow.
	writeTimeout = 2 * time.Second
)

// propose looks at list and heartbeats, and writes the next roster when it is
// this instance's turn.
func (m *Member) propose(ctx context.Context) {
	lists := objectapi.AdaptiveTimeout{Min: readTimeout, Max: maxPatience}
	writes := objectapi.AdaptiveTimeout{Min: writeTimeout, Max: maxPatience}
	for look := 0; ctx.Err() == nil; look++ {
		if look == 0 || m.readsList() {
			m.readList(ctx, &lists)
		}
		now := time.Now()
		if epoch, next, due := m.due(now); due {
			m.write(ctx, epoch, next, &writes)
		}
		pause(ctx, listEvery, nil)
	}
}

func (m *Member) readsList() bool {
	r := m.Roster()
	n := len(r.Instances)
	if n <= listedByAll || roster.ProposeDelay(r, m.opts.Self.ID, 1) < listReaders {
		return true
	}
	return m.random(int64(max(spareEvery, n/spareReads))) == 0
}

func (m *Member) readList(ctx context.Context, patience *objectapi.AdaptiveTimeout) {
	ctx, cancel := context.WithTimeout(ctx, patience.Timeout())
	defer cancel()
	asked := time.Now()
	instances, err := m.opts.List.List(ctx)
	if err != nil {
		patience.Fail(time.Since(asked))
		return
	}
	patience.Succeed(time.Since(asked))
	listed := make([]roster.ListedInstance, 0, len(instances))
	for _, in := range instances {
		listed = append(listed, roster.ListedInstance{
			ID: in.ID, PeerAddress: in.PeerAddress, Leaving: in.State == instancelist.StateLeaving,
		})
	}
	m.mu.Lock()
	m.listed = listed
	m.forget()
	m.mu.Unlock()
}

// due returns the epoch in force and the roster to follow it when one is needed and the wait that lets others
// go first is over.
func (m *Member) due(now time.Time) (epoch int64, next roster.Object, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.lease.Roster()
	next, differs := roster.Propose(now, current, m.listed, m.observation(now))
	if !differs {
		m.differs = time.Time{}
		return 0, next, false
	}
	if m.differs.IsZero() {
		m.differs = now
	}
	return current.Epoch, next, now.Sub(m.differs) >= roster.ProposeDelay(current, m.opts.Self.ID, proposeStep)
}

func (m *Member) observation(now time.Time) roster.Observation {
	seen := roster.Observation{
		Responding:      map[string]roster.Instance{},
		MissedBy:        map[string]map[string]time.Time{},
		MajorityAdopted: m.lease.MajorityAdopted(),
	}
	for id, p := range m.known {
		if now.Sub(p.answeredAt) < answeredFor && p.instance.PeerAddress != "" {
			seen.Responding[id] = p.instance
		}
		if now.Sub(p.answeredAt) >= missedAfter {
			seen.MissedBy[id] = p.silent
		}
	}
	seen.Responding[m.opts.Self.ID] = m.self()
	return seen
}

// write stores a roster by conditional update. Losing the race is ordinary;
// the watch brings the winner's. After a lost answer the watch brings ours.
func (m *Member) write(ctx context.Context, epoch int64, next roster.Object, patience *objectapi.AdaptiveTimeout) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, patience.Timeout()), patience.Timeout())
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		m.opts.Log.Error().Err(err).Msg("roster not written")
		return
	}
	asked := time.Now()
	var o objectapi.Object
	if epoch == 0 {
		o, err = m.opts.Objects.Create(ctx, rosterKind, rosterName, value)
	} else {
		o, err = m.opts.Objects.Update(ctx, rosterKind, rosterName, epoch, value)
	}
	var conflict *objectapi.ConflictError
	notePatience(patience, err, time.Since(asked))
	switch {
	case err == nil:
		m.opts.Log.Info().Int64("epoch", o.Version).Int("instances", len(next.Instances)).Msg("roster proposed")
		m.adopt(ctx, asked, o.Version, value, true)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		m.adopt(ctx, asked, conflict.Current.Version, conflict.Current.Value, true)
	default:
		m.opts.Log.Warn().Err(err).Msg("roster not written")
		signal(m.reread)
	}
}
