package platformstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/routes"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func server(id string) dialect.Server {
	return dialect.Server{ID: id, Service: "llm", Zone: "zone-a", Address: "10.0.0.1:8000"}
}

func ids(s *State) []string {
	var out []string
	for _, server := range s.Servers("llm") {
		out = append(out, server.ID)
	}
	return out
}

// Guards against going back to an older configuration, learned from another instance or a
// stale list after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	require.Nil(t, s.Table())
	require.True(t, s.Configure(start, routes.Configuration{Version: 7}, []byte("7")))
	require.False(t, s.Configure(start.Add(time.Second), routes.Configuration{Version: 5}, []byte("5")))
	require.EqualValues(t, 7, s.Table().Version)
	raw, version := s.RawConfiguration()
	require.Equal(t, "7", string(raw))
	require.Equal(t, int64(7), version)
	require.True(t, s.ConfirmConfiguration(start, []byte("7")))
	require.False(t, s.ConfirmConfiguration(start, []byte("8")))
	require.Zero(t, s.Age(start.Add(time.Second), Configuration))
	at := start.Add(3 * time.Second)
	other := NewState()
	other.Configure(start, routes.Configuration{Version: 5}, nil)
	other.RecordListing(at, Configuration)
	s.MergeVersions(at, other.Versions(at))
	// A list of an older version proves that there was no newer one then.
	require.Zero(t, s.Age(at, Configuration))
	later := at.Add(time.Second)
	other.Configure(later, routes.Configuration{Version: 8}, nil)
	other.RecordListing(later, Configuration)
	s.MergeVersions(later, other.Versions(later))
	require.Equal(t, time.Second, s.Age(later, Configuration))
	require.Equal(t, later, s.DivergedSince(Configuration))
}

func TestEligibleServers(t *testing.T) {
	s := NewState()
	leaving := server("leaving")
	leaving.Leaving = true
	otherZone := server("other-zone")
	otherZone.Zone = "zone-b"
	require.True(t, s.ReplaceServers(start, 10, []dialect.Server{server("a"), leaving, otherZone}))
	require.Equal(t, []string{"a", "other-zone"}, ids(s))
	require.True(t, s.ReplaceZones(start, 11, []string{"zone-b"}))
	require.Equal(t, []string{"a"}, ids(s))
	require.True(t, s.ReplaceZones(start, 12, nil))
	require.False(t, s.ReplaceZones(start, 11, []string{"zone-b"}))
	require.True(t, s.ChangeServers(start, 10, 12, []Change{{ID: "a"}}))
	require.Equal(t, []string{"other-zone"}, ids(s))
	require.False(t, s.ReplaceServers(start, 9, nil))
	_, listed := s.Server("leaving")
	require.True(t, listed)
}

const entryExpiry = expiryHeartbeats * defaultServerHeartbeat

// endOutage makes an outage end in which entries of servers may have expired, as this instance sees it.
func endOutage(s *State, at time.Time) {
	s.RecordAnswer(at.Add(-entryExpiry), at.Add(-entryExpiry))
	s.RecordPlatformFailure(at.Add(-defaultServerHeartbeat))
	s.RecordAnswer(at, at)
}

// Guards against refusing requests after an outage in which servers couldn't renew their
// entries: the first list lacks working servers. Those that reappear in time stay, the
// others are removed.
func TestEntriesMissingAfterOutageMayReappear(t *testing.T) {
	s := NewState()
	s.ReplaceServers(start.Add(-entryExpiry), 10, []dialect.Server{server("a"), server("b")})
	endOutage(s, start)
	s.ReplaceServers(start, 20, nil)
	require.Equal(t, []string{"a", "b"}, ids(s))
	back := server("a")
	require.True(t, s.ChangeServers(start.Add(time.Second), 20, 21, []Change{{ID: "a", Server: &back}}))
	s.Sweep(start.Add(time.Second))
	require.Equal(t, []string{"a", "b"}, ids(s))
	s.Sweep(start.Add(reappearTime))
	require.Equal(t, []string{"a"}, ids(s))
}

// Checks that the incrementally rebuilt lists equal newly built ones, and that the content
// hash is the sum of the entries' hashes, after any changes.
func TestListsMatchChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, version := NewState(), int64(1)
		s.ReplaceServers(start, version, nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			changed := server(fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server")))
			changed.Service = rapid.SampledFrom([]string{"llm", "desk"}).Draw(t, "service")
			changed.Zone = rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")
			changed.Leaving = rapid.Bool().Draw(t, "leaving")
			version++
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.ChangeServers(start, version-1, version, []Change{{ID: changed.ID, Server: &changed}})
			case 2:
				s.ChangeServers(start, version-1, version, []Change{{ID: changed.ID}})
			case 3:
				s.ReplaceZones(start, version, []string{changed.Zone})
				s.ChangeServers(start, version-1, version, nil)
			case 4:
				s.MarkLeaving(Server{Server: changed})
				s.ChangeServers(start, version-1, version, nil)
			}
			rebuilt, zones := NewState(), []string(nil)
			zones, _ = s.DrainedZones()
			rebuilt.ReplaceZones(start, 1, zones)
			var list []dialect.Server
			for _, e := range s.servers {
				listed := e.Server.Server
				list = append(list, listed)
			}
			rebuilt.ReplaceServers(start, 1, list)
			for _, service := range []string{"llm", "desk"} {
				require.Equal(t, len(rebuilt.Servers(service)), len(s.Servers(service)))
				for i, want := range rebuilt.Servers(service) {
					require.Equal(t, want.Server, s.Servers(service)[i].Server)
				}
			}
			var hash uint64
			for _, e := range s.servers {
				hash += e.hash()
			}
			require.Equal(t, hash, s.ContentHash(Servers))
		}
	})
}

// Guards against requests to a leaving server that the platform lists as ready again.
func TestAnnouncedLeavingLastsAsLongAsTheIncarnation(t *testing.T) {
	ready := server("a")
	ready.StartedAtMillis = 1000
	moved, restarted := ready, ready
	moved.Zone = "zone-b"
	restarted.StartedAtMillis = 2000
	tests := map[string]struct {
		then func(s *State)
		want []string
	}{
		"listed again":         {func(s *State) { s.ReplaceServers(start, 2, []dialect.Server{ready}) }, nil},
		"changed":              {func(s *State) { s.ChangeServers(start, 1, 2, []Change{{ID: "a", Server: &moved}}) }, nil},
		"gone and listed anew": {func(s *State) { s.ReplaceServers(start, 2, nil); s.ReplaceServers(start, 3, []dialect.Server{ready}) }, nil},
		"restarted":            {func(s *State) { s.ReplaceServers(start, 2, []dialect.Server{restarted}) }, []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			s.ReplaceServers(start, 1, []dialect.Server{ready})
			require.True(t, s.MarkLeaving(Server{Server: ready}))
			require.Empty(t, ids(s))
			tt.then(s)
			require.Equal(t, tt.want, ids(s))
		})
	}
}

// Guards against rebuilding the lists of all servers whenever the drained zones or the rollouts are
// listed: that cost grows with the servers, and lists come every few seconds.
func TestUnchangedListsRebuildNothing(t *testing.T) {
	const servers, maxBytes = 10000, 64 << 10
	s := NewState()
	s.EnableRollouts()
	list := make([]dialect.Server, servers)
	for i := range list {
		list[i] = server(fmt.Sprintf("server-%05d", i))
	}
	rollouts := []dialect.Rollout{{Name: "r", ID: "r1", Service: "llm", TargetVersion: "v2"}}
	s.ReplaceServers(start, 1, list)
	s.ReplaceZones(start, 1, []string{"zone-b"})
	s.ReplaceRollouts(start, 1, rollouts)
	version := int64(1)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			version++
			s.ReplaceZones(start, version, []string{"zone-b"})
			s.ReplaceRollouts(start, version, rollouts)
			s.Apply(start, &Update{Versions: Versions{Zones: {Version: version}}, Zones: []string{"zone-b"}})
		}
	})
	require.Less(t, result.AllocedBytesPerOp(), int64(maxBytes))
	require.True(t, s.ReplaceZones(start, version+1, []string{"zone-a"}))
	require.Empty(t, s.Servers("llm"))
	require.Equal(t, version+1, s.Versions(start)[Zones].Version)
}
