package pushback_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

const (
	server = "desk-1"
	step   = 50 * time.Millisecond
	// maxSends is the number of requests that an instance has for the server in one step.
	maxSends = 8
	// toldNotice is how long after its first response with the limit an instance's requests count.
	toldNotice = 500 * time.Millisecond
	// probeOdds makes each instance probe another one about every 0.8 s.
	probeOdds = 16
	// span, overage and slack are the tolerance of the deployment: within any span, a server gets at
	// most overage times its limit and slack requests.
	span    = 4 * time.Second
	overage = 1.5
	slack   = 5
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// instance is one instance of a simulated fleet.
type instance struct {
	table  *membership.Table
	limits *pushback.Limits
	down   bool
	// toldAt is when the instance got the first response with the limit.
	toldAt time.Time
}

// fleet simulates instances that all have more requests for a limited server than they may send.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	limit     pushback.Limit
	instances []*instance
	// reaches reports whether two instances hear each other.
	reaches  func(a, b int) bool
	arrivals []time.Time
}

func newFleet(n int, limit float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, uint64(n))), now: start, limit: pushback.Limit{PerSecond: limit, Named: true}}
	f.reaches = func(int, int) bool { return true }
	f.now = start.Add(-time.Minute)
	for range n {
		f.add()
	}
	f.now = start
	for _, in := range f.instances {
		in.table.Merge(f.now, f.records())
	}
	return f
}

// add starts an instance that knows no other.
func (f *fleet) add() {
	f.instances = append(f.instances, &instance{})
	f.restart(len(f.instances) - 1)
}

// restart starts an instance anew, without any knowledge.
func (f *fleet) restart(i int) {
	id, startedAt := fmt.Sprintf("entry-%d", i), f.now
	table := membership.NewTable(membership.Record{ID: id, StartedAt: f.now.UnixMilli(), Zone: fmt.Sprintf("zone-%d", i%3)})
	limits := pushback.NewLimits(pushback.Options{
		Share: func(now time.Time, server string) pushback.Share {
			known := table.Count(now) > 1 && table.KnowsOthers(now, startedAt)
			return pushback.Share{Rank: table.ShareRank(server), Instances: table.Count(now), Known: known}
		},
		Listed: func(string) bool { return true },
	})
	*f.instances[i] = instance{table: table, limits: limits}
}

func (f *fleet) records() []membership.Record {
	var all []membership.Record
	for _, in := range f.instances {
		all = append(all, in.table.Self())
	}
	return all
}

// run advances the simulation; every instance sends as often as it may and probes another one from
// time to time.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for i, in := range f.instances {
			for sends := 0; sends < maxSends && !in.down && in.limits.Admits(f.now, server); sends++ {
				f.send(i)
			}
			if f.rng.IntN(probeOdds) == 0 {
				f.probe(i, f.rng.IntN(len(f.instances)))
			}
		}
	}
}

func (f *fleet) send(i int) {
	in := f.instances[i]
	in.limits.Take(f.now, server)
	if in.toldAt.IsZero() {
		in.toldAt = f.now
	}
	if f.now.Sub(in.toldAt) >= toldNotice {
		f.arrivals = append(f.arrivals, f.now)
	}
	in.limits.Observe(f.now, f.now, server, f.limit)
}

func (f *fleet) probe(i, j int) {
	a, b := f.instances[i], f.instances[j]
	if i == j || a.down || b.down || !f.reaches(i, j) {
		return
	}
	for _, pair := range [][2]*instance{{a, b}, {b, a}} {
		if pair[0].table.Digest() != pair[1].table.Digest() {
			pair[0].table.Merge(f.now, pair[1].table.All(f.now))
		}
		pair[0].table.RecordCount(f.now, pair[1].table.Count(f.now))
		pair[0].limits.Merge(f.now, pair[1].limits.Entries(f.now))
	}
}

// most returns the largest number of arrivals within any span.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against instances that together exceed the rate that a server names.
func TestSumOfInstancesKeepsLimit(t *testing.T) {
	tests := map[string]func(f *fleet){
		"calm": func(f *fleet) { f.run(20 * time.Second) },
		"nobody hears anybody": func(f *fleet) {
			f.reaches = func(int, int) bool { return false }
			f.run(20 * time.Second)
		},
		"two halves": func(f *fleet) {
			f.reaches = func(a, b int) bool { return a%2 == b%2 }
			f.run(20 * time.Second)
		},
		"one joins": func(f *fleet) {
			f.run(6 * time.Second)
			f.add()
			f.run(14 * time.Second)
		},
		"one joins that is cut off": func(f *fleet) {
			f.add()
			last := len(f.instances) - 1
			f.reaches = func(a, b int) bool { return a != last && b != last }
			f.run(20 * time.Second)
		},
		"restarts one after the other": func(f *fleet) {
			for i := range min(7, len(f.instances)) {
				f.run(2 * time.Second)
				f.restart(i)
			}
			f.run(6 * time.Second)
		},
		"all restart at once": func(f *fleet) {
			f.run(6 * time.Second)
			for i := range f.instances {
				f.restart(i)
			}
			f.run(14 * time.Second)
		},
		"a third is down": func(f *fleet) {
			f.run(4 * time.Second)
			for i := 0; i < len(f.instances); i += 3 {
				f.instances[i].down = true
				for _, in := range f.instances {
					in.table.MarkDown(f.now, f.instances[i].table.Self())
				}
			}
			f.run(16 * time.Second)
		},
	}
	for name, scenario := range tests {
		for n, limits := range map[int][]float64{7: {0, 0.5, 2.5, 5, 40}, 350: {0.5, 5}} {
			for _, limit := range limits {
				t.Run(fmt.Sprintf("%s, %d instances, limit %g", name, n, limit), func(t *testing.T) {
					f := newFleet(n, limit)
					for i := range f.instances {
						f.send(i)
					}
					scenario(f)
					require.LessOrEqual(t, float64(f.most()), overage*limit*span.Seconds()+slack)
				})
			}
		}
	}
}

// Guards against a limit of which only a small part is used.
func TestLimitIsUsed(t *testing.T) {
	for _, n := range []int{1, 2, 7} {
		for _, limit := range []float64{0.5, 2.5, 5, 40} {
			t.Run(fmt.Sprintf("%d instances, limit %g", n, limit), func(t *testing.T) {
				f := newFleet(n, limit)
				if n == 1 {
					f.instances[0].limits = pushback.NewLimits(pushback.Options{
						Share:  func(time.Time, string) pushback.Share { return pushback.Share{Instances: 1, Known: true} },
						Listed: func(string) bool { return true },
					})
				}
				for i := range f.instances {
					f.send(i)
				}
				f.arrivals = nil
				f.run(40 * time.Second)
				require.GreaterOrEqual(t, float64(len(f.arrivals)), 0.8*limit*40)
			})
		}
	}
}

// Guards against instances that keep a limit that has ended.
func TestEndOfLimitReachesAll(t *testing.T) {
	for _, n := range []int{7, 350} {
		f := newFleet(n, 2.5)
		for i := range f.instances {
			f.send(i)
		}
		f.run(10 * time.Second)
		f.limit = pushback.Limit{}
		f.run(10 * time.Second)
		for _, in := range f.instances {
			require.True(t, in.limits.Admits(f.now, server))
			require.Empty(t, in.limits.Limited(f.now))
		}
	}
}

func TestObserve(t *testing.T) {
	named := func(perSecond float64) pushback.Limit { return pushback.Limit{PerSecond: perSecond, Named: true} }
	type response struct {
		sent, received time.Duration
		limit          pushback.Limit
		changed        bool
	}
	tests := map[string]struct {
		responses []response
		admits    bool
	}{
		"no limit":                      {[]response{{0, 1, pushback.Limit{}, false}}, true},
		"limit":                         {[]response{{0, 1, named(2), true}}, false},
		"same limit again":              {[]response{{0, 1, named(2), true}, {2, 3, named(2), false}}, false},
		"limit ends":                    {[]response{{0, 1, named(2), true}, {2, 3, pushback.Limit{}, true}}, true},
		"response from before the news": {[]response{{0, 2, named(2), true}, {1, 3, pushback.Limit{}, false}}, false},
		"limit changes":                 {[]response{{0, 1, named(2), true}, {2, 3, named(4), true}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limits := newFleet(2, 1).instances[0].limits
			for _, r := range tt.responses {
				require.Equal(t, r.changed, limits.Observe(start.Add(r.received*step), start.Add(r.sent*step), server, r.limit))
			}
			require.Equal(t, tt.admits, limits.Admits(start.Add(10*step), server))
		})
	}
}

func TestMerge(t *testing.T) {
	rate := func(perSecond float64) *float64 { return &perSecond }
	tests := map[string]struct {
		known, told pushback.Entry
		want        *float64
	}{
		"newer end":                {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 1}, pushback.Entry{Server: server, Sequence: 2}, nil},
		"older end":                {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 3}, pushback.Entry{Server: server, Sequence: 2}, rate(2)},
		"same time, end":           {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 2}, pushback.Entry{Server: server, Sequence: 2}, rate(2)},
		"same time, stricter":      {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 2}, pushback.Entry{Server: server, PerSecond: rate(1), Sequence: 2}, rate(1)},
		"same time, less strict":   {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 2}, pushback.Entry{Server: server, PerSecond: rate(3), Sequence: 2}, rate(2)},
		"newer limit":              {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 2}, pushback.Entry{Server: server, PerSecond: rate(3), Sequence: 3}, rate(3)},
		"invalid":                  {pushback.Entry{Server: server, PerSecond: rate(2), Sequence: 2}, pushback.Entry{Server: server, PerSecond: rate(-1), Sequence: 3}, rate(2)},
		"ends before it was known": {pushback.Entry{Server: "other", PerSecond: rate(2), Sequence: 1}, pushback.Entry{Server: server, Sequence: 2}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limits := newFleet(2, 1).instances[0].limits
			limits.Merge(start, []pushback.Entry{tt.known})
			limits.Merge(start, []pushback.Entry{tt.told})
			for _, e := range limits.Entries(start) {
				if e.Server == server {
					require.Equal(t, tt.want, e.PerSecond)
				}
			}
			require.Equal(t, tt.want == nil, limits.Admits(start, server))
		})
	}
}

// Guards against limits of servers that are gone, which would be kept and sent forever.
func TestLimitsOfUnlistedServersAreDropped(t *testing.T) {
	listed := true
	limits := pushback.NewLimits(pushback.Options{
		Share:  func(time.Time, string) pushback.Share { return pushback.Share{Instances: 1, Known: true} },
		Listed: func(string) bool { return listed },
	})
	limits.Observe(start, start, server, pushback.Limit{PerSecond: 1, Named: true})
	entries := limits.Entries(start)
	require.Len(t, entries, 1)
	listed = false
	require.Empty(t, limits.Entries(start))
	require.Empty(t, limits.Merge(start, entries))
}

// Guards against callers that are all told to come back for the same free place.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	limits := newFleet(4, 2).instances[0].limits
	limits.Observe(start, start, server, pushback.Limit{PerSecond: 2, Named: true})
	var waits []time.Duration
	for range 4 {
		waits = append(waits, limits.RetryAfter(start, "desk", []string{server}, 7*time.Second))
	}
	require.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 7 * time.Second}, waits)
	require.Equal(t, 3*time.Second, limits.RetryAfter(start.Add(5*time.Second), "desk", []string{server}, 7*time.Second))
}

// Guards against a value that can't be encoded in messages between instances.
func TestParseLimit(t *testing.T) {
	tests := map[string]struct {
		value string
		want  float64
		ok    bool
	}{
		"decimal":   {"2.5", 2.5, true},
		"zero":      {"0", 0, true},
		"spaces":    {" 4 ", 4, true},
		"none":      {"", 0, false},
		"negative":  {"-1", 0, false},
		"not one":   {"few", 0, false},
		"NaN":       {"NaN", 0, false},
		"infinite":  {"Inf", 0, false},
		"too large": {"1e400", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limit, ok := pushback.ParseLimit(tt.value)
			require.Equal(t, tt.ok, ok)
			require.Equal(t, pushback.Limit{PerSecond: tt.want, Named: tt.ok}, limit)
		})
	}
}
