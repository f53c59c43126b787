package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/length"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/router"
	"pollenspindle.example/pollenspindle/internal/suspect"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// decision makes one decision at a size.
type decision struct {
	what, over string
	full       int
	sizes      []int
	at         func(n int) func()
}

var allDecisions = []decision{
	{"owner of a backend server", "instances", fullInstances, instanceSizes, ownerLookup},
	{"choice of candidates", "servers", fullServers, serverSizes, choice},
	{"router: candidates, owner's answer, release", "servers", fullServers, serverSizes, route},
	{"admission: ask, grant, release", "running requests", 32, runningSizes, grantAndRelease},
	{"admission: load report", "running requests", 32, runningSizes, loadReport},
	{"admission: tick with a full queue", "workspaces", fullWorkspaces, workspaceSizes, tickFull},
	{"queue: next and push", "queued", fullQueued, queuedSizes, nextAndPush},
	{"queue: next and push at 1,000 queued", "workspaces", fullWorkspaces, workspaceSizes, nextAndPushOf},
	{"suspects: check", "entries", 4000, suspectSizes, suspectCheck},
	{"suspects: newest for a heartbeat", "entries", 4000, suspectSizes, suspectNewest},
}

// decisions measures time and allocation of one decision each.
func decisions(context.Context, Options) ([]Series, error) {
	var out []Series
	for _, d := range allDecisions {
		times := over(d.what, "µs", d.over, float64(d.full), d.sizes, func(n int) float64 { return micros(d.at(n)) })
		bytes := over(d.what, "bytes allocated", d.over, float64(d.full), d.sizes, func(n int) float64 { return allocated(d.at(n)) })
		out = append(out, times, bytes)
	}
	return out, nil
}

var epochStart = time.Unix(1_000_000, 0)

func ownerLookup(n int) func() {
	r := roster.New(1, firstRoster(instances(n)))
	region := regionName(0)
	i := 0
	return func() {
		i++
		r.Owner(serverNames[i%len(serverNames)], region)
	}
}

// serverNames are made before anything is timed.
var serverNames = func() []string {
	var names []string
	for i := range 256 {
		names = append(names, fmt.Sprintf("engine-%04d", i))
	}
	return names
}()

func choice(n int) func() {
	cfg := fleet(n, 1)
	snap := config.NewSnapshot(1, cfg)
	ring := placement.NewRing(snap.ServersByService[service])
	rng := rand.New(rand.NewPCG(1, 1))
	views := placement.Views{}
	req := &permit.Request{}
	zone := zoneName(0)
	return func() {
		ask := placement.Ask{Hash: rng.Uint64(), Zone: zone, Request: req, Takes: snap.TakesNewWork}
		placement.Choose(epochStart, ring, ask, views, rng)
	}
}

// single is the roster of one instance, so that the router's asks stay in its
// process.
type single struct{ r *roster.Roster }

func (s single) Roster() *roster.Roster             { return s.r }
func (single) NewWorkAllowed(time.Time) bool        { return true }
func (single) CatchUp(context.Context, string) bool { return false }
func (single) Release([]*peerv1.Released)           {}
func (single) Acquire(context.Context, *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
		PermitId: "permit", Epoch: 1, ValidMillis: 2000,
	}}}
}

func route(n int) func() {
	self := instances(1)[0]
	members := single{roster.New(1, firstRoster([]roster.Instance{self}))}
	snap := config.NewSnapshot(1, fleet(n, fullWorkspaces))
	r := router.New(router.Options{
		Self: self, Members: members, Local: members, Config: func() *config.Snapshot { return snap },
		Policy: router.Predicted{}, PermitLifetime: 2 * time.Second,
		Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	ctx := context.Background()
	i := uint64(0)
	return func() {
		i++
		now := time.Now()
		req := permit.Request{
			ID: "request", Service: service, Model: modelName(int(i)), Workspace: "workspace-001",
			Class: pollenspindle.ClassInteractive, PrefixHash: i * 0x9e3779b97f4a7c15, Deadline: now.Add(time.Second),
		}
		if p, err := r.Acquire(ctx, now, req); err == nil {
			r.Release(p, permit.Outcome{Ending: permit.EndingFinished})
		}
	}
}

var engineConfig = admission.Config{
	Name: "engine", ColdLimit: 64, WarmLimit: 64, MemoryTokens: 160000,
	TokenInterval: 42 * time.Millisecond, PermitLifetime: 2 * time.Second, QueueTimeout: time.Hour,
}

func admissionAsk(i int, mayQueue bool) admission.AcquireRequest {
	return admission.AcquireRequest{
		PermitID: fmt.Sprintf("permit-%d", i), Weight: 1, MayQueue: mayQueue,
		Request: permit.Request{
			ID: fmt.Sprintf("request-%d", i), Service: service, Model: modelName(i),
			Workspace: fmt.Sprintf("workspace-%03d", i%fullWorkspaces), Class: pollenspindle.ClassInteractive,
			PromptTokens: 300, MaxTokens: 1000, Deadline: epochStart.Add(time.Hour),
		},
	}
}

func engineReport(running int) admission.Report {
	r := admission.Report{
		Incarnation: "a", MeasuredAt: epochStart, Running: running, Batch: running,
		TokenInterval: 30 * time.Millisecond, Sequences: []admission.Sequence{},
	}
	for i := range running {
		r.Sequences = append(r.Sequences, admission.Sequence{ID: fmt.Sprintf("request-%d", i), Prompt: 300, Output: 100})
	}
	return r
}

// busyServer runs n requests.
func busyServer(n int) *admission.Server {
	s := admission.New(engineConfig, admission.Predicted{}, length.NewEstimator(length.DefaultParams))
	s.Open(epochStart)
	s.ApplyReport(epochStart, engineReport(0))
	for i := range n {
		s.Acquire(epochStart, admissionAsk(i, false))
	}
	s.ApplyReport(epochStart, engineReport(n))
	return s
}

func grantAndRelease(n int) func() {
	s := busyServer(n)
	ask := admissionAsk(n+1, false)
	return func() {
		s.Acquire(epochStart, ask)
		s.Release(epochStart, ask.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 200})
		s.Tick(epochStart)
	}
}

func loadReport(n int) func() {
	s := busyServer(n)
	r := engineReport(n)
	return func() { s.ApplyReport(epochStart, r) }
}

// tickFull looks at a queue of 256 requests of n workspaces behind a server
// that has no room.
func tickFull(n int) func() {
	s := busyServer(engineConfig.WarmLimit)
	for i := range queue.DefaultParams.MaxItems {
		a := admissionAsk(1000+i, true)
		a.Request.Workspace = fmt.Sprintf("workspace-%03d", i%n)
		s.Acquire(epochStart, a)
	}
	return func() { s.Tick(epochStart) }
}

func item(i, workspaces int) *queue.Item {
	return &queue.Item{
		ID: fmt.Sprintf("request-%d", i), Workspace: fmt.Sprintf("workspace-%03d", i%workspaces),
		Class: pollenspindle.ClassInteractive, Weight: 1, Tokens: 500, Deadline: epochStart.Add(24 * time.Hour),
	}
}

func nextAndPush(n int) func() { return queueWith(n, fullWorkspaces) }

func nextAndPushOf(workspaces int) func() { return queueWith(1000, workspaces) }

// queueWith takes the next request out of a queue and pushes it again.
func queueWith(queued, workspaces int) func() {
	params := queue.DefaultParams
	params.MaxItems = queued + 1
	q := queue.New(params)
	for i := range queued {
		_ = q.Push(epochStart, item(i, workspaces))
	}
	return func() {
		next, ok := q.Next(epochStart, func(*queue.Item) bool { return true })
		if ok {
			_ = q.Push(epochStart, next)
		}
	}
}

func suspectTable(n int) *suspect.Table {
	t := suspect.NewTable(suspect.DefaultParams)
	for i := range n {
		t.RecordCrash(epochStart.Add(time.Duration(i)*time.Millisecond), fmt.Sprintf("engine-%d/a", i/10), uint64(i))
	}
	return t
}

func suspectCheck(n int) func() {
	t := suspectTable(n)
	i := uint64(0)
	return func() {
		i++
		t.Check(epochStart, i%uint64(2*n))
	}
}

func suspectNewest(n int) func() {
	t := suspectTable(n)
	return func() { t.Newest(epochStart.Add(time.Minute), 8) }
}
