package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// slowFleet is a simulation of instances that don't know each other's requests, before plain servers
// one of which is slow for a time. Each server has some slots and works on one request at a time per
// slot; the others wait.
type slowFleet struct {
	instances []*Balancer
	servers   []*platformstate.Server
	// freeAt is when each slot of each server is free.
	freeAt map[string][]time.Time
	rng    *rand.Rand
	states bool
}

const (
	slowFleetSlots   = 6
	usualServiceTime = 40 * time.Millisecond
	slowFactor       = 5.0
)

func newSlowFleet(instances, n int, states bool) *slowFleet {
	f := &slowFleet{servers: servers(n, slowFleetSlots), freeAt: map[string][]time.Time{}, rng: rand.New(rand.NewPCG(5, 6)), states: states}
	for i := range instances {
		f.instances = append(f.instances, New(ColdLimits{}, rand.New(rand.NewPCG(1, uint64(i))), nil))
	}
	for _, s := range f.servers {
		f.freeAt[s.ID] = make([]time.Time, slowFleetSlots)
	}
	return f
}

// run sends requests for the given time and returns how long their callers waited. Server s0 is slow
// from a quarter of the time to a half; what it states is noisy.
func (f *slowFleet) run(perSecond int, length time.Duration) []time.Duration {
	type running struct {
		end   time.Time
		by    *Balancer
		place Placement
		slow  float64
	}
	var all []running
	var waits []time.Duration
	for step := time.Duration(0); step < length; step += time.Second / time.Duration(perSecond) {
		now := start.Add(step)
		all = slices.DeleteFunc(all, func(r running) bool {
			if now.Before(r.end) {
				return false
			}
			r.by.Release(r.place)
			if f.states {
				r.by.RecordSlowness(now, r.place.Server.ID, r.slow*(0.5+f.rng.Float64()))
			}
			return true
		})
		by := f.instances[f.rng.IntN(len(f.instances))]
		picked, ok := by.Pick(now, Request{Service: plainService, Zone: "zone-0", Instances: len(f.instances)}, f.servers).(Picked)
		if !ok {
			continue
		}
		slow := 1.0
		if picked.Placement.Server.ID == "s0" && step > length/4 && step < length/2 {
			slow = slowFactor
		}
		slots := f.freeAt[picked.Placement.Server.ID]
		free := slices.MinFunc(slots, time.Time.Compare)
		begin := now
		if free.After(now) {
			begin = free
		}
		end := begin.Add(time.Duration(float64(usualServiceTime) * slow))
		slots[slices.Index(slots, free)] = end
		all = append(all, running{end, by, picked.Placement, slow})
		waits = append(waits, end.Sub(now))
	}
	return waits
}

// Guards against callers that wait for a slow machine while others are free, and against instances
// that all avoid it together, or return to it together.
func TestSlowMachineGetsFewerRequests(t *testing.T) {
	const perSecond, length, late = 180, 40 * time.Second, 300 * time.Millisecond
	for _, instances := range []int{7, 78, 350} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			count := func(states bool) (late300 int, mean time.Duration) {
				waits := newSlowFleet(instances, 4, states).run(perSecond, length)
				require.Greater(t, len(waits), 99*perSecond*int(length.Seconds())/100, "refused")
				for _, w := range waits {
					mean += w / time.Duration(len(waits))
					if w > late {
						late300++
					}
				}
				return late300, mean
			}
			lateBefore, meanBefore := count(false)
			lateAfter, meanAfter := count(true)
			t.Logf("late %d, mean %v; with the slowness stated %d, %v", lateBefore, meanBefore, lateAfter, meanAfter)
			require.LessOrEqual(t, 2*lateAfter, lateBefore+2)
			require.Less(t, meanAfter, meanBefore)
		})
	}
}

// Guards against a server that is avoided for good after one extreme value.
func TestStatedSlownessIsForgotten(t *testing.T) {
	b, list := newBalancer(noOthersLoad), servers(2, slowFleetSlots)
	b.RecordSlowness(start, "s0", 1000)
	r := Request{Service: plainService, Zone: "zone-0", Instances: 1}
	require.Equal(t, "s1", requirePicked(t, b.Pick(start, r, list)).Server.ID)
	counts := map[string]int{}
	later := start.Add(20 * time.Second)
	for range 40 {
		place := requirePicked(t, b.Pick(later, r, list))
		counts[place.Server.ID]++
		b.Release(place)
	}
	require.Positive(t, counts["s0"])
}
