package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/member"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/router"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	peerKey             = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	coldLimit           = 2
	heartbeatsPerSecond = 5
	// eventually is a timeout far above every duration in the test's settings.
	eventually = 30 * time.Second
)

// cluster runs a platform, backend servers and entry instances in one process.
type cluster struct {
	t         testing.TB
	metrics   tally.TestScope
	platform  *httptest.Server
	backend   *backend
	instances map[string]*instance
}

// instance is one entry instance.
type instance struct {
	self   roster.Instance
	member *member.Member
	owner  *owner.Owner
	router *router.Router
	stop   func()
}

// backend counts the requests that run on each backend server.
type backend struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	peak    map[string]int
}

func (b *backend) start(p permit.Permit, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[p.Address] == nil {
		b.running[p.Address] = map[string]bool{}
	}
	b.running[p.Address][id] = true
	b.peak[p.Address] = max(b.peak[p.Address], len(b.running[p.Address]))
}

func (b *backend) end(p permit.Permit, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[p.Address], id)
}

func (b *backend) maxRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	peak := 0
	for _, n := range b.peak {
		peak = max(peak, n)
	}
	return peak
}

// Load implements owner.Loads. The servers remain cold.
func (b *backend) Load(_ context.Context, measuredAt time.Time, _ pollenspindle.ServiceKind, address string) (admission.Report, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := admission.Report{Incarnation: "s1", MeasuredAt: measuredAt, Running: len(b.running[address]), Sequences: []admission.Sequence{}}
	for id := range b.running[address] {
		r.Sequences = append(r.Sequences, admission.Sequence{ID: id})
	}
	return r, nil
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{
		t:         t,
		metrics:   tally.NewTestScope("", nil),
		platform:  httptest.NewServer(platform.NewHandler(platform.Options{})),
		backend:   &backend{running: map[string]map[string]bool{}, peak: map[string]int{}},
		instances: map[string]*instance{},
	}
	t.Cleanup(c.platform.Close)
	objects := objectapi.NewClient(c.platform.URL, objectapi.Options{})
	defer objects.Close()
	_, err := config.Apply(t.Context(), objects, config.Change{Config: declared(), Author: "test", Summary: "first", At: time.Now()})
	require.NoError(t, err)
	return c
}

func declared() pollenspindle.Config {
	cfg := pollenspindle.Config{
		Deployment: "test",
		Zones:      []pollenspindle.Zone{{Name: "a", Region: "r", State: pollenspindle.ZoneInService}},
		Services:   []pollenspindle.Service{{Name: "briefing", Kind: pollenspindle.ServiceGeneration, QueueSeconds: 30, TokenIntervalTargetMillis: 40}},
		Models:     []pollenspindle.Model{{Name: "m", Version: "1", Service: "briefing", ContextTokens: 4096}},
		Workspaces: []pollenspindle.Workspace{{Name: "w", Weight: 1, Class: pollenspindle.ClassInteractive}},
	}
	for i := range 5 {
		cfg.Servers = append(cfg.Servers, pollenspindle.Server{
			Name: fmt.Sprintf("engine-%d", i), Service: "briefing", Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			State: pollenspindle.ServerInService, Models: []string{"m"}, ColdLimit: coldLimit, WarmLimit: coldLimit, MemoryTokens: 100000,
		})
	}
	return cfg
}

// start starts a new incarnation of the instance id.
func (c *cluster) start(id, incarnation string) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	key, err := peer.NewKey(peerKey)
	require.NoError(c.t, err)
	objects := objectapi.NewClient(c.platform.URL, objectapi.Options{ReadsPerSecond: 100})
	list := instancelist.NewClient(c.platform.URL, nil)
	store := config.NewStore(config.StoreOptions{Objects: objects, Log: zerolog.Nop(), WatchWait: 200 * time.Millisecond})
	pool := peer.NewPool(id, key, c.metrics)
	suspects := owner.NewSuspects(zerolog.Nop())
	in := &instance{self: roster.Instance{
		ID: id, Incarnation: incarnation, PeerAddress: listener.Addr().String(), CallerAddress: "127.0.0.1:1", Zone: "a", Region: "r",
	}}
	timing := roster.Timing{LeaseDuration: 1500 * time.Millisecond, PermitLifetime: 500 * time.Millisecond}
	in.member, err = member.New(member.Options{
		Self: in.self, Timing: timing, Objects: objects, List: list, Config: store, Suspects: suspects, Peers: pool,
		Heartbeat: time.Second / heartbeatsPerSecond, Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	require.NoError(c.t, err)
	in.owner, err = owner.New(owner.Options{
		Self: id, Incarnation: incarnation, AuthoritySource: in.member, Config: store.Snapshot, Loads: c.backend, Policy: admission.Predicted{},
		Suspects: suspects, PermitLifetime: timing.PermitLifetime, PollInterval: 100 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	require.NoError(c.t, err)
	in.router = router.New(router.Options{
		Self: in.self, Members: in.member, Local: in.owner, Peers: pool, Config: store.Snapshot, Policy: router.Predicted{}, PermitLifetime: timing.PermitLifetime,
		Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	var running sync.WaitGroup
	server := peer.NewServer(in.member.Handler(in.owner), key, c.metrics)
	for _, duty := range []func(context.Context){
		in.member.Run, in.owner.Run, in.router.Run, store.Run,
		func(ctx context.Context) { _ = server.Serve(ctx, listener) },
	} {
		running.Go(func() { duty(ctx) })
	}
	var once sync.Once
	in.stop = func() {
		once.Do(func() {
			cancel()
			running.Wait()
			pool.Close()
			objects.Close()
			list.Close()
		})
	}
	c.t.Cleanup(in.stop)
	c.instances[id] = in
	return in
}

// list sets the platform's list of instances.
func (c *cluster) list(instances ...*instance) {
	listed := []instancelist.Instance{}
	for _, in := range instances {
		listed = append(listed, instancelist.Instance{
			ID: in.self.ID, Address: in.self.CallerAddress, PeerAddress: in.self.PeerAddress, Zone: "a", State: instancelist.StateLive,
		})
	}
	c.control("instances", map[string]any{"instances": listed})
}

func (c *cluster) control(what string, value any) {
	body, err := json.Marshal(value)
	require.NoError(c.t, err)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPut, c.platform.URL+"/control/"+what, bytes.NewReader(body))
	require.NoError(c.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	require.NoError(c.t, res.Body.Close())
	require.Less(c.t, res.StatusCode, 300)
}

// waitForRoster waits until all instances have the same roster, which consists of exactly
// these instances.
func (c *cluster) waitForRoster(instances ...*instance) {
	require.Eventually(c.t, func() bool {
		for _, in := range instances {
			live := in.member.Live()
			if len(live) != len(instances) || in.member.Roster().Epoch != instances[0].member.Roster().Epoch {
				return false
			}
			for _, other := range instances {
				if !in.member.Roster().Has(other.self.ID, other.self.Incarnation) {
					return false
				}
			}
		}
		return true
	}, eventually, 20*time.Millisecond)
}

// serve acquires a permit through in and runs a short request.
func (c *cluster) serve(in *instance, id string, timeout time.Duration) error {
	now := time.Now()
	p, err := in.router.Acquire(c.t.Context(), now, request(id, timeout))
	if err != nil {
		return err
	}
	if !in.router.MaySend(time.Now(), p) {
		in.router.Release(p, permit.Outcome{Ending: permit.EndingNotSent})
		return &permit.Refusal{Reason: permit.ReasonNotConfirmed}
	}
	c.backend.start(p, id)
	defer in.router.Release(p, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 1})
	defer c.backend.end(p, id)
	// The request runs for as long as it takes to decode a few tokens.
	<-time.After(20 * time.Millisecond)
	return nil
}

func request(id string, timeout time.Duration) permit.Request {
	return permit.Request{
		ID: id, Service: "briefing", Model: "m", Workspace: "w", Class: pollenspindle.ClassInteractive,
		PromptTokens: 10, PrefixHash: xxhash.Sum64String(id), Deadline: time.Now().Add(timeout),
	}
}

// acquire acquires a permit and releases it.
func (c *cluster) acquire(in *instance, id string) error {
	now := time.Now()
	p, err := in.router.Acquire(c.t.Context(), now, request(id, eventually))
	if err == nil {
		in.router.Release(p, permit.Outcome{Ending: permit.EndingNotSent})
	}
	return err
}

// bytes returns the number of bytes that the instances exchanged with each other.
func (c *cluster) bytes() int64 {
	counters := c.metrics.Snapshot().Counters()
	n := int64(0)
	for _, name := range []string{"peer_bytes_sent+", "peer_bytes_received+"} {
		if counter, ok := counters[name]; ok {
			n += counter.Value()
		}
	}
	return n
}

// load sends n concurrent requests from each of the instances and returns how
// many were served.
func (c *cluster) load(n int, instances ...*instance) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for _, in := range instances {
		for i := range n {
			wg.Go(func() {
				err := c.serve(in, fmt.Sprintf("%s-%s-%d-%d", in.self.ID, in.self.Incarnation, time.Now().UnixNano(), i), eventually)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					served++
				} else {
					c.t.Log(err)
				}
			})
		}
	}
	wg.Wait()
	return served
}

// waitUntilServing waits until a request through in is served.
func (c *cluster) waitUntilServing(in *instance) {
	require.Eventually(c.t, func() bool {
		err := c.serve(in, fmt.Sprintf("settle-%d", time.Now().UnixNano()), time.Second)
		return err == nil
	}, eventually, 50*time.Millisecond)
}

func TestSimultaneousStartDoesNotOverloadColdServers(t *testing.T) {
	t.Parallel()
	// Guards against exceeding the limit of cold servers when three instances
	// start together without a roster and each sends a burst: the owner of a
	// server grants two permits in total, whichever instance requests them.
	c := newCluster(t)
	a, b, d := c.start("i1", "1"), c.start("i2", "1"), c.start("i3", "1")
	c.list(a, b, d)
	c.waitForRoster(a, b, d)
	c.waitUntilServing(a)
	require.Equal(t, 60, c.load(20, a, b, d))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}

func TestDeadOwnerIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against requests failing, or cold servers being overloaded, when an
	// instance crashes. While the platform lists it, the deputies grant their share;
	// afterwards new owners take over, once the old owner would have stopped if it
	// were still alive.
	c := newCluster(t)
	a, b, d := c.start("i1", "1"), c.start("i2", "1"), c.start("i3", "1")
	c.list(a, b, d)
	c.waitForRoster(a, b, d)
	c.waitUntilServing(a)
	d.stop()
	require.Equal(t, 20, c.load(10, a, b))
	c.list(a, b)
	c.waitForRoster(a, b)
	require.Equal(t, 20, c.load(10, a, b))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}

func TestPlatformOutageDoesNotAffectRequests(t *testing.T) {
	t.Parallel()
	// Guards against owners losing their limits when the platform is down for
	// longer than a lease: the instances confirm each other, since a majority of
	// the roster answers.
	c := newCluster(t)
	a, b, d := c.start("i1", "1"), c.start("i2", "1"), c.start("i3", "1")
	c.list(a, b, d)
	c.waitForRoster(a, b, d)
	c.waitUntilServing(a)
	c.control("faults", map[string]any{"down": true})
	down := time.Now()
	require.Eventually(t, func() bool { return time.Since(down) > 3*time.Second }, eventually, 100*time.Millisecond)
	require.Equal(t, 30, c.load(10, a, b, d))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	t.Parallel()
	// Guards against instances that can't serve after all of them restarted at once
	// under the same IDs, without a handoff: the new incarnations, which are in no
	// roster, write the next roster themselves.
	c := newCluster(t)
	old := []*instance{c.start("i1", "1"), c.start("i2", "1")}
	c.list(old...)
	c.waitForRoster(old...)
	for _, in := range old {
		in.stop()
	}
	a, b := c.start("i1", "2"), c.start("i2", "2")
	c.list(a, b)
	c.waitForRoster(a, b)
	require.Equal(t, 10, c.load(5, a, b))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}

func TestLeavingInstanceOwnsNothing(t *testing.T) {
	t.Parallel()
	// Guards against failing requests while an instance is leaving: the next
	// roster moves its servers to other owners while it still runs.
	c := newCluster(t)
	a, b, d := c.start("i1", "1"), c.start("i2", "1"), c.start("i3", "1")
	c.list(a, b, d)
	c.waitForRoster(a, b, d)
	c.waitUntilServing(a)
	d.member.Leave()
	require.Eventually(t, d.member.HasLeft, eventually, 20*time.Millisecond)
	require.Eventually(t, func() bool { return len(a.member.Live()) == 2 && len(b.member.Live()) == 2 }, eventually, 20*time.Millisecond)
	require.Equal(t, 30, c.load(10, a, b, d))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}

func TestCancelledCallersAreRemovedFromQueues(t *testing.T) {
	// Guards against permits granted to callers that went away while queued: the
	// next caller would wait. The callers queue at full servers through an instance
	// that mostly doesn't own them; the owners remove them from their queues.
	t.Parallel()
	c := newCluster(t)
	a, b := c.start("i1", "1"), c.start("i2", "1")
	c.list(a, b)
	c.waitForRoster(a, b)
	c.waitUntilServing(a)
	var held []permit.Permit
	for i := range 5 * coldLimit {
		p, err := a.router.Acquire(t.Context(), time.Now(), request(fmt.Sprint("held-", i), eventually))
		require.NoError(t, err)
		held = append(held, p)
		c.backend.start(p, fmt.Sprint("held-", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var cancelled sync.WaitGroup
	for i := range 20 {
		cancelled.Go(func() {
			_, err := a.router.Acquire(ctx, time.Now(), request(fmt.Sprint("gone-", i), eventually))
			require.Error(t, err)
		})
	}
	queued := func() int {
		n := 0
		for _, in := range []*instance{a, b} {
			for i := range 5 {
				l, _ := in.owner.Load(time.Now(), fmt.Sprintf("engine-%d", i))
				n += l.Queued
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return queued() > 0 }, eventually, time.Millisecond)
	cancel()
	cancelled.Wait()
	require.Eventually(t, func() bool { return queued() == 0 }, eventually, time.Millisecond)
	for i, p := range held {
		c.backend.end(p, fmt.Sprint("held-", i))
		a.router.Release(p, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 1})
	}
	require.NoError(t, c.serve(b, "next", eventually))
	require.LessOrEqual(t, c.backend.maxRunning(), coldLimit)
}
