package gossip

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

// maxDepth bounds how far past instances that can't be reached news is told.
const maxDepth = 2

// pending are changed records that wait to be told to all.
type pending struct {
	mu      sync.Mutex
	records []membership.Record
}

func (p *pending) add(r membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, r)
}

func (p *pending) take() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := p.records
	p.records = nil
	return records
}

// maxSuspects bounds the suspects that wait to be told to all: a zone that is lost
// makes hundreds, which its loss explains.
const maxSuspects = 256

// pendingSuspects are suspects that wait to be told to all.
type pendingSuspects struct {
	mu      sync.Mutex
	entries []suspect.Entry
}

func (p *pendingSuspects) add(entries []suspect.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, entries[:min(len(entries), maxSuspects-len(p.entries))]...)
}

func (p *pendingSuspects) take() []suspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := p.entries
	p.entries = nil
	return entries
}

// TellSuspects has all told of requests that were running when servers crashed. It
// doesn't wait.
func (g *Gossip) TellSuspects(entries []suspect.Entry) {
	g.suspects.add(entries)
	g.Announce()
}

// published is the version of the servers that was last told to all.
type published struct {
	begun   bool
	servers int64
}

// tell passes on what this instance has heard, as one message for all that came
// in the meantime.
func (g *Gossip) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		g.pass(ctx, g.news(g.opts.Now()))
		if objectapi.Pause(ctx, newsGap) != nil {
			return
		}
	}
}

// news is what all are to be told. What was known before the first news isn't
// part of it: those that lack it fetch it.
func (g *Gossip) news(now time.Time) *Message {
	p := &g.published
	if !p.begun {
		p.begun = true
		p.servers, _ = g.opts.State.Version(observed.Servers)
	}
	u := g.opts.State.UpdateSince(now, p.servers)
	p.servers = u.Versions[observed.Servers].Version
	return &Message{
		Origin: g.self, Started: g.opts.Table.Self().Started, Sequence: g.sequence.Add(1),
		Records: g.urgent.take(), Suspects: g.suspects.take(), Update: &u,
	}
}

// pass tells the next instances of the origin's tree.
func (g *Gossip) pass(ctx context.Context, m *Message) {
	for _, r := range g.opts.Table.Children(m.Origin) {
		g.send(ctx, m, r, 0)
	}
}

// send tells one instance, and its children in its place where it can't be
// reached.
func (g *Gossip) send(ctx context.Context, m *Message, r membership.Record, depth int) {
	if r.ID == m.Origin || r.ID == g.self {
		return
	}
	g.submit("news", func() {
		if !g.inBackoff(r.ID) {
			copied := *m
			if _, err := g.call(ctx, r.Peer, newsProcedure, newsTimeout, &copied); err == nil || ctx.Err() != nil {
				return
			}
			g.backOff(r.ID)
		}
		if depth == maxDepth {
			return
		}
		for _, child := range g.opts.Table.ChildrenOf(m.Origin, r.ID) {
			g.send(ctx, m, child, depth+1)
		}
	})
}

func (g *Gossip) answerNews(ctx context.Context, m *Message) *Message {
	ctx = context.WithoutCancel(ctx)
	now := g.opts.Now()
	fresh := g.seen.first(m.Origin, m.Started, m.Sequence)
	g.merge(now, m.Records)
	g.opts.TakeSuspects(now, m.Suspects)
	if m.Update != nil {
		g.apply(ctx, now, m.Update, m.From)
	}
	sender, ok := g.opts.Table.Get(m.From)
	lacks := ok && m.Update != nil && g.lacksConfiguration(&m.Update.Versions)
	switch {
	case fresh && lacks:
		// Those that are told by this instance fetch it here.
		g.submit("news", func() {
			g.configureFrom(ctx, sender.Peer)
			g.pass(ctx, m)
		})
	case fresh:
		g.pass(ctx, m)
	}
	return &Message{}
}

// apply takes over an update, and fetches what is missing before it.
func (g *Gossip) apply(ctx context.Context, now time.Time, u *observed.Update, from string) {
	if !g.takeUpdate(now, u, from) && !g.opts.State.BehindExcept(u.Versions, observed.Configuration) {
		return
	}
	if r, ok := g.opts.Table.Get(from); ok {
		g.fetch(ctx, r.Peer)
	}
}

// takeUpdate takes over an update and reports whether changes are missing before
// it.
func (g *Gossip) takeUpdate(now time.Time, u *observed.Update, from string) (missing bool) {
	parts := []observed.Resource{observed.Servers, observed.Zones}
	var before [2]uint64
	for i, p := range parts {
		before[i] = g.opts.State.ContentHash(p)
	}
	missing = g.opts.State.Apply(now, u)
	if g.opts.State.ContentHash(observed.Servers) != before[0] {
		g.opts.Log.Info().Str("source", from).Int64("version", u.Versions[observed.Servers].Version).
			Int("changes", len(u.Changes)).Bool("whole", u.Snapshot).Msg("backend servers told by another instance")
	}
	if g.opts.State.ContentHash(observed.Zones) != before[1] {
		g.opts.Log.Info().Str("source", from).Int64("version", u.Versions[observed.Zones].Version).
			Strs("zones", u.Zones).Msg("zones told by another instance")
	}
	if missing {
		g.opts.Log.Info().Str("source", from).Int64("from", u.From).Int64("version", u.Versions[observed.Servers].Version).
			Msg("changes of backend servers are missing, fetched")
	}
	return missing
}

// newsBackoff is how long an instance that couldn't be told news is told past.
const newsBackoff = 1500 * time.Millisecond

// seen remembers which news have come, and who couldn't be told any.
type seen struct {
	mu      sync.Mutex
	origins map[string]origin
	backoff map[string]time.Time
}

type origin struct {
	started, highest int64
	// window has a bit for each of the counts below the highest.
	window uint64
}

func newSeen() *seen { return &seen{origins: map[string]origin{}, backoff: map[string]time.Time{}} }

// first reports whether news comes for the first time.
func (s *seen) first(id string, started, sequence int64) bool {
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
	g.seen.mu.Lock()
	defer g.seen.mu.Unlock()
	g.seen.backoff[id] = g.opts.Now().Add(newsBackoff)
	g.opts.Log.Info().Str("instance", id).Msg("instance can't be told news")
}

func (g *Gossip) inBackoff(id string) bool {
	now := g.opts.Now()
	g.seen.mu.Lock()
	defer g.seen.mu.Unlock()
	until, ok := g.seen.backoff[id]
	if ok && !now.Before(until) {
		delete(g.seen.backoff, id)
		return false
	}
	return ok
}
