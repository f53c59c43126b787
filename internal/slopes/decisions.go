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
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/router"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// decision is a routing decision whose cost is measured. prepare sets it up at size n and
// returns a function that makes it once.
type decision struct {
	name, sizeName string
	designSize     int
	sizes          []int
	prepare        func(n int) func()
}

var decisions = []decision{
	{"owner of a backend server", "instances", designInstances, instanceSizes, ownerLookup},
	{"choice of candidates", "servers", designServers, serverSizes, chooseCandidates},
	{"router: candidates, owner's response, release", "servers", designServers, serverSizes, routeAndRelease},
	{"admission: request, grant, release", "running requests", 32, runningSizes, acquireAndRelease},
	{"admission: load report", "running requests", 32, runningSizes, applyLoadReport},
	{"admission: tick with a full queue", "workspaces", designWorkspaces, workspaceSizes, tickFullQueue},
	{"queue: next and push", "queued", designQueued, queuedSizes, nextAndPush},
	{"queue: next and push at 1,000 queued", "workspaces", designWorkspaces, workspaceSizes, nextAndPushByWorkspaces},
	{"suspects: check", "entries", 4000, suspectSizes, suspectCheck},
	{"suspects: newest for a heartbeat", "entries", 4000, suspectSizes, suspectNewest},
}

// decisionSeries measures the time and the allocations of each decision.
func decisionSeries(context.Context, Options) ([]Series, error) {
	var out []Series
	for _, d := range decisions {
		times := measureSeries(d.name, "µs", d.sizeName, float64(d.designSize), d.sizes, func(n int) float64 { return timeMicros(d.prepare(n)) })
		bytes := measureSeries(d.name, "bytes allocated", d.sizeName, float64(d.designSize), d.sizes, func(n int) float64 { return allocatedBytes(d.prepare(n)) })
		out = append(out, times, bytes)
	}
	return out, nil
}

var baseTime = time.Unix(1_000_000, 0)

func ownerLookup(n int) func() {
	r := roster.New(1, initialRoster(rosterInstances(n)))
	region := regionName(0)
	i := 0
	return func() {
		i++
		r.Owner(serverNames[i%len(serverNames)], region)
	}
}

// serverNames is built before timing starts.
var serverNames = func() []string {
	var names []string
	for i := range 256 {
		names = append(names, fmt.Sprintf("engine-%04d", i))
	}
	return names
}()

func chooseCandidates(n int) func() {
	cfg := fleetConfig(n, 1)
	snap := config.NewSnapshot(1, cfg)
	ring := placement.NewRing(snap.ServersByService[serviceName])
	rng := rand.New(rand.NewPCG(1, 1))
	views := placement.Views{}
	req := &permit.Request{}
	zone := zoneName(0)
	return func() {
		query := placement.Query{Hash: rng.Uint64(), Zone: zone, Request: req, Accepts: snap.AcceptsRequests}
		placement.Choose(baseTime, ring, query, views, rng)
	}
}

// singleMember is a member that is the only instance, so that the router's permit requests stay
// in its process.
type singleMember struct{ r *roster.Roster }

func (s singleMember) Roster() *roster.Roster             { return s.r }
func (singleMember) NewWorkAllowed(time.Time) bool        { return true }
func (singleMember) AwaitResume(context.Context)          {}
func (singleMember) CatchUp(context.Context, string) bool { return false }
func (singleMember) Release([]*peerv1.Released)           {}

func (singleMember) SettleLosses(context.Context, []*peerv1.Released) {}
func (singleMember) Acquire(context.Context, *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
		PermitId: "permit", Epoch: 1, ValidMillis: 2000,
	}}}
}

func routeAndRelease(n int) func() {
	self := rosterInstances(1)[0]
	member := singleMember{roster.New(1, initialRoster([]roster.Instance{self}))}
	snap := config.NewSnapshot(1, fleetConfig(n, designWorkspaces))
	r := router.New(router.Options{
		Self: self, Members: member, Local: member, Config: func() *config.Snapshot { return snap },
		Policy: router.Predicted{}, PermitLifetime: 2 * time.Second,
		Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	ctx := context.Background()
	i := uint64(0)
	return func() {
		i++
		now := time.Now()
		req := permit.Request{
			ID: "request", Service: serviceName, Model: modelName(int(i)), Workspace: "workspace-001",
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

func admissionRequest(i int, mayQueue bool) admission.AcquireRequest {
	return admission.AcquireRequest{
		PermitID: fmt.Sprintf("permit-%d", i), Weight: 1, MayQueue: mayQueue,
		Request: permit.Request{
			ID: fmt.Sprintf("request-%d", i), Service: serviceName, Model: modelName(i),
			Workspace: fmt.Sprintf("workspace-%03d", i%designWorkspaces), Class: pollenspindle.ClassInteractive,
			PromptTokens: 300, MaxTokens: 1000, Deadline: baseTime.Add(time.Hour),
		},
	}
}

func engineReport(running int) admission.Report {
	r := admission.Report{
		Incarnation: "a", MeasuredAt: baseTime, Running: running, Batch: running,
		TokenInterval: 30 * time.Millisecond, Sequences: []admission.Sequence{},
	}
	for i := range running {
		r.Sequences = append(r.Sequences, admission.Sequence{ID: fmt.Sprintf("request-%d", i), Prompt: 300, Output: 100})
	}
	return r
}

// busyServer returns a server that runs n requests.
func busyServer(n int) *admission.Server {
	s := admission.New(engineConfig, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams))
	s.Open(baseTime)
	s.ApplyReport(baseTime, engineReport(0))
	for i := range n {
		s.Acquire(baseTime, admissionRequest(i, false))
	}
	s.ApplyReport(baseTime, engineReport(n))
	return s
}

func acquireAndRelease(n int) func() {
	s := busyServer(n)
	request := admissionRequest(n+1, false)
	return func() {
		s.Acquire(baseTime, request)
		s.Release(baseTime, request.PermitID, permit.Outcome{Ending: permit.EndingFinished, OutputTokens: 200})
		s.Tick(baseTime)
	}
}

func applyLoadReport(n int) func() {
	s := busyServer(n)
	r := engineReport(n)
	return func() { s.ApplyReport(baseTime, r) }
}

// tickFullQueue ticks a server without free slots whose queue holds 256 requests of n
// workspaces.
func tickFullQueue(n int) func() {
	s := busyServer(engineConfig.WarmLimit)
	for i := range queue.DefaultParams.MaxItems {
		a := admissionRequest(1000+i, true)
		a.Request.Workspace = fmt.Sprintf("workspace-%03d", i%n)
		s.Acquire(baseTime, a)
	}
	return func() { s.Tick(baseTime) }
}

func queueItem(i, workspaces int) *queue.Item {
	return &queue.Item{
		ID: fmt.Sprintf("request-%d", i), Workspace: fmt.Sprintf("workspace-%03d", i%workspaces),
		Class: pollenspindle.ClassInteractive, Weight: 1, Tokens: 500, Deadline: baseTime.Add(24 * time.Hour),
	}
}

func nextAndPush(n int) func() { return nextAndPushQueue(n, designWorkspaces) }

func nextAndPushByWorkspaces(workspaces int) func() { return nextAndPushQueue(1000, workspaces) }

// nextAndPushQueue takes the next request out of a queue and pushes it again.
func nextAndPushQueue(queued, workspaces int) func() {
	params := queue.DefaultParams
	params.MaxItems = queued + 1
	q := queue.New(params)
	for i := range queued {
		_ = q.Push(baseTime, queueItem(i, workspaces))
	}
	return func() {
		next, ok := q.Next(baseTime, func(*queue.Item) bool { return true })
		if ok {
			_ = q.Push(baseTime, next)
		}
	}
}

func suspectTable(n int) *crashsuspect.Table {
	t := crashsuspect.NewTable(crashsuspect.DefaultParams)
	for i := range n {
		t.RecordCrash(baseTime.Add(time.Duration(i)*time.Millisecond), fmt.Sprintf("engine-%d/a", i/10), uint64(i))
	}
	return t
}

func suspectCheck(n int) func() {
	t := suspectTable(n)
	i := uint64(0)
	return func() {
		i++
		t.Check(baseTime, i%uint64(2*n))
	}
}

func suspectNewest(n int) func() {
	t := suspectTable(n)
	return func() { t.Newest(baseTime.Add(time.Minute), 8) }
}
