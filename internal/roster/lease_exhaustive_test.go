package roster

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// Guards against a crash of a cold server, with cold limit C, by more than C requests.
// Its owner is cut off from the deputy, the platform or both, is frozen, or is removed
// from the roster while it runs; responses are delayed or lost; permits are used at
// the last moment. In any order of these events at most C requests run, because the
// right of each instance ends before that of the next begins.
//
// Time advances in ticks. Two instances and one removal are explored exhaustively,
// with a lease of one tick and load reports at the start of each tick; more instances
// and several rosters in random orders, with a lease of two ticks and reports of any
// age.

const tick = time.Second

var (
	shortTiming = Timing{LeaseDuration: tick, PermitLifetime: permitTicks * tick}
	longTiming  = Timing{LeaseDuration: 2 * tick, PermitLifetime: permitTicks * tick}
)

// permitTicks is the validity of a permit: it may be used in the tick in which it is
// granted and in the next.
const permitTicks = 2

// maxAgeTicks is the age in ticks from which on the exact age of an event doesn't
// matter, as it is longer than a takeover.
const maxAgeTicks = 4

// modelState is one state of the model.
type modelState struct {
	ticks  int
	server Server
	leases []*Lease
	// loadReports is the last load report of each instance.
	loadReports []loadReport
	// running counts the requests of each instance on the server; unusedPermits
	// holds the ticks in which its unused permits were granted.
	running       []int
	unusedPermits [][]int
	platform      *Roster
	// delayed holds the delayed responses.
	delayed []delayedAnswer
	// pollEachTick says whether each tick starts with load polls by both instances.
	pollEachTick bool
}

// loadReport says how many requests of other instances were running, and in which tick.
type loadReport struct {
	tick   int
	others int
	valid  bool
}

// delayedAnswer is the response of instance j to a heartbeat of i sent in tick sent.
type delayedAnswer struct {
	i, j, sent int
	epoch      int64
	ages       []byte
}

// event is one event within a tick; i and j are the instances concerned.
type event struct {
	kind kind
	i, j int
}

type kind int

const (
	// grant grants a permit as admission does.
	grant kind = iota
	// heartbeat is a heartbeat from i to j with its response. The response is lost
	// with heartbeatAnswerLost, and delayed until an arrive event with
	// heartbeatAnswerDelayed.
	heartbeat
	heartbeatAnswerLost
	heartbeatAnswerDelayed
	arrive
	// confirm reads the platform's roster.
	confirm
	// poll reads a load report; end finishes a request of i.
	poll
	end
	// write stores the next roster, with i removed or added again.
	write
	// advance advances time by a tick.
	advance
)

func at(ticks int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ticks) * tick) }

var modelIDs = [...]string{"i0", "i1", "i2", "i3", "i4"}

func modelInstance(i int) Instance {
	return Instance{ID: modelIDs[i], Incarnation: "a"}
}

// newModelState returns the state of n instances with the first roster, in which
// instance 0 owns the server and instance 1 is its deputy.
func newModelState(t require.TestingT, n, cold int, timing Timing) *modelState {
	first := Object{Number: 1}
	for i := range n {
		first.Instances = append(first.Instances, modelInstance(i))
	}
	m := &modelState{
		platform:      New(1, first),
		loadReports:   make([]loadReport, n),
		running:       make([]int, n),
		unusedPermits: make([][]int, n),
	}
	for i := range 1000 {
		m.server = Server{Name: fmt.Sprintf("engine-%d", i), ColdLimit: cold}
		owner, _ := m.platform.Owner(m.server.Name, "")
		deputy, _ := m.platform.Deputy(m.server.Name, "")
		if owner.ID == "i0" && deputy.ID == "i1" {
			break
		}
		require.Less(t, i, 999, "no server name with this owner and deputy")
	}
	for i := range n {
		l := NewLease(modelInstance(i), timing)
		l.Adopt(at(0), m.platform)
		l.Confirm(at(0), m.platform.Epoch)
		m.leases = append(m.leases, l)
	}
	return m
}

func (m *modelState) clone() *modelState {
	c := *m
	c.loadReports, c.running = slices.Clone(m.loadReports), slices.Clone(m.running)
	c.leases, c.unusedPermits, c.delayed = slices.Clone(m.leases), slices.Clone(m.unusedPermits), slices.Clone(m.delayed)
	for i, l := range m.leases {
		d := *l
		d.acks, d.promises = maps.Clone(l.acks), maps.Clone(l.promises)
		d.stopped, d.ownedSince = maps.Clone(l.stopped), maps.Clone(l.ownedSince)
		d.ownedBefore = maps.Clone(l.ownedBefore)
		d.lastSeen = slices.Clone(l.lastSeen)
		c.leases[i] = &d
		c.unusedPermits[i] = slices.Clone(m.unusedPermits[i])
	}
	return &c
}

// key identifies a state by the ages of its events instead of their times, so that
// equal states reached in different ticks are visited once.
func (m *modelState) key() string {
	k := make([]byte, 0, 64)
	age := func(t time.Time) {
		k = append(k, byte(min(maxAgeTicks, int(at(m.ticks).Sub(t)/tick))+maxAgeTicks))
	}
	cappedAge := func(t time.Time, limit int) {
		k = append(k, byte(min(limit, int(at(m.ticks).Sub(t)/tick))+maxAgeTicks))
	}
	number := func(n int) { k = append(k, byte(n)) }
	number(int(m.platform.Epoch))
	for i, l := range m.leases {
		number(m.running[i])
		number(len(m.unusedPermits[i]))
		for _, granted := range m.unusedPermits[i] {
			age(at(granted))
		}
		number(m.loadReports[i].others)
		if m.mayGrant(i) {
			number(1)
		}
		age(at(m.loadReports[i].tick))
		number(int(l.roster.Epoch))
		age(l.adoptedAt)
		cappedAge(l.confirmedAt, 1)
		age(l.ownedSince[m.server.Name])
		age(l.ownedBefore[m.server.Name])
		for p := range m.leases {
			id := modelIDs[p]
			cappedAge(l.acks[id].since, 3)
			cappedAge(l.acks[id].sent, 1)
			if p < len(l.lastSeen) {
				cappedAge(l.lastSeen[p].at, 1)
			}
			cappedAge(l.promises[id], 3)
			cappedAge(l.stopped[id], 4)
		}
	}
	return string(k)
}

// apply returns the state after e, or nil if e isn't possible.
func (m *modelState) apply(e event) *modelState {
	c := m.clone()
	now := at(c.ticks)
	switch e.kind {
	case grant:
		if !c.mayGrant(e.i) {
			return nil
		}
		c.unusedPermits[e.i] = append(c.unusedPermits[e.i], c.ticks)
	case heartbeat, heartbeatAnswerLost, heartbeatAnswerDelayed:
		c.heartbeat(e.i, e.j, e.kind)
	case arrive:
		if len(c.delayed) == 0 {
			return nil
		}
		a := c.delayed[0]
		c.delayed = c.delayed[1:]
		c.receiveAnswer(a)
	case confirm:
		c.leases[e.i].Adopt(now, c.platform)
		c.leases[e.i].Confirm(now, c.platform.Epoch)
	case poll:
		c.poll(e.i)
	case end:
		if c.running[e.i] == 0 {
			return nil
		}
		c.running[e.i]--
	case write:
		if !c.write(e.i) {
			return nil
		}
	case advance:
		c.advance()
		if c.pollEachTick {
			c.poll(0)
			c.poll(1)
		}
	}
	return c
}

func (m *modelState) poll(i int) {
	m.loadReports[i] = loadReport{tick: m.ticks, valid: true}
	for j, n := range m.running {
		if j != i {
			m.loadReports[i].others += n
		}
	}
}

// mayGrant decides as admission does: within the right, on a recent enough load
// report, counting the running requests of others.
func (m *modelState) mayGrant(i int) bool {
	authority := m.leases[i].Authority(at(m.ticks), m.server)
	own := m.running[i] + len(m.unusedPermits[i])
	report := m.loadReports[i]
	if !report.valid || at(report.tick).Before(authority.ReportAfter) {
		return false
	}
	switch authority.Role {
	case permit.RoleOwner:
		return own+report.others < m.server.ColdLimit-authority.Reserve
	case permit.RoleDeputy:
		return own < authority.Share && own+report.others < m.server.ColdLimit
	default:
		return false
	}
}

func (m *modelState) heartbeat(i, j int, k kind) {
	from, to, now := m.leases[i], m.leases[j], at(m.ticks)
	to.RecordPromise(now, from.self.ID, from.roster.Epoch)
	to.RecordStopped(now, from.self.ID, from.roster.Epoch)
	if k == heartbeatAnswerLost {
		return
	}
	a := delayedAnswer{i: i, j: j, sent: m.ticks, epoch: to.roster.Epoch}
	if from.roster.Epoch == to.roster.Epoch {
		a.ages = to.Ages(now, 0)
	}
	if k == heartbeatAnswerDelayed {
		m.delayed = append(m.delayed, a)
		return
	}
	m.receiveAnswer(a)
}

// receiveAnswer applies a response; one without ages was to a heartbeat of another
// epoch.
func (m *modelState) receiveAnswer(a delayedAnswer) {
	from, now := m.leases[a.i], at(m.ticks)
	if a.ages != nil {
		from.RecordAck(now, at(a.sent), modelIDs[a.j], a.epoch, 0)
		from.ApplyAges(at(a.sent), a.epoch, 0, a.ages)
	}
	from.RecordStopped(now, modelIDs[a.j], a.epoch)
}

// write stores a roster with i removed or added again, as [Propose] would: only when
// more than half of the roster has adopted the last one, and never an empty one.
func (m *modelState) write(i int) bool {
	adopted, in := 0, false
	for j, l := range m.leases {
		if _, ok := m.platform.Find(modelInstance(j).ID); ok {
			in = in || j == i
			if l.roster.Epoch == m.platform.Epoch {
				adopted++
			}
		}
	}
	n := len(m.platform.Instances)
	if 2*adopted <= n || in && n == 1 {
		return false
	}
	instances := m.platform.Object().Instances
	if in {
		instances = slices.DeleteFunc(instances, func(in Instance) bool { return in.ID == modelInstance(i).ID })
	} else {
		instances = append(instances, modelInstance(i))
	}
	m.platform = New(m.platform.Epoch+1, m.platform.Object().Next(instances))
	return true
}

// advance ends a tick. Permits are used as late as possible, after the load report of
// that tick, which is the worst case.
func (m *modelState) advance() {
	for i := range m.unusedPermits {
		m.unusedPermits[i] = slices.DeleteFunc(m.unusedPermits[i], func(granted int) bool {
			if m.ticks-granted < permitTicks-1 {
				return false
			}
			m.running[i]++
			return true
		})
	}
	m.ticks++
}

func (m *modelState) total() int {
	n := 0
	for i := range m.running {
		n += m.running[i]
	}
	return n
}

func TestColdLimitHoldsInEveryOrderOfFailures(t *testing.T) {
	tests := map[string]struct {
		cold, maxStates int
	}{
		"limit one, every state": {cold: 1, maxStates: math.MaxInt},
		// All 543,177 states take the better part of a minute without the race detector;
		// the first 200,000 contain every kind of event.
		"limit two, first states": {cold: 2, maxStates: 200_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			visited, full := explore(t, newModelState(t, 2, tt.cold, shortTiming), tt.maxStates)
			t.Logf("%d states, %d of them full", visited, full)
			require.Positive(t, full, "the model never fills the server, so nothing is tested")
		})
	}
}

// explore visits the states reachable with one removal of instance 0, at most about
// maxStates of them.
func explore(t *testing.T, start *modelState, maxStates int) (visited, full int) {
	events := []event{{kind: advance}, {kind: end}, {kind: write}}
	for i := range 2 {
		events = append(events, event{grant, i, 0}, event{heartbeat, i, 1 - i}, event{heartbeatAnswerLost, i, 1 - i},
			event{confirm, i, 0})
	}
	start.pollEachTick = true
	seen := map[string]bool{start.key(): true}
	stack := []*modelState{start}
	for len(stack) > 0 && len(seen) < maxStates {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, e := range events {
			if e.kind == write && m.platform.Epoch > 1 {
				continue
			}
			next := m.apply(e)
			if next == nil {
				continue
			}
			k := next.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			if next.total() > next.server.ColdLimit {
				require.Failf(t, "too many requests", "%d run after event %v", next.total(), e)
			}
			if next.total() == next.server.ColdLimit {
				full++
			}
			stack = append(stack, next)
		}
	}
	return len(seen), full
}

func TestColdLimitHoldsUnderRandomFailures(t *testing.T) {
	// The weights of the kinds keep most leases and break some. Of three instances,
	// each sends heartbeats to both others. Of five, each sends them only to the next,
	// and the platform rarely answers, so that forwarded ages confirm them.
	tests := map[string]struct {
		instances, peers int
		// seeds is the number of random orders; seed n always gives the same order.
		seeds   uint64
		weights map[kind]int
	}{
		"three": {3, 2, 600, map[kind]int{grant: 6, heartbeat: 14, heartbeatAnswerLost: 1, heartbeatAnswerDelayed: 1, arrive: 2, confirm: 5, poll: 5, end: 2, write: 1, advance: 1}},
		"five":  {5, 1, 200, map[kind]int{grant: 6, heartbeat: 30, heartbeatAnswerLost: 1, heartbeatAnswerDelayed: 6, arrive: 6, confirm: 2, poll: 5, end: 2, write: 1, advance: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var kinds []kind
			for k, n := range tt.weights {
				for range n {
					kinds = append(kinds, k)
				}
			}
			slices.Sort(kinds)
			full, changed, byForwardedAges := 0, 0, 0
			for seed := range tt.seeds {
				rng := rand.New(rand.NewPCG(seed, 0))
				m := newModelState(t, tt.instances, 1+rng.IntN(3), longTiming)
				isolated := rng.IntN(tt.instances + 1)
				for range 300 + rng.IntN(1200) {
					e := event{kind: kinds[rng.IntN(len(kinds))], i: rng.IntN(tt.instances)}
					e.j = (e.i + 1 + rng.IntN(tt.peers)) % tt.instances
					cut := e.i == isolated && e.kind != grant && m.ticks/8%2 == 1
					if cut || e.kind == write && rng.IntN(6) > 0 {
						// In most orders one instance is cut off for some ticks.
						continue
					}
					if next := m.apply(e); next != nil {
						m = next
					}
					require.LessOrEqual(t, m.total(), m.server.ColdLimit, "seed %d", seed)
					if m.total() == m.server.ColdLimit {
						full++
					}
					if e.kind == grant && m.confirmedByForwardedAges(e.i) {
						byForwardedAges++
					}
				}
				changed += int(m.platform.Number) - 1
			}
			t.Logf("%d steps with a full server, %d changes of the roster, %d grants tried when only forwarded ages confirmed", full, changed, byForwardedAges)
			require.Positive(t, full, "the model never fills the server, so nothing is tested")
			require.Greater(t, changed, int(tt.seeds), "too few changes of the roster")
			if tt.peers < tt.instances/2 {
				require.Positive(t, byForwardedAges, "no forwarded age mattered")
			}
		})
	}
}

// confirmedByForwardedAges reports whether i is confirmed, but neither by the platform
// nor by responses to its own heartbeats alone.
func (m *modelState) confirmedByForwardedAges(i int) bool {
	l, now := m.leases[i], at(m.ticks)
	direct := 1
	for _, a := range l.acks {
		if l.withinLease(now, a.sent) {
			direct++
		}
	}
	return l.Confirmed(now) && !l.withinLease(now, l.confirmedAt) && 2*direct <= len(l.roster.Instances)
}
