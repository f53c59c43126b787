package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/settings"
	standin "pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	clubToken = "club-token"
	shopToken = "shop-token"
)

// fixedConfig is a constant configuration, confirmed or not.
type fixedConfig struct {
	snapshot    *config.Snapshot
	unconfirmed atomic.Bool
}

func (f *fixedConfig) Snapshot() *config.Snapshot              { return f.snapshot }
func (f *fixedConfig) Confirmed(time.Time, time.Duration) bool { return !f.unconfirmed.Load() }

// openPermits permits every request, for the first server of its service.
type openPermits struct {
	config *fixedConfig
	mu     sync.Mutex
	issued int
	ended  []permit.Ending
	tokens int
}

func (p *openPermits) Acquire(_ context.Context, now time.Time, req permit.Request) (permit.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.config.snapshot.ServersByService[req.Service] {
		if !slices.Contains(req.ExcludeServers, s.Name) {
			p.issued++
			return permit.Permit{Server: s.Name, Address: s.Address, Zone: s.Zone, ExpiresAt: now.Add(time.Minute)}, nil
		}
	}
	return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonNoServer, RetryAfter: time.Second}
}

func (p *openPermits) MaySend(now time.Time, issued permit.Permit) bool { return issued.Valid(now) }

func (p *openPermits) ReportBroken(time.Time, permit.Permit) {}

func (p *openPermits) ReleaseLost(_ context.Context, held permit.Permit, o permit.Outcome) {
	p.Release(held, o)
}

func (p *openPermits) Release(_ permit.Permit, o permit.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, o.Ending)
	p.tokens += o.OutputTokens
}

// balanced reports whether each issued permit was released once.
func (p *openPermits) balanced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issued == len(p.ended)
}

type fixedInstances []Instance

func (f fixedInstances) Live() ([]Instance, int64) { return f, 7 }

// fakeService records the requests that it gets.
type fakeService struct {
	mu       sync.Mutex
	requests []service.Request
}

func (s *fakeService) Do(_ context.Context, _ string, req service.Request) (service.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, req)
	return service.Response{Status: 201, Header: []service.Header{{Name: "Location", Value: "/bookings/1"}}, Body: []byte("booked")}, nil
}

func (s *fakeService) calls() []service.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

type fixture struct {
	server   *Server
	url      string
	config   *fixedConfig
	permits  *openPermits
	services *fakeService
	stopped  chan struct{}
}

func testConfig(engineAddress string) *fixedConfig {
	cfg := pollenspindle.Config{
		Limits: pollenspindle.Limits{MaxBodyBytes: 4096, MaxOutputTokens: 1000},
		Zones:  []pollenspindle.Zone{{Name: "a", State: pollenspindle.ZoneInService}},
		Services: []pollenspindle.Service{
			{Name: "briefing", Kind: pollenspindle.ServiceGeneration},
			{Name: "desk", Kind: pollenspindle.ServicePlain, TimeoutSeconds: 10, Routes: []pollenspindle.Route{
				{Method: "GET", PathPrefix: "/", Idempotent: true},
				{Method: "POST", PathPrefix: "/bookings"},
				{Method: "POST", PathPrefix: "/bookings/search", Idempotent: true},
			}},
		},
		Models: []pollenspindle.Model{{Name: "glide-7b", Service: "briefing", ContextTokens: 8000}},
		Servers: []pollenspindle.Server{
			{Name: "engine-1", Service: "briefing", Zone: "a", Address: engineAddress, State: pollenspindle.ServerInService, Models: []string{"glide-7b"}},
			{Name: "desk-1", Service: "desk", Zone: "a", Address: "127.0.0.1:1", State: pollenspindle.ServerInService},
		},
		Workspaces: []pollenspindle.Workspace{
			{Name: "club", TokenSHA256: []string{tokenSum(clubToken)}, Class: pollenspindle.ClassInteractive},
			{Name: "shop", TokenSHA256: []string{tokenSum(shopToken)}, Class: pollenspindle.ClassPatient},
		},
	}
	return &fixedConfig{snapshot: config.NewSnapshot(1, cfg)}
}

// startEngine runs a stand-in engine and returns its address.
func startEngine(t testing.TB, scale float64) string {
	opts := standin.DefaultOptions()
	opts.Models, opts.TimeScale, opts.ColdTime = []string{"glide-7b"}, scale, 0
	ready := make(chan string, 1)
	opts.Ready = func(address string) { ready <- address }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.Run(ctx, opts) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return <-ready
}

func startServer(t testing.TB, cfg *fixedConfig, change ...func(*Options)) *fixture {
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{config: cfg, permits: &openPermits{config: cfg}, services: &fakeService{}, stopped: make(chan struct{})}
	client := engine.NewClient(engine.Options{})
	t.Cleanup(client.Close)
	f.url = "http://" + ln.Addr().String()
	opts := Options{
		Listener: ln, Config: cfg, Permits: f.permits, Engine: relay.NewEngine(client),
		Services:  f.services,
		Instances: fixedInstances{{"i1", "10.0.0.1:80", "a"}, {"i2", "10.0.0.2:80", "b"}, {"i3", "10.0.0.3:80", "b"}},
		Retries:   retry.NewBudgets(rand.New(rand.NewPCG(1, 2))), GenerationKey: bytes.Repeat([]byte{7}, 32),
		Timing:      settings.Timing{StallMillis: 2000, ConfirmMillis: 3000, AddressSeconds: 1, StopSeconds: 60},
		GracePeriod: time.Minute, CallerTracesPerSecond: 1000,
	}
	for _, c := range change {
		c(&opts)
	}
	f.server, err = NewServer(opts)
	require.NoError(t, err)
	go func() {
		defer close(f.stopped)
		_ = f.server.Run(context.Background())
	}()
	t.Cleanup(f.stop)
	require.Eventually(t, func() bool {
		resp, err := http.Get(f.url + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}, time.Minute, 5*time.Millisecond)
	return f
}

// stop shuts the server down without waiting, since the context of the shutdown has ended.
func (f *fixture) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	http.DefaultClient.CloseIdleConnections()
	f.server.Shutdown(ctx)
	<-f.stopped
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) detail(t testing.TB) answer.Detail {
	var b answer.Body
	require.NoError(t, json.Unmarshal(r.body, &b), "%s", r.body)
	return b.Error
}

// request describes a call; a token of "-" sends none.
type request struct {
	method, path, token, body string
	header                    map[string]string
}

func (f *fixture) open(ctx context.Context, t testing.TB, r request) *http.Response {
	if r.method == "" {
		r.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, r.method, f.url+r.path, strings.NewReader(r.body))
	require.NoError(t, err)
	if r.token == "" {
		r.token = clubToken
	}
	if r.token != "-" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	return resp
}

func (f *fixture) do(t testing.TB, r request) reply {
	resp := f.open(t.Context(), t, r)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{resp.StatusCode, resp.Header, body}
}

// event is one server-sent event.
type event struct{ id, kind, data string }

// readEvents reads events until the end of the stream or n of them.
func readEvents(r *bufio.Reader, n int) []event {
	var events []event
	var e event
	for len(events) < n {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			e.id = value
		case "event":
			e.kind = value
		case "data":
			e.data += value
		case "":
			events = append(events, e)
			e = event{}
		}
	}
	return events
}
