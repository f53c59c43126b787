package observed

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

// An instance hears of a version, then reads an older one, from another
// instance or a stale read. Requests must not be handled by the older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	require.Nil(t, s.Table())
	require.True(t, s.Configure(start, routes.Configuration{Version: 7}, []byte("7")))
	require.False(t, s.Configure(start.Add(time.Second), routes.Configuration{Version: 5}, []byte("5")))
	require.EqualValues(t, 7, s.Table().Version)
	raw, version := s.RawConfiguration()
	require.Equal(t, "7", string(raw))
	require.Equal(t, int64(7), version)
	require.True(t, s.SameConfiguration(start, []byte("7")))
	require.False(t, s.SameConfiguration(start, []byte("8")))
	require.Zero(t, s.Age(start.Add(time.Second), Configuration))
	at := start.Add(3 * time.Second)
	other := NewState()
	other.Configure(start, routes.Configuration{Version: 5}, nil)
	other.Read(at, Configuration)
	s.MergeVersions(at, other.Versions(at))
	// A read that found an older version proves that nothing newer was there then.
	require.Zero(t, s.Age(at, Configuration))
	later := at.Add(time.Second)
	other.Configure(later, routes.Configuration{Version: 8}, nil)
	other.Read(later, Configuration)
	s.MergeVersions(later, other.Versions(later))
	require.Equal(t, time.Second, s.Age(later, Configuration))
	require.Equal(t, later, s.Suspect(Configuration))
}

func TestServersThatTakeRequests(t *testing.T) {
	s := NewState()
	leaving := server("leaving")
	leaving.Leaving = true
	far := server("far")
	far.Zone = "zone-b"
	require.True(t, s.ReplaceServers(start, 10, []dialect.Server{server("a"), leaving, far}))
	require.Equal(t, []string{"a", "far"}, ids(s))
	require.True(t, s.ReplaceZones(start, 11, []string{"zone-b"}))
	require.Equal(t, []string{"a"}, ids(s))
	require.True(t, s.ReplaceZones(start, 12, nil))
	require.False(t, s.ReplaceZones(start, 11, []string{"zone-b"}))
	require.True(t, s.ChangeServers(start, 10, 12, []Change{{ID: "a"}}))
	require.Equal(t, []string{"far"}, ids(s))
	require.False(t, s.ReplaceServers(start, 9, nil))
	_, listed := s.Server("leaving")
	require.True(t, listed)
}

// The platform was down for seconds and dropped entries that nobody could
// renew. Its first list afterwards lacks servers that work; callers would be
// refused while they stand free. Those that are back within their time stay,
// the others are gone.
func TestEntriesMissingAfterAnOutageMayReturn(t *testing.T) {
	s := NewState()
	s.ReplaceServers(start, 10, []dialect.Server{server("a"), server("b")})
	s.Returned(start)
	s.ReplaceServers(start, 20, nil)
	require.Equal(t, []string{"a", "b"}, ids(s))
	back := server("a")
	require.True(t, s.ChangeServers(start.Add(time.Second), 20, 21, []Change{{ID: "a", Server: &back}}))
	s.Sweep(start.Add(time.Second))
	require.Equal(t, []string{"a", "b"}, ids(s))
	s.Sweep(start.Add(returnTime))
	require.Equal(t, []string{"a"}, ids(s))
}

// Whatever changes come, the lists that requests are placed on are those that would
// be made anew, and the mark is the one of the entries there.
func TestListsFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, version := NewState(), int64(1)
		s.ReplaceServers(start, version, nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			one := server(fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server")))
			one.Service = rapid.SampledFrom([]string{"llm", "desk"}).Draw(t, "service")
			one.Zone = rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")
			one.Leaving = rapid.Bool().Draw(t, "leaving")
			version++
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.ChangeServers(start, version-1, version, []Change{{ID: one.ID, Server: &one}})
			case 2:
				s.ChangeServers(start, version-1, version, []Change{{ID: one.ID}})
			case 3:
				s.ReplaceZones(start, version, []string{one.Zone})
				s.ChangeServers(start, version-1, version, nil)
			case 4:
				s.MarkLeaving(one.ID)
				s.ChangeServers(start, version-1, version, nil)
			}
			anew, zones := NewState(), []string(nil)
			zones, _ = s.ZonesOut()
			anew.ReplaceZones(start, 1, zones)
			var list []dialect.Server
			for _, e := range s.servers {
				listed := e.Server.Server
				list = append(list, listed)
			}
			anew.ReplaceServers(start, 1, list)
			for _, service := range []string{"llm", "desk"} {
				require.Equal(t, len(anew.Servers(service)), len(s.Servers(service)))
				for i, want := range anew.Servers(service) {
					require.Equal(t, want.Server, s.Servers(service)[i].Server)
				}
			}
			var mark uint64
			for _, e := range s.servers {
				mark += e.mark()
			}
			require.Equal(t, mark, s.Mark(Servers))
		}
	})
}
