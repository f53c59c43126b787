// Package outcome_test simulates callers and backend servers around the admission and placement
// code under load and checks the results for callers. The servers are the stand-in's batches on a
// simulated clock; there are no sockets and no goroutines.
package outcome_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/standin/batch"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

var startTime = time.Unix(1_000_000, 0)

// event is an action at a point of simulated time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// call is one request of a caller and its result.
type call struct {
	number       int
	workspace    string
	class        pollenspindle.Class
	prefix       uint64
	promptTokens int
	outputTokens int
	maxTokens    int
	maxWait      time.Duration

	arrivedAt           time.Time
	attempts            int
	server              *node
	permit              admission.Granted
	sentAt              time.Time
	firstTokenLatency   time.Duration
	firstTokenAfterSend time.Duration
	lastTokenAt         time.Time
	tokenIntervals      []float64
	stallTime           time.Duration
	done                bool
	refused             bool
	refusedBy           permit.Reason
}

func (c *call) id() string { return fmt.Sprintf("%d/%d", c.number, c.attempts) }

// node is one simulated backend server.
type node struct {
	server   *pollenspindle.Server
	batch    *batch.Batch
	state    *admission.Server
	slowdown float64
	running  map[string]*call
	stepping bool
	// lastStep is the duration of the latest step, including prefill.
	lastStep    time.Duration
	started     int
	peakRunning int
	preemptions int
	epoch       int
}

// simulation holds the servers, the callers and the simulated clock.
type simulation struct {
	now            time.Time
	queue          events
	seq            int
	rng            *rand.Rand
	policy         policy
	nodes          []*node
	byName         map[string]*node
	ring           *placement.Ring
	views          placement.Views
	drainedZones   map[string]bool
	calls          []*call
	nextNode       int
	stallThreshold time.Duration
}

// policy is a combination of placement and admission.
type policy struct {
	name      string
	admission admission.Policy
	// selectNodes returns the servers to ask, in order; nil means placement.Choose.
	selectNodes func(sim *simulation, c *call) []*node
}

var predicted = policy{name: "predicted", admission: admission.Predicted{}}

func roundRobin(p admission.Policy) policy {
	return policy{name: "roundRobin", admission: p, selectNodes: func(sim *simulation, _ *call) []*node {
		nodes := sim.inService()
		sim.nextNode++
		return nodes[sim.nextNode%len(nodes) : sim.nextNode%len(nodes)+1]
	}}
}

func leastRequests(p admission.Policy) policy {
	return policy{name: "leastRequests", admission: p, selectNodes: func(sim *simulation, _ *call) []*node {
		nodes := sim.inService()
		least := slices.MinFunc(nodes, func(a, b *node) int {
			return a.state.Running() + a.state.Queued() - b.state.Running() - b.state.Queued()
		})
		return []*node{least}
	}}
}

func (sim *simulation) inService() []*node {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return sim.drainedZones[n.server.Zone] })
}

func newSimulation(p policy, servers, cold int, seed uint64) *simulation {
	sim := &simulation{
		now: startTime, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{},
		views: placement.Views{}, drainedZones: map[string]bool{}, stallThreshold: 160 * time.Millisecond,
	}
	lengths := outputlength.NewEstimator(outputlength.DefaultParams)
	var declared []*pollenspindle.Server
	for i := range servers {
		s := &pollenspindle.Server{Name: fmt.Sprint("engine-", i), Zone: fmt.Sprint("zone-", i%3)}
		n := &node{server: s, slowdown: 1, running: map[string]*call{}}
		n.batch = batch.New(batch.DefaultParams())
		n.state = admission.New(admission.Config{
			Name: s.Name, ColdLimit: cold, WarmLimit: 32, MemoryTokens: 16000,
			TokenInterval: 42 * time.Millisecond, PermitLifetime: 2 * time.Second, QueueTimeout: time.Hour,
		}, p.admission, lengths)
		n.state.Open(startTime)
		sim.nodes = append(sim.nodes, n)
		sim.byName[s.Name] = n
		declared = append(declared, s)
		sim.schedule(0, func() { sim.report(n) })
		sim.schedule(0, func() { sim.tick(n) })
	}
	sim.ring = placement.NewRing(declared)
	return sim
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, do: do})
}

// runUntil advances the simulated clock to d after the start.
func (sim *simulation) runUntil(d time.Duration) {
	end := startTime.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// report takes a load report twice per second and applies it 200 ms later.
func (sim *simulation) report(n *node) {
	r := admission.Report{
		Incarnation: fmt.Sprint(n.epoch), MeasuredAt: sim.now, Sequences: []admission.Sequence{},
		Batch: len(n.batch.Running()), TokenInterval: n.lastStep, Preemptions: n.preemptions,
	}
	for _, s := range append(slices.Clone(n.batch.Running()), n.batch.Waiting()...) {
		r.Sequences = append(r.Sequences, admission.Sequence{ID: s.ID, Prompt: s.PromptTokens, Output: s.OutputTokens})
	}
	r.Running = len(r.Sequences)
	sim.schedule(200*time.Millisecond, func() { n.state.ApplyReport(sim.now, r) })
	sim.schedule(500*time.Millisecond, func() { sim.report(n) })
}

func (sim *simulation) tick(n *node) {
	for _, d := range n.state.Tick(sim.now) {
		sim.applyDecision(n, d)
	}
	sim.schedule(20*time.Millisecond, func() { sim.tick(n) })
}

// arrive sends the request of a caller.
func (sim *simulation) arrive(c *call) {
	c.number = len(sim.calls)
	sim.calls = append(sim.calls, c)
	c.arrivedAt = sim.now
	sim.acquire(c)
}

func (sim *simulation) acquire(c *call) {
	c.attempts++
	nodes := sim.selectNodes(c)
	for i, n := range nodes {
		d := n.state.Acquire(sim.now, sim.acquireRequest(c, len(nodes) == 1))
		if unavailable, ok := d.(admission.Unavailable); ok {
			sim.views[n.server.Name] = placement.View{LoadPermille: unavailable.LoadPermille, ObservedAt: sim.now}
			if i+1 < len(nodes) {
				continue
			}
			// All are full: queue at the least loaded one.
			least := slices.MinFunc(nodes, func(a, b *node) int {
				return a.state.LoadPermille(sim.now) - b.state.LoadPermille(sim.now)
			})
			n, d = least, least.state.Acquire(sim.now, sim.acquireRequest(c, true))
		}
		sim.applyDecision(n, d)
		return
	}
}

func (sim *simulation) selectNodes(c *call) []*node {
	if sim.policy.selectNodes != nil {
		return sim.policy.selectNodes(sim, c)
	}
	a := placement.Query{
		Hash: c.prefix, Zone: "zone-0", Request: &permit.Request{},
		Accepts: func(s *pollenspindle.Server) bool { return !sim.drainedZones[s.Zone] },
	}
	var nodes []*node
	for _, s := range placement.Choose(sim.now, sim.ring, a, sim.views, sim.rng) {
		nodes = append(nodes, sim.byName[s.Name])
	}
	return nodes
}

func (sim *simulation) acquireRequest(c *call, mayQueue bool) admission.AcquireRequest {
	id := c.id()
	return admission.AcquireRequest{
		PermitID: id, Weight: 1, MayQueue: mayQueue,
		Request: permit.Request{
			ID: id, Service: "s", Model: "m", Workspace: c.workspace, Class: c.class,
			PromptTokens: c.promptTokens, MaxTokens: c.maxTokens, Deadline: sim.now.Add(c.maxWait),
		},
	}
}

func (sim *simulation) applyDecision(n *node, d admission.Decision) {
	switch d := d.(type) {
	case admission.Granted:
		sim.send(n, d)
	case admission.Refused:
		sim.retryOrRefuse(d)
	case admission.Unavailable:
		// No server has reported yet.
		c := sim.findCall(d.RequestID)
		sim.schedule(d.RetryAfter, func() { sim.acquire(c) })
	}
}

func (sim *simulation) findCall(requestID string) *call {
	var number, tries int
	if _, err := fmt.Sscanf(requestID, "%d/%d", &number, &tries); err != nil {
		panic(err)
	}
	return sim.calls[number]
}

// retryOrRefuse retries the call after the server's RetryAfter, three times at most.
func (sim *simulation) retryOrRefuse(d admission.Refused) {
	c := sim.findCall(d.RequestID)
	if c.attempts < 4 {
		sim.schedule(d.Refusal.RetryAfter, func() { sim.acquire(c) })
		return
	}
	c.refused, c.refusedBy = true, d.Refusal.Reason
}

func (sim *simulation) send(n *node, g admission.Granted) {
	c := sim.findCall(g.RequestID)
	c.server, c.permit, c.sentAt = n, g, sim.now
	n.running[g.RequestID] = c
	n.started++
	n.peakRunning = max(n.peakRunning, len(n.running))
	priority := 0
	if c.class == pollenspindle.ClassPatient {
		priority = 1
	}
	n.batch.Add(&batch.Sequence{ID: g.RequestID, Priority: priority, PromptTokens: c.promptTokens, Length: c.outputTokens})
	if !n.stepping {
		n.stepping = true
		sim.step(n)
	}
}

func (sim *simulation) step(n *node) {
	step := n.batch.Step()
	n.preemptions += len(step.Preempted)
	if len(step.Emitted) == 0 && len(n.batch.Running())+len(n.batch.Waiting()) == 0 {
		n.stepping = false
		return
	}
	d := time.Duration(float64(step.Duration) * n.slowdown)
	n.lastStep = d
	emitted := slices.Clone(step.Emitted)
	sim.schedule(d, func() {
		for _, s := range emitted {
			sim.deliverToken(n, s)
		}
		sim.step(n)
	})
}

func (sim *simulation) deliverToken(n *node, s *batch.Sequence) {
	c := n.running[s.ID]
	if c == nil {
		return
	}
	if c.lastTokenAt.IsZero() {
		c.firstTokenLatency = sim.now.Sub(c.arrivedAt)
		c.firstTokenAfterSend = sim.now.Sub(c.sentAt)
	} else {
		gap := sim.now.Sub(c.lastTokenAt)
		c.tokenIntervals = append(c.tokenIntervals, float64(gap)/float64(time.Millisecond))
		c.stallTime += max(0, gap-sim.stallThreshold)
	}
	c.lastTokenAt = sim.now
	if s.Done() {
		c.done = true
		delete(n.running, s.ID)
		n.state.Release(sim.now, c.permit.PermitID, permit.Outcome{
			Ending: permit.EndingFinished, OutputTokens: s.OutputTokens, FirstToken: c.firstTokenAfterSend,
		})
	}
}

// summary is the result of a run for all callers.
type summary struct {
	Completed, Refused, Preemptions int
	Stall                           time.Duration
	P50, P95, P99                   float64
	FirstTokenP95                   float64
	Goodput                         float64
	Fairness                        float64
}

func (sim *simulation) summary(d time.Duration) summary {
	var out summary
	var gaps, firstTokens []float64
	servedTokens, requestedTokens := map[string]float64{}, map[string]float64{}
	for _, c := range sim.calls {
		gaps = append(gaps, c.tokenIntervals...)
		out.Stall += c.stallTime
		requestedTokens[c.workspace] += float64(c.outputTokens)
		if c.refused {
			out.Refused++
		}
		if c.firstTokenLatency > 0 {
			firstTokens = append(firstTokens, float64(c.firstTokenLatency)/float64(time.Millisecond))
		}
		servedTokens[c.workspace] += float64(len(c.tokenIntervals))
		out.Goodput += float64(len(c.tokenIntervals)) / d.Seconds()
		if c.done {
			out.Completed++
		}
	}
	for _, n := range sim.nodes {
		out.Preemptions += n.preemptions
	}
	out.P50, out.P95, out.P99 = quantile(gaps, 0.5), quantile(gaps, 0.95), quantile(gaps, 0.99)
	out.FirstTokenP95 = quantile(firstTokens, 0.95)
	out.Fairness = jainIndex(servedTokens, requestedTokens)
	return out
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}

// jainIndex returns Jain's fairness index of the share of its requested tokens that each workspace
// received.
func jainIndex(servedTokens, requestedTokens map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for workspace, a := range requestedTokens {
		x := servedTokens[workspace] / math.Max(1, a)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(requestedTokens)) * squares)
}

// newCall returns a request whose output length has the given median and a heavy tail.
func newCall(rng *rand.Rand, workspace string, median float64) *call {
	n := median * math.Exp(0.7*rng.NormFloat64())
	if rng.Float64() < 0.1 {
		n = 2.7 * median * math.Pow(1-rng.Float64(), -1/1.3)
	}
	return &call{
		workspace: workspace, class: pollenspindle.ClassInteractive, prefix: rng.Uint64(),
		promptTokens: 100 + rng.IntN(300), outputTokens: max(1, min(int(n), 8000)), maxTokens: 8000, maxWait: 5 * time.Second,
	}
}

// schedulePoisson schedules the arrivals of requests from make as a Poisson process with rate
// requests per second, from begin to end.
func (sim *simulation) schedulePoisson(rate float64, begin, end time.Duration, make func(rng *rand.Rand) *call) {
	rng := rand.New(rand.NewPCG(uint64(rate*1000), uint64(begin)))
	for at := begin; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > end {
			return
		}
		c := make(rng)
		sim.schedule(at, func() { sim.arrive(c) })
	}
}
