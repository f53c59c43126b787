// Package gossip keeps the instances of a deployment informed of each other and
// of the platform without a coordinator.
//
// Three calls carry it. A probe asks one instance after the other whether it is
// there; both sides pass on the records that changed lately and say which state
// of the platform they have. News goes down a tree of instances, from the one
// that has it to all: what the platform told, and changes that callers must not
// run into. A sync fetches what one has missed from an instance that has it.
//
// # Usage
//
//	g := gossip.New(gossip.Options{...})
//	go g.Run(ctx)
//	go g.Serve(ctx, listener)
//	g.Announce()
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

const (
	servicePath    = "/pollenspindle.gossip.v2.Gossip/"
	probeProcedure = servicePath + "Probe"
	helpProcedure  = servicePath + "Help"
	newsProcedure  = servicePath + "News"
	syncProcedure  = servicePath + "Sync"
	// probePeriod is the time between two probes up to probeSize instances; with
	// more it grows up to twice that, as others probe the same ones.
	probePeriod  = 400 * time.Millisecond
	probeSize    = 100
	probeTimeout = 700 * time.Millisecond
	newsTimeout  = 350 * time.Millisecond
	syncTimeout  = 2 * time.Second
	readTimeout  = time.Second
	// idleTime is above what callers keep an unused connection for.
	idleTime        = time.Minute
	helpers         = 2
	seedOneIn       = 8
	downOneIn       = 3
	concurrentCalls = 48
	// newsGap is the least time between two messages of news of this instance,
	// so that changes in quick succession travel together.
	newsGap = 100 * time.Millisecond
	// joinEvery is how often an instance that starts tries to reach a seed, for
	// joinFast: all of them may start in the same moment.
	joinEvery = 150 * time.Millisecond
	joinFast  = 2 * time.Second
)

// Options configures a [Gossip].
type Options struct {
	Table *membership.Table
	State *observed.State
	Key   peer.Key
	// Seeds are addresses of others to begin with; some may be out of date.
	Seeds []string
	// Status returns what this instance says of itself.
	Status func() membership.Status
	// TakeRaw takes over a configuration that another instance has told.
	TakeRaw func(now time.Time, value []byte, source string)
	// TakeSuspects takes over requests that were running when servers crashed, and
	// Suspects returns those that an instance which starts is told; nil for none.
	TakeSuspects func(now time.Time, entries []suspect.Entry)
	Suspects     func(now time.Time) []suspect.Entry
	// Handlers are further calls that instances may make, by path.
	Handlers map[string]http.Handler
	Log      zerolog.Logger
	Scope    tally.Scope
	Now      func() time.Time
}

// Gossip exchanges what instances know. Run and Serve are its duties.
type Gossip struct {
	opts   Options
	self   string
	caller *peerrpc.Caller
	calls  *ants.Pool
	seen   *seen
	// wake has an entry while there is something to tell all. It holds one:
	// what is told is what is known when it is told.
	wake      chan struct{}
	sequence  atomic.Int64
	published published
	packed    packed
	snapshot  packed
	// served bounds what is handed over.
	served *rate.Limiter
	// configuring is held while a configuration is fetched.
	configuring sync.Mutex
	syncing     atomic.Bool
	urgent      pending
	suspects    pendingSuspects
	joining     addresses
	// refused is set while an instance that starts was refused what it lacks.
	refused atomic.Bool
	// joined is set once another instance has told what it knows.
	joined atomic.Bool
}

// New returns a gossip that is ready to run.
func New(opts Options) (*Gossip, error) {
	calls, err := ants.NewPool(concurrentCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of calls to instances")
	}
	if opts.TakeSuspects == nil {
		opts.TakeSuspects = func(time.Time, []suspect.Entry) {}
	}
	if opts.Suspects == nil {
		opts.Suspects = func(time.Time) []suspect.Entry { return nil }
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	self := opts.Table.Self().ID
	return &Gossip{
		opts: opts, self: self, caller: peerrpc.NewCaller(opts.Key, self, probeTimeout), calls: calls, seen: newSeen(),
		wake: make(chan struct{}, 1), served: rate.NewLimiter(servedPerSecond, servedPerSecond),
	}, nil
}

// Announce has all instances told of what this one knows of the platform and of
// itself. It doesn't wait.
func (g *Gossip) Announce() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Leave tells all that callers are not to be sent here any more.
func (g *Gossip) Leave() {
	g.refresh(g.opts.Now())
	g.Announce()
}

// refresh puts the state of this instance into its record.
func (g *Gossip) refresh(now time.Time) {
	if g.opts.Table.Set(now, g.opts.Status()) {
		g.urgent.add(g.opts.Table.Self())
		g.Announce()
	}
}

// Run probes others and passes news on until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.calls.Release()
	var telling sync.WaitGroup
	telling.Go(func() { g.tell(ctx) })
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	started := g.opts.Now()
	for {
		now := g.opts.Now()
		g.refresh(now)
		pause := periodFor(g.opts.Table.Count(now))
		if !g.joined.Load() || !g.opts.State.Known() {
			g.joinSeed(ctx, rng)
			if now.Sub(started) < joinFast {
				pause = joinEvery/2 + time.Duration(rng.Int64N(int64(joinEvery)))
			}
		}
		g.probeNext(ctx, rng)
		if objectapi.Pause(ctx, max(0, pause-g.opts.Now().Sub(now))) != nil {
			break
		}
	}
	telling.Wait()
	g.caller.Drop()
}

// periodFor returns the time between two probes of one of n instances.
func periodFor(n int) time.Duration {
	return time.Duration(float64(probePeriod) * min(2, max(1, float64(n)/probeSize)))
}

// submit runs a call to another instance beside others. With all of them busy
// the call isn't made: probes and news come again.
func (g *Gossip) submit(kind string, call func()) {
	counter := "calls"
	if g.calls.Submit(call) != nil {
		counter = "callsNotMade"
	}
	g.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter(counter).Inc(1)
}

// Message is the question and the answer of all calls.
type Message struct {
	// From is the sender.
	From    string              `json:"from"`
	Records []membership.Record `json:"records,omitempty"`
	// Versions are what the sender has, Update is what the receiver lacks.
	Versions *observed.Versions `json:"versions,omitempty"`
	// Instances is how many instances the sender knows.
	Instances int `json:"instances,omitempty"`
	// Digest tells apart which instances the sender knows.
	Digest uint64           `json:"digest,omitempty"`
	Update *observed.Update `json:"update,omitempty"`
	// Snapshot says that what the receiver lacks is to be fetched whole.
	Snapshot bool `json:"snapshot,omitempty"`
	// Suspects are requests that were running when servers crashed.
	Suspects []suspect.Entry `json:"suspects,omitempty"`
	// News are told apart by their origin, its start and a count.
	Origin   string `json:"origin,omitempty"`
	Started  int64  `json:"started,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	// Target is an instance that is to be probed for the sender, Reached whether
	// it answered.
	Target  string `json:"target,omitempty"`
	Reached bool   `json:"reached,omitempty"`
}

// call asks another instance.
func (g *Gossip) call(ctx context.Context, address, procedure string, timeout time.Duration, question *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	question.From = g.self
	client := connect.NewClient[Message, Message](g.caller.HTTP, "http://"+address+procedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(question)
	g.caller.Sign(g.opts.Now(), req.Header(), procedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		g.opts.Scope.Tagged(map[string]string{"procedure": procedure[len(servicePath):]}).Counter("callsFailed").Inc(1)
		g.opts.Log.Debug().Str("peer", address).Str("procedure", procedure).Err(err).Msg("call to another instance failed")
		return nil, err
	}
	return res.Msg, nil
}

// handler answers calls of instances that hold the key.
func (g *Gossip) handler(procedure string, answer func(ctx context.Context, m *Message) *Message) http.Handler {
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, req *connect.Request[Message]) (*connect.Response[Message], error) {
		if err := peerrpc.Check(g.opts.Key, g.opts.Now(), req.Header(), procedure); err != nil {
			return nil, err
		}
		m := answer(ctx, req.Msg)
		m.From = g.self
		return connect.NewResponse(m), nil
	}, peerrpc.HandlerOptions()...)
}

// Serve answers others on the listener until ctx ends.
func (g *Gossip) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(probeProcedure, g.handler(probeProcedure, g.answerProbe))
	mux.Handle(helpProcedure, g.handler(helpProcedure, g.answerHelp))
	mux.Handle(newsProcedure, g.handler(newsProcedure, g.answerNews))
	mux.Handle(syncProcedure, g.handler(syncProcedure, g.answerSync))
	mux.HandleFunc(configurationProcedure, g.serveConfiguration)
	mux.HandleFunc(snapshotProcedure, g.serveSnapshot)
	for path, handler := range g.opts.Handlers {
		mux.Handle(path, handler)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return merry.Prepend(err, "serve instances")
	}
	return nil
}
