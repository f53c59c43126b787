package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probeRound is the time between two probes of an instance in these tests.
const probeRound = 400 * time.Millisecond

// fleet simulates instances that probe each other and forward broadcasts, without sockets
// and on a simulated clock.
type fleet struct {
	tables []*Table
	index  map[string]int
	now    time.Time
	rng    *rand.Rand
	// reaches reports whether a call from one instance to another is answered.
	reaches func(from, to int) bool
	lost    float64
	// calls counts the calls that each instance made or answered.
	calls []int
	syncs int
}

func newFleet(n, zones int) *fleet {
	f := &fleet{index: map[string]int{}, now: start, rng: rand.New(rand.NewPCG(5, 6)), calls: make([]int, n)}
	f.reaches = func(int, int) bool { return true }
	for i := range n {
		r := record(fmt.Sprintf("i%03d", i), fmt.Sprintf("z%d", i%zones))
		f.index[r.ID] = i
		f.tables = append(f.tables, NewTable(r))
	}
	return f
}

// introduceAll makes all instances known to each other.
func (f *fleet) introduceAll() {
	var all []Record
	for _, t := range f.tables {
		all = append(all, t.Self())
	}
	for _, t := range f.tables {
		t.Merge(f.now.Add(-time.Minute), all)
	}
}

func (f *fleet) call(from, to int) bool {
	f.calls[from]++
	f.calls[to]++
	return f.reaches(from, to) && f.rng.Float64() >= f.lost
}

// probe exchanges recent changes, and all records if the digests differ.
func (f *fleet) probe(from, to int) bool {
	a, b := f.tables[from], f.tables[to]
	digests := [2]uint64{a.Digest(), b.Digest()}
	if !f.exchange(from, to, a.Recent(f.now, b.Self().ID), nil) {
		return false
	}
	a.Merge(f.now, b.Recent(f.now, a.Self().ID))
	if a.SyncDue(f.now, digests[1]) || b.SyncDue(f.now, digests[0]) {
		f.syncs++
		f.sync(from, to)
	}
	return true
}

func (f *fleet) sync(from, to int) {
	f.exchange(from, to, f.tables[from].All(f.now), f.tables[to].All(f.now))
}

func (f *fleet) exchange(from, to int, a, b []Record) bool {
	if !f.call(from, to) {
		return false
	}
	f.tables[to].Merge(f.now, a)
	f.tables[from].Merge(f.now, b)
	return true
}

// round lets each instance probe once, and indirectly if there is no answer.
func (f *fleet) round() {
	f.now = f.now.Add(probeRound)
	for i, t := range f.tables {
		if r, ok := t.RandomDown(f.rng); ok && f.rng.IntN(3) == 0 {
			f.probe(i, f.index[r.ID])
		}
		r, ok := t.NextProbe(f.rng)
		if !ok {
			continue
		}
		to := f.index[r.ID]
		if f.probe(i, to) {
			continue
		}
		reached := false
		for _, prober := range t.IndirectProbers(f.rng, r, 2) {
			via := f.index[prober.ID]
			reached = reached || f.call(i, via) && f.call(via, to)
		}
		if reached {
			continue
		}
		if r, ok := t.MarkDown(f.now, r); ok {
			f.broadcast(i, []Record{r})
		}
	}
}

// broadcast sends records down the tree, skipping unreachable instances, and returns the
// number of instances that received them and of hops.
func (f *fleet) broadcast(origin int, records []Record) (received, hops int) {
	id := f.tables[origin].Self().ID
	seen := map[int]bool{origin: true}
	type step struct{ at, hops int }
	queue := []step{{origin, 0}}
	var send func(from int, r Record, hop, depth int)
	send = func(from int, r Record, hop, depth int) {
		to := f.index[r.ID]
		if to == origin || to == from {
			return
		}
		if f.call(from, to) {
			f.tables[to].Merge(f.now, records)
			if !seen[to] {
				seen[to] = true
				queue = append(queue, step{to, hop + 1})
			}
			return
		}
		if depth < 2 {
			for _, child := range f.tables[from].ChildrenOf(id, r.ID) {
				send(from, child, hop, depth+1)
			}
		}
	}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		hops = max(hops, s.hops)
		for _, child := range f.tables[s.at].Children(id) {
			send(s.at, child, s.hops, 0)
		}
	}
	return len(seen) - 1, hops
}

func (f *fleet) allRunning(condition func(t *Table) bool) bool {
	for i, t := range f.tables {
		if f.reaches(i, i) && !condition(t) {
			return false
		}
	}
	return true
}

// Guards against broadcasts that miss instances, reach one twice, take many hops or
// overload one instance.
func TestBroadcastReachesAll(t *testing.T) {
	for _, n := range []int{1, 7, 78, 295, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, min(n, 5))
			f.introduceAll()
			delivered, hops := f.broadcast(n/2, nil)
			require.Equal(t, n-1, delivered)
			require.LessOrEqual(t, hops, 5)
			received := 0
			for i, calls := range f.calls {
				require.LessOrEqual(t, calls, 1+fanout+5, "instance %d", i)
				received += calls
			}
			require.Equal(t, 2*(n-1), received)
		})
	}
}

// Guards against a subtree that misses a broadcast because the instance above it is down
// but not yet marked.
func TestBroadcastSkipsUnreachable(t *testing.T) {
	for _, n := range []int{20, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 5)
			f.introduceAll()
			isDown := func(i int) bool { return i%10 == 3 }
			f.reaches = func(from, to int) bool { return !isDown(from) && !isDown(to) }
			running := 0
			for i := range n {
				if !isDown(i) {
					running++
				}
			}
			received, _ := f.broadcast(0, nil)
			require.GreaterOrEqual(t, received, (running-1)*98/100)
		})
	}
}

// Guards against sending callers to an instance that is down for long at any size, and
// against marking running instances as down when calls are lost.
func TestDownInstanceIsDetected(t *testing.T) {
	const maxDetectionTime = 3 * time.Second
	for _, n := range []int{3, 7, 78, 295, 350} {
		for name, lost := range map[string]float64{"no loss": 0, "calls are lost": 0.03} {
			t.Run(fmt.Sprintf("%d, %s", n, name), func(t *testing.T) {
				f := newFleet(n, min(n, 5))
				f.introduceAll()
				f.lost = lost
				for range 5 {
					f.round()
				}
				f.reaches = func(from, to int) bool { return from != 1 && to != 1 }
				downSince := f.now
				down := func(t *Table) bool { r, _ := t.Get("i001"); return r.Down }
				for !f.allRunning(down) && f.now.Sub(downSince) < time.Minute {
					f.round()
				}
				require.LessOrEqual(t, f.now.Sub(downSince), maxDetectionTime)
				for range 20 {
					f.round()
				}
				for i, table := range f.tables {
					if i == 1 {
						continue
					}
					for j := range f.tables {
						r, _ := table.Get(f.tables[j].Self().ID)
						require.Equal(t, j == 1, r.Down, "%d of %d", j, i)
					}
				}
			})
		}
	}
}

// Guards against marking instances as down for long when two zones can't reach each other
// but a third reaches both, or when calls pass in one direction only.
func TestPartitionMarksNoInstanceDown(t *testing.T) {
	zone := func(i int) int { return i % 3 }
	tests := map[string]func(from, to int) bool{
		"bridge":  func(from, to int) bool { return zone(from)+zone(to) != 1 || zone(from) == zone(to) },
		"one way": func(from, to int) bool { return zone(from) != 0 || zone(to) != 1 },
	}
	for name, reaches := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(30, 3)
			f.introduceAll()
			f.reaches = reaches
			markedDown, checks := 0, 0
			for range 100 {
				f.round()
				for i := range f.tables {
					for j := range f.tables {
						r, _ := f.tables[i].Get(f.tables[j].Self().ID)
						checks++
						if r.Down {
							markedDown++
						}
					}
				}
			}
			require.LessOrEqual(t, markedDown, checks/10)
		})
	}
}

// Guards against instances that stay unknown after the partition of a zone has ended.
func TestZoneRejoinsAfterPartition(t *testing.T) {
	f := newFleet(60, 5)
	f.introduceAll()
	f.reaches = func(from, to int) bool { return (from%5 == 0) == (to%5 == 0) }
	for range 15 {
		f.round()
	}
	r, _ := f.tables[1].Get("i000")
	require.True(t, r.Down)
	f.reaches = func(int, int) bool { return true }
	healedAt := f.now
	all := func(t *Table) bool { return len(t.CallerAddresses(newRNG(), "elsewhere", 1000)) == 60 }
	for !f.allRunning(all) && f.now.Sub(healedAt) < time.Minute {
		f.round()
	}
	require.LessOrEqual(t, f.now.Sub(healedAt), 5*time.Second)
}

// Guards against a slow or costly start when all instances start at once, each knowing one
// seed: they know each other within seconds, and then stop syncing.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range []int{7, 78, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 5)
			for i := 1; i < n; i++ {
				f.sync(i, f.rng.IntN(min(i, 3)))
			}
			startedAt := f.now
			all := func(t *Table) bool { return t.Count(f.now) == n }
			for !f.allRunning(all) && f.now.Sub(startedAt) < time.Minute {
				f.round()
			}
			require.LessOrEqual(t, f.now.Sub(startedAt), 4*time.Second)
			f.syncs = 0
			for range 25 {
				f.round()
			}
			require.Zero(t, f.syncs, "syncs between instances that know all others")
		})
	}
}

// Guards against callers that get too few addresses during a rolling restart.
func TestRollingRestart(t *testing.T) {
	const n = 78
	f := newFleet(n, 5)
	f.introduceAll()
	stopped := -1
	f.reaches = func(from, to int) bool { return from != stopped && to != stopped }
	for i := range n {
		f.tables[i].SetStatus(f.now, Status{Leaving: true})
		f.broadcast(i, []Record{f.tables[i].Self()})
		f.round()
		stopped = i
		f.round()
		f.round()
		r := f.tables[i].Self()
		r.StartedAt, r.Change, r.Status = r.StartedAt+1, 0, Status{Ready: true}
		f.tables[i], stopped = NewTable(r), -1
		f.sync(i, (i+1)%n)
		f.broadcast(i, []Record{r})
		for j, table := range f.tables {
			require.GreaterOrEqual(t, len(table.CallerAddresses(newRNG(), "elsewhere", 1000)), n-3, "restart %d, according to %d", i, j)
		}
	}
}
