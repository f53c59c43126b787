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

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/roster"
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

func (c *timedConfig) Confirmed(now time.Time, maxAge time.Duration) bool {
	return now.Sub(c.confirmed) <= maxAge
}

type noSuspects struct{}

func (noSuspects) Newest(time.Time, int) []crashsuspect.Entry { return nil }
func (noSuspects) Merge(time.Time, []crashsuspect.Entry)      {}

// action is a function that runs at a point in simulated time.
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

// fleet runs members on a simulated clock, with their heartbeat rounds, requests and answers over
// links with seeded delays and losses.
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
	// wakes counts the wake-ups by member; a round that was scheduled before a wake-up is dropped.
	wakes []int
	// lossRate and partitioned decide whether a message from i to j is lost.
	lossRate    float64
	partitioned func(i, j int) bool
	// platformUp is set while the platform answers.
	platformUp bool
	messages   int
	ageBytes   int
}

const (
	fleetLease     = 3 * time.Second
	fleetHeartbeat = 500 * time.Millisecond
	// fleetMaxDelay is the maximum delay of a message, as between regions.
	fleetMaxDelay = 40 * time.Millisecond
)

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		start: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), ids: map[string]int{},
		rounds: make([]int, n), wakes: make([]int, n), platformUp: true, partitioned: func(int, int) bool { return false },
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
			Self: all[i], Timing: roster.Timing{LeaseDuration: fleetLease, PermitLifetime: 2 * time.Second}, Config: cfg, Suspects: noSuspects{},
			Peers: peer.NewPool(all[i].ID, key, tally.NoopScope), Heartbeat: fleetHeartbeat,
			Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: seed + uint64(i),
		})
		require.NoError(t, err)
		t.Cleanup(m.senders.Release)
		m.lease.Adopt(f.now, r)
		f.members, f.configs = append(f.members, m), append(f.configs, cfg)
		f.confirm(i, f.now)
		f.watch(i, f.now.Add(f.random(longPollTimeout)))
		f.after(f.random(fleetHeartbeat), func() { f.round(i) })
	}
	return f
}

func (f *fleet) random(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, action{f.now.Add(d), f.seq, do})
}

// runFor advances the clock by d and calls each after every step of 50 ms.
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

// watch simulates a watch of the platform that member i starts at sentAt.
func (f *fleet) watch(i int, sentAt time.Time) {
	f.after(sentAt.Add(longPollTimeout).Sub(f.now), func() {
		if f.platformUp {
			f.confirm(i, sentAt)
			f.members[i].recordPlatformCall(true)
			f.watch(i, f.now)
			return
		}
		f.after(sentAt.Add(longPollTimeout+readTimeout).Sub(f.now), func() { f.platformFailed(i) })
	})
}

func (f *fleet) confirm(i int, sentAt time.Time) {
	f.members[i].confirm(sentAt)
	f.configs[i].Confirm(sentAt)
}

func (f *fleet) platformFailed(i int) {
	f.members[i].recordPlatformCall(false)
	select {
	case <-f.members[i].wake:
		f.wakes[i]++
		f.round(i)
	default:
	}
}

// platformDown starts a platform outage. If the platform refuses calls, waiting watches fail at
// once.
func (f *fleet) platformDown(refuses bool) {
	f.platformUp = false
	for i := range f.members {
		if refuses {
			f.platformFailed(i)
		}
	}
}

func (f *fleet) round(i int) {
	m := f.members[i]
	targets := m.heartbeatTargets(f.now, f.rounds[i])
	f.rounds[i]++
	slices.SortFunc(targets, func(a, b roster.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, to := range targets {
		f.sendHeartbeat(i, f.ids[to.ID])
	}
	m.confirmByPeers(f.now)
	period := m.nextPeriod(f.now)
	wakes := f.wakes[i]
	f.after(period*95/100+f.random(period/10), func() {
		if f.wakes[i] == wakes {
			f.round(i)
		}
	})
}

func (f *fleet) sendHeartbeat(i, j int) {
	sentAt, req := f.now, f.members[i].newHeartbeat(f.now, f.members[j].opts.Self.ID)
	lost := f.partitioned(i, j) || f.rng.Float64() < f.lossRate
	if lost {
		f.after(callTimeout, func() { f.members[i].recordMissedAnswer(f.now, f.members[j].opts.Self.ID) })
		return
	}
	f.after(f.random(fleetMaxDelay), func() {
		res := f.members[j].handleHeartbeat(f.now, req)
		f.messages++
		f.ageBytes += len(res.GetAges())
		f.after(f.random(fleetMaxDelay), func() { f.members[i].applyAnswer(f.now, sentAt, req, res) })
	})
}

// countReady counts the members in [from, to) that accept new work.
func (f *fleet) countReady(from, to int) int {
	n := 0
	for i := from; i < to; i++ {
		if f.members[i].lease.Confirmed(f.now) && f.configs[i].Confirmed(f.now, fleetLease) {
			n++
		}
	}
	return n
}

// upBeforeOutage is how long the platform answers before an outage.
const upBeforeOutage = 2 * time.Second

// The platform goes down, refusing calls or silently, and a tenth of all heartbeats is lost. No
// instance gets answers from more than half of the roster itself. It must learn the rest from the
// ages in other answers before its last confirmation expires, so that it always accepts new work.
func TestPlatformOutage(t *testing.T) {
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
			f.lossRate = 0.1
			f.runFor(upBeforeOutage, func() {})
			require.Zero(t, f.ageBytes, "ages were sent while the platform was up")
			f.platformDown(tt.refuses)
			messages := f.messages
			f.runFor(2*fleetLease, func() {
				require.Equal(t, tt.instances, f.countReady(0, tt.instances), "after %v", f.now.Sub(f.start)-upBeforeOutage)
			})
			perSecond := 2 * fleetLease.Seconds() * float64(tt.instances)
			t.Logf("each answered %.1f heartbeats a second, with %.0f bytes of ages",
				float64(f.messages-messages)/perSecond, float64(f.ageBytes)/perSecond)
		})
	}
}

// During a platform outage a network partition splits the instances in two. Only a majority side
// may keep accepting new work: what a side knows of the other expires within one lease, also if it
// is passed on between instances. When the partition ends, all instances accept work again.
func TestPartitionDuringPlatformOutage(t *testing.T) {
	tests := map[string]struct {
		instances, leftSize int
		rightMajority       bool
	}{
		"halves of 64":       {instances: 64, leftSize: 32},
		"a third of 64":      {instances: 64, leftSize: 21, rightMajority: true},
		"halves of 128":      {instances: 128, leftSize: 64},
		"two fifths of 128":  {instances: 128, leftSize: 51, rightMajority: true},
		"a quarter of 128":   {instances: 128, leftSize: 32, rightMajority: true},
		"all but one of 128": {instances: 128, leftSize: 127},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, tt.instances, 2)
			f.runFor(upBeforeOutage, func() {})
			f.platformDown(true)
			f.runFor(time.Second, func() {})
			f.partitioned = func(i, j int) bool { return (i < tt.leftSize) != (j < tt.leftSize) }
			partitionedAt := f.now
			f.runFor(fleetLease+time.Second, func() {
				if tt.rightMajority {
					require.Equal(t, tt.instances-tt.leftSize, f.countReady(tt.leftSize, tt.instances), "after %v", f.now.Sub(partitionedAt))
				}
				if f.now.Sub(partitionedAt) > fleetLease {
					require.Zero(t, f.readyInMinority(tt.leftSize), "after %v", f.now.Sub(partitionedAt))
				}
			})
			f.partitioned = func(int, int) bool { return false }
			f.runFor(2*time.Second, func() {})
			require.Equal(t, tt.instances, f.countReady(0, tt.instances))
		})
	}
}

// readyInMinority counts the ready members on the sides of a partition that have no majority.
func (f *fleet) readyInMinority(leftSize int) int {
	n, ready := len(f.members), 0
	if 2*leftSize <= n {
		ready += f.countReady(0, leftSize)
	}
	if 2*(n-leftSize) <= n {
		ready += f.countReady(leftSize, n)
	}
	return ready
}
