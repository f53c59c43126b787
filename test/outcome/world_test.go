// Package outcome_test drives the decisions under load with small fakes and
// looks at what callers get. The fakes are the stand-in's batches on a made-up
// clock; there are no sockets and no goroutines.
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

var start = time.Unix(1_000_000, 0)

// event is something that happens at a time of the made-up clock.
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

// call is one request of a caller and what came of it.
type call struct {
	number    int
	workspace string
	class     pollenspindle.Class
	prefix    uint64
	prompt    int
	length    int
	bound     int
	wait      time.Duration

	at        time.Time
	tries     int
	server    *node
	permit    admission.Granted
	sentAt    time.Time
	first     time.Duration
	firstSent time.Duration
	last      time.Time
	gaps      []float64
	stalled   time.Duration
	done      bool
	refused   bool
	refusedBy permit.Reason
}

func (c *call) id() string { return fmt.Sprintf("%d/%d", c.number, c.tries) }

// node is one backend server.
type node struct {
	server  *pollenspindle.Server
	batch   *batch.Batch
	state   *admission.Server
	slow    float64
	running map[string]*call
	stepped bool
	// lastStep is how long the latest step took, read prompts included.
	lastStep time.Duration
	started  int
	peak     int
	preempt  int
	epoch    int
}

// world is a fleet, its callers and the clock.
type world struct {
	now     time.Time
	queue   events
	seq     int
	rng     *rand.Rand
	policy  policy
	nodes   []*node
	byName  map[string]*node
	ring    *placement.Ring
	views   placement.Views
	out     map[string]bool
	calls   []*call
	next    int
	stallAt time.Duration
}

// policy is a way of placing and admitting.
type policy struct {
	name      string
	admission admission.Policy
	// place orders the servers to ask; nil is placement.Choose.
	place func(w *world, c *call) []*node
}

var predicted = policy{name: "predicted", admission: admission.Predicted{}}

func roundRobin(p admission.Policy) policy {
	return policy{name: "roundRobin", admission: p, place: func(w *world, _ *call) []*node {
		nodes := w.inService()
		w.next++
		return nodes[w.next%len(nodes) : w.next%len(nodes)+1]
	}}
}

func leastRequests(p admission.Policy) policy {
	return policy{name: "leastRequests", admission: p, place: func(w *world, _ *call) []*node {
		nodes := w.inService()
		least := slices.MinFunc(nodes, func(a, b *node) int {
			return a.state.Running() + a.state.Queued() - b.state.Running() - b.state.Queued()
		})
		return []*node{least}
	}}
}

func (w *world) inService() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return w.out[n.server.Zone] })
}

func newWorld(p policy, servers, cold int, seed uint64) *world {
	w := &world{
		now: start, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{},
		views: placement.Views{}, out: map[string]bool{}, stallAt: 160 * time.Millisecond,
	}
	lengths := outputlength.NewEstimator(outputlength.DefaultParams)
	var declared []*pollenspindle.Server
	for i := range servers {
		s := &pollenspindle.Server{Name: fmt.Sprint("engine-", i), Zone: fmt.Sprint("zone-", i%3)}
		n := &node{server: s, slow: 1, running: map[string]*call{}}
		n.batch = batch.New(batch.DefaultParams())
		n.state = admission.New(admission.Config{
			Name: s.Name, ColdLimit: cold, WarmLimit: 32, MemoryTokens: 16000,
			TokenInterval: 42 * time.Millisecond, PermitLifetime: 2 * time.Second, QueueTimeout: time.Hour,
		}, p.admission, lengths)
		n.state.Open(start)
		w.nodes = append(w.nodes, n)
		w.byName[s.Name] = n
		declared = append(declared, s)
		w.after(0, func() { w.report(n) })
		w.after(0, func() { w.tick(n) })
	}
	w.ring = placement.NewRing(declared)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass up to the end.
func (w *world) run(d time.Duration) {
	end := start.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// report measures now and reports 200 ms later, twice a second.
func (w *world) report(n *node) {
	r := admission.Report{
		Incarnation: fmt.Sprint(n.epoch), MeasuredAt: w.now, Sequences: []admission.Sequence{},
		Batch: len(n.batch.Running()), TokenInterval: n.lastStep, Preemptions: n.preempt,
	}
	for _, s := range append(slices.Clone(n.batch.Running()), n.batch.Waiting()...) {
		r.Sequences = append(r.Sequences, admission.Sequence{ID: s.ID, Prompt: s.PromptTokens, Output: s.OutputTokens})
	}
	r.Running = len(r.Sequences)
	w.after(200*time.Millisecond, func() { n.state.ApplyReport(w.now, r) })
	w.after(500*time.Millisecond, func() { w.report(n) })
}

func (w *world) tick(n *node) {
	for _, d := range n.state.Tick(w.now) {
		w.decided(n, d)
	}
	w.after(20*time.Millisecond, func() { w.tick(n) })
}

// arrive lets a caller send its request.
func (w *world) arrive(c *call) {
	c.number = len(w.calls)
	w.calls = append(w.calls, c)
	c.at = w.now
	w.ask(c)
}

func (w *world) ask(c *call) {
	c.tries++
	nodes := w.place(c)
	for i, n := range nodes {
		d := n.state.Acquire(w.now, w.askOf(c, len(nodes) == 1))
		if no, ok := d.(admission.Unavailable); ok {
			w.views[n.server.Name] = placement.View{LoadPermille: no.LoadPermille, ObservedAt: w.now}
			if i+1 < len(nodes) {
				continue
			}
			// All are full: it waits at the least loaded.
			least := slices.MinFunc(nodes, func(a, b *node) int {
				return a.state.LoadPermille(w.now) - b.state.LoadPermille(w.now)
			})
			n, d = least, least.state.Acquire(w.now, w.askOf(c, true))
		}
		w.decided(n, d)
		return
	}
}

func (w *world) place(c *call) []*node {
	if w.policy.place != nil {
		return w.policy.place(w, c)
	}
	a := placement.Query{
		Hash: c.prefix, Zone: "zone-0", Request: &permit.Request{},
		Accepts: func(s *pollenspindle.Server) bool { return !w.out[s.Zone] },
	}
	var nodes []*node
	for _, s := range placement.Choose(w.now, w.ring, a, w.views, w.rng) {
		nodes = append(nodes, w.byName[s.Name])
	}
	return nodes
}

func (w *world) askOf(c *call, mayQueue bool) admission.AcquireRequest {
	id := c.id()
	return admission.AcquireRequest{
		PermitID: id, Weight: 1, MayQueue: mayQueue,
		Request: permit.Request{
			ID: id, Service: "s", Model: "m", Workspace: c.workspace, Class: c.class,
			PromptTokens: c.prompt, MaxTokens: c.bound, Deadline: w.now.Add(c.wait),
		},
	}
}

func (w *world) decided(n *node, d admission.Decision) {
	switch d := d.(type) {
	case admission.Granted:
		w.send(n, d)
	case admission.Refused:
		w.refuse(d)
	case admission.Unavailable:
		// No server has reported yet.
		c := w.callOf(d.RequestID)
		w.after(d.RetryAfter, func() { w.ask(c) })
	}
}

func (w *world) callOf(requestID string) *call {
	var number, tries int
	if _, err := fmt.Sscanf(requestID, "%d/%d", &number, &tries); err != nil {
		panic(err)
	}
	return w.calls[number]
}

// refuse lets the caller come back when it was told to, three times.
func (w *world) refuse(d admission.Refused) {
	c := w.callOf(d.RequestID)
	if c.tries < 4 {
		w.after(d.Refusal.RetryAfter, func() { w.ask(c) })
		return
	}
	c.refused, c.refusedBy = true, d.Refusal.Reason
}

func (w *world) send(n *node, g admission.Granted) {
	c := w.callOf(g.RequestID)
	c.server, c.permit, c.sentAt = n, g, w.now
	n.running[g.RequestID] = c
	n.started++
	n.peak = max(n.peak, len(n.running))
	priority := 0
	if c.class == pollenspindle.ClassPatient {
		priority = 1
	}
	n.batch.Add(&batch.Sequence{ID: g.RequestID, Priority: priority, PromptTokens: c.prompt, Length: c.length})
	if !n.stepped {
		n.stepped = true
		w.step(n)
	}
}

func (w *world) step(n *node) {
	step := n.batch.Step()
	n.preempt += len(step.Preempted)
	if len(step.Emitted) == 0 && len(n.batch.Running())+len(n.batch.Waiting()) == 0 {
		n.stepped = false
		return
	}
	d := time.Duration(float64(step.Duration) * n.slow)
	n.lastStep = d
	emitted := slices.Clone(step.Emitted)
	w.after(d, func() {
		for _, s := range emitted {
			w.token(n, s)
		}
		w.step(n)
	})
}

func (w *world) token(n *node, s *batch.Sequence) {
	c := n.running[s.ID]
	if c == nil {
		return
	}
	if c.last.IsZero() {
		c.first = w.now.Sub(c.at)
		c.firstSent = w.now.Sub(c.sentAt)
	} else {
		gap := w.now.Sub(c.last)
		c.gaps = append(c.gaps, float64(gap)/float64(time.Millisecond))
		c.stalled += max(0, gap-w.stallAt)
	}
	c.last = w.now
	if s.Done() {
		c.done = true
		delete(n.running, s.ID)
		n.state.Release(w.now, c.permit.PermitID, permit.Outcome{
			Ending: permit.EndingFinished, OutputTokens: s.OutputTokens, FirstToken: c.firstSent,
		})
	}
}

// summary is what callers got.
type summary struct {
	Completed, Refused, Preemptions int
	Stall                           time.Duration
	P50, P95, P99                   float64
	First95                         float64
	Goodput                         float64
	Jain                            float64
}

func (w *world) summary(d time.Duration) summary {
	var out summary
	var gaps, firsts []float64
	tokens, asked := map[string]float64{}, map[string]float64{}
	for _, c := range w.calls {
		gaps = append(gaps, c.gaps...)
		out.Stall += c.stalled
		asked[c.workspace] += float64(c.length)
		if c.refused {
			out.Refused++
		}
		if c.first > 0 {
			firsts = append(firsts, float64(c.first)/float64(time.Millisecond))
		}
		tokens[c.workspace] += float64(len(c.gaps))
		out.Goodput += float64(len(c.gaps)) / d.Seconds()
		if c.done {
			out.Completed++
		}
	}
	for _, n := range w.nodes {
		out.Preemptions += n.preempt
	}
	out.P50, out.P95, out.P99 = quantile(gaps, 0.5), quantile(gaps, 0.95), quantile(gaps, 0.99)
	out.First95 = quantile(firsts, 0.95)
	out.Jain = jain(tokens, asked)
	return out
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}

// jain is the fairness of the served share of what each workspace asked for.
func jain(got, asked map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for w, a := range asked {
		x := got[w] / math.Max(1, a)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(asked)) * squares)
}

// draw makes a request of the given median length with a heavy tail.
func draw(rng *rand.Rand, workspace string, median float64) *call {
	n := median * math.Exp(0.7*rng.NormFloat64())
	if rng.Float64() < 0.1 {
		n = 2.7 * median * math.Pow(1-rng.Float64(), -1/1.3)
	}
	return &call{
		workspace: workspace, class: pollenspindle.ClassInteractive, prefix: rng.Uint64(),
		prompt: 100 + rng.IntN(300), length: max(1, min(int(n), 8000)), bound: 8000, wait: 5 * time.Second,
	}
}

// poisson lets make's calls arrive at rate a second from begin to end.
func (w *world) poisson(rate float64, begin, end time.Duration, make func(rng *rand.Rand) *call) {
	rng := rand.New(rand.NewPCG(uint64(rate*1000), uint64(begin)))
	for at := begin; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > end {
			return
		}
		c := make(rng)
		w.after(at, func() { w.arrive(c) })
	}
}
