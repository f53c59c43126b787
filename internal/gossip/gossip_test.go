package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	testTimeout = 20 * time.Second
	testTick    = 5 * time.Millisecond
)

// testInstance is an instance with its listener.
type testInstance struct {
	*Gossip
	state   *platformstate.State
	table   *membership.Table
	address string
	stop    func()
}

func secret(c string) string { return strings.Repeat(c, 32) }

// startInstance starts an instance that answers calls; with run it also probes and
// broadcasts.
func startInstance(t *testing.T, id, secret string, run bool, seeds ...string) *testInstance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(secret)))
	require.NoError(t, err)
	o := &testInstance{state: platformstate.NewState(), address: l.Addr().String()}
	o.table = membership.NewTable(membership.Record{ID: id, Peer: o.address, Caller: id, Zone: "z", StartedAt: time.Now().UnixMilli()})
	o.Gossip, err = New(Options{
		Table: o.table, State: o.state, Key: key, Seeds: seeds,
		Status: func() membership.Status { return membership.Status{Ready: true} },
		ApplyConfiguration: func(at time.Time, value []byte, _ string) {
			o.state.Configure(at, routes.Configuration{Version: int64(len(value))}, value)
		},
		Log: zerolog.Nop(), Now: time.Now,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = o.Serve(ctx, l) })
	if run {
		tasks.Go(func() { o.Run(ctx) })
	}
	o.stop = sync.OnceFunc(func() { cancel(); tasks.Wait(); o.client.CloseIdleConnections() })
	t.Cleanup(o.stop)
	return o
}

// setPlatformState sets an instance's platform state.
func (o *testInstance) setPlatformState(version int64, zones []string, servers ...string) {
	now := time.Now()
	o.state.Configure(now, routes.Configuration{Version: version}, []byte(strings.Repeat("7", int(version))))
	var list []dialect.Server
	for _, id := range servers {
		list = append(list, dialect.Server{ID: id, Service: "llm"})
	}
	o.state.ReplaceServers(now, version, list)
	o.state.ReplaceZones(now, version, zones)
	for _, p := range platformstate.Resources() {
		o.state.RecordListing(now, p)
	}
}

// hasPlatformState reports whether an instance has a platform state.
func (o *testInstance) hasPlatformState(version int64, zones, servers int) bool {
	table := o.state.Table()
	out, _ := o.state.DrainedZones()
	return table != nil && table.Version == version && len(out) == zones && len(o.state.Servers("llm")) == servers
}

// Guards against an instance that the platform doesn't answer keeping a revoked key, a
// removed server or an active zone that was drained: it learns of them from another one
// with its next probe.
func TestProbeExchangesPlatformState(t *testing.T) {
	a, b := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false)
	a.setPlatformState(1, nil, "s1", "s2")
	b.setPlatformState(2, []string{"z1"}, "s1")
	require.NoError(t, a.exchange(t.Context(), b.address, "b"))
	require.Eventually(t, func() bool { return a.hasPlatformState(2, 1, 1) }, testTimeout, testTick)
	require.Equal(t, 2, a.table.Count(time.Now()))
	require.Equal(t, 2, b.table.Count(time.Now()))
	require.Less(t, a.state.Age(time.Now(), platformstate.Configuration), time.Second)
	// The other side also fetches what it lacks.
	a.setPlatformState(3, nil, "s1", "s3")
	require.NoError(t, a.exchange(t.Context(), b.address, "b"))
	require.Eventually(t, func() bool { return b.hasPlatformState(3, 0, 2) }, testTimeout, testTick)
}

// Guards against instances that miss a broadcast, also below one that can't be reached,
// and against broadcasts applied out of order.
func TestBroadcastReachesAll(t *testing.T) {
	const n = 12
	first := startInstance(t, "i00", secret("k"), true)
	fleet := []*testInstance{first}
	for i := 1; i < n; i++ {
		fleet = append(fleet, startInstance(t, fmt.Sprintf("i%02d", i), secret("k"), true, first.address))
	}
	first.setPlatformState(1, nil, "s1")
	first.Broadcast()
	all := func(condition func(o *testInstance) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			for _, o := range fleet {
				if !condition(o) {
					return false
				}
			}
			return true
		}, testTimeout, testTick)
	}
	all(func(o *testInstance) bool { return o.table.Count(time.Now()) == n && o.hasPlatformState(1, 0, 1) })
	for version := int64(2); version < 20; version++ {
		first.setPlatformState(version, []string{"z1"}, "s1", fmt.Sprint("s", version))
		first.Broadcast()
	}
	all(func(o *testInstance) bool { return o.hasPlatformState(19, 1, 2) })
	children := first.table.Children("i00")
	require.NotEmpty(t, children)
	for i, o := range fleet {
		if o.self == children[0].ID {
			o.stop()
			fleet = append(fleet[:i], fleet[i+1:]...)
			break
		}
	}
	first.setPlatformState(20, nil, "s1", "s2", "s3")
	first.Broadcast()
	all(func(o *testInstance) bool { return o.hasPlatformState(20, 0, 3) })
	all(func(o *testInstance) bool { r, _ := o.table.Get(children[0].ID); return r.Down })
}

// Guards against serializing and compressing large configurations for every message to
// every instance, also to unreachable ones.
func TestBroadcastOmitsConfiguration(t *testing.T) {
	a := startInstance(t, "a", secret("k"), false)
	a.setPlatformState(400_000, nil, "s1")
	data, err := json.Marshal(a.nextBroadcast(time.Now()))
	require.NoError(t, err)
	require.Less(t, len(data), 4000)

	b := startInstance(t, "b", secret("k"), false)
	b.table.Merge(time.Now(), []membership.Record{a.table.Self()})
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	_, err = a.call(t.Context(), b.address, broadcastProcedure, testTimeout, a.nextBroadcast(time.Now()))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.hasPlatformState(400_000, 0, 1) }, testTimeout, testTick)
	first, err := a.configurationCache.configuration(a.state)
	require.NoError(t, err)
	again, err := a.configurationCache.configuration(a.state)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
}

// Guards against an instance that starts waiting for an unresponsive seed while another
// one answers.
func TestJoinSkipsUnresponsiveSeed(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = unresponsive.Close() })
	seed := startInstance(t, "seed", secret("k"), false)
	seed.setPlatformState(3, nil, "s1")
	newcomer := startInstance(t, "new", secret("k"), false, unresponsive.Addr().String(), seed.address)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2 {
		newcomer.join(t.Context(), rng)
	}
	require.Eventually(t, func() bool { return newcomer.hasPlatformState(3, 0, 1) }, testTimeout, testTick)
	require.True(t, newcomer.joining.has(unresponsive.Addr().String()), "call to the unresponsive seed still running")
}

// Guards against overloading a few instances when hundreds start at once, by serializing
// and compressing thousands of servers for each.
func TestJoinFetchesSnapshot(t *testing.T) {
	seed, newcomer := startInstance(t, "seed", secret("k"), false), startInstance(t, "new", secret("k"), false)
	var servers []string
	for i := range 2000 {
		servers = append(servers, fmt.Sprintf("engine-%d", i))
	}
	seed.setPlatformState(3, []string{"z1"}, servers...)
	newcomer.sync(t.Context(), seed.address, testTimeout, []membership.Record{newcomer.table.Self()})
	require.True(t, newcomer.hasPlatformState(3, 1, 2000))
	none := platformstate.NewState().Versions(time.Now())
	answer, err := newcomer.call(t.Context(), seed.address, syncProcedure, testTimeout, &Message{Versions: &none})
	require.NoError(t, err)
	require.True(t, answer.Snapshot)
	require.Nil(t, answer.Update, "servers serialized for each")
	require.Positive(t, newcomer.state.Age(time.Now(), platformstate.Servers))

	fixed := time.Now().Add(time.Minute)
	clock := func() time.Time { return fixed }
	first, _, err := seed.snapshotCache.snapshot(clock, seed.state)
	require.NoError(t, err)
	again, age, err := seed.snapshotCache.snapshot(clock, seed.state)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
	require.Less(t, age, snapshotTTL)

	for range 10 {
		seed.serveLimiter.ReserveN(time.Now(), defaultServedPerSecond)
	}
	_, err = newcomer.fetchSnapshot(t.Context(), seed.address, "seed")
	require.ErrorIs(t, err, ErrFetch, "one instance serves all")
}

// Guards against serving state to a caller without the key.
func TestServingRequiresKey(t *testing.T) {
	a, b := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("x"), false)
	a.setPlatformState(3, nil, "s1")
	for _, procedure := range []string{configurationProcedure, snapshotProcedure} {
		_, _, err := b.fetchCompressed(t.Context(), a.address, procedure, func(io.Reader) error { return nil })
		require.ErrorIs(t, err, ErrFetch)
	}
}

// Guards against overloading the seeds, by sending all records to each of hundreds of
// instances that start at once.
func TestSeedSendsFewRecords(t *testing.T) {
	seed, newcomer := startInstance(t, "seed", secret("k"), false), startInstance(t, "new", secret("k"), false)
	var others []membership.Record
	for i := range 300 {
		others = append(others, membership.Record{ID: fmt.Sprint(i), Peer: "127.0.0.1:1", StartedAt: 1})
	}
	seed.table.Merge(time.Now(), others)
	seed.setPlatformState(3, nil, "s1")
	newcomer.sync(t.Context(), seed.address, testTimeout, []membership.Record{newcomer.table.Self()})
	require.True(t, newcomer.hasPlatformState(3, 0, 1))
	require.Len(t, newcomer.table.All(time.Now()), 1+maxJoinRecords)
	require.Equal(t, 302, newcomer.table.Count(time.Now()), "instances known to others are counted")
	newcomer.sync(t.Context(), seed.address, testTimeout, newcomer.table.All(time.Now()))
	require.Len(t, newcomer.table.All(time.Now()), 302)
}

// Guards against an instance that stays marked as down after it answers again.
func TestDownInstanceRecovers(t *testing.T) {
	a, b := startInstance(t, "a", secret("k"), true), startInstance(t, "b", secret("k"), false)
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	r, _ := a.table.Get("b")
	_, ok := a.table.MarkDown(time.Now(), r)
	require.True(t, ok)
	require.Eventually(t, func() bool { r, _ := a.table.Get("b"); return !r.Down }, testTimeout, testTick)
}

// Guards against applying state from a caller without the key.
func TestCallsRequireKey(t *testing.T) {
	a, unauthorized := startInstance(t, "a", secret("k"), false), startInstance(t, "x", secret("o"), false)
	unauthorized.setPlatformState(9, nil, "s1")
	for _, pair := range [][2]*testInstance{{unauthorized, a}, {a, unauthorized}} {
		require.Error(t, pair[0].exchange(t.Context(), pair[1].address, ""))
		pair[0].sync(t.Context(), pair[1].address, testTimeout, pair[0].table.All(time.Now()))
	}
	require.Equal(t, 1, a.table.Count(time.Now()))
	require.Nil(t, a.state.Table())
}

func TestBroadcastIsForwardedOnce(t *testing.T) {
	type broadcast struct{ started, sequence int64 }
	tests := map[string]struct {
		received []broadcast
		first    []bool
	}{
		"in order":          {[]broadcast{{1, 1}, {1, 2}, {1, 3}}, []bool{true, true, true}},
		"duplicate":         {[]broadcast{{1, 1}, {1, 1}, {1, 2}, {1, 1}}, []bool{true, false, true, false}},
		"out of order":      {[]broadcast{{1, 1}, {1, 3}, {1, 2}, {1, 2}}, []bool{true, true, true, false}},
		"below the window":  {[]broadcast{{1, 100}, {1, 30}}, []bool{true, false}},
		"new incarnation":   {[]broadcast{{1, 9}, {2, 1}, {1, 10}}, []bool{true, true, false}},
		"after a long jump": {[]broadcast{{1, 1}, {1, 200}, {1, 199}, {1, 200}}, []bool{true, true, true, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newDeliveries()
			for i, n := range tt.received {
				require.Equal(t, tt.first[i], s.isNew("a", n.started, n.sequence), "message %d", i)
			}
		})
	}
}

// Guards against starting instances that send all servers to all instances: a broadcast doesn't
// grow with the servers, and instances that lack them fetch them.
func TestBroadcastOfFirstListIsSmall(t *testing.T) {
	const servers, maxBytes = 10000, 4 << 10
	a, b := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false)
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	b.table.Merge(time.Now(), []membership.Record{a.table.Self()})
	a.nextBroadcast(time.Now())
	list := make([]string, servers)
	for i := range list {
		list[i] = fmt.Sprintf("server-%05d", i)
	}
	a.setPlatformState(1, nil, list...)
	m := a.nextBroadcast(time.Now())
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	require.Less(t, len(raw), maxBytes)
	a.forward(t.Context(), m)
	require.Eventually(t, func() bool { return b.hasPlatformState(1, 0, servers) }, testTimeout, testTick)
}

// Guards against fetches of a snapshot by instances that know the same servers as of an older
// revision of the platform.
func TestBroadcastOfSameServersIsNotFetched(t *testing.T) {
	a, b := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false)
	a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
	b.table.Merge(time.Now(), []membership.Record{a.table.Self()})
	b.setPlatformState(1, nil, "s1", "s2")
	a.nextBroadcast(time.Now())
	a.setPlatformState(2, nil, "s1", "s2")
	m := a.nextBroadcast(time.Now())
	require.False(t, b.applyUpdate(time.Now(), m.Update, "a"))
	version, _ := b.state.Version(platformstate.Servers)
	require.EqualValues(t, 2, version)
}

// Guards against a start in which each instance serializes all servers for the others, or for each
// call that only asks whether there are changes: one that has fetched them passes them on as they came.
func TestStartPassesSnapshotOn(t *testing.T) {
	const servers = 3000
	list := make([]string, servers)
	for i := range list {
		list[i] = fmt.Sprintf("server-%05d", i)
	}
	a, b, c := startInstance(t, "a", secret("k"), false), startInstance(t, "b", secret("k"), false), startInstance(t, "c", secret("k"), false)
	a.setPlatformState(1, nil, list...)
	fetch := func(o, from *testInstance) {
		require.Eventually(t, func() bool {
			o.sync(t.Context(), from.address, testTimeout, nil)
			return o.hasPlatformState(1, 0, servers)
		}, testTimeout, testTick)
	}
	fetch(b, a)
	fetch(c, b)
	require.Equal(t, a.snapshotCache.data, c.snapshotCache.data)
	require.Positive(t, c.state.Age(time.Now(), platformstate.Servers))

	c.snapshotCache.expire(time.Now().Add(fetchedSnapshotTTL))
	require.Nil(t, c.snapshotCache.data)

	none := platformstate.NewState().Versions(time.Now())
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.handleSync(t.Context(), &Message{Versions: &none})
		}
	}).AllocedBytesPerOp()
	require.Less(t, allocated, int64(16<<10), "an answer grows with the servers")
}

// BenchmarkSnapshot measures what a start costs an instance, by the number of servers.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{2500, 5000, 10000, 20000} {
		state := platformstate.NewState()
		list := make([]dialect.Server, n)
		for i := range list {
			list[i] = dialect.Server{ID: fmt.Sprintf("i-%08x", uint32(i*2654435761)), Service: "llm", Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Zone: "zone-a", Version: "v1", Slots: 24}
		}
		state.ReplaceServers(time.Now(), 1, list)
		packed, err := packSnapshot(time.Now(), state)
		require.NoError(b, err)
		b.Run(fmt.Sprint("pack/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = packSnapshot(time.Now(), state)
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
		b.Run(fmt.Sprint("unpack/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				raw, err := gzip.NewReader(bytes.NewReader(packed))
				require.NoError(b, err)
				u, err := unpackSnapshot(raw)
				require.NoError(b, err)
				require.Len(b, u.Servers, n)
			}
		})
	}
}

// Guards against a snapshot that is cut short and taken for complete.
func TestTruncatedSnapshotIsRejected(t *testing.T) {
	a := startInstance(t, "a", secret("k"), false)
	a.setPlatformState(1, nil, "s1", "s2", "s3")
	packed, err := packSnapshot(time.Now(), a.state)
	require.NoError(t, err)
	for _, n := range []int{len(packed) / 2, len(packed) - 9, len(packed) - 1} {
		raw, err := gzip.NewReader(bytes.NewReader(packed[:n]))
		require.NoError(t, err)
		_, err = unpackSnapshot(raw)
		require.ErrorIs(t, err, ErrFetch, "%d of %d bytes", n, len(packed))
	}
}

// Guards against n broadcasts to n instances when all change their records at the same time, and
// against records that are lost with the instance that collects them.
func TestChangedRecordsAreBroadcastTogether(t *testing.T) {
	const n = 12
	for name, dead := range map[string]int{"collectors run": 0, "first collector is dead": 1, "all collectors are dead": collectorCount} {
		t.Run(name, func(t *testing.T) {
			var fleet []*testInstance
			for i := range n {
				fleet = append(fleet, startInstance(t, fmt.Sprintf("i%02d", i), secret("k"), false))
			}
			for _, a := range fleet {
				for _, b := range fleet {
					a.table.Merge(time.Now(), []membership.Record{b.table.Self()})
				}
			}
			running := fleet
			for _, r := range fleet[0].table.Collectors(dead) {
				running = slices.DeleteFunc(slices.Clone(running), func(o *testInstance) bool { return o.self == r.ID })
				for _, o := range fleet {
					if o.self == r.ID {
						o.stop()
					}
				}
			}
			var loops sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			stop := sync.OnceFunc(func() { cancel(); loops.Wait() })
			defer stop()
			for _, o := range running {
				if dead == collectorCount {
					// Probes repair what a broadcast of its own misses on a busy machine.
					loops.Go(func() { o.Run(ctx) })
					continue
				}
				loops.Go(func() { o.broadcastLoop(ctx) })
				o.updateSelf(time.Now())
			}
			require.Eventually(t, func() bool {
				for _, o := range running {
					for _, other := range running {
						if r, ok := o.table.Get(other.self); !ok || !r.Ready {
							return false
						}
					}
				}
				return true
			}, testTimeout, testTick)
			stop()
			if dead == collectorCount {
				return
			}
			collector := fleet[0].table.Collectors(collectorCount)[dead].ID
			for _, o := range running {
				o.deliveries.mu.Lock()
				_, failed := o.deliveries.backoff[collector]
				o.deliveries.mu.Unlock()
				if o.self != collector && !failed {
					require.Zero(t, o.sequence.Load(), "%s broadcast by itself", o.self)
				}
			}
		})
	}
}
