package platformstate

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/routes"
)

func configurationResource() *watchedResource {
	return &watchedResource{resource: Configuration, kind: "config", limit: DefaultPropagationLimits.Configuration}
}

// listedFollower returns a follower with the given rank that listed the configuration at
// the start.
func listedFollower(rank int, unreachable bool) *Follower {
	state := NewState()
	state.Configure(start, routes.Configuration{Version: 7}, nil)
	state.RecordListing(start, Configuration)
	return NewFollower(Options{
		State: state, Rank: func(string) (int, bool) { return rank, unreachable }, Log: zerolog.Nop(), Now: func() time.Time { return start },
	})
}

// merge merges the versions of another instance that listed the configuration at a time.
func merge(s *State, version int64, at, now time.Time) {
	other := NewState()
	other.Configure(at, routes.Configuration{Version: version}, nil)
	other.RecordListing(at, Configuration)
	s.MergeVersions(now, other.Versions(now))
}

func TestRelistDueByRank(t *testing.T) {
	updated := func(version int64, listedAt time.Duration) func(*State) {
		return func(s *State) { merge(s, version, start.Add(listedAt), start.Add(listedAt)) }
	}
	nothing := func(*State) {}
	tests := map[string]struct {
		rank        int
		unreachable bool
		meanwhile   func(*State)
		early, due  time.Duration
	}{
		"first rank":                        {0, false, nothing, 900 * time.Millisecond, time.Second},
		"second rank":                       {1, false, nothing, 1400 * time.Millisecond, 1500 * time.Millisecond},
		"no update from the first":          {5, false, nothing, 1600 * time.Millisecond, 1700 * time.Millisecond},
		"updated by the first":              {5, false, updated(7, time.Second), 2750 * time.Millisecond, 2760 * time.Millisecond},
		"one of many that hears others":     {80, false, updated(7, 2*time.Second), 3990 * time.Millisecond, 4 * time.Second},
		"diverged, second rank":             {1, false, updated(8, 200*time.Millisecond), 400 * time.Millisecond, 500 * time.Millisecond},
		"diverged, one of many":             {5, false, updated(8, 200*time.Millisecond), 600 * time.Millisecond, 700 * time.Millisecond},
		"one of many":                       {200, false, nothing, 1600 * time.Millisecond, 1700 * time.Millisecond},
		"platform unreachable from another": {3, true, nothing, 2400 * time.Millisecond, 2500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := listedFollower(tt.rank, tt.unreachable)
			tt.meanwhile(f.opts.State)
			require.False(t, f.relistDue(start.Add(tt.early), configurationResource()))
			require.True(t, f.relistDue(start.Add(tt.due), configurationResource()))
		})
	}
}

// Guards against twice as many calls to a failing platform: the lists before each watch go
// on during an outage, so no others may be added.
func TestNoRelistDuringOutage(t *testing.T) {
	f := listedFollower(0, false)
	f.opts.State.RecordPlatformFailure(start)
	require.False(t, f.relistDue(start.Add(time.Minute), configurationResource()))
}

// Guards against calls to the platform that grow with the number of instances, and against
// an instance that gets no updates and doesn't list in time.
func TestOneInstanceListsForAll(t *testing.T) {
	const (
		minute = time.Minute
		tick   = 100 * time.Millisecond
		// alone is the number of lists by six instances that exchange nothing.
		alone = 6 * int(minute/(1700*time.Millisecond))
	)
	tests := map[string]struct {
		instances   int
		lag         time.Duration
		partitioned bool
		maxLists    int
	}{
		"six":                 {6, 200 * time.Millisecond, false, alone / 2},
		"six, slow updates":   {6, 800 * time.Millisecond, false, alone},
		"one gets no updates": {6, 200 * time.Millisecond, true, alone / 2},
		"350":                 {350, 200 * time.Millisecond, false, alone / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			followers := make([]*Follower, tt.instances)
			for i := range followers {
				followers[i] = listedFollower(i, false)
			}
			type update struct{ at, listedAt time.Time }
			var inFlight []update
			lists := 0
			for now := start; now.Before(start.Add(minute)); now = now.Add(tick) {
				for len(inFlight) > 0 && !now.Before(inFlight[0].at) {
					for i, f := range followers {
						if !tt.partitioned || i != len(followers)-1 {
							merge(f.opts.State, 7, inFlight[0].listedAt, now)
						}
					}
					inFlight = inFlight[1:]
				}
				for _, f := range followers {
					require.Less(t, now.Sub(f.opts.State.LastListing(Configuration).At), DefaultPropagationLimits.Configuration)
					if f.relistDue(now, configurationResource()) {
						lists++
						f.opts.State.RecordListing(now, Configuration)
						inFlight = append(inFlight, update{now.Add(tt.lag), now})
					}
				}
			}
			require.LessOrEqual(t, lists, tt.maxLists)
		})
	}
}

// Guards against a watch that hangs while a server gives its shutdown notice: another
// instance has listed it.
func TestDivergedListing(t *testing.T) {
	a, b := NewState(), NewState()
	for _, s := range []*State{a, b} {
		s.ReplaceServers(start, 5, []dialect.Server{server("s1")})
		s.RecordListing(start, Servers)
	}
	require.Equal(t, a.LastListing(Servers), b.LastListing(Servers))
	leaving := server("s1")
	leaving.Leaving = true
	changes := []Change{{ID: "s1", Server: &leaving}}
	b.ChangeServers(start.Add(time.Second), 5, 6, changes)
	b.RecordListing(start.Add(time.Second), Servers)
	now := start.Add(2 * time.Second)
	a.MergeVersions(now, b.Versions(now))
	require.Equal(t, now, a.DivergedSince(Servers))
	require.True(t, a.Behind(b.Versions(now)))
	require.Equal(t, start, a.LastListing(Servers).At)
	// The late change ends the divergence.
	a.ChangeServers(now, 5, 6, changes)
	require.Zero(t, a.DivergedSince(Servers))
	a.MergeVersions(now, b.Versions(now))
	require.Equal(t, start.Add(time.Second), a.LastListing(Servers).At)
	require.False(t, a.Behind(b.Versions(now)))
}

// Guards against each resource of an instance calling a failing platform.
func TestOneResourceCallsFailingPlatform(t *testing.T) {
	now := start
	f := NewFollower(Options{State: NewState(), Log: zerolog.Nop(), Now: func() time.Time { return now }})
	tries := 0
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(rankCheckInterval) {
		for range 3 {
			if f.mayCall(now) {
				tries++
				f.callFailed(now, configurationResource(), nil)
			}
		}
	}
	require.LessOrEqual(t, tries, 45)
	f.callSucceeded(now)
	require.True(t, f.mayCall(now))
}

// Guards against watches that stay stale after a missed change.
func TestNoStaleWatchesAfterMissedChange(t *testing.T) {
	f := NewFollower(Options{State: NewState(), Log: zerolog.Nop(), Now: func() time.Time { return start }})
	require.True(t, f.allowsStaleWatch(start))
	f.recordMissedChange(start)
	require.False(t, f.allowsStaleWatch(start))
	require.False(t, f.allowsStaleWatch(start.Add(freshWatchTime-1)))
	require.True(t, f.allowsStaleWatch(start.Add(freshWatchTime)))
}

// An instance that the platform doesn't answer leaves the watch to others for a while, and
// then tries again.
func TestPlatformUnreachable(t *testing.T) {
	now := start
	f := NewFollower(Options{State: NewState(), Log: zerolog.Nop(), Now: func() time.Time { return now }})
	w := configurationResource()
	require.False(t, f.PlatformUnreachable())
	f.callFailed(now, w, nil)
	require.False(t, f.PlatformUnreachable(), "one failure")
	now = now.Add(unreachableAfter)
	f.callFailed(now, w, nil)
	require.True(t, f.PlatformUnreachable())
	now = now.Add(unreachableTime)
	require.False(t, f.PlatformUnreachable())
	f.callFailed(now, w, nil)
	require.True(t, f.PlatformUnreachable())
	f.callSucceeded(now)
	require.False(t, f.PlatformUnreachable())
}
