package observed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	require.Equal(t, "7", string(s.RawConfiguration()))
	require.Zero(t, s.Age(start.Add(time.Second), Configuration))
	at := start.Add(3 * time.Second)
	other := NewState()
	other.Configure(start, routes.Configuration{Version: 5}, nil)
	other.Read(at, Configuration)
	s.Told(at, other.Versions(at))
	// A read that found an older version proves that nothing newer was there then.
	require.Zero(t, s.Age(at, Configuration))
	later := at.Add(time.Second)
	other.Configure(later, routes.Configuration{Version: 8}, nil)
	other.Read(later, Configuration)
	s.Told(later, other.Versions(later))
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
