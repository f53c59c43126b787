package gossip

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// maxDepth limits how many levels of unreachable instances a broadcast skips.
const maxDepth = 2

// recordQueue holds the newest changed record of each instance for the next broadcast.
type recordQueue struct {
	mu      sync.Mutex
	records map[string]membership.Record
}

func (p *recordQueue) add(records ...membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.records == nil {
		p.records = map[string]membership.Record{}
	}
	for _, r := range records {
		if known, ok := p.records[r.ID]; !ok || r.Newer(&known) {
			p.records[r.ID] = r
		}
	}
}

func (p *recordQueue) take() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := slices.Collect(maps.Values(p.records))
	p.records = nil
	return records
}

// maxSuspects limits the crash suspects for the next broadcast: the outage of a zone
// causes hundreds, but explains them.
const maxSuspects = 256

// suspectQueue holds crash suspects for the next broadcast.
type suspectQueue struct {
	mu      sync.Mutex
	entries []crashsuspect.Entry
}

func (p *suspectQueue) add(entries []crashsuspect.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, entries[:min(len(entries), maxSuspects-len(p.entries))]...)
}

func (p *suspectQueue) take() []crashsuspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := p.entries
	p.entries = nil
	return entries
}

// BroadcastSuspects broadcasts requests that were running when servers crashed. It doesn't
// block.
func (g *Gossip) BroadcastSuspects(entries []crashsuspect.Entry) {
	g.pendingSuspects.add(entries)
	g.Broadcast()
}

// lastBroadcast is the version of the servers as of the last broadcast.
type lastBroadcast struct {
	initialized bool
	servers     int64
}

// broadcastLoop broadcasts changes, with one message for all since the last one. Records alone are
// handed to a collector.
func (g *Gossip) broadcastLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
			g.forward(ctx, g.nextBroadcast(g.opts.Now()))
		case <-g.wakeRecords:
			if records := g.pendingRecords.take(); len(records) > 0 && !g.handToCollector(ctx, records) {
				g.pendingRecords.add(records...)
				g.forward(ctx, g.nextBroadcast(g.opts.Now()))
			}
		case <-g.wakeCollected:
			if objectapi.Sleep(ctx, collectTime(g.opts.Table.Count(g.opts.Now()))) != nil {
				return
			}
			g.forward(ctx, g.nextBroadcast(g.opts.Now()))
		}
		if objectapi.Sleep(ctx, broadcastInterval) != nil {
			return
		}
	}
}

const (
	// collectorCount is the number of instances that are tried as collectors.
	collectorCount = 2
	// collectTimeEach is how long a collector collects for each instance, up to maxCollectTime: the
	// messages a second for each instance then don't grow with their number.
	collectTimeEach = 500 * time.Microsecond
	maxCollectTime  = time.Second
)

// collectTime returns how long one of n instances collects records until it broadcasts them.
func collectTime(n int) time.Duration { return min(maxCollectTime, time.Duration(n)*collectTimeEach) }

// announce lets a changed record be broadcast. It doesn't block.
func (g *Gossip) announce(r membership.Record) {
	g.pendingRecords.add(r)
	select {
	case g.wakeRecords <- struct{}{}:
	default:
	}
}

// handToCollector hands changed records to the instance that broadcasts those of all: when hundreds
// of instances start or lose the platform at the same time, each would otherwise send its own record
// to all others. It returns false if this instance has to broadcast them.
func (g *Gossip) handToCollector(ctx context.Context, records []membership.Record) bool {
	for _, r := range g.opts.Table.Collectors(collectorCount) {
		if r.ID == g.self {
			return false
		}
		if g.inBackoff(r.ID) {
			continue
		}
		if _, err := g.call(ctx, r.Peer, collectProcedure, broadcastTimeout, &Message{Records: records}); err == nil {
			return true
		}
		g.backOff(r.ID)
	}
	return false
}

// handleCollect queues records for the next broadcast.
func (g *Gossip) handleCollect(_ context.Context, m *Message) *Message {
	g.mergeRecords(g.opts.Now(), m.Records)
	g.pendingRecords.add(m.Records...)
	select {
	case g.wakeCollected <- struct{}{}:
	default:
	}
	return &Message{}
}

// nextBroadcast returns the message to broadcast. It holds recent changes only, since it goes to
// all instances; those that lack more fetch it.
func (g *Gossip) nextBroadcast(now time.Time) *Message {
	p := &g.lastBroadcast
	if !p.initialized {
		p.initialized = true
		p.servers, _ = g.opts.State.Version(platformstate.Servers)
	}
	u, _ := g.opts.State.UpdateSince(now, p.servers)
	p.servers = u.Versions[platformstate.Servers].Version
	return &Message{
		Origin: g.self, Incarnation: g.opts.Table.Self().StartedAt, Sequence: g.sequence.Add(1),
		Records: g.pendingRecords.take(), Suspects: g.pendingSuspects.take(), Update: &u,
	}
}

// forward sends a message to the next instances of the origin's tree.
func (g *Gossip) forward(ctx context.Context, m *Message) {
	for _, r := range g.opts.Table.Children(m.Origin) {
		g.sendTo(ctx, m, r, 0)
	}
}

// sendTo sends a message to one instance, or to its children if it can't be reached.
func (g *Gossip) sendTo(ctx context.Context, m *Message, r membership.Record, depth int) {
	if r.ID == m.Origin || r.ID == g.self {
		return
	}
	g.submit("news", func() {
		if !g.inBackoff(r.ID) {
			copied := *m
			if _, err := g.call(ctx, r.Peer, broadcastProcedure, broadcastTimeout, &copied); err == nil || ctx.Err() != nil {
				return
			}
			g.backOff(r.ID)
		}
		if depth == maxDepth {
			return
		}
		for _, child := range g.opts.Table.ChildrenOf(m.Origin, r.ID) {
			g.sendTo(ctx, m, child, depth+1)
		}
	})
}

func (g *Gossip) handleBroadcast(ctx context.Context, m *Message) *Message {
	ctx = context.WithoutCancel(ctx)
	now := g.opts.Now()
	fresh := g.deliveries.isNew(m.Origin, m.Incarnation, m.Sequence)
	g.mergeRecords(now, m.Records)
	g.opts.ApplySuspects(now, m.Suspects)
	missing := m.Update != nil && (g.applyUpdate(now, m.Update, m.From) || g.opts.State.BehindExcept(m.Update.Versions, platformstate.Configuration))
	sender, known := g.opts.Table.Get(m.From)
	switch {
	case known && fresh && (missing || m.Update != nil && g.lacksConfiguration(&m.Update.Versions)):
		// The children of this instance fetch from it what they lack.
		g.submit("news", func() {
			if missing {
				g.fetchUntilCurrent(ctx, sender.Peer, m.Update.Versions)
			}
			if g.lacksConfiguration(&m.Update.Versions) {
				g.fetchConfiguration(ctx, sender.Peer)
			}
			g.forward(ctx, m)
		})
	case fresh:
		g.forward(ctx, m)
	case known && missing:
		g.fetchMissing(ctx, sender.Peer)
	}
	return &Message{}
}

const (
	// maxFetches and fetchPause limit how often an instance asks for what a broadcast announced: its
	// sender may be fetching it too, or refuse while it serves others.
	maxFetches = 8
	fetchPause = 250 * time.Millisecond
)

// fetchUntilCurrent fetches missing platform state until it isn't older than the given versions.
func (g *Gossip) fetchUntilCurrent(ctx context.Context, address string, versions platformstate.Versions) {
	for range maxFetches {
		g.fetchOnce(ctx, address)
		if !g.opts.State.BehindExcept(versions, platformstate.Configuration) || objectapi.Sleep(ctx, fetchPause) != nil {
			return
		}
	}
}

// applyUpdate applies an update and reports whether changes before it are missing.
func (g *Gossip) applyUpdate(now time.Time, u *platformstate.Update, from string) (missing bool) {
	parts := []platformstate.Resource{platformstate.Servers, platformstate.Zones}
	var before [2]uint64
	for i, p := range parts {
		before[i] = g.opts.State.ContentHash(p)
	}
	missing = g.opts.State.Apply(now, u)
	if g.opts.State.ContentHash(platformstate.Servers) != before[0] {
		g.opts.Log.Info().Str("source", from).Int64("version", u.Versions[platformstate.Servers].Version).
			Int("changes", len(u.Changes)).Bool("whole", u.Snapshot).Msg("backend servers told by another instance")
	}
	if g.opts.State.ContentHash(platformstate.Zones) != before[1] {
		g.opts.Log.Info().Str("source", from).Int64("version", u.Versions[platformstate.Zones].Version).
			Strs("zones", u.Zones).Msg("zones told by another instance")
	}
	if missing {
		g.opts.Log.Info().Str("source", from).Int64("from", u.From).Int64("version", u.Versions[platformstate.Servers].Version).
			Msg("changes of backend servers are missing, fetched")
	}
	return missing
}

// broadcastBackoff is how long broadcasts skip an instance that couldn't be reached.
const broadcastBackoff = 1500 * time.Millisecond

// deliveries tracks which broadcasts were received, and which instances couldn't be
// reached.
type deliveries struct {
	mu      sync.Mutex
	origins map[string]origin
	backoff map[string]time.Time
}

type origin struct {
	started, highest int64
	// window has a bit for each of the 64 sequence numbers below the highest.
	window uint64
}

func newDeliveries() *deliveries {
	return &deliveries{origins: map[string]origin{}, backoff: map[string]time.Time{}}
}

// isNew reports whether a broadcast is received for the first time.
func (s *deliveries) isNew(id string, started, sequence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.origins[id]
	switch {
	case !ok || started > o.started:
		s.origins[id] = origin{started: started, highest: sequence}
		return true
	case started < o.started:
		return false
	case sequence > o.highest:
		o.window = o.window<<(sequence-o.highest) | 1<<(sequence-o.highest-1)
		o.highest = sequence
		s.origins[id] = o
		return true
	}
	behind := o.highest - sequence
	if behind == 0 || behind > 64 || o.window&(1<<(behind-1)) != 0 {
		return false
	}
	o.window |= 1 << (behind - 1)
	s.origins[id] = o
	return true
}

func (g *Gossip) backOff(id string) {
	g.deliveries.mu.Lock()
	defer g.deliveries.mu.Unlock()
	g.deliveries.backoff[id] = g.opts.Now().Add(broadcastBackoff)
	g.opts.Log.Info().Str("instance", id).Msg("instance can't be told news")
}

func (g *Gossip) inBackoff(id string) bool {
	now := g.opts.Now()
	g.deliveries.mu.Lock()
	defer g.deliveries.mu.Unlock()
	until, ok := g.deliveries.backoff[id]
	if ok && !now.Before(until) {
		delete(g.deliveries.backoff, id)
		return false
	}
	return ok
}
