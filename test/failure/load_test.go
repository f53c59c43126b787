package failure_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/test/system"
)

// propagationLimit is the time within which a change must be in force.
const propagationLimit = 3 * time.Second

// deployment holds the workspace, model and plain calls that the load uses.
type deployment struct {
	workspace, model string
	read, write      string
}

var deployments = map[string]deployment{
	"inyange": {"kigali-flyers", "flight-briefing", "/v1/services/club-desk/rosters/huye", "/v1/services/club-desk/bookings"},
	"mavuno":  {"nairobi-schools", "menu-planner", "/v1/services/orders/stock/greens", "/v1/services/orders/confirmations"},
}

// record is one request as seen by its caller.
type record struct {
	startedAt, endedAt time.Time
	instance           string
	// key is the idempotency key of a call; generations have none.
	key     string
	status  int
	stream  *system.Stream
	failure *answer.Detail
	err     error
}

func (r record) served() bool { return r.err == nil && r.failure == nil && r.status == http.StatusOK }

// load sends requests through all instances from many concurrent callers and records the
// results.
type load struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	records []record
	// instances are those from which callers pick.
	instances []*system.Instance
}

// request sends one kind of request.
type request func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, tag string) record

// startLoad starts workers that each send requests one after the other until Stop, which waits
// for the requests in flight. Each request goes to a random instance, like those of callers that
// still use old addresses.
func startLoad(t *testing.T, s *system.System, d deployment, workers int, instances []*system.Instance, do request) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, instances: instances}
	t.Cleanup(func() { l.Stop() })
	for w := range workers {
		l.wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 7))
			c := s.Caller(d.workspace)
			for i := 0; ctx.Err() == nil; i++ {
				in := l.pickInstance(rng)
				startedAt := time.Now()
				r := do(context.Background(), t, c, in, fmt.Sprintf("%s-%d-%d", t.Name(), w, i))
				r.startedAt, r.endedAt, r.instance = startedAt, time.Now(), in.ID
				l.addRecord(r)
				if !r.served() {
					sleep(ctx, 20*time.Millisecond)
				}
			}
		})
	}
	return l
}

func (l *load) pickInstance(rng *rand.Rand) *system.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances[rng.IntN(len(l.instances))]
}

// SetInstances replaces the instances from which callers pick.
func (l *load) SetInstances(instances []*system.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append([]*system.Instance(nil), instances...)
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

func (l *load) addRecord(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns the records so far.
func (l *load) Records() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record(nil), l.records...)
}

// CountServed returns the number of complete answers to requests started after a point in time.
func (l *load) CountServed(after time.Time) int {
	n := 0
	for _, r := range l.Records() {
		if r.served() && r.startedAt.After(after) {
			n++
		}
	}
	return n
}

// Stop ends the load and returns the records.
func (l *load) Stop() []record {
	l.cancel()
	l.wg.Wait()
	return l.Records()
}

// generate returns a request for a streamed generation of at most n tokens.
func generate(d deployment, n int) request {
	return func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, tag string) record {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout)
		defer cancel()
		st, err := c.Generate(ctx, t, in.Caller, d.model, tag, n)
		if err != nil {
			return record{err: err}
		}
		defer st.Close()
		if st.Failure == nil {
			err = st.Read(0)
		}
		return record{status: st.Status, stream: st, failure: st.Failure, err: err}
	}
}

// write returns a request for a non-idempotent call with a unique key.
func write(d deployment) request {
	return func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, tag string) record {
		return call(ctx, t, c, http.MethodPost, in, d.write, tag, "Idempotency-Key", tag)
	}
}

func read(d deployment) request {
	return func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, _ string) record {
		return call(ctx, t, c, http.MethodGet, in, d.read, "")
	}
}

func call(ctx context.Context, t *testing.T, c *system.Caller, method string, in *system.Instance, path, tag string, header ...string) record {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var body []byte
	if tag != "" {
		body = []byte(fmt.Sprintf("{%q:%q}", "slot", tag))
	}
	reply, err := c.Call(ctx, t, method, in.Caller, path, body, header...)
	r := record{status: reply.Status, err: err, key: tag}
	if err == nil && reply.Status != http.StatusOK {
		f := reply.Failure(t)
		r.failure = &f
	}
	return r
}

// requireCompleteStreams checks that every successful generation is complete.
func requireCompleteStreams(t *testing.T, records []record) {
	t.Helper()
	for _, r := range records {
		if r.served() && r.stream != nil {
			system.RequireCompleteStream(t, r.stream.Tokens)
		}
	}
}

// requireConsistentEffects compares outcomes with the ledger of the plain server: a call reported
// as not run must have no effect, a served one exactly one, and none more than one.
func requireConsistentEffects(t *testing.T, records []record, ledger service.Ledger) {
	t.Helper()
	effects := map[string]int{}
	for _, e := range ledger.Effects {
		effects[e.IdempotencyKey]++
	}
	for _, r := range records {
		if r.key == "" {
			continue
		}
		require.LessOrEqual(t, effects[r.key], 1, "key %s", r.key)
		if r.failure != nil && r.failure.Outcome == answer.OutcomeNotRun {
			require.Zero(t, effects[r.key], "key %s has an effect although its outcome is notRun", r.key)
		}
		if r.served() {
			require.Equal(t, 1, effects[r.key], "key %s", r.key)
		}
	}
}

// incarnations returns the incarnation of each model engine, which changes when the engine
// crashes.
func incarnations(t *testing.T, s *system.System, servers []string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, name := range servers {
		out[name] = s.EngineLedger(t, name).Incarnation
	}
	return out
}

// engineNames returns the names of the model engines in one availability zone, or in all if zone
// is empty.
func engineNames(s *system.System, zone string) []string {
	var names []string
	for _, server := range s.Config.Servers {
		if len(server.Models) > 0 && (zone == "" || server.Zone == zone) {
			names = append(names, server.Name)
		}
	}
	return names
}

// countArrivals returns the number of generations that arrived at servers after a point in time.
func countArrivals(t *testing.T, s *system.System, servers []string, after time.Time) int {
	t.Helper()
	n := 0
	for _, name := range servers {
		for _, g := range s.EngineLedger(t, name).Generations {
			if g.ArrivedAt.After(after) {
				n++
			}
		}
	}
	return n
}

// waitServed waits until n further requests have been served.
func (l *load) waitServed(t *testing.T, n int) {
	t.Helper()
	from := time.Now()
	require.Eventually(t, func() bool { return l.CountServed(from) >= n }, waitTimeout, pollInterval, "%d more requests were not served", n)
}

// waitElapsed waits until d has passed since from, for checks that nothing happens in that time.
func waitElapsed(t *testing.T, from time.Time, d time.Duration) {
	t.Helper()
	sleep(t.Context(), time.Until(from.Add(d)))
}

// ownerOf returns the instance that owns a backend server.
func ownerOf(t *testing.T, s *system.System, server string) *system.Instance {
	t.Helper()
	owner := ""
	require.Eventually(t, func() bool {
		servers, err := s.OperatorClient(t, s.Instances[0]).Servers(t.Context())
		if err != nil {
			return false
		}
		for _, v := range servers.Servers {
			if v.Name == server {
				owner = v.Status.Owner
			}
		}
		return owner != ""
	}, waitTimeout, pollInterval, "%s has no owner", server)
	for _, in := range s.Instances {
		if in.ID == owner {
			return in
		}
	}
	require.Fail(t, "owner is not an instance", owner)
	return nil
}

// putPlatformFaults sets the faults of the platform.
func putPlatformFaults(t *testing.T, s *system.System, set map[string]any) {
	t.Helper()
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/faults", set)
}
