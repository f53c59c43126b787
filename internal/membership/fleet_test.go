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

// fleet is a number of instances that probe each other and pass news on, without
// sockets and on a clock of its own.
type fleet struct {
	tables []*Table
	index  map[string]int
	now    time.Time
	rng    *rand.Rand
	// reaches reports whether a call of one instance to another is answered.
	reaches func(from, to int) bool
	lost    float64
	// calls counts the calls that an instance made or answered.
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

// know has all instances know of each other.
func (f *fleet) know() {
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

// probe exchanges what changed, and all where the digests differ.
func (f *fleet) probe(from, to int) bool {
	a, b := f.tables[from], f.tables[to]
	digests := [2]uint64{a.Digest(), b.Digest()}
	if !f.exchange(from, to, a.Recent(f.now, b.Self().ID), nil) {
		return false
	}
	a.Merge(f.now, b.Recent(f.now, a.Self().ID))
	if a.Sync(f.now, digests[1]) || b.Sync(f.now, digests[0]) {
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

// round has each instance probe once, and ask others where there is no answer.
func (f *fleet) round() {
	f.now = f.now.Add(probeRound)
	for i, t := range f.tables {
		if r, ok := t.NextDown(f.rng); ok && f.rng.IntN(3) == 0 {
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
		for _, helper := range t.Helpers(f.rng, r, 2) {
			via := f.index[helper.ID]
			reached = reached || f.call(i, via) && f.call(via, to)
		}
		if reached {
			continue
		}
		if r, ok := t.MarkDown(f.now, r); ok {
			f.news(i, []Record{r})
		}
	}
}

// news tells all along the tree, past instances that can't be reached, and
// returns how many were told and the most hops.
func (f *fleet) news(origin int, records []Record) (told, hops int) {
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

func (f *fleet) everyone(what func(t *Table) bool) bool {
	for i, t := range f.tables {
		if f.reaches(i, i) && !what(t) {
			return false
		}
	}
	return true
}

// News reaches all instances, each once, in few hops, and no instance tells many.
func TestNewsReachesAll(t *testing.T) {
	for _, n := range []int{1, 7, 78, 295, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, min(n, 5))
			f.know()
			told, hops := f.news(n/2, nil)
			require.Equal(t, n-1, told)
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

// Guards against a branch of the tree that hears nothing as the instance above it
// is dead and not yet known to be.
func TestNewsGoesPastTheDead(t *testing.T) {
	for _, n := range []int{20, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 5)
			f.know()
			dead := func(i int) bool { return i%10 == 3 }
			f.reaches = func(from, to int) bool { return !dead(from) && !dead(to) }
			alive := 0
			for i := range n {
				if !dead(i) {
					alive++
				}
			}
			told, _ := f.news(0, nil)
			require.GreaterOrEqual(t, told, (alive-1)*98/100)
		})
	}
}

// An instance dies: callers aren't sent to it for long, whatever the size, and
// those that live aren't taken for dead though calls are lost.
func TestDeadInstanceIsFound(t *testing.T) {
	const within = 3 * time.Second
	for _, n := range []int{3, 7, 78, 295, 350} {
		for name, lost := range map[string]float64{"links well": 0, "calls lost": 0.03} {
			t.Run(fmt.Sprintf("%d, %s", n, name), func(t *testing.T) {
				f := newFleet(n, min(n, 5))
				f.know()
				f.lost = lost
				for range 5 {
					f.round()
				}
				f.reaches = func(from, to int) bool { return from != 1 && to != 1 }
				died := f.now
				gone := func(t *Table) bool { r, _ := t.Get("i001"); return r.Down }
				for !f.everyone(gone) && f.now.Sub(died) < time.Minute {
					f.round()
				}
				require.LessOrEqual(t, f.now.Sub(died), within)
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

// Two zones can't reach each other while a third reaches both, or calls pass one
// way only: nobody is taken for dead for long.
func TestCutBetweenZonesTakesNobodyForDead(t *testing.T) {
	zone := func(i int) int { return i % 3 }
	tests := map[string]func(from, to int) bool{
		"bridge":  func(from, to int) bool { return zone(from)+zone(to) != 1 || zone(from) == zone(to) },
		"one way": func(from, to int) bool { return zone(from) != 0 || zone(to) != 1 },
	}
	for name, reaches := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(30, 3)
			f.know()
			f.reaches = reaches
			taken, looks := 0, 0
			for range 100 {
				f.round()
				for i := range f.tables {
					for j := range f.tables {
						r, _ := f.tables[i].Get(f.tables[j].Self().ID)
						looks++
						if r.Down {
							taken++
						}
					}
				}
			}
			require.LessOrEqual(t, taken, looks/10)
		})
	}
}

// A zone is cut off and comes back, or all instances are paused for seconds: each
// knows all again soon.
func TestCutOffZoneIsBack(t *testing.T) {
	f := newFleet(60, 5)
	f.know()
	f.reaches = func(from, to int) bool { return (from%5 == 0) == (to%5 == 0) }
	for range 15 {
		f.round()
	}
	r, _ := f.tables[1].Get("i000")
	require.True(t, r.Down)
	f.reaches = func(int, int) bool { return true }
	back := f.now
	all := func(t *Table) bool { return len(t.Callers(newRNG(), "elsewhere", 1000)) == 60 }
	for !f.everyone(all) && f.now.Sub(back) < time.Minute {
		f.round()
	}
	require.LessOrEqual(t, f.now.Sub(back), 5*time.Second)
}

// All instances start at once, each knowing one seed: all know all in seconds, by
// syncs that are soon seldom.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range []int{7, 78, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 5)
			for i := 1; i < n; i++ {
				f.sync(i, f.rng.IntN(min(i, 3)))
			}
			began := f.now
			all := func(t *Table) bool { return t.Count(f.now) == n }
			for !f.everyone(all) && f.now.Sub(began) < time.Minute {
				f.round()
			}
			require.LessOrEqual(t, f.now.Sub(began), 4*time.Second)
			f.syncs = 0
			for range 25 {
				f.round()
			}
			require.Zero(t, f.syncs, "syncs of instances that know all")
		})
	}
}

// Instances leave and return one after the other: at every moment callers are
// sent to most of those that run, and to none that left long ago.
func TestRestartsInSeries(t *testing.T) {
	const n = 78
	f := newFleet(n, 5)
	f.know()
	gone := -1
	f.reaches = func(from, to int) bool { return from != gone && to != gone }
	for i := range n {
		f.tables[i].Set(f.now, Status{Leaving: true})
		f.news(i, []Record{f.tables[i].Self()})
		f.round()
		gone = i
		f.round()
		f.round()
		r := f.tables[i].Self()
		r.Started, r.Change, r.Status = r.Started+1, 0, Status{Ready: true}
		f.tables[i], gone = NewTable(r), -1
		f.sync(i, (i+1)%n)
		f.news(i, []Record{r})
		for j, table := range f.tables {
			require.GreaterOrEqual(t, len(table.Callers(newRNG(), "elsewhere", 1000)), n-3, "restart %d, seen by %d", i, j)
		}
	}
}
