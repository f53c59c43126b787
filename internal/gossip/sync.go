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

// maxJoinRecords is the number of records sent to an instance that knows no others yet. It
// gets the rest from these instances: hundreds may start at the same time, and call the
// same few seeds.
const maxJoinRecords = 24

// seedJoinOdds makes one in this many calls go to a seed once others are known: the few seeds would
// be overloaded if hundreds of instances waited for them.
const seedJoinOdds = 3

// joinTimeout limits a call to a seed that may not have started yet: a machine without
// power doesn't refuse a connection.
const joinTimeout = 350 * time.Millisecond

// join calls a seed, or one of the instances learned from them, for other instances and the platform
// state. It makes one call at a time to each.
func (g *Gossip) join(ctx context.Context, rng *rand.Rand) {
	seeds := slices.DeleteFunc(slices.Clone(g.opts.Seeds), func(s string) bool { return s == g.opts.Table.Self().Peer || g.joining.has(s) })
	joined := g.joined.Load()
	if r, ok := g.opts.Table.RandomRunning(rng); ok && (len(seeds) == 0 || joined && rng.IntN(seedJoinOdds) > 0) {
		seeds = []string{r.Peer}
	}
	if len(seeds) == 0 {
		return
	}
	address := seeds[rng.IntN(len(seeds))]
	if !g.joining.add(address) {
		return
	}
	var records []membership.Record
	if !joined {
		records = []membership.Record{g.opts.Table.Self()}
	}
	if g.calls.Submit(func() {
		defer g.joining.remove(address)
		g.sync(ctx, address, joinTimeout, records)
	}) != nil {
		g.joining.remove(address)
	}
}

// addressSet holds the addresses of ongoing calls.
type addressSet struct {
	mu  sync.Mutex
	all map[string]bool
}

func (a *addressSet) has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[address]
}

func (a *addressSet) add(address string) bool {
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

func (a *addressSet) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, address)
}

// fetchMissing fetches missing platform state from an instance that has it. One fetch at a
// time is enough: what it misses shows up with the next probe.
func (g *Gossip) fetchMissing(ctx context.Context, address string) {
	if !g.fetching.Load() {
		g.submit("fetch", func() { g.fetchOnce(ctx, address) })
	}
}

func (g *Gossip) fetchOnce(ctx context.Context, address string) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	g.opts.Scope.Counter("fetches").Inc(1)
	g.sync(ctx, address, syncTimeout, nil)
}

// sync exchanges records with an instance and fetches missing platform state. timeout
// limits the call; fetches after it have their own.
func (g *Gossip) sync(ctx context.Context, address string, timeout time.Duration, records []membership.Record) {
	now := g.opts.Now()
	versions := g.opts.State.Versions(now)
	m, err := g.call(ctx, address, syncProcedure, timeout, &Message{Records: records, Versions: &versions})
	if err != nil {
		return
	}
	now = g.opts.Now()
	g.mergeRecords(now, m.Records)
	g.opts.ApplySuspects(now, m.Suspects)
	g.opts.Table.RecordCount(now, m.Instances)
	g.joined.Store(true)
	u := m.Update
	switch {
	case m.Snapshot:
		// One fetch at a time: what it misses shows up with the next probe.
		if !g.snapshotMu.TryLock() {
			return
		}
		defer g.snapshotMu.Unlock()
		if version, _ := g.opts.State.Version(platformstate.Servers); version != versions[platformstate.Servers].Version {
			return
		}
		if u, err = g.fetchSnapshot(ctx, address, m.From); err != nil {
			g.opts.Log.Info().Str("instance", m.From).Err(err).Msg("failed to fetch snapshot from another instance")
			return
		}
	case u != nil:
		g.applyUpdate(now, u, m.From)
	default:
		return
	}
	if g.lacksConfiguration(&u.Versions) {
		g.fetchConfiguration(ctx, address)
	}
}

// handleSync returns the platform state that the sender lacks, and the records if it sent
// its own.
func (g *Gossip) handleSync(ctx context.Context, m *Message) *Message {
	now := g.opts.Now()
	sent := make(map[string]membership.Record, len(m.Records))
	for _, r := range m.Records {
		sent[r.ID] = r
	}
	var missing []membership.Record
	if len(m.Records) > 0 {
		for _, r := range g.opts.Table.All(now) {
			if known, ok := sent[r.ID]; !ok || known != r {
				missing = append(missing, r)
			}
		}
	}
	if len(m.Records) == 1 && len(missing) > maxJoinRecords {
		rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
		missing = missing[:maxJoinRecords]
	}
	g.mergeRecords(now, m.Records)
	answer := &Message{Records: missing, Suspects: g.opts.Suspects(now), Instances: g.opts.Table.Count(now)}
	if m.Versions != nil {
		if r, ok := g.opts.Table.Get(m.From); ok {
			if g.opts.State.BehindExcept(*m.Versions, platformstate.Configuration) {
				g.fetchMissing(context.WithoutCancel(ctx), r.Peer)
			}
			g.fetchNewerConfiguration(context.WithoutCancel(ctx), m.Versions, r.Peer)
		}
		u, complete := g.opts.State.UpdateFor(now, *m.Versions)
		answer.Update = &u
		if !complete && g.opts.State.Known() {
			answer.Update, answer.Snapshot = nil, true
		}
	}
	return answer
}
