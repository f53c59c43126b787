package member

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

// timedConfig is a configuration of version 1 without servers.
type timedConfig struct {
	emptyConfig
	confirmed time.Time
}

func (c *timedConfig) Version() int64 { return 1 }

func (c *timedConfig) Confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

func (c *timedConfig) Confirmed(now time.Time, within time.Duration) bool {
	return now.Sub(c.confirmed) <= within
}

type noSuspects struct{}

func (noSuspects) Newest(time.Time, int) []suspect.Entry { return nil }
func (noSuspects) Merge(time.Time, []suspect.Entry)      {}

// action is something that happens at a moment of the made-up time.
type action struct {
	at  time.Time
	seq int
	do  func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return cmp.Or(a[i].at.Compare(a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet runs members on a made-up clock: their own rounds, questions and
// answers, over links with seeded delays and losses.
type fleet struct {
	now     time.Time
	start   time.Time
	queue   actions
	seq     int
	rng     *rand.Rand
	ids     map[string]int
	members []*Member
	configs []*timedConfig
	rounds  []int
	// turn counts the rounds that were scheduled; a wake makes older ones void.
	turn []int
	// loses and cut say what happens to a message from i to j.
	loses float64
	cut   func(i, j int) bool
	// up says whether the platform answers.
	up       bool
	messages int
	ageBytes int
}

const (
	fleetLease     = 3 * time.Second
	fleetHeartbeat = 500 * time.Millisecond
	// fleetDelay bounds the way of a message: that between regions.
	fleetDelay = 40 * time.Millisecond
)

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		start: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), ids: map[string]int{},
		rounds: make([]int, n), turn: make([]int, n), up: true, cut: func(int, int) bool { return false },
	}
	f.now = f.start
	var all []roster.Instance
	for i := range n {
		id := fmt.Sprintf("entry-%03d", i)
		f.ids[id] = i
		all = append(all, roster.Instance{ID: id, Incarnation: "a", PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	key, err := peer.NewKey("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	require.NoError(t, err)
	r := roster.New(5, roster.Object{Number: 1, Instances: all})
	for i := range n {
		cfg := &timedConfig{}
		m, err := New(Options{
			Self: all[i], Timing: roster.Timing{LeaseDuration: fleetLease, PermitValidity: 2 * time.Second}, Config: cfg, Suspects: noSuspects{},
			Peers: peer.NewPool(all[i].ID, key, tally.NoopScope), Heartbeat: fleetHeartbeat,
			Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: seed + uint64(i),
		})
		require.NoError(t, err)
		t.Cleanup(m.beats.Release)
		m.lease.Adopt(f.now, r)
		f.members, f.configs = append(f.members, m), append(f.configs, cfg)
		f.confirm(i, f.now)
		f.watch(i, f.now.Add(f.random(watchWait)))
		f.after(f.random(fleetHeartbeat), func() { f.round(i) })
	}
	return f
}

func (f *fleet) random(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, action{f.now.Add(d), f.seq, do})
}

// runFor runs for d, and calls each at every step of 50 ms.
func (f *fleet) runFor(d time.Duration, each func()) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(step)
		for len(f.queue) > 0 && !f.queue[0].at.After(next) {
			a := heap.Pop(&f.queue).(action)
			f.now = a.at
			a.do()
		}
		f.now = next
		each()
	}
}

// watch is a watch of the platform that i begins at asked.
func (f *fleet) watch(i int, asked time.Time) {
	f.after(asked.Add(watchWait).Sub(f.now), func() {
		if f.up {
			f.confirm(i, asked)
			f.members[i].platformAnswered(true)
			f.watch(i, f.now)
			return
		}
		f.after(asked.Add(watchWait+readTimeout).Sub(f.now), func() { f.platformFailed(i) })
	})
}

func (f *fleet) confirm(i int, asked time.Time) {
	f.members[i].confirm(asked)
	f.configs[i].Confirm(asked)
}

func (f *fleet) platformFailed(i int) {
	f.members[i].platformAnswered(false)
	select {
	case <-f.members[i].wake:
		f.turn[i]++
		f.round(i)
	default:
	}
}

// platformDown ends the platform. If it refuses calls, those that wait fail.
func (f *fleet) platformDown(refuses bool) {
	f.up = false
	for i := range f.members {
		if refuses {
			f.platformFailed(i)
		}
	}
}

func (f *fleet) round(i int) {
	m := f.members[i]
	targets := m.targets(f.now, f.rounds[i])
	f.rounds[i]++
	slices.SortFunc(targets, func(a, b roster.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, to := range targets {
		f.beat(i, f.ids[to.ID])
	}
	m.confirmByPeers(f.now)
	period := m.period(f.now)
	turn := f.turn[i]
	f.after(period*95/100+f.random(period/10), func() {
		if f.turn[i] == turn {
			f.round(i)
		}
	})
}

func (f *fleet) beat(i, j int) {
	sent, req := f.now, f.members[i].heartbeat(f.now, f.members[j].opts.Self.ID)
	lost := f.cut(i, j) || f.rng.Float64() < f.loses
	if lost {
		f.after(callTimeout, func() { f.members[i].missedAnswer(f.now, f.members[j].opts.Self.ID) })
		return
	}
	f.after(f.random(fleetDelay), func() {
		res := f.members[j].answer(f.now, req)
		f.messages++
		f.ageBytes += len(res.GetAges())
		f.after(f.random(fleetDelay), func() { f.members[i].takeAnswer(f.now, sent, req, res) })
	})
}

// ready counts those of from up to below to that would take new work.
func (f *fleet) ready(from, to int) int {
	n := 0
	for i := from; i < to; i++ {
		if f.members[i].lease.Confirmed(f.now) && f.configs[i].Confirmed(f.now, fleetLease) {
			n++
		}
	}
	return n
}

// up is for how long the platform confirms all before an outage.
const up = 2 * time.Second

// Callers notice nothing of an outage. The platform goes down, at once or by
// going silent, and confirms nothing from then on; a tenth of all heartbeats is
// lost. No instance hears more than half of the roster itself, but each asks
// others whom they heard, before its last confirmation is too old.
func TestOutageOfThePlatform(t *testing.T) {
	tests := map[string]struct {
		instances int
		refuses   bool
	}{
		"64, refusing calls": {64, true},
		"64, silent":         {64, false},
		"128, silent":        {128, false},
		"350, silent":        {350, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, tt.instances, 1)
			f.loses = 0.1
			f.runFor(up, func() {})
			require.Zero(t, f.ageBytes, "ages are sent while the platform confirms")
			f.platformDown(tt.refuses)
			before := f.messages
			f.runFor(2*fleetLease, func() {
				require.Equal(t, tt.instances, f.ready(0, tt.instances), "after %v", f.now.Sub(f.start)-up)
			})
			perSecond := 2 * fleetLease.Seconds() * float64(tt.instances)
			t.Logf("each answered %.1f heartbeats a second, with %.0f bytes of ages",
				float64(f.messages-before)/perSecond, float64(f.ageBytes)/perSecond)
		})
	}
}

// Callers get refusals that are true from the smaller side of a cut, and from
// both when they are equal. The platform is down and then the instances are cut
// in two. What each side knows of the other ages on its way from one to the
// next, so that one lease later no instance counts any of it. When the cut is
// over, all go on.
func TestCutDuringAnOutage(t *testing.T) {
	tests := map[string]struct {
		instances, left int
		rightGoesOn     bool
	}{
		"halves of 64":       {instances: 64, left: 32},
		"a third of 64":      {instances: 64, left: 21, rightGoesOn: true},
		"halves of 128":      {instances: 128, left: 64},
		"two fifths of 128":  {instances: 128, left: 51, rightGoesOn: true},
		"a quarter of 128":   {instances: 128, left: 32, rightGoesOn: true},
		"all but one of 128": {instances: 128, left: 127},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, tt.instances, 2)
			f.runFor(up, func() {})
			f.platformDown(true)
			f.runFor(time.Second, func() {})
			f.cut = func(i, j int) bool { return (i < tt.left) != (j < tt.left) }
			cutAt := f.now
			f.runFor(fleetLease+time.Second, func() {
				if tt.rightGoesOn {
					require.Equal(t, tt.instances-tt.left, f.ready(tt.left, tt.instances), "after %v", f.now.Sub(cutAt))
				}
				if f.now.Sub(cutAt) > fleetLease {
					require.Zero(t, f.minority(tt.left), "after %v", f.now.Sub(cutAt))
				}
			})
			f.cut = func(int, int) bool { return false }
			f.runFor(2*time.Second, func() {})
			require.Equal(t, tt.instances, f.ready(0, tt.instances))
		})
	}
}

// minority counts the ready on the sides of a cut that are no majority.
func (f *fleet) minority(left int) int {
	n, ready := len(f.members), 0
	if 2*left <= n {
		ready += f.ready(0, left)
	}
	if 2*(n-left) <= n {
		ready += f.ready(left, n)
	}
	return ready
}
