package claim

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// Two callers send the same request through two instances at the same time. Runs
// all interleavings with at most two faults, at most one of them a crash: responses
// lost before or after the write, delayed writes, an unavailable platform, a crashed
// instance. Then a third caller retries. The request must take effect at most once,
// every returned result must be that of the effect, and without a crash a key under
// which nothing was sent must be free for the third caller.
func TestAtMostOneEffectInAllInterleavings(t *testing.T) {
	c := &chooser{}
	runs, effects, results := 0, 0, 0
	for more := true; more; more = c.next() {
		s := newSimulation(c)
		s.run(t)
		runs++
		effects += len(s.effects)
		results += s.storedResults
	}
	t.Logf("%d interleavings, %d effects, %d stored results returned", runs, effects, results)
	require.Greater(t, runs, 10_000)
	require.Positive(t, results)
}

// chooser enumerates all sequences of choices, depth first.
type chooser struct {
	path, widths []int
	pos          int
}

func (c *chooser) choose(width int) int {
	if c.pos == len(c.path) {
		c.path, c.widths = append(c.path, 0), append(c.widths, width)
	}
	c.pos++
	return c.path[c.pos-1]
}

// next advances to the next sequence and reports whether there is one.
func (c *chooser) next() bool {
	c.pos = 0
	for i := len(c.path) - 1; i >= 0; i-- {
		if c.path[i]++; c.path[i] < c.widths[i] {
			c.path, c.widths = c.path[:i+1], c.widths[:i+1]
			return true
		}
	}
	return false
}

// outcome is what the scheduler makes of one step of a caller.
type outcome int

const (
	outcomeSuccess outcome = iota
	// outcomeAbandon makes a holder abandon its claim instead of sending.
	outcomeAbandon
	outcomeCrashBefore
	outcomeCrashAfter
	outcomeLostBefore
	outcomeLostAfter
	outcomeDelayed
	outcomeUnavailable
)

var (
	writeOutcomes = []outcome{outcomeSuccess, outcomeCrashBefore, outcomeCrashAfter, outcomeLostBefore, outcomeLostAfter, outcomeDelayed, outcomeUnavailable}
	sendOutcomes  = []outcome{outcomeSuccess, outcomeAbandon, outcomeCrashBefore, outcomeCrashAfter}
)

// cost returns the numbers of faults and crashes that an outcome uses up.
func (o outcome) cost() (faults, crashes int) {
	switch o {
	case outcomeSuccess, outcomeAbandon:
		return 0, 0
	case outcomeCrashBefore, outcomeCrashAfter:
		return 1, 1
	}
	return 1, 0
}

// simulation holds the platform's object, the effects on the backend server and the
// scheduler of the callers' steps.
type simulation struct {
	choices *chooser
	faults  int
	crashes int
	version int64
	object  *objectapi.Object
	// delayedWrites holds writes that haven't reached the platform yet.
	delayedWrites []func()
	// effects holds the attempt of each request that reached the backend server.
	effects       []string
	storedResults int
	callers       []*testCaller
}

// testCaller is one caller and the instance that handles its request.
type testCaller struct {
	sim      *simulation
	store    *Store
	steps    chan []outcome
	outcomes chan outcome
	crashed  bool
	// pending holds the possible outcomes of its next step; nil when it has ended.
	pending []outcome
	result  BeginResult
	// unscheduled makes steps succeed at once, after the scheduled part.
	unscheduled bool
}

func newSimulation(c *chooser) *simulation {
	s := &simulation{choices: c, faults: 2, crashes: 1}
	for range 2 {
		s.callers = append(s.callers, s.newCaller())
	}
	return s
}

func (s *simulation) newCaller() *testCaller {
	c := &testCaller{sim: s, steps: make(chan []outcome), outcomes: make(chan outcome)}
	c.store = NewStore(StoreOptions{
		Objects:     c,
		MaxAttempts: 2,
		Sleep:       func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	return c
}

var testNow = time.Unix(1_000_000, 0)

// sendRequest handles the caller's request as an instance does.
func (c *testCaller) sendRequest(ctx context.Context) {
	defer close(c.steps)
	c.result = c.store.Begin(ctx, testNow, Key{Workspace: "club", Key: "k"}, "print")
	acquired, ok := c.result.(Acquired)
	if !ok {
		return
	}
	o := c.step(sendOutcomes)
	if o == outcomeAbandon {
		c.result = Unavailable{}
		_ = c.store.Abandon(ctx, acquired.Claim)
		return
	}
	if o != outcomeCrashBefore {
		c.sim.effects = append(c.sim.effects, acquired.Claim.Attempt)
	}
	c.exitIfCrashed(o)
	_ = c.store.Finish(ctx, acquired.Claim, Result{Status: 200, Body: []byte(acquired.Claim.Attempt)})
}

func (c *testCaller) step(outcomes []outcome) outcome {
	if c.unscheduled {
		return outcomeSuccess
	}
	c.steps <- outcomes
	return <-c.outcomes
}

func (c *testCaller) exitIfCrashed(o outcome) {
	if o == outcomeCrashBefore || o == outcomeCrashAfter {
		c.crashed = true
		runtime.Goexit()
	}
}

// write makes one conditional write with the outcome that the scheduler chose.
func (c *testCaller) write(kind, name string, version int64, value []byte) (objectapi.Object, error) {
	s := c.sim
	chosen := c.step(writeOutcomes)
	var o objectapi.Object
	var err error
	switch chosen {
	case outcomeCrashBefore, outcomeLostBefore:
	case outcomeDelayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.put(kind, name, version, value) })
	case outcomeUnavailable:
		return o, objectapi.ErrUnavailable
	default:
		o, err = s.put(kind, name, version, value)
	}
	c.exitIfCrashed(chosen)
	if chosen != outcomeSuccess {
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	return o, err
}

func (s *simulation) put(kind, name string, version int64, value []byte) (objectapi.Object, error) {
	var current objectapi.Object
	if s.object != nil {
		current = *s.object
	}
	if current.Version != version {
		return objectapi.Object{}, &objectapi.ConflictError{Current: current}
	}
	s.version++
	s.object = &objectapi.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	return *s.object, nil
}

// Create implements Objects.
func (c *testCaller) Create(_ context.Context, kind, name string, value []byte) (objectapi.Object, error) {
	return c.write(kind, name, 0, value)
}

// Update implements Objects.
func (c *testCaller) Update(_ context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error) {
	return c.write(kind, name, version, value)
}

// Delete implements Objects.
func (c *testCaller) Delete(context.Context, string, string, int64) error {
	panic("claims are deleted by the sweep only")
}

// ListPage implements Objects.
func (c *testCaller) ListPage(context.Context, string, string, int) (objectapi.Page, error) {
	panic("claims are listed by the sweep only")
}

// run runs one interleaving and checks its result.
func (s *simulation) run(t *testing.T) {
	ctx := t.Context()
	for _, c := range s.callers {
		go c.sendRequest(ctx)
		c.pending = <-c.steps
	}
	for s.schedule() {
		continue
	}
	s.deliverDelayed()
	for _, c := range s.callers {
		c.unscheduled = true
		for !c.crashed && c.store.Pending() > 0 {
			c.store.retryUntilDone(ctx, <-c.store.deferred)
		}
	}
	s.deliverDelayed()
	s.check(t)
}

// schedule runs the next step of one caller or delivers a delayed write, and reports
// whether any step was left.
func (s *simulation) schedule() bool {
	type option struct {
		caller  *testCaller
		outcome outcome
	}
	var options []option
	for _, c := range s.callers {
		for _, o := range c.pending {
			faults, crashes := o.cost()
			if faults <= s.faults && crashes <= s.crashes {
				options = append(options, option{c, o})
			}
		}
	}
	if len(options) == 0 {
		return false
	}
	n := s.choices.choose(len(options) + len(s.delayedWrites))
	if n >= len(options) {
		s.deliver(n - len(options))
		return true
	}
	o := options[n]
	faults, crashes := o.outcome.cost()
	s.faults, s.crashes = s.faults-faults, s.crashes-crashes
	o.caller.outcomes <- o.outcome
	o.caller.pending = <-o.caller.steps
	return true
}

func (s *simulation) deliver(i int) {
	f := s.delayedWrites[i]
	s.delayedWrites = append(s.delayedWrites[:i:i], s.delayedWrites[i+1:]...)
	f()
}

// deliverDelayed delivers any subset of the delayed writes.
func (s *simulation) deliverDelayed() {
	for i := len(s.delayedWrites) - 1; i >= 0; i-- {
		if s.choices.choose(2) == 1 {
			s.deliver(i)
		}
	}
}

func (s *simulation) check(t *testing.T) {
	sent, crashed := len(s.effects), false
	for _, c := range s.callers {
		crashed = crashed || c.crashed
		s.checkStoredResult(t, c.result)
	}
	third := s.newCaller()
	third.unscheduled = true
	go third.sendRequest(t.Context())
	<-third.steps
	s.checkStoredResult(t, third.result)
	require.LessOrEqual(t, len(s.effects), 1, "effects")
	if !crashed && sent == 0 {
		require.IsType(t, Acquired{}, third.result, "key must be free again")
	}
	if !crashed && sent == 1 {
		require.IsType(t, Stored{}, third.result, "result must be stored")
	}
}

// checkStoredResult checks that a stored result returned to a caller is that of the
// only effect.
func (s *simulation) checkStoredResult(t *testing.T, a BeginResult) {
	if stored, ok := a.(Stored); ok {
		s.storedResults++
		require.Equal(t, s.effects, []string{string(stored.Result.Body)})
	}
}
