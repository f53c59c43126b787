package platformstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

func put(id string, cold time.Duration) Change {
	s := server(id)
	s.ColdRemaining = cold
	return Change{ID: id, Server: &s}
}

func TestUpdateBringsUpToDate(t *testing.T) {
	source := NewState()
	source.ReplaceServers(start, 10, []dialect.Server{server("a"), server("b")})
	source.ReplaceZones(start, 11, []string{"z9"})
	require.True(t, source.ChangeServers(start, 10, 12, []Change{put("c", 0), {ID: "a"}}))
	require.True(t, source.ChangeServers(start, 12, 14, []Change{put("d", 0)}))
	tests := map[string]struct {
		known    func(s *State)
		since    int64
		missing  bool
		snapshot bool
		want     []string
	}{
		"empty state":         {func(*State) {}, 0, false, true, []string{"b", "c", "d"}},
		"lags behind":         {func(s *State) { s.ReplaceServers(start, 10, []dialect.Server{server("a"), server("b")}) }, 10, false, false, []string{"b", "c", "d"}},
		"between two changes": {func(s *State) { s.ReplaceServers(start, 12, []dialect.Server{server("b"), server("c")}) }, 10, false, false, []string{"b", "c", "d"}},
		"before the log":      {func(s *State) { s.ReplaceServers(start, 3, []dialect.Server{server("x")}) }, 3, false, true, []string{"b", "c", "d"}},
		"missed a change":     {func(s *State) { s.ReplaceServers(start, 10, []dialect.Server{server("a"), server("b")}) }, 12, true, false, []string{"a", "b"}},
		"newer":               {func(s *State) { s.ReplaceServers(start, 20, []dialect.Server{server("n")}) }, 10, false, false, []string{"n"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			tt.known(s)
			u, _ := source.UpdateSince(start, tt.since)
			require.Equal(t, tt.snapshot, u.Snapshot)
			require.Equal(t, tt.missing, s.Apply(start, &u))
			require.Equal(t, tt.want, ids(s))
			zones, _ := s.DrainedZones()
			require.Equal(t, []string{"z9"}, zones)
		})
	}
}

// Guards against a server that gets too many requests while it is cold: an update must
// hold the remaining time, not the original one.
func TestUpdateHoldsRemainingColdTime(t *testing.T) {
	a, b := NewState(), NewState()
	a.ReplaceServers(start, 1, []dialect.Server{server("x")})
	a.ChangeServers(start, 1, 2, []Change{put("s", 5*time.Second)})
	now := start.Add(3 * time.Second)
	u, _ := a.UpdateSince(now, 1)
	b.ReplaceServers(start, 1, []dialect.Server{server("x")})
	b.Apply(now, &u)
	receiver, ok := b.Server("s")
	require.True(t, ok)
	require.Equal(t, start.Add(5*time.Second), receiver.ColdUntil)
}

// Guards against removing entries right after an outage, at an instance that knows the
// platform from updates only.
func TestUpdatedInstanceDetectsOutage(t *testing.T) {
	lister, receiver := NewState(), NewState()
	for _, s := range []*State{lister, receiver} {
		s.ReplaceServers(start, 10, []dialect.Server{server("a"), server("b")})
		s.RecordAnswer(start, start)
		s.RecordListing(start, Servers)
	}
	after := start.Add(entryExpiry + time.Second)
	lister.RecordPlatformFailure(after)
	lister.RecordAnswer(after, after)
	lister.ReplaceServers(after, 20, nil)
	lister.RecordListing(after, Servers)
	u, _ := lister.UpdateSince(after, 10)
	require.False(t, receiver.Apply(after, &u))
	require.Equal(t, []string{"a", "b"}, ids(receiver))
	receiver.Sweep(after.Add(reappearTime))
	require.Empty(t, ids(receiver))
}

// Checks updates from two instances in any order, some lost and some repeated: the version
// never goes back, an instance that reports nothing missing has the platform's contents,
// and a fetch brings it up to date.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, version := map[string]bool{}, int64(1)
		history := map[int64][]string{}
		sources := []*State{NewState(), NewState()}
		names := func() []string {
			var out []string
			for i := range 6 {
				if id := fmt.Sprint("s", i); truth[id] {
					out = append(out, id)
				}
			}
			return out
		}
		for _, r := range sources {
			r.ReplaceServers(start, version, nil)
		}
		history[version] = names()
		receiver := NewState()
		var sent []Update
		published := make([]int64, len(sources))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
				before := version
				version += int64(rapid.IntRange(1, 3).Draw(t, "by"))
				change := Change{ID: id}
				if truth[id] = !truth[id]; truth[id] {
					change = put(id, 0)
				}
				history[version] = names()
				for i, r := range sources {
					if known, _ := r.Version(Servers); known == before && rapid.Bool().Draw(t, "watched") {
						require.True(t, r.ChangeServers(start, before, version, []Change{change}))
					} else if rapid.Bool().Draw(t, "listed") {
						var list []dialect.Server
						for _, id := range names() {
							list = append(list, server(id))
						}
						r.ReplaceServers(start, version, list)
					}
					u, _ := r.UpdateSince(start, max(1, published[i]))
					sent = append(sent, u)
					published[i], _ = r.Version(Servers)
				}
			case 2:
				if len(sent) > 0 {
					u := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "update")]
					before, _ := receiver.Version(Servers)
					receiver.Apply(start, &u)
					after, _ := receiver.Version(Servers)
					require.GreaterOrEqual(t, after, before)
				}
			case 3:
				r := sources[rapid.IntRange(0, 1).Draw(t, "from")]
				u, _ := r.UpdateFor(start, receiver.Versions(start))
				require.False(t, receiver.Apply(start, &u))
				require.False(t, receiver.Behind(r.Versions(start)))
			}
			if at, _ := receiver.Version(Servers); at > 0 {
				require.Equal(t, history[at], ids(receiver))
			}
		}
	})
}

// Guards against instances that fetch all servers after a release of a large fleet: as many changes as
// a fifth of the servers are told.
func TestLargeReleaseIsToldAsChanges(t *testing.T) {
	const servers = 10000
	s, behind := NewState(), NewState()
	s.ReplaceServers(start, 1, fleetOf(servers))
	behind.ReplaceServers(start, 1, fleetOf(servers))
	for i := range servers / 5 {
		require.True(t, s.ChangeServers(start, int64(i+1), int64(i+2), []Change{put(fmt.Sprint("new", i), 0)}))
	}
	u, complete := s.UpdateSince(start, 1)
	require.True(t, complete)
	require.False(t, u.Snapshot)
	require.Len(t, u.Changes, servers/5)
	require.False(t, behind.Apply(start, &u))
	require.Equal(t, s.ContentHash(Servers), behind.ContentHash(Servers))
}

// Guards against lists of a large fleet that never count, because a server changes while they are read:
// then all instances would list. What the list shows and the watch has missed is applied.
func TestListCountsWhileServersChange(t *testing.T) {
	listed := func() []dialect.Server { return []dialect.Server{server("a"), server("b"), server("c")} }
	tests := map[string]struct {
		// changes arrive while a list as of version 10 is read.
		changes []Change
		list    func() []dialect.Server
		want    []string
	}{
		"added meanwhile":         {[]Change{put("d", 0)}, listed, []string{"a", "b", "c", "d"}},
		"removed meanwhile":       {[]Change{{ID: "a"}}, listed, []string{"b", "c"}},
		"missed addition":         {[]Change{put("d", 0)}, func() []dialect.Server { return append(listed(), server("x")) }, []string{"a", "b", "c", "d", "x"}},
		"missed removal":          {[]Change{put("d", 0)}, func() []dialect.Server { return listed()[1:] }, []string{"b", "c", "d"}},
		"removed on a later page": {[]Change{{ID: "c"}}, func() []dialect.Server { return listed()[:2] }, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			s.ReplaceServers(start, 10, listed())
			require.True(t, s.ChangeServers(start, 10, 12, tt.changes))
			require.True(t, s.ReplaceServers(start, 10, tt.list()))
			require.Equal(t, tt.want, ids(s))
			version, _ := s.Version(Servers)
			require.EqualValues(t, 12, version)
		})
	}
	t.Run("older than the log", func(t *testing.T) {
		s := NewState()
		s.ReplaceServers(start, 10, listed())
		require.False(t, s.ReplaceServers(start, 9, nil))
		require.Equal(t, []string{"a", "b", "c"}, ids(s))
	})
}
