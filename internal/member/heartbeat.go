package member

import (
	"context"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// callTimeout bounds a heartbeat or a fetch of a roster: hundreds of times
	// the way between zones, and a fraction of a lease.
	callTimeout = 500 * time.Millisecond
	// fetchTimeout bounds a fetch of the configuration, up to megabytes.
	fetchTimeout = 2 * time.Second
	// everyRounds is how often each needed peer gets a heartbeat: every second
	// round. With two rounds a second a lease outlives two lost ones.
	everyRounds = 2
	// maxSuspects and maxSilences bound what a heartbeat carries. Both are
	// news, and the newest come first.
	maxSuspects = 8
	maxSilences = 16
	// maxConcurrent bounds the heartbeats without an answer. When as many are
	// out, most of the roster is cut off, and more would show nothing new.
	maxConcurrent = 64
	// maxStrangers bounds those to instances that the roster doesn't name.
	maxStrangers = maxConcurrent / 2
)

// heartbeats sends a round in each period, and at once when woken.
func (m *Member) heartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		for _, to := range m.targets(time.Now(), round) {
			if err := m.beats.Submit(func() { m.beat(ctx, to) }); err != nil {
				m.passOver(to.ID)
			}
		}
		now := time.Now()
		m.confirmByPeers(now)
		period := m.period(now)
		jitter := period / 10
		pause(ctx, period-jitter/2+time.Duration(m.random(int64(jitter)+1)), m.wake)
	}
}

func (m *Member) passOver(id string) {
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

// beat sends one heartbeat and takes in the answer.
func (m *Member) beat(ctx context.Context, to roster.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	req := m.heartbeat(sent, to.ID)
	res, err := m.opts.Peers.Client(to.PeerAddress).Heartbeat(ctx, req)
	now := time.Now()
	if err != nil || res.GetInstance() != to.ID {
		m.missedAnswer(now, to.ID)
		return
	}
	m.takeAnswer(now, sent, req, res)
	m.news(ctx, now, to.PeerAddress, res.GetEpoch(), res.GetConfigVersion(), res.GetSuspects())
}

func (m *Member) missedAnswer(now time.Time, id string) {
	m.opts.Metrics.Counter("heartbeats_missed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerState(id)
	p.inFlight = false
	p.silent[m.opts.Self.ID] = now
}

// takeAnswer takes in the answer to a heartbeat sent at sent.
func (m *Member) takeAnswer(now, sent time.Time, req *peerv1.HeartbeatRequest, res *peerv1.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerState(res.GetInstance())
	p.inFlight = false
	p.silent = map[string]time.Time{}
	p.answeredAt = now
	m.answered(now, sent, p, req, res)
}

// answered takes in who answered, and the promise that is in it.
func (m *Member) answered(now, sent time.Time, p *peerState, req *peerv1.HeartbeatRequest, res *peerv1.HeartbeatResponse) {
	p.configVersion, p.epoch = res.GetConfigVersion(), res.GetEpoch()
	if p.instance.Incarnation != res.GetIncarnation() {
		// Another start may have other addresses: ask who it is.
		p.instance = roster.Instance{ID: p.instance.ID, Incarnation: res.GetIncarnation()}
	}
	p.instance.Leaving = res.GetLeaving()
	if id := res.GetIdentity(); id != nil {
		p.instance.PeerAddress, p.instance.CallerAddress = id.GetPeerAddress(), id.GetCallerAddress()
		p.instance.Zone, p.instance.Region = id.GetZone(), id.GetRegion()
	}
	m.silences(now, res.GetSilences())
	m.adopters(now, res.GetEpoch(), res.GetAdopters())
	if !m.lease.Roster().Has(p.instance.ID, res.GetIncarnation()) {
		return
	}
	if req.GetEpoch() == res.GetEpoch() {
		m.lease.RecordAck(now, sent, p.instance.ID, res.GetEpoch(), res.GetConfigVersion())
		m.lease.ApplyAges(sent, res.GetEpoch(), res.GetConfigVersion(), res.GetAges())
	}
	m.lease.RecordStopped(now, p.instance.ID, res.GetEpoch())
}

// adopters takes in who is known to have adopted the epoch: bit i is instance
// i of the roster. Spread from each to a few, it reaches all of 350 instances
// in a time that grows with the logarithm of their number; a takeover that had
// to ask half of them itself would take most of a minute.
func (m *Member) adopters(now time.Time, epoch int64, bits []byte) {
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

func (m *Member) adopterBits() []byte {
	r := m.lease.Roster()
	bits := make([]byte, (len(r.Instances)+7)/8)
	for i, in := range r.Instances {
		if m.lease.HasAdopted(in.ID) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// silences takes in which instances others miss.
func (m *Member) silences(now time.Time, silences []*peerv1.Silence) {
	for _, s := range silences {
		p, ok := m.known[s.GetInstance()]
		if !ok || s.GetObserver() == m.opts.Self.ID {
			continue
		}
		at := now.Add(-time.Duration(s.GetAgeMillis()) * time.Millisecond)
		if at.After(p.silent[s.GetObserver()]) && at.After(p.answeredAt) {
			p.silent[s.GetObserver()] = at
		}
	}
}

func (m *Member) heartbeat(now time.Time, to string) *peerv1.HeartbeatRequest {
	suspects := m.newest(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerv1.HeartbeatRequest{
		Instance:      m.opts.Self.ID,
		Incarnation:   m.opts.Self.Incarnation,
		Epoch:         m.lease.Roster().Epoch,
		ConfigVersion: m.opts.Config.Version(),
		Leaving:       m.leaving,
		Suspects:      suspects,
		Silences:      m.missed(now),
		WantIdentity:  m.peerState(to).instance.PeerAddress == "",
		Adopters:      m.adopterBits(),
		WantAges:      m.unconfirmed(now),
	}
}

// missed lists the newest silences.
func (m *Member) missed(now time.Time) []*peerv1.Silence {
	var ids []string
	for id, p := range m.known {
		if len(p.silent) > 0 {
			ids = append(ids, id)
		}
	}
	// Rounds are the same for the same state.
	slices.Sort(ids)
	var out []*peerv1.Silence
	for _, id := range ids {
		for observer, at := range m.known[id].silent {
			age := now.Sub(at)
			if age > silentFor || len(out) >= maxSilences {
				continue
			}
			out = append(out, &peerv1.Silence{Instance: id, Observer: observer, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// silentFor is how long a missed answer is told to others.
const silentFor = 3 * time.Second
