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
	// listInterval is the interval of checks of the list, which lags by more than that.
	listInterval = time.Second
	// allReadMaxRoster is the roster size up to which all instances read the list at each check.
	allReadMaxRoster = 12
	// listReaders is the number of instances of a large roster that read the list at each check: it
	// has about 50 KB with 350 instances. They are the ones that propose first. The others read it
	// once in spareReadInterval checks on average, in case all of the first are gone. In larger
	// rosters they read it less often, so that they make spareReadsPerSecond reads in total. Which
	// check reads it is random, since all instances may have started at the same time.
	listReaders         = 3
	spareReadInterval   = 15
	spareReadsPerSecond = 6
	// proposeDelayStep is the delay between two proposers: time for a write and for its propagation
	// to the next one by watch or heartbeat.
	proposeDelayStep = 300 * time.Millisecond
	// answerMaxAge is how long an answered heartbeat shows that an instance is running. missedAfter
	// is how long ago the last answer of a silent instance must be.
	answerMaxAge = 3 * time.Second
	missedAfter  = 1500 * time.Millisecond
	// writeTimeout is the first limit of a write of the roster; see readTimeout.
	writeTimeout = 2 * time.Second
)

// runProposer checks the list and the heartbeats, and writes the next roster when its delay is
// over.
func (m *Member) runProposer(ctx context.Context) {
	listTimeout := objectapi.AdaptiveTimeout{Min: readTimeout, Max: maxCallTimeout}
	writeTimeouts := objectapi.AdaptiveTimeout{Min: writeTimeout, Max: maxCallTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		if n == 0 || m.shouldReadList() {
			m.readList(ctx, &listTimeout)
		}
		now := time.Now()
		if epoch, next, due := m.nextRoster(now); due {
			m.writeRoster(ctx, epoch, next, &writeTimeouts)
		}
		pause(ctx, listInterval, nil)
	}
}

func (m *Member) shouldReadList() bool {
	r := m.Roster()
	n := len(r.Instances)
	if n <= allReadMaxRoster || roster.ProposeDelay(r, m.opts.Self.ID, 1) < listReaders {
		return true
	}
	return m.random(int64(max(spareReadInterval, n/spareReadsPerSecond))) == 0
}

func (m *Member) readList(ctx context.Context, timeout *objectapi.AdaptiveTimeout) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Timeout())
	defer cancel()
	sentAt := time.Now()
	instances, err := m.opts.List.List(ctx)
	if err != nil {
		timeout.Fail(time.Since(sentAt))
		return
	}
	timeout.Succeed(time.Since(sentAt))
	listed := make([]roster.ListedInstance, 0, len(instances))
	for _, in := range instances {
		listed = append(listed, roster.ListedInstance{
			ID: in.ID, PeerAddress: in.PeerAddress, Leaving: in.State == instancelist.StateLeaving,
		})
	}
	m.mu.Lock()
	m.listed = listed
	m.pruneInstances()
	m.mu.Unlock()
}

// nextRoster returns the current epoch and the roster that should follow it, and whether to write
// it now: whether a change is needed and the delay that lets other instances go first is over.
func (m *Member) nextRoster(now time.Time) (epoch int64, next roster.Object, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.lease.Roster()
	next, differs := roster.Propose(now, current, m.listed, m.observation(now))
	if !differs {
		m.changeDueSince = time.Time{}
		return 0, next, false
	}
	if m.changeDueSince.IsZero() {
		m.changeDueSince = now
	}
	return current.Epoch, next, now.Sub(m.changeDueSince) >= roster.ProposeDelay(current, m.opts.Self.ID, proposeDelayStep)
}

func (m *Member) observation(now time.Time) roster.Observation {
	observed := roster.Observation{
		Responding:      map[string]roster.Instance{},
		MissedBy:        map[string]map[string]time.Time{},
		MajorityAdopted: m.lease.MajorityAdopted(),
	}
	for id, p := range m.peerStates {
		if now.Sub(p.answeredAt) < answerMaxAge && p.instance.PeerAddress != "" {
			observed.Responding[id] = p.instance
		}
		if now.Sub(p.answeredAt) >= missedAfter {
			observed.MissedBy[id] = p.missedBy
		}
	}
	observed.Responding[m.opts.Self.ID] = m.self()
	return observed
}

// writeRoster stores a roster by conditional update. Losing the race to another instance is normal;
// the conflict or the watch returns the winner's roster. After a lost answer the watch returns the
// roster that was written, if it was.
func (m *Member) writeRoster(ctx context.Context, epoch int64, next roster.Object, timeout *objectapi.AdaptiveTimeout) {
	ctx, cancel := context.WithTimeout(objectapi.WithTimeout(ctx, timeout.Timeout()), timeout.Timeout())
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		m.opts.Log.Error().Err(err).Msg("roster not written")
		return
	}
	sentAt := time.Now()
	var o objectapi.Object
	if epoch == 0 {
		o, err = m.opts.Objects.Create(ctx, rosterKind, rosterName, value)
	} else {
		o, err = m.opts.Objects.Update(ctx, rosterKind, rosterName, epoch, value)
	}
	var conflict *objectapi.ConflictError
	recordCall(timeout, err, time.Since(sentAt))
	switch {
	case err == nil:
		m.opts.Log.Info().Int64("epoch", o.Version).Int("instances", len(next.Instances)).Msg("roster proposed")
		m.adopt(ctx, sentAt, o.Version, value, true)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		m.adopt(ctx, sentAt, conflict.Current.Version, conflict.Current.Value, true)
	default:
		m.opts.Log.Warn().Err(err).Msg("roster not written")
		signal(m.reread)
	}
}
