package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
)

// probeNext probes the instance whose turn it is. Now and then one that is down
// is probed too, and a seed: they may be back, or know others.
func (g *Gossip) probeNext(ctx context.Context, rng *rand.Rand) {
	if r, ok := g.opts.Table.NextProbe(rng); ok {
		g.submit("probe", func() { g.probe(ctx, r) })
	}
	if r, ok := g.opts.Table.NextDown(rng); ok && rng.IntN(downOneIn) == 0 {
		g.submit("probe", func() { _ = g.ask(ctx, r.Peer, r.ID) })
	}
	if seed, ok := g.seed(rng); ok && rng.IntN(seedOneIn) == 0 {
		g.submit("probe", func() { _ = g.ask(ctx, seed, "") })
	}
}

// seed draws a seed that no known instance has the address of.
func (g *Gossip) seed(rng *rand.Rand) (string, bool) {
	unknown := slices.DeleteFunc(slices.Clone(g.opts.Seeds), g.opts.Table.Has)
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[rng.IntN(len(unknown))], true
}

// probe asks an instance whether it is there, and others to ask it where it
// doesn't answer. Where nobody reaches it, it is down.
func (g *Gossip) probe(ctx context.Context, r membership.Record) {
	if err := g.ask(ctx, r.Peer, r.ID); err == nil || ctx.Err() != nil {
		return
	}
	if g.reachedByOthers(ctx, r) || ctx.Err() != nil {
		g.opts.Log.Debug().Str("instance", r.ID).Msg("instance answers others only")
		return
	}
	down, ok := g.opts.Table.MarkDown(g.opts.Now(), r)
	if !ok {
		return
	}
	g.opts.Log.Info().Str("instance", r.ID).Str("zone", r.Zone).Int64("started", r.Started).Msg("instance is down")
	g.urgent.add(down)
	g.Announce()
}

// reachedByOthers has a few instances probe another one.
func (g *Gossip) reachedByOthers(ctx context.Context, r membership.Record) bool {
	reached := make(chan bool, helpers)
	var calls sync.WaitGroup
	for _, helper := range g.opts.Table.Helpers(rand.New(rand.NewPCG(rand.Uint64(), 0)), r, helpers) {
		calls.Go(func() {
			m, err := g.call(ctx, helper.Peer, helpProcedure, 2*probeTimeout, &Message{Target: r.ID})
			reached <- err == nil && m.Reached
		})
	}
	calls.Wait()
	close(reached)
	for ok := range reached {
		if ok {
			return true
		}
	}
	return false
}

// ask exchanges records and versions with one instance.
func (g *Gossip) ask(ctx context.Context, address, id string) error {
	m, err := g.call(ctx, address, probeProcedure, probeTimeout, g.own(g.opts.Now(), id))
	if err != nil {
		return err
	}
	g.take(ctx, m, address)
	return nil
}

func (g *Gossip) own(now time.Time, to string) *Message {
	versions := g.opts.State.Versions(now)
	return &Message{Records: g.opts.Table.Recent(now, to), Versions: &versions, Instances: g.opts.Table.Count(now), Digest: g.opts.Table.Digest()}
}

// take takes over what a probe or its answer says, and fetches what is missing.
func (g *Gossip) take(ctx context.Context, m *Message, address string) {
	now := g.opts.Now()
	g.merge(now, m.Records)
	g.opts.Table.NoteCount(now, m.Instances)
	if m.Versions == nil || address == "" {
		return
	}
	if g.opts.Table.Sync(now, m.Digest) {
		g.submit("sync", func() { g.sync(ctx, address, syncTimeout, g.opts.Table.All(g.opts.Now())) })
	}
	g.opts.State.MergeVersions(now, *m.Versions)
	if g.opts.State.BehindExcept(*m.Versions, observed.Configuration) {
		g.fetch(ctx, address)
	}
	g.configure(ctx, m.Versions, address)
}

// merge takes over records. That this instance runs, where others take it for
// down, is told to all.
func (g *Gossip) merge(now time.Time, records []membership.Record) {
	for _, r := range g.opts.Table.Merge(now, records) {
		if r.Down {
			g.opts.Log.Info().Str("instance", r.ID).Int64("started", r.Started).Int64("change", r.Change).Msg("instance is down, by others")
		}
		if r.ID == g.self {
			g.opts.Log.Info().Int64("change", r.Change).Msg("this instance was taken for down")
			g.urgent.add(r)
			g.Announce()
		}
	}
}

func (g *Gossip) answerProbe(ctx context.Context, m *Message) *Message {
	address := ""
	if r, ok := g.opts.Table.Get(m.From); ok {
		address = r.Peer
	}
	g.take(context.WithoutCancel(ctx), m, address)
	return g.own(g.opts.Now(), m.From)
}

func (g *Gossip) answerHelp(ctx context.Context, m *Message) *Message {
	r, ok := g.opts.Table.Get(m.Target)
	if !ok {
		return &Message{}
	}
	return &Message{Reached: g.ask(ctx, r.Peer, r.ID) == nil}
}
