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

// joinRecords is how many records an instance is told that knows nobody yet. It
// gets the others from these: hundreds may start in the same moment, and ask the
// same few seeds.
const joinRecords = 24

// seedOneOfJoins is how many instances are asked for each seed once a seed has too
// many to hand over to.
const seedOneOfJoins = 3

// joinTimeout bounds a call to a seed that may not have started yet: a machine
// without power doesn't refuse a connection.
const joinTimeout = 350 * time.Millisecond

// joinSeed asks one of the seeds, or where they have too many to hand over to one of
// the instances that they have told of, for other instances and for what is in force.
// Each is asked once at a time.
func (g *Gossip) joinSeed(ctx context.Context, rng *rand.Rand) {
	seeds := slices.DeleteFunc(slices.Clone(g.opts.Seeds), func(s string) bool { return s == g.opts.Table.Self().Peer || g.joining.has(s) })
	if r, ok := g.opts.Table.Any(rng); ok && (len(seeds) == 0 || g.refused.Load() && rng.IntN(seedOneOfJoins) > 0) {
		seeds = []string{r.Peer}
	}
	if len(seeds) == 0 {
		return
	}
	address := seeds[rng.IntN(len(seeds))]
	if !g.joining.begin(address) {
		return
	}
	if g.calls.Submit(func() {
		defer g.joining.end(address)
		g.sync(ctx, address, joinTimeout, []membership.Record{g.opts.Table.Self()})
	}) != nil {
		g.joining.end(address)
	}
}

// addresses are those that are being asked.
type addresses struct {
	mu  sync.Mutex
	all map[string]bool
}

func (a *addresses) has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[address]
}

func (a *addresses) begin(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all[address] {
		return false
	}
	if a.all == nil {
		a.all = map[string]bool{}
	}
	a.all[address] = true
	return true
}

func (a *addresses) end(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, address)
}

// fetch gets what is missing of the platform from an instance that has it. One
// fetch at a time is enough: what it misses shows with the next probe.
func (g *Gossip) fetch(ctx context.Context, address string) {
	if !g.syncing.CompareAndSwap(false, true) {
		return
	}
	if g.calls.Submit(func() {
		defer g.syncing.Store(false)
		g.sync(ctx, address, syncTimeout, nil)
	}) != nil {
		g.syncing.Store(false)
	}
	g.opts.Scope.Counter("fetches").Inc(1)
}

// sync exchanges records with an instance and takes over what is missing of the
// platform. Timeout bounds the call, what is fetched after it has its own.
func (g *Gossip) sync(ctx context.Context, address string, timeout time.Duration, records []membership.Record) {
	now := g.opts.Now()
	versions := g.opts.State.Versions(now)
	m, err := g.call(ctx, address, syncProcedure, timeout, &Message{Records: records, Versions: &versions})
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
			if g.opts.State.BehindExcept(*m.Versions, observed.Configuration) {
				g.fetch(context.WithoutCancel(ctx), r.Peer)
			}
			g.configure(context.WithoutCancel(ctx), m.Versions, r.Peer)
		}
		u := g.opts.State.UpdateFor(now, *m.Versions)
		answer.Update = &u
		if u.Snapshot && len(u.Servers) >= snapshotFrom && g.opts.State.Known() {
			answer.Update, answer.Snapshot = nil, true
		}
	}
	return answer
}
