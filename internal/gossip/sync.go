package gossip

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/membership"
)

// joinSeeds exchanges all records and versions with the seeds.
func (g *Gossip) joinSeeds(ctx context.Context) {
	own := g.opts.Table.Self().Peer
	for _, address := range g.opts.Seeds {
		if address != own {
			g.submit("join", func() { g.sync(ctx, address, g.opts.Table.All(g.opts.Now())) })
		}
	}
}

// fetch gets what is missing of the platform from an instance that has it. One
// fetch at a time is enough: what it misses shows with the next probe.
func (g *Gossip) fetch(ctx context.Context, address string) {
	if !g.syncing.CompareAndSwap(false, true) {
		return
	}
	if g.calls.Submit(func() {
		defer g.syncing.Store(false)
		g.sync(ctx, address, nil)
	}) != nil {
		g.syncing.Store(false)
	}
	g.opts.Scope.Counter("fetches").Inc(1)
}

func (g *Gossip) sync(ctx context.Context, address string, records []membership.Record) {
	now := g.opts.Now()
	versions := g.opts.State.Versions(now)
	m, err := g.call(ctx, address, syncProcedure, syncTimeout, &Message{Records: records, Versions: &versions})
	if err != nil {
		return
	}
	now = g.opts.Now()
	g.merge(now, m.Records)
	g.joined.Store(true)
	if m.Update == nil {
		return
	}
	if len(m.Update.Configuration) > 0 {
		g.opts.TakeRaw(now, m.Update.Configuration, m.From)
	}
	g.opts.State.Apply(now, m.Update)
}

// answerSync returns the records that the sender lacks, where it tells its own,
// and what it lacks of the platform.
func (g *Gossip) answerSync(ctx context.Context, m *Message) *Message {
	now := g.opts.Now()
	has := make(map[string]membership.Record, len(m.Records))
	for _, r := range m.Records {
		has[r.ID] = r
	}
	var lacks []membership.Record
	if len(m.Records) > 0 {
		for _, r := range g.opts.Table.All(now) {
			if known, ok := has[r.ID]; !ok || known != r {
				lacks = append(lacks, r)
			}
		}
	}
	g.merge(now, m.Records)
	answer := &Message{Records: lacks}
	if m.Versions != nil {
		if r, ok := g.opts.Table.Get(m.From); ok && g.opts.State.Behind(*m.Versions) {
			g.fetch(context.WithoutCancel(ctx), r.Peer)
		}
		u := g.opts.State.UpdateFor(now, *m.Versions)
		answer.Update = &u
	}
	return answer
}
