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

// promised is the time within which a change has to be in force.
const promised = 3 * time.Second

// deployment names what a load asks of a deployment.
type deployment struct {
	workspace, model string
	read, write      string
}

var deployments = map[string]deployment{
	"inyange": {"kigali-flyers", "flight-briefing", "/v1/services/club-desk/rosters/huye", "/v1/services/club-desk/bookings"},
	"mavuno":  {"nairobi-schools", "menu-planner", "/v1/services/orders/stock/greens", "/v1/services/orders/confirmations"},
}

// record is one request as its caller saw it.
type record struct {
	began, ended time.Time
	instance     string
	// key is that of a non-idempotent call; generations have none.
	key     string
	status  int
	stream  *system.Stream
	failure *answer.Detail
	err     error
}

func (r record) served() bool { return r.err == nil && r.failure == nil && r.status == http.StatusOK }

// load sends requests through all instances from many callers at once and
// keeps what they saw.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	all    []record
	// through are the instances that callers draw from.
	through []*system.Instance
}

// request is one kind of request of a load.
type request func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, tag string) record

// startLoad runs workers, each with requests one after the other until Stop.
// Requests under way then are waited for.
// Instances are drawn anew for each, as callers with old answers would.
func startLoad(t *testing.T, s *system.System, d deployment, workers int, instances []*system.Instance, do request) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, through: instances}
	t.Cleanup(func() { l.Stop() })
	for w := range workers {
		l.wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 7))
			c := s.Caller(d.workspace)
			for i := 0; ctx.Err() == nil; i++ {
				in := l.draw(rng)
				began := time.Now()
				r := do(context.Background(), t, c, in, fmt.Sprintf("%s-%d-%d", t.Name(), w, i))
				r.began, r.ended, r.instance = began, time.Now(), in.ID
				l.add(r)
				if !r.served() {
					pause(ctx, 20*time.Millisecond)
				}
			}
		})
	}
	return l
}

func (l *load) draw(rng *rand.Rand) *system.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.through[rng.IntN(len(l.through))]
}

// Through changes the instances that callers draw from.
func (l *load) Through(instances []*system.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.through = append([]*system.Instance(nil), instances...)
}

func pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

func (l *load) add(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// Records returns what was seen so far.
func (l *load) Records() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record(nil), l.all...)
}

// Served counts the whole answers of requests begun after a moment.
func (l *load) Served(after time.Time) int {
	n := 0
	for _, r := range l.Records() {
		if r.served() && r.began.After(after) {
			n++
		}
	}
	return n
}

// Stop ends the load and returns what was seen.
func (l *load) Stop() []record {
	l.cancel()
	l.wg.Wait()
	return l.Records()
}

// generate asks for a streamed generation of at most n tokens and reads it.
func generate(d deployment, n int) request {
	return func(ctx context.Context, t *testing.T, c *system.Caller, in *system.Instance, tag string) record {
		ctx, cancel := context.WithTimeout(ctx, patience)
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

// write sends a non-idempotent call with a key of its own.
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
	ctx, cancel := context.WithTimeout(ctx, patience)
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

// requireSound checks what holds for every record, whatever failed: whole
// answers are whole, and parts of answers are the start of one.
func requireSound(t *testing.T, records []record) {
	t.Helper()
	for _, r := range records {
		if r.served() && r.stream != nil {
			system.RequireCompleteStream(t, r.stream.Tokens)
		}
	}
}

// requireNotRunIsTrue checks refusals and effects against the ledger of the
// plain server: nothing refused as not run has an effect, nothing has two.
func requireNotRunIsTrue(t *testing.T, records []record, ledger service.Ledger) {
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
			require.Zero(t, effects[r.key], "key %s was said not to have run", r.key)
		}
		if r.served() {
			require.Equal(t, 1, effects[r.key], "key %s", r.key)
		}
	}
}

// incarnations returns the start of each model engine. It changes when one
// crashes.
func incarnations(t *testing.T, s *system.System, servers []string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, name := range servers {
		out[name] = s.EngineLedger(t, name).Incarnation
	}
	return out
}

// engines names the model engines, of one availability zone or of all.
func engines(s *system.System, zone string) []string {
	var names []string
	for _, server := range s.Config.Servers {
		if len(server.Models) > 0 && (zone == "" || server.Zone == zone) {
			names = append(names, server.Name)
		}
	}
	return names
}

// arrivals counts the generations that arrived at servers after a moment.
func arrivals(t *testing.T, s *system.System, servers []string, after time.Time) int {
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

// requireServes waits until n further requests were served.
func (l *load) requireServes(t *testing.T, n int) {
	t.Helper()
	from := time.Now()
	require.Eventually(t, func() bool { return l.Served(from) >= n }, patience, pollEach, "%d more requests are not served", n)
}

// lasts waits until d has passed since from: what is checked is that nothing
// happens in that time.
func lasts(t *testing.T, from time.Time, d time.Duration) {
	t.Helper()
	pause(t.Context(), time.Until(from.Add(d)))
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
	}, patience, pollEach, "%s has no owner", server)
	for _, in := range s.Instances {
		if in.ID == owner {
			return in
		}
	}
	require.Fail(t, "owner is no instance", owner)
	return nil
}

// faults sets what goes wrong at the platform.
func faults(t *testing.T, s *system.System, set map[string]any) {
	t.Helper()
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/faults", set)
}
