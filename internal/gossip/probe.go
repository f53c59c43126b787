package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// probeNext probes the next instance. From time to time it also probes one that is down,
// and a seed: they may have restarted, or know other instances.
func (g *Gossip) probeNext(ctx context.Context, rng *rand.Rand) {
	if r, ok := g.opts.Table.NextProbe(rng); ok {
		g.submit("probe", func() { g.probe(ctx, r) })
	}
	if r, ok := g.opts.Table.RandomDown(rng); ok && rng.IntN(downProbeOdds) == 0 {
		g.submit("probe", func() { _ = g.exchange(ctx, r.Peer, r.ID) })
	}
	if seed, ok := g.seed(rng); ok && rng.IntN(seedProbeOdds) == 0 {
		g.submit("probe", func() { _ = g.exchange(ctx, seed, "") })
	}
}

// seed returns a random seed that isn't the address of a known instance.
func (g *Gossip) seed(rng *rand.Rand) (string, bool) {
	unknown := slices.DeleteFunc(slices.Clone(g.opts.Seeds), g.opts.Table.HasPeer)
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[rng.IntN(len(unknown))], true
}

// probe probes an instance, directly and then through others. If none of them reaches it,
// it is marked as down.
func (g *Gossip) probe(ctx context.Context, r membership.Record) {
	if err := g.exchange(ctx, r.Peer, r.ID); err == nil || ctx.Err() != nil {
		return
	}
	if g.probeIndirectly(ctx, r) || ctx.Err() != nil {
		g.opts.Log.Debug().Str("instance", r.ID).Msg("instance reachable only from others")
		return
	}
	down, ok := g.opts.Table.MarkDown(g.opts.Now(), r)
	if !ok {
		return
	}
	g.opts.Log.Info().Str("instance", r.ID).Str("zone", r.Zone).Int64("started", r.StartedAt).Msg("instance is down")
	g.announce(down)
}

// probeIndirectly lets a few other instances probe an instance, and reports whether one
// reached it.
func (g *Gossip) probeIndirectly(ctx context.Context, r membership.Record) bool {
	reached := make(chan bool, maxIndirectProbes)
	var calls sync.WaitGroup
	for _, prober := range g.opts.Table.IndirectProbers(rand.New(rand.NewPCG(rand.Uint64(), 0)), r, maxIndirectProbes) {
		calls.Go(func() {
			m, err := g.call(ctx, prober.Peer, indirectProbeProcedure, 2*probeTimeout, &Message{Target: r.ID})
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

// exchange exchanges records and versions with an instance.
func (g *Gossip) exchange(ctx context.Context, address, id string) error {
	m, err := g.call(ctx, address, probeProcedure, probeTimeout, g.probeMessage(g.opts.Now(), id))
	if err != nil {
		return err
	}
	g.applyProbe(ctx, m, address)
	return nil
}

func (g *Gossip) probeMessage(now time.Time, to string) *Message {
	versions := g.opts.State.Versions(now)
	m := &Message{Records: g.opts.Table.Recent(now, to), Versions: &versions, Instances: g.opts.Table.Count(now), Digest: g.opts.Table.Digest(), SuspectDigest: g.opts.SuspectDigest(now)}
	if g.opts.Limits != nil {
		m.Limits = g.opts.Limits.Entries(now)
	}
	return m
}

func (g *Gossip) mergeLimits(now time.Time, m *Message) {
	if g.opts.Limits == nil {
		return
	}
	for _, e := range g.opts.Limits.Merge(now, m.Limits) {
		g.opts.Log.Info().Str("server", e.Server).Any("perSecond", e.PerSecond).Str("source", m.From).Msg("limit of a backend server told by another instance")
	}
}

// applyProbe applies a probe or its answer, and fetches missing state.
func (g *Gossip) applyProbe(ctx context.Context, m *Message, address string) {
	now := g.opts.Now()
	g.mergeRecords(now, m.Records)
	g.opts.Table.RecordCount(now, m.Instances)
	g.mergeLimits(now, m)
	if len(m.Suspects) > 0 {
		g.opts.ApplySuspects(now, m.Suspects)
	}
	if m.Versions == nil || address == "" {
		return
	}
	if g.opts.Table.SyncDue(now, m.Digest) {
		g.submit("sync", func() { g.sync(ctx, address, syncTimeout, g.opts.Table.All(g.opts.Now())) })
	}
	g.opts.State.MergeVersions(now, *m.Versions)
	if g.opts.State.BehindExcept(*m.Versions, platformstate.Configuration) {
		g.fetchMissing(ctx, address)
	}
	g.fetchNewerConfiguration(ctx, m.Versions, address)
}

// RefreshSuspects asks one running instance after the other for crash suspects, until one has answered.
func (g *Gossip) RefreshSuspects(ctx context.Context) bool {
	running := g.opts.Table.Running()
	rand.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for _, r := range running[:min(len(running), maxRefreshCalls)] {
		if r.ID == g.self {
			continue
		}
		if m, err := g.call(ctx, r.Peer, syncProcedure, probeTimeout, &Message{}); err == nil {
			g.opts.ApplySuspects(g.opts.Now(), m.Suspects)
			return true
		}
	}
	return false
}

// mergeRecords applies records. If others consider this instance down, it broadcasts that
// it is running.
func (g *Gossip) mergeRecords(now time.Time, records []membership.Record) {
	for _, r := range g.opts.Table.Merge(now, records) {
		if r.Down {
			g.opts.Log.Info().Str("instance", r.ID).Int64("started", r.StartedAt).Int64("change", r.Change).Msg("instance is down, by others")
		}
		if r.ID == g.self {
			g.opts.Log.Info().Int64("change", r.Change).Msg("this instance was taken for down")
			g.announce(r)
		}
	}
}

func (g *Gossip) handleProbe(ctx context.Context, m *Message) *Message {
	address := ""
	if r, ok := g.opts.Table.Get(m.From); ok {
		address = r.Peer
	}
	g.applyProbe(context.WithoutCancel(ctx), m, address)
	answer := g.probeMessage(g.opts.Now(), m.From)
	if m.SuspectDigest != answer.SuspectDigest {
		answer.Suspects = g.opts.RecentSuspects(g.opts.Now())
	}
	return answer
}

func (g *Gossip) handleIndirectProbe(ctx context.Context, m *Message) *Message {
	r, ok := g.opts.Table.Get(m.Target)
	if !ok {
		return &Message{}
	}
	return &Message{Reached: g.exchange(ctx, r.Peer, r.ID) == nil}
}
