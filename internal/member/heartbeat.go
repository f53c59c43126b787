package member

import (
	"context"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// callTimeout limits a heartbeat or a fetch of a roster. It is hundreds of times the latency
	// between availability zones and a fraction of a lease.
	callTimeout = 500 * time.Millisecond
	// fetchTimeout limits a fetch of the configuration, which may have megabytes.
	fetchTimeout = 2 * time.Second
	// roundsPerHeartbeat is the number of rounds in which each required peer gets one heartbeat.
	// With two rounds per second a lease outlasts two lost heartbeats.
	roundsPerHeartbeat = 2
	// maxSuspects and maxSilences limit the crash suspects, newest first, and the missed answers
	// that a heartbeat carries.
	maxSuspects = 8
	maxSilences = 16
	// maxInFlight limits the heartbeats without an answer. When it is reached, most of the roster
	// is unreachable, and more heartbeats would give no new information.
	maxInFlight = 64
	// maxNonMembersInFlight limits the heartbeats to instances that aren't in the roster.
	maxNonMembersInFlight = maxInFlight / 2
)

// runHeartbeats sends a round of heartbeats in each period, and at once when woken.
func (m *Member) runHeartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		for _, to := range m.heartbeatTargets(time.Now(), round) {
			if err := m.senders.Submit(func() { m.sendHeartbeat(ctx, to) }); err != nil {
				m.skipHeartbeat(to.ID)
			}
		}
		now := time.Now()
		m.confirmByPeers(now)
		period := m.nextPeriod(now)
		jitter := period / 10
		pause(ctx, period-jitter/2+time.Duration(m.random(int64(jitter)+1)), m.wake)
	}
}

func (m *Member) skipHeartbeat(id string) {
	m.opts.Metrics.Counter("heartbeats_put_off").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerState(id).inFlight = false
}

func (m *Member) random(n int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Int64N(n)
}

// sendHeartbeat sends one heartbeat and applies the answer.
func (m *Member) sendHeartbeat(ctx context.Context, to roster.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	req := m.newHeartbeat(sentAt, to.ID)
	res, err := m.opts.Peers.Client(to.PeerAddress).Heartbeat(ctx, req)
	now := time.Now()
	if err != nil || res.GetInstance() != to.ID {
		m.recordMissedAnswer(now, to.ID)
		return
	}
	m.applyAnswer(now, sentAt, req, res)
	m.applyUpdates(ctx, now, to.PeerAddress, res.GetEpoch(), res.GetConfigVersion(), res.GetSuspects())
}

func (m *Member) recordMissedAnswer(now time.Time, id string) {
	m.opts.Metrics.Counter("heartbeats_missed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerState(id)
	p.inFlight = false
	p.missedBy[m.opts.Self.ID] = now
}

// applyAnswer applies the answer to a heartbeat sent at sentAt.
func (m *Member) applyAnswer(now, sentAt time.Time, req *peerv1.HeartbeatRequest, res *peerv1.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerState(res.GetInstance())
	p.inFlight = false
	p.missedBy = map[string]time.Time{}
	p.answeredAt = now
	m.applyAnswerLocked(now, sentAt, p, req, res)
}

// applyAnswerLocked applies the identity of the answering instance and the promise in its answer.
func (m *Member) applyAnswerLocked(now, sentAt time.Time, p *peerState, req *peerv1.HeartbeatRequest, res *peerv1.HeartbeatResponse) {
	p.configVersion, p.epoch = res.GetConfigVersion(), res.GetEpoch()
	if p.instance.Incarnation != res.GetIncarnation() {
		// A new incarnation may have other addresses; the next heartbeat asks for its identity.
		p.instance = roster.Instance{ID: p.instance.ID, Incarnation: res.GetIncarnation()}
	}
	p.instance.Leaving = res.GetLeaving()
	if id := res.GetIdentity(); id != nil {
		p.instance.PeerAddress, p.instance.CallerAddress = id.GetPeerAddress(), id.GetCallerAddress()
		p.instance.Zone, p.instance.Region = id.GetZone(), id.GetRegion()
	}
	m.mergeSilences(now, res.GetSilences())
	m.mergeAdopters(now, res.GetEpoch(), res.GetAdopters())
	if !m.lease.Roster().Has(p.instance.ID, res.GetIncarnation()) {
		return
	}
	if req.GetEpoch() == res.GetEpoch() {
		m.lease.RecordAck(now, sentAt, p.instance.ID, res.GetEpoch(), res.GetConfigVersion())
		m.lease.ApplyAges(sentAt, res.GetEpoch(), res.GetConfigVersion(), res.GetAges())
	}
	m.lease.RecordStopped(now, p.instance.ID, res.GetEpoch())
}

// mergeAdopters records which instances are known to have adopted the epoch: bit i is instance i of
// the roster. As each instance passes it to a few others, it reaches all instances in a time that
// grows with the logarithm of their number. If the new owner had to ask half of 350 instances
// itself, a takeover would take most of a minute.
func (m *Member) mergeAdopters(now time.Time, epoch int64, bits []byte) {
	r := m.lease.Roster()
	if epoch != r.Epoch {
		return
	}
	for i, in := range r.Instances {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 && in.ID != m.opts.Self.ID {
			m.lease.RecordStopped(now, in.ID, epoch)
		}
	}
}

func (m *Member) adopterBitmap() []byte {
	r := m.lease.Roster()
	bits := make([]byte, (len(r.Instances)+7)/8)
	for i, in := range r.Instances {
		if m.lease.HasAdopted(in.ID) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// mergeSilences records which instances others got no answer from.
func (m *Member) mergeSilences(now time.Time, silences []*peerv1.Silence) {
	for _, s := range silences {
		p, ok := m.peerStates[s.GetInstance()]
		if !ok || s.GetObserver() == m.opts.Self.ID {
			continue
		}
		at := now.Add(-time.Duration(s.GetAgeMillis()) * time.Millisecond)
		if at.After(p.missedBy[s.GetObserver()]) && at.After(p.answeredAt) {
			p.missedBy[s.GetObserver()] = at
		}
	}
}

func (m *Member) newHeartbeat(now time.Time, to string) *peerv1.HeartbeatRequest {
	suspects := m.newestSuspects(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerv1.HeartbeatRequest{
		Instance:      m.opts.Self.ID,
		Incarnation:   m.opts.Self.Incarnation,
		Epoch:         m.lease.Roster().Epoch,
		ConfigVersion: m.opts.Config.Version(),
		Leaving:       m.leaving,
		Suspects:      suspects,
		Silences:      m.recentSilences(now),
		WantIdentity:  m.peerState(to).instance.PeerAddress == "",
		Adopters:      m.adopterBitmap(),
		WantAges:      m.unconfirmed(now),
	}
}

// recentSilences returns the recent missed answers, up to maxSilences.
func (m *Member) recentSilences(now time.Time) []*peerv1.Silence {
	var ids []string
	for id, p := range m.peerStates {
		if len(p.missedBy) > 0 {
			ids = append(ids, id)
		}
	}
	// The result must be the same for the same state.
	slices.Sort(ids)
	var out []*peerv1.Silence
	for _, id := range ids {
		for observer, at := range m.peerStates[id].missedBy {
			age := now.Sub(at)
			if age > silenceMaxAge || len(out) >= maxSilences {
				continue
			}
			out = append(out, &peerv1.Silence{Instance: id, Observer: observer, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// silenceMaxAge is how long a missed answer is reported to others.
const silenceMaxAge = 3 * time.Second
