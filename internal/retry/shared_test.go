package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var sharedLimits = SharedLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 54}

// sharedFleet is a fleet of instances whose requests fail again and again, and the record of its repeats.
type sharedFleet struct {
	limits    SharedLimits
	rng       *rand.Rand
	instances []*sharedInstance
	// sent and repeats have the requests and the repeats of each tenth of a second.
	sent, repeats []int
	// dueAt returns when a repeat that is decided now is sent; nil for at once.
	dueAt   func(now time.Time) time.Time
	waiting []waitingRepeat
	// copies is the share of requests that go on from a copy, failingCopies the share of these that fail.
	copies, failingCopies float64
}

// waitingRepeat is a repeat that was decided and waits for a server.
type waitingRepeat struct {
	in  *sharedInstance
	due time.Time
}

type sharedInstance struct {
	budgets   *SharedBudgets
	startedAt time.Time
	// apart is set while the instance doesn't know the others.
	apart bool
	// frozenUntil is until when it doesn't run.
	frozenUntil time.Time
}

func (f *sharedFleet) start(now time.Time, rank int) *sharedInstance {
	in := &sharedInstance{startedAt: now}
	in.budgets = NewSharedBudgets(now, SharedOptions{Limits: f.limits, Rand: f.rng, Part: func(now time.Time, _ string) SharedPart {
		if in.apart {
			return SharedPart{Instances: 1}
		}
		return SharedPart{Instances: len(f.instances), Rank: rank, Known: now.Sub(in.startedAt) >= 5*time.Second}
	}})
	return in
}

const fleetTick = 100 * time.Millisecond

// step sends the requests of one tick: each fails with a chance, and is repeated if the budget allows it.
func (f *sharedFleet) step(now time.Time, requests int, failing float64) {
	sent, repeats := 0, 0
	for range requests {
		sent++
		in := f.instances[f.rng.IntN(len(f.instances))]
		if now.Before(in.frozenUntil) {
			continue
		}
		in.budgets.Observe(now)
		if f.rng.Float64() >= failing {
			in.budgets.RecordSuccess(now, now.Add(-time.Duration(f.rng.IntN(300))*time.Millisecond), "desk")
			continue
		}
		if f.rng.Float64() < f.copies {
			repeats += f.sendCopy(now, in)
			continue
		}
		if _, ok := in.budgets.Decide(now, "desk", Attempt{Number: 1, Cause: CauseLost}).(Again); ok {
			due := now
			if f.dueAt != nil {
				due = f.dueAt(now)
			}
			f.waiting = append(f.waiting, waitingRepeat{in, due})
		}
	}
	repeats += f.sendWaiting(now)
	f.sent, f.repeats = append(f.sent, sent), append(f.repeats, repeats)
}

// sendCopy sends a request that goes on from a copy, and returns the number of repeats.
func (f *sharedFleet) sendCopy(now time.Time, in *sharedInstance) int {
	draw, ok := in.budgets.Draw(now, "desk", false)
	if !ok {
		return 0
	}
	if f.rng.Float64() < f.failingCopies {
		return 1
	}
	in.budgets.Return(now, draw)
	return 0
}

// sendWaiting sends the repeats that are due, and returns their number.
func (f *sharedFleet) sendWaiting(now time.Time) (sent int) {
	var waiting []waitingRepeat
	for _, w := range f.waiting {
		if now.Before(w.due) || now.Before(w.in.frozenUntil) {
			waiting = append(waiting, w)
			continue
		}
		if _, ok := w.in.budgets.Draw(now, "desk", true); ok && f.runs(w.in) {
			sent++
		}
	}
	f.waiting = waiting
	return sent
}

// runs reports whether an instance hasn't been killed.
func (f *sharedFleet) runs(in *sharedInstance) bool { return slices.Contains(f.instances, in) }

// excess returns the most repeats beyond the limits in any window.
func (f *sharedFleet) excess() float64 {
	n := int(f.limits.Window / fleetTick)
	sum := func(of []int, from int) (total int) {
		for i := max(0, from); i < min(len(of), from+n); i++ {
			total += of[i]
		}
		return total
	}
	worst := -f.limits.Slack
	for from := -n + 1; from < len(f.repeats); from++ {
		requests := max(sum(f.sent, from), sum(f.sent, from-n/2), sum(f.sent, from-n))
		worst = max(worst, float64(sum(f.repeats, from))-f.limits.Ratio*float64(requests)-f.limits.Slack)
	}
	return worst
}

// Each case guards against instances that together repeat more than the limits allow, whatever happens to them.
func TestSharedBudgetsHoldTogether(t *testing.T) {
	const length, seeds = 90 * time.Second, 4
	for name, tt := range map[string]struct {
		instances int
		slack     float64
		// idle is how long no requests are sent at first.
		idle time.Duration
		// failing returns the share of the requests that fail.
		failing func(at time.Duration) float64
		// dueAt, copies and failingCopies are those of the fleet.
		dueAt                 func(now time.Time) time.Time
		copies, failingCopies float64
		disturb               func(f *sharedFleet, now time.Time, at time.Duration)
	}{
		"all fail":            {instances: 7, slack: 54, failing: func(time.Duration) float64 { return 1 }},
		"calm, then all fail": {instances: 7, slack: 54, failing: afterCalm},
		"killed all the time": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 2500*time.Millisecond, 1)
		}},
		"killed each 15 s": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 15*time.Second, 1)
		}},
		"some killed": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, time.Second, 0.3)
		}},
		"start apart": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 20*time.Second, 1)
			for _, in := range f.instances {
				in.apart = true
			}
		}},
		"frozen in turn": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, _ time.Duration) {
			if in := f.instances[f.rng.IntN(len(f.instances))]; f.rng.IntN(10) == 0 {
				in.frozenUntil = now.Add(4 * time.Second)
			}
		}},
		"more instances come": {instances: 7, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			if at == 41*time.Second {
				for range 14 {
					f.instances = append(f.instances, f.start(now, len(f.instances)))
				}
			}
		}},
		"repeats wait for servers": {instances: 7, slack: 54, failing: afterCalm, dueAt: nextReturn},
		"repeats wait, frozen": {instances: 7, slack: 54, failing: afterCalm, dueAt: nextReturn, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			if at%(20*time.Second) == 12*time.Second {
				for _, in := range f.instances {
					in.frozenUntil = now.Add(6 * time.Second)
				}
			}
		}},
		"copies fail": {instances: 7, slack: 54, failing: afterCalm, copies: 0.9, failingCopies: 1},
		"copies fail, killed all the time": {instances: 7, slack: 54, failing: afterCalm, copies: 0.9, failingCopies: 1, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 2500*time.Millisecond, 1)
		}},
		"copies fail, killed each 4 s": {instances: 7, slack: 54, failing: afterCalm, copies: 0.9, failingCopies: 1, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 4*time.Second, 1)
		}},
		"copies fail, killed each 15 s": {instances: 7, slack: 54, failing: afterCalm, copies: 0.9, failingCopies: 1, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 15*time.Second, 1)
		}},
		"fleet, copies fail, killed each 15 s": {instances: 985, slack: 1040, failing: afterCalm, copies: 0.9, failingCopies: 1, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 15*time.Second, 1)
		}},
		"copies fail, repeats too":   {instances: 7, slack: 54, failing: afterCalm, copies: 0.5, failingCopies: 0.3, dueAt: nextReturn},
		"no slack, fail in turn":     {instances: 1, failing: func(at time.Duration) float64 { return float64(at / (10 * time.Second) % 2) }},
		"fleet, calm, then all fail": {instances: 985, slack: 1040, failing: afterCalm},
		"fleet, killed each 15 s": {instances: 985, slack: 1040, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 15*time.Second, 1)
		}},
		"twice the fleet, killed each 30 s": {instances: 1970, slack: 1040, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 30*time.Second, 1)
		}},
		"fleet, little slack, idle for long": {instances: 985, slack: 54, idle: 2 * time.Hour, failing: func(time.Duration) float64 { return 1 }},
		"fleet, little slack, some killed": {instances: 985, slack: 54, failing: afterCalm, disturb: func(f *sharedFleet, now time.Time, at time.Duration) {
			f.killAll(now, at, 5*time.Second, 0.5)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				// With the small ratio the limits are those of the slack.
				for _, ratio := range []float64{0.2, 0.02} {
					f := &sharedFleet{limits: SharedLimits{Window: 10 * time.Second, Ratio: ratio, Slack: tt.slack}, rng: rand.New(rand.NewPCG(seed, 1)), dueAt: tt.dueAt, copies: tt.copies, failingCopies: tt.failingCopies}
					for i := range tt.instances {
						f.instances = append(f.instances, f.start(start.Add(-tt.idle), i))
						f.instances[i].budgets.Observe(start.Add(min(0, 5*time.Second-tt.idle)))
					}
					for at := time.Duration(0); at < length; at += fleetTick {
						now := start.Add(at)
						if tt.disturb != nil {
							tt.disturb(f, now, at)
						}
						f.step(now, 1+tt.instances/50, tt.failing(at))
					}
					require.LessOrEqual(t, f.excess(), 0.0, "seed %d, ratio %g", seed, ratio)
				}
			}
		})
	}
}

// afterCalm lets one in fifty requests fail at first, and all later, with pauses.
func afterCalm(at time.Duration) float64 {
	if at < 40*time.Second || at%(7*time.Second) < time.Second {
		return 0.02
	}
	return 1
}

// nextReturn returns when servers come back that repeats wait for.
func nextReturn(now time.Time) time.Time {
	const interval = 20 * time.Second
	return start.Add((now.Sub(start)/interval + 1) * interval)
}

// killAll kills a share of the instances at an interval and starts them again.
func (f *sharedFleet) killAll(now time.Time, at, interval time.Duration, share float64) {
	if at == 0 || at%interval != 0 {
		return
	}
	for i := range f.instances {
		if f.rng.Float64() < share {
			f.instances[i] = f.start(now, i)
		}
	}
}

// Guards against a fleet whose instances have too small a part each to repeat what one server fails.
func TestSharedBudgetsRepeatInCalm(t *testing.T) {
	for name, tt := range map[string]struct {
		instances int
		slack     float64
	}{"small": {7, 54}, "fleet": {985, 1040}} {
		t.Run(name, func(t *testing.T) {
			f := &sharedFleet{limits: SharedLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: tt.slack}, rng: rand.New(rand.NewPCG(1, 1))}
			for i := range tt.instances {
				f.instances = append(f.instances, f.start(start, i))
				f.instances[i].budgets.Observe(start.Add(5 * time.Second))
			}
			now := start.Add(time.Minute)
			for i, in := range f.instances {
				require.IsType(t, Again{}, in.budgets.Decide(now, "desk", Attempt{Number: 1, Cause: CauseLost}), "instance %d", i)
			}
		})
	}
}

func TestSharedBudgets(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, tt := range map[string]struct {
		part SharedPart
		// successes are sent and recorded at these seconds.
		successes []float64
		// drawn is the number of retries that are drawn at drawnAt, of which returned are given back; reserved is the
		// number that is reserved before, and released of these are given up.
		drawn, returned, reserved, released int
		drawnAt                             float64
		// keep is the number of retries to be left for others.
		keep int
		// lostAt and foundAt are when the instance loses its part and has one again, 0 for never.
		lostAt, foundAt float64
		// at is when the retries that are left are counted.
		at   float64
		want int
	}{
		"empty at the start":                 {part: SharedPart{Instances: 7, Known: true}, at: 0, want: 0},
		"half full":                          {part: SharedPart{Instances: 1, Known: true}, at: 5, want: 13},
		"full":                               {part: SharedPart{Instances: 1, Known: true}, at: 300, want: 27},
		"one of seven":                       {part: SharedPart{Instances: 7, Rank: 3, Known: true}, at: 300, want: 3},
		"others unknown":                     {part: SharedPart{Instances: 1}, at: 300, want: 0},
		"others unknown, successes":          {part: SharedPart{Instances: 1}, successes: seconds(291, 300, 40), at: 300, want: 4},
		"successes are forgotten":            {part: SharedPart{Instances: 1}, successes: seconds(280, 290, 40), at: 300, want: 0},
		"more instances than slack, first":   {part: SharedPart{Instances: 540, Rank: 53, Known: true}, at: 300, want: 1},
		"more instances than slack, another": {part: SharedPart{Instances: 540, Rank: 54, Known: true}, at: 300, want: 0},
		"cut off for long":                   {part: SharedPart{Instances: 1, Known: true}, lostAt: 200, at: 300, want: 0},
		"cut off for long, then not":         {part: SharedPart{Instances: 1, Known: true}, lostAt: 200, foundAt: 295.25, at: 300, want: 13},
		"drawn":                              {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, drawn: 20, at: 300, want: 27},
		"drawn just now":                     {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, drawn: 20, at: 100, want: 7},
		"all drawn":                          {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, drawn: 27, at: 101, want: 2},
		"drawn and given back":               {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, drawn: 20, returned: 15, at: 100, want: 22},
		"given back beyond the part":         {part: SharedPart{Instances: 1, Known: true}, drawnAt: 295, drawn: 20, returned: 20, at: 300, want: 27},
		"given back after the part was lost": {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, drawn: 20, returned: 20, lostAt: 150, at: 200, want: 0},
		"joined, for other repeats":          {part: SharedPart{Instances: 7, Joined: true}, keep: 1, at: 300, want: 0},
		"some kept":                          {part: SharedPart{Instances: 7, Known: true}, keep: 1, at: 300, want: 2},
		"one can't be kept of one":           {part: SharedPart{Instances: 100, Known: true}, keep: 1, at: 300, want: 1},
		"reserved":                           {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, reserved: 20, at: 300, want: 7},
		"reserved and drawn":                 {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, reserved: 20, drawn: 20, at: 100, want: 7},
		"reserved and released":              {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, reserved: 20, released: 20, at: 100, want: 27},
		"others' reservations are kept":      {part: SharedPart{Instances: 1, Known: true}, drawnAt: 100, reserved: 27, at: 100, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			b := NewSharedBudgets(start, SharedOptions{Limits: sharedLimits, Rand: rng, Part: func(now time.Time, _ string) SharedPart {
				part := tt.part
				part.Lost = tt.lostAt > 0 && !now.Before(at(tt.lostAt)) && (tt.foundAt == 0 || now.Before(at(tt.foundAt)))
				return part
			}})
			b.Observe(start)
			var draws []Draw
			for s := range int(tt.at)*4 + 1 {
				now := at(float64(s) / 4)
				b.Observe(now)
				if s == 4 {
					b.Remaining(now, "desk")
				}
				if s > 0 && now.Equal(at(tt.drawnAt)) {
					draws = drawRetries(t, b, now, tt.reserved, tt.released, tt.drawn)
				}
			}
			for _, d := range draws[:min(len(draws), tt.returned)] {
				b.Return(at(tt.at), d)
			}
			for _, s := range tt.successes {
				b.RecordSuccess(at(s), at(s), "desk")
			}
			retries := 0
			for retries < 100 {
				if _, ok := b.Decide(at(tt.at), "desk", Attempt{Number: 1, Cause: CauseLost, Keep: tt.keep}).(Again); !ok {
					break
				}
				retries++
			}
			require.Equal(t, tt.want, retries)
			require.Less(t, b.Remaining(at(tt.at), "desk"), float64(1+tt.keep))
		})
	}
}

// drawRetries reserves some retries, releases some of these, and draws some.
func drawRetries(t *testing.T, b *SharedBudgets, now time.Time, reserved, released, drawn int) (draws []Draw) {
	for range reserved {
		require.True(t, b.Reserve(now, "desk"))
	}
	for range released {
		b.Release(now, "desk")
	}
	for n := range drawn {
		d, ok := b.Draw(now, "desk", n < reserved-released)
		require.True(t, ok)
		draws = append(draws, d)
	}
	return draws
}

// seconds returns n times between two.
func seconds(from, to float64, n int) (out []float64) {
	for i := range n {
		out = append(out, from+(to-from)*float64(i)/float64(n))
	}
	return out
}

// Guards against streams that can't be moved for seconds after the start of their instance, and against instances
// that have more than one retry before they know the others.
func TestStartingInstanceHasRetryForCopy(t *testing.T) {
	known := false
	b := NewSharedBudgets(start, SharedOptions{Limits: sharedLimits, Rand: rand.New(rand.NewPCG(1, 2)), Part: func(time.Time, string) SharedPart {
		return SharedPart{Instances: 7, Joined: true, Known: known}
	}})
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	require.False(t, b.Reserve(at(0), "llm"))
	require.False(t, b.Reserve(at(2), "llm"))
	require.True(t, b.Reserve(at(3), "llm"))
	draw, ok := b.Draw(at(3), "llm", true)
	require.True(t, ok)
	b.Return(at(4), draw)
	_, ok = b.Draw(at(4), "llm", false)
	require.True(t, ok)
	require.False(t, b.Reserve(at(60), "llm"))
	known = true
	b.Observe(at(60))
	require.False(t, b.Reserve(at(62), "llm"))
	require.True(t, b.Reserve(at(63), "llm"))
}

// Guards against budgets that are kept for every service that was ever used.
func TestSharedBudgetsForgetServices(t *testing.T) {
	b := NewSharedBudgets(start, SharedOptions{Limits: sharedLimits, Rand: rand.New(rand.NewPCG(1, 2)), Part: func(time.Time, string) SharedPart { return SharedPart{Known: true} }})
	for i := range 1000 {
		b.Remaining(start.Add(time.Duration(i)*time.Second), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(b.byService), idleWindows*10+2)
}
