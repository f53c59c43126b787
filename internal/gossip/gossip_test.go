package gossip

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	testTimeout = 20 * time.Second
	testTick    = 5 * time.Millisecond
)

// one is an instance with its listener.
type one struct {
	*Gossip
	state   *observed.State
	table   *membership.Table
	address string
	stop    func()
}

func secret(c string) string { return strings.Repeat(c, 32) }

// startOne starts an instance that answers; with run it also probes and tells.
func startOne(t *testing.T, id, secret string, run bool, seeds ...string) *one {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(secret)))
	require.NoError(t, err)
	o := &one{state: observed.NewState(), address: l.Addr().String()}
	o.table = membership.NewTable(membership.Record{ID: id, Peer: o.address, Caller: id, Zone: "z", Started: time.Now().UnixMilli()})
	o.Gossip, err = New(Options{
		Table: o.table, State: o.state, Key: key, Seeds: seeds,
		Status: func() membership.Status { return membership.Status{Ready: true} },
		TakeRaw: func(at time.Time, value []byte, _ string) {
			o.state.Configure(at, routes.Configuration{Version: int64(len(value))}, value)
		},
		Log: zerolog.Nop(), Now: time.Now,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { _ = o.Serve(ctx, l) })
	if run {
		duties.Go(func() { o.Run(ctx) })
	}
	o.stop = sync.OnceFunc(func() { cancel(); duties.Wait(); o.caller.Drop() })
	t.Cleanup(o.stop)
	return o
}

// learn has an instance read a state of the platform.
func (o *one) learn(version int64, zones []string, servers ...string) {
	now := time.Now()
	o.state.Configure(now, routes.Configuration{Version: version}, []byte(strings.Repeat("7", int(version))))
	var list []dialect.Server
	for _, id := range servers {
		list = append(list, dialect.Server{ID: id, Service: "llm"})
	}
	o.state.ReplaceServers(now, version, list)
	o.state.ReplaceZones(now, version, zones)
	for _, p := range observed.Resources() {
		o.state.RecordListing(now, p)
	}
}

// has reports whether an instance knows a state of the platform.
func (o *one) has(version int64, zones, servers int) bool {
	table := o.state.Table()
	out, _ := o.state.DrainedZones()
	return table != nil && table.Version == version && len(out) == zones && len(o.state.Servers("llm")) == servers
}

// An instance that the platform turns away hears of a revoked key, a server that
// left and a zone taken out from another one, with its next probe.
func TestCutOffInstanceHearsFromOthers(t *testing.T) {
	a, b := startOne(t, "a", secret("k"), false), startOne(t, "b", secret("k"), false)
	a.learn(1, nil, "s1", "s2")
	b.learn(2, []string{"z1"}, "s1")
	require.NoError(t, a.ask(t.Context(), b.address, "b"))
	require.Eventually(t, func() bool { return a.has(2, 1, 1) }, testTimeout, testTick)
	require.Equal(t, 2, a.table.Count(time.Now()))
	require.Equal(t, 2, b.table.Count(time.Now()))
	require.Less(t, a.state.Age(time.Now(), observed.Configuration), time.Second)
	// The answerer fetches what it lacks too.
	a.learn(3, nil, "s1", "s3")
	require.NoError(t, a.ask(t.Context(), b.address, "b"))
	require.Eventually(t, func() bool { return b.has(3, 0, 2) }, testTimeout, testTick)
}

// Changes that one instance hears of reach all, in order, and instances that one
// of them can't reach are told past it.
func TestNewsReachesAll(t *testing.T) {
	const n = 12
	first := startOne(t, "i00", secret("k"), true)
	fleet := []*one{first}
	for i := 1; i < n; i++ {
		fleet = append(fleet, startOne(t, fmt.Sprintf("i%02d", i), secret("k"), true, first.address))
	}
	first.learn(1, nil, "s1")
	first.Announce()
	all := func(what func(o *one) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			for _, o := range fleet {
				if !what(o) {
					return false
				}
			}
			return true
		}, testTimeout, testTick)
	}
	all(func(o *one) bool { return o.table.Count(time.Now()) == n && o.has(1, 0, 1) })
	for version := int64(2); version < 20; version++ {
		first.learn(version, []string{"z1"}, "s1", fmt.Sprint("s", version))
		first.Announce()
	}
	all(func(o *one) bool { return o.has(19, 1, 2) })
	children := first.table.Children("i00")
	require.NotEmpty(t, children)
	for i, o := range fleet {
		if o.self == children[0].ID {
			o.stop()
			fleet = append(fleet[:i], fleet[i+1:]...)
			break
		}
	}
	first.learn(20, nil, "s1", "s2", "s3")
	first.Announce()
	all(func(o *one) bool { return o.has(20, 0, 3) })
	all(func(o *one) bool { r, _ := o.table.Get(children[0].ID); return r.Down })
}

// Guards against large configurations being written and compressed anew for every
// message to every instance, also those that can't be reached.
func TestNewsLeavesTheConfigurationOut(t *testing.T) {
	a := startOne(t, "a", secret("k"), false)
	a.learn(400_000, nil, "s1")
	data, err := json.Marshal(a.news(time.Now()))
	require.NoError(t, err)
	require.Less(t, len(data), 4000)

	b := startOne(t, "b", secret("k"), false)
	b.table.Merge(time.Now(), []membership.Record{a.table.Self()})
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	_, err = a.call(t.Context(), b.address, newsProcedure, testTimeout, a.news(time.Now()))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.has(400_000, 0, 1) }, testTimeout, testTick)
	first, err := a.packed.configuration(a.state)
	require.NoError(t, err)
	again, err := a.packed.configuration(a.state)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
}

// Guards against an instance that starts waiting for a seed without power while
// another one answers.
func TestJoinGoesPastASilentSeed(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	seed := startOne(t, "seed", secret("k"), false)
	seed.learn(3, nil, "s1")
	newcomer := startOne(t, "new", secret("k"), false, silent.Addr().String(), seed.address)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2 {
		newcomer.joinSeed(t.Context(), rng)
	}
	require.Eventually(t, func() bool { return newcomer.has(3, 0, 1) }, testTimeout, testTick)
	require.True(t, newcomer.joining.has(silent.Addr().String()), "the silent one hasn't been given up yet")
}

// Guards against hundreds of instances that start together being told thousands of
// servers, written and compressed anew for each, by the same few.
func TestStartIsToldASnapshot(t *testing.T) {
	seed, newcomer := startOne(t, "seed", secret("k"), false), startOne(t, "new", secret("k"), false)
	var servers []string
	for i := range 2000 {
		servers = append(servers, fmt.Sprintf("engine-%d", i))
	}
	seed.learn(3, []string{"z1"}, servers...)
	newcomer.sync(t.Context(), seed.address, testTimeout, []membership.Record{newcomer.table.Self()})
	require.True(t, newcomer.has(3, 1, 2000))
	none := observed.NewState().Versions(time.Now())
	answer, err := newcomer.call(t.Context(), seed.address, syncProcedure, testTimeout, &Message{Versions: &none})
	require.NoError(t, err)
	require.True(t, answer.Snapshot)
	require.Nil(t, answer.Update, "servers written anew for each")
	require.Positive(t, newcomer.state.Age(time.Now(), observed.Servers))

	first, _, err := seed.snapshot.snapshot(time.Now(), seed.state)
	require.NoError(t, err)
	again, age, err := seed.snapshot.snapshot(time.Now(), seed.state)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
	require.Less(t, age, snapshotTTL)

	seed.served.AllowN(time.Now(), servedPerSecond)
	_, _, err = newcomer.fetchPacked(t.Context(), seed.address, snapshotProcedure)
	require.ErrorIs(t, err, ErrFetch, "one instance hands over to all")
}

// Guards against a configuration being handed to one who doesn't hold the key.
func TestConfigurationNeedsTheKey(t *testing.T) {
	a, b := startOne(t, "a", secret("k"), false), startOne(t, "b", secret("x"), false)
	a.learn(3, nil, "s1")
	for _, procedure := range []string{configurationProcedure, snapshotProcedure} {
		_, _, err := b.fetchPacked(t.Context(), a.address, procedure)
		require.ErrorIs(t, err, ErrFetch)
	}
}

// Guards against seeds that tell everything to each of hundreds of instances that
// start in the same moment.
func TestSeedTellsNewcomersOfAFew(t *testing.T) {
	seed, newcomer := startOne(t, "seed", secret("k"), false), startOne(t, "new", secret("k"), false)
	var others []membership.Record
	for i := range 300 {
		others = append(others, membership.Record{ID: fmt.Sprint(i), Peer: "127.0.0.1:1", Started: 1})
	}
	seed.table.Merge(time.Now(), others)
	seed.learn(3, nil, "s1")
	newcomer.sync(t.Context(), seed.address, testTimeout, []membership.Record{newcomer.table.Self()})
	require.True(t, newcomer.has(3, 0, 1))
	require.Len(t, newcomer.table.All(time.Now()), 1+joinRecords)
	require.Equal(t, 302, newcomer.table.Count(time.Now()), "shares are those of all")
	newcomer.sync(t.Context(), seed.address, testTimeout, newcomer.table.All(time.Now()))
	require.Len(t, newcomer.table.All(time.Now()), 302)
}

// An instance that was cut off is taken for down by all; once it answers, all
// know within moments.
func TestInstanceTakenForDownIsBack(t *testing.T) {
	a, b := startOne(t, "a", secret("k"), true), startOne(t, "b", secret("k"), false)
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	r, _ := a.table.Get("b")
	_, ok := a.table.MarkDown(time.Now(), r)
	require.True(t, ok)
	require.Eventually(t, func() bool { r, _ := a.table.Get("b"); return !r.Down }, testTimeout, testTick)
}

// Somebody who doesn't hold the instances' key can tell them nothing.
func TestStrangerIsNotBelieved(t *testing.T) {
	a, stranger := startOne(t, "a", secret("k"), false), startOne(t, "x", secret("o"), false)
	stranger.learn(9, nil, "s1")
	for _, pair := range [][2]*one{{stranger, a}, {a, stranger}} {
		require.Error(t, pair[0].ask(t.Context(), pair[1].address, ""))
		pair[0].sync(t.Context(), pair[1].address, testTimeout, pair[0].table.All(time.Now()))
	}
	require.Equal(t, 1, a.table.Count(time.Now()))
	require.Nil(t, a.state.Table())
}

func TestNewsIsPassedOnOnce(t *testing.T) {
	type news struct{ started, sequence int64 }
	tests := map[string]struct {
		come  []news
		first []bool
	}{
		"in order":          {[]news{{1, 1}, {1, 2}, {1, 3}}, []bool{true, true, true}},
		"twice":             {[]news{{1, 1}, {1, 1}, {1, 2}, {1, 1}}, []bool{true, false, true, false}},
		"overtaken":         {[]news{{1, 1}, {1, 3}, {1, 2}, {1, 2}}, []bool{true, true, true, false}},
		"far behind":        {[]news{{1, 100}, {1, 30}}, []bool{true, false}},
		"a new process":     {[]news{{1, 9}, {2, 1}, {1, 10}}, []bool{true, true, false}},
		"after a long jump": {[]news{{1, 1}, {1, 200}, {1, 199}, {1, 200}}, []bool{true, true, true, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSeen()
			for i, n := range tt.come {
				require.Equal(t, tt.first[i], s.first("a", n.started, n.sequence), "message %d", i)
			}
		})
	}
}
