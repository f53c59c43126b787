package gossip

import (
	"context"
	"math/rand/v2"
	"slices"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
)

// joinRecords is how many records an instance is told that knows nobody yet. It
// gets the others from these: hundreds may start in the same moment, and ask the
// same few seeds.
const joinRecords = 24

// seedOneOfJoins is how many instances are asked for each seed once a seed has too
// many to hand over to.
const seedOneOfJoins = 3

// joinSeed asks one of the seeds, or where they have too many to hand over to one of
// the instances that they have told of, one at a time, for other instances and for
// what is in force.
func (g *Gossip) joinSeed(ctx context.Context, rng *rand.Rand) {
	seeds := slices.DeleteFunc(slices.Clone(g.opts.Seeds), func(s string) bool { return s == g.opts.Table.Self().Peer })
	if r, ok := g.opts.Table.Any(rng); ok && (len(seeds) == 0 || g.refused.Load() && rng.IntN(seedOneOfJoins) > 0) {
		seeds = []string{r.Peer}
	}
	if len(seeds) == 0 || !g.joining.CompareAndSwap(false, true) {
		return
	}
	address := seeds[rng.IntN(len(seeds))]
	if g.calls.Submit(func() {
		defer g.joining.Store(false)
		g.sync(ctx, address, []membership.Record{g.opts.Table.Self()})
	}) != nil {
		g.joining.Store(false)
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
	g.opts.TakeSuspects(now, m.Suspects)
	g.opts.Table.NoteCount(now, m.Instances)
	g.joined.Store(true)
	u := m.Update
	switch {
	case m.Snapshot:
		if u, err = g.takeSnapshot(ctx, address, m.From); err != nil {
			g.opts.Log.Info().Str("instance", m.From).Err(err).Msg("snapshot not fetched from another instance")
			return
		}
	case u != nil:
		g.takeUpdate(now, u, m.From)
	default:
		return
	}
	if g.lacksConfiguration(&u.Versions) {
		g.configureFrom(ctx, address)
	}
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
	if len(m.Records) == 1 && len(lacks) > joinRecords {
		rand.Shuffle(len(lacks), func(i, j int) { lacks[i], lacks[j] = lacks[j], lacks[i] })
		lacks = lacks[:joinRecords]
	}
	g.merge(now, m.Records)
	answer := &Message{Records: lacks, Suspects: g.opts.Suspects(now), Instances: g.opts.Table.Count(now)}
	if m.Versions != nil {
		if r, ok := g.opts.Table.Get(m.From); ok {
			if g.opts.State.BehindBeside(*m.Versions, observed.Configuration) {
				g.fetch(context.WithoutCancel(ctx), r.Peer)
			}
			g.configure(context.WithoutCancel(ctx), m.Versions, r.Peer)
		}
		u := g.opts.State.UpdateFor(now, *m.Versions)
		answer.Update = &u
		if u.Whole && len(u.Servers) >= snapshotFrom && g.opts.State.Known() {
			answer.Update, answer.Snapshot = nil, true
		}
	}
	return answer
}
