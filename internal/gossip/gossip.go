// Package gossip keeps the instances of a deployment informed of each other and of the
// platform state, without a coordinator.
//
// It uses three calls. A probe checks one instance after the other; both sides exchange
// the records that changed recently and the versions of their platform state. A broadcast
// goes down a tree of instances from its origin to all: updates of the platform state, and
// changes of records that callers depend on. A sync fetches missing state from an instance
// that has it.
//
// # Usage
//
//	g := gossip.New(gossip.Options{...})
//	go g.Run(ctx)
//	go g.Serve(ctx, listener)
//	g.Broadcast()
package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/httplisten"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
)

const (
	servicePath            = "/pollenspindle.gossip.v2.Gossip/"
	probeProcedure         = servicePath + "Probe"
	indirectProbeProcedure = servicePath + "Help"
	broadcastProcedure     = servicePath + "News"
	collectProcedure       = servicePath + "Collect"
	syncProcedure          = servicePath + "Sync"
	// probePeriod is the time between two probes with up to fullRateInstances instances. With
	// more, it grows up to twice that, as others probe the same instances.
	probePeriod       = 400 * time.Millisecond
	fullRateInstances = 100
	probeTimeout      = 700 * time.Millisecond
	broadcastTimeout  = 350 * time.Millisecond
	syncTimeout       = 2 * time.Second
	readTimeout       = time.Second
	// closeTimeout is how long an instance that ends waits for calls of others.
	closeTimeout = 100 * time.Millisecond
	// idleTimeout is longer than callers keep an unused connection.
	idleTimeout        = time.Minute
	maxIndirectProbes  = 2
	maxRefreshCalls    = 3
	seedProbeOdds      = 8
	downProbeOdds      = 3
	maxConcurrentCalls = 48
	// broadcastInterval is the minimum time between two broadcasts of this instance, so that
	// changes in quick succession are sent together.
	broadcastInterval = 100 * time.Millisecond
	// joinInterval is how often, on average, an instance that starts calls a seed for fastJoinTime:
	// all instances may start at the same time.
	joinInterval = 150 * time.Millisecond
	fastJoinTime = 2 * time.Second
)

// Options configures a [Gossip].
type Options struct {
	Table *membership.Table
	State *platformstate.State
	Key   peer.Key
	// Seeds are the addresses of instances to join; some may be outdated.
	Seeds []string
	// Status returns the status of this instance.
	Status func() membership.Status
	// ApplyConfiguration applies a serialized configuration from another instance.
	ApplyConfiguration func(now time.Time, value []byte, source string)
	// ApplySuspects applies crash suspects from other instances, and Suspects returns those for
	// an instance that joins; nil for none.
	ApplySuspects func(now time.Time, entries []crashsuspect.Entry)
	Suspects      func(now time.Time) []crashsuspect.Entry
	// SuspectDigest returns a digest of the crash suspects that all should know, and RecentSuspects those
	// that are sent to an instance with another digest; nil for none.
	SuspectDigest  func(now time.Time) uint64
	RecentSuspects func(now time.Time) []crashsuspect.Entry
	// Limits are the request limits of backend servers; nil for none.
	Limits *pushback.Limits
	// ServeBytesPerSecond limits the state that is served to other instances; 0 for the default.
	ServeBytesPerSecond int
	// Handlers are further handlers for calls of instances, by path.
	Handlers map[string]http.Handler
	// Connections bounds what the connections of other instances hold; nil for no limit.
	Connections *connlimit.Account
	Log         zerolog.Logger
	Scope       tally.Scope
	Now         func() time.Time
}

// Gossip exchanges records and platform state with other instances. Run and Serve are its
// two tasks.
type Gossip struct {
	opts       Options
	self       string
	client     *instancerpc.Client
	calls      *ants.Pool
	deliveries *deliveries
	// wake holds a value while there is something to broadcast. One is enough: a broadcast
	// holds the state at the time at which it is sent.
	wake chan struct{}
	// wakeRecords is the same for this instance's records alone, wakeCollected for those of others.
	wakeCollected      chan struct{}
	wakeRecords        chan struct{}
	sequence           atomic.Int64
	lastBroadcast      lastBroadcast
	configurationCache compressedCache
	snapshotCache      compressedCache
	// serveLimiter limits the bytes of state that are served.
	serveLimiter *rate.Limiter
	// configurationMu is held while a configuration is fetched.
	configurationMu sync.Mutex
	// snapshotMu is held while a snapshot is fetched.
	snapshotMu      sync.Mutex
	fetching        atomic.Bool
	pendingRecords  recordQueue
	pendingSuspects suspectQueue
	joining         addressSet
	// joined is set once another instance has answered a sync.
	joined atomic.Bool
}

// New returns a gossip that is ready to run.
func New(opts Options) (*Gossip, error) {
	calls, err := ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "create pool for calls to instances")
	}
	if opts.ApplySuspects == nil {
		opts.ApplySuspects = func(time.Time, []crashsuspect.Entry) {}
	}
	if opts.Suspects == nil {
		opts.Suspects = func(time.Time) []crashsuspect.Entry { return nil }
	}
	if opts.SuspectDigest == nil {
		opts.SuspectDigest = func(time.Time) uint64 { return 0 }
	}
	if opts.RecentSuspects == nil {
		opts.RecentSuspects = func(time.Time) []crashsuspect.Entry { return nil }
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.ServeBytesPerSecond <= 0 {
		opts.ServeBytesPerSecond = defaultServedPerSecond
	}
	self := opts.Table.Self().ID
	return &Gossip{
		opts: opts, self: self, client: instancerpc.NewClient(opts.Key, self, probeTimeout), calls: calls, deliveries: newDeliveries(),
		wake: make(chan struct{}, 1), wakeRecords: make(chan struct{}, 1), wakeCollected: make(chan struct{}, 1), serveLimiter: rate.NewLimiter(rate.Limit(opts.ServeBytesPerSecond), opts.ServeBytesPerSecond),
	}, nil
}

// Broadcast broadcasts this instance's platform state and record. It doesn't block.
func (g *Gossip) Broadcast() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Joined reports whether this instance has received the records of another one, or is configured to
// run without others.
func (g *Gossip) Joined() bool {
	self := g.opts.Table.Self().Peer
	return g.joined.Load() || !slices.ContainsFunc(g.opts.Seeds, func(seed string) bool { return seed != self })
}

// BroadcastLeaving broadcasts that callers must no longer use this instance.
func (g *Gossip) BroadcastLeaving() {
	g.updateSelf(g.opts.Now())
}

// updateSelf updates the record of this instance.
func (g *Gossip) updateSelf(now time.Time) {
	if g.opts.Table.SetStatus(now, g.opts.Status()) {
		g.announce(g.opts.Table.Self())
	}
}

// Run probes other instances and sends broadcasts until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.calls.Release()
	var background sync.WaitGroup
	background.Go(func() { g.broadcastLoop(ctx) })
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	started := g.opts.Now()
	for {
		now := g.opts.Now()
		g.updateSelf(now)
		g.snapshotCache.expire(now)
		pause := periodFor(g.opts.Table.Count(now))
		if !g.joined.Load() || !g.opts.State.Known() {
			g.join(ctx, rng)
			if now.Sub(started) < fastJoinTime {
				pause = joinInterval/2 + time.Duration(rng.Int64N(int64(joinInterval)))
			}
		}
		g.probeNext(ctx, rng)
		if objectapi.Sleep(ctx, max(0, pause-g.opts.Now().Sub(now))) != nil {
			break
		}
	}
	background.Wait()
	g.client.CloseIdleConnections()
}

// periodFor returns the time between two probes of one of n instances.
func periodFor(n int) time.Duration {
	return time.Duration(float64(probePeriod) * min(2, max(1, float64(n)/fullRateInstances)))
}

// submit runs a call to another instance in the background. If too many are running, the
// call is dropped: probes and broadcasts are repeated.
func (g *Gossip) submit(kind string, call func()) {
	counter := "calls"
	if g.calls.Submit(call) != nil {
		counter = "callsNotMade"
	}
	g.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter(counter).Inc(1)
}

// Message is the request and the response of all calls.
type Message struct {
	// From is the ID of the sender.
	From    string              `json:"from"`
	Records []membership.Record `json:"records,omitempty"`
	// Versions are the sender's versions, Update is what the receiver lacks.
	Versions *platformstate.Versions `json:"versions,omitempty"`
	// Instances is the number of instances that the sender knows.
	Instances int `json:"instances,omitempty"`
	// Digest is the digest of the running processes that the sender knows.
	Digest uint64                `json:"digest,omitempty"`
	Update *platformstate.Update `json:"update,omitempty"`
	// Snapshot tells the receiver to fetch a snapshot instead of an update.
	Snapshot bool `json:"snapshot,omitempty"`
	// Suspects are crash suspects, SuspectDigest is the digest of those that the sender knows.
	Suspects      []crashsuspect.Entry `json:"suspects,omitempty"`
	SuspectDigest uint64               `json:"suspectDigest,omitempty"`
	// Limits are request limits of backend servers.
	Limits []pushback.Entry `json:"limits,omitempty"`
	// Origin, Incarnation and Sequence identify a broadcast.
	Origin      string `json:"origin,omitempty"`
	Incarnation int64  `json:"started,omitempty"`
	Sequence    int64  `json:"sequence,omitempty"`
	// Target is the instance of an indirect probe, Reached whether it answered.
	Target  string `json:"target,omitempty"`
	Reached bool   `json:"reached,omitempty"`
}

// call calls another instance.
func (g *Gossip) call(ctx context.Context, address, procedure string, timeout time.Duration, m *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.From = g.self
	client := connect.NewClient[Message, Message](g.client.HTTP, "http://"+address+procedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(m)
	g.client.Sign(g.opts.Now(), req.Header(), procedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		g.opts.Scope.Tagged(map[string]string{"procedure": procedure[len(servicePath):]}).Counter("callsFailed").Inc(1)
		g.opts.Log.Debug().Str("peer", address).Str("procedure", procedure).Err(err).Msg("call to another instance failed")
		return nil, err
	}
	return res.Msg, nil
}

// handler returns a handler for calls of instances that have the key.
func (g *Gossip) handler(procedure string, answer func(ctx context.Context, m *Message) *Message) http.Handler {
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, req *connect.Request[Message]) (*connect.Response[Message], error) {
		if err := instancerpc.Verify(g.opts.Key, g.opts.Now(), req.Header(), procedure); err != nil {
			return nil, err
		}
		m := answer(ctx, req.Msg)
		m.From = g.self
		return connect.NewResponse(m), nil
	}, instancerpc.HandlerOptions()...)
}

// Serve serves other instances on the listener until ctx ends, then waits for the calls in progress.
func (g *Gossip) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(probeProcedure, g.handler(probeProcedure, g.handleProbe))
	mux.Handle(indirectProbeProcedure, g.handler(indirectProbeProcedure, g.handleIndirectProbe))
	mux.Handle(broadcastProcedure, g.handler(broadcastProcedure, g.handleBroadcast))
	mux.Handle(collectProcedure, g.handler(collectProcedure, g.handleCollect))
	mux.Handle(syncProcedure, g.handler(syncProcedure, g.handleSync))
	mux.HandleFunc(configurationProcedure, g.serveConfiguration)
	mux.HandleFunc(snapshotProcedure, g.serveSnapshot)
	for path, handler := range g.opts.Handlers {
		mux.Handle(path, handler)
	}
	limited := httplisten.New(listener, httplisten.Options{Account: g.opts.Connections, Class: connlimit.Internal, MaxHeadBytes: instancerpc.MaxHeadBytes})
	server := &http.Server{
		Handler: peer.RequireToken(g.opts.Key, g.opts.Now, mux), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: instancerpc.MaxHeadBytes, ConnState: limited.ConnState,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	select {
	case err := <-served:
		return merry.Prepend(err, "serve instances")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		g.opts.Log.Info().Err(err).Msg("calls of other instances are cut")
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve instances")
	}
	return nil
}
