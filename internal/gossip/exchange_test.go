package gossip

import (
	"context"
	"encoding/base64"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// one is an instance with its listener.
type one struct {
	*Gossip
	state   *observed.State
	address string
}

func startOne(t *testing.T, id, secret string, now func() time.Time) one {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(secret)))
	require.NoError(t, err)
	state, address := observed.NewState(), l.Addr().String()
	g := New(Options{
		Table: NewTable(Record{ID: id, Peer: address, Caller: id, Zone: "z", Started: 1}), State: state, Self: id, Key: key, Own: address,
		TakeRaw: func(at time.Time, value []byte, _ string) {
			state.Configure(at, routes.Configuration{Version: int64(len(value))}, value)
		},
		Log: zerolog.Nop(), Now: now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done; g.client.CloseIdleConnections() })
	return one{g, state, address}
}

// The platform turns one instance away and serves the others. A key is revoked
// and a server leaves meanwhile: the instance hears of both from another, and
// counts as fresh what the other has just read.
func TestCutOffInstanceHearsFromOthers(t *testing.T) {
	at := time.Now()
	now := func() time.Time { return at }
	a, b := startOne(t, "a", strings.Repeat("k", 32), now), startOne(t, "b", strings.Repeat("k", 32), now)
	a.state.Configure(at.Add(-time.Minute), routes.Configuration{Version: 1}, []byte("1"))
	b.state.Configure(at.Add(-time.Second), routes.Configuration{Version: 2}, []byte("22"))
	b.state.ReplaceServers(at, 40, []dialect.Server{{ID: "s1", Service: "llm"}})
	b.state.ReplaceZones(at, 41, []string{"z1"})
	a.exchange(t.Context(), b.address)
	require.EqualValues(t, 2, a.state.Table().Version)
	require.Len(t, a.state.Servers("llm"), 1)
	zones, _ := a.state.ZonesOut()
	require.Equal(t, []string{"z1"}, zones)
	require.Equal(t, 2, a.opts.Table.Count())
	require.Equal(t, 2, b.opts.Table.Count())
}

// One of many instances reads the zones seldom. It hears from another, whose
// platform it needn't be cut off from, that one is taken out and that it is
// back; older news doesn't undo that.
func TestZonesAreAlwaysTold(t *testing.T) {
	at := time.Now()
	now := func() time.Time { return at }
	a, b := startOne(t, "a", strings.Repeat("k", 32), now), startOne(t, "b", strings.Repeat("k", 32), now)
	for _, s := range []*observed.State{a.state, b.state} {
		s.ReplaceServers(at, 5, nil)
		s.ReplaceZones(at, 5, nil)
	}
	steps := map[int64][]string{6: {"z1"}, 7: {"z1", "z2"}, 8: nil}
	for version := int64(6); version <= 8; version++ {
		b.state.ReplaceZones(at, version, steps[version])
		a.exchange(t.Context(), b.address)
		zones, _ := a.state.ZonesOut()
		require.Equal(t, steps[version], zones)
	}
	b.state = observed.NewState()
	b.opts.State = b.state
	b.state.ReplaceZones(at, 7, []string{"z1"})
	a.exchange(t.Context(), b.address)
	zones, _ := a.state.ZonesOut()
	require.Empty(t, zones)
}

// Somebody who doesn't hold the instances' key can tell them nothing.
func TestStrangerIsNotBelieved(t *testing.T) {
	now := time.Now
	a, stranger := startOne(t, "a", strings.Repeat("k", 32), now), startOne(t, "x", strings.Repeat("o", 32), now)
	stranger.state.Configure(now(), routes.Configuration{Version: 9}, []byte("999999999"))
	stranger.exchange(t.Context(), a.address)
	require.Equal(t, 1, a.opts.Table.Count())
	require.Nil(t, a.state.Table())
	a.exchange(t.Context(), stranger.address)
	require.Nil(t, a.state.Table())
	require.Equal(t, 1, a.opts.Table.Count())
}
