package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const testTimeout = 20 * time.Second

// testDialect has names of its own: the package must work with any.
func testDialect() dialect.Dialect {
	return dialect.Dialect{
		Fields: dialect.Fields{
			RequestID: "T-Id", DeadlineMillis: "T-Deadline", Key: "T-Key", TokenCounts: "T-Tokens", LengthHint: "T-Hint",
			LastEventID: "Last-Event-Id", Workspace: "T-Workspace", ExpectInstance: "T-Expect", Urgency: "T-Urgency",
			CarryFrom: "T-From", Seal: "T-Seal", NotExecuted: "T-Not-Run",
			Internal: []string{"T-Workspace", "T-Expect", "T-Urgency", "T-From", "T-Key", "T-Deadline"},
		},
		Paths: dialect.Paths{Directory: "/where", Ready: "/ready", Report: "/report", Move: "/move", Handle: "/handle"},
		Report: func(body []byte) (r dialect.Report, err error) {
			return r, json.Unmarshal(body, &r)
		},
		Move: func(m dialect.Move) []byte {
			data, _ := json.Marshal(m)
			return data
		},
		Moved: func(body []byte) (m dialect.Moved, err error) {
			if err = json.Unmarshal(body, &m); err == nil && m.Handle == "" {
				err = merry.New("no handle")
			}
			return m, err
		},
		CarryFrom:     func(address, handle string) string { return address + "/" + handle },
		Directory:     func(addresses []string, _ time.Duration) []byte { return []byte(strings.Join(addresses, ",")) },
		DirectoryZone: "zone",
	}
}

// fixture is a server with made-up backend servers.
type fixture struct {
	*Server
	t     *testing.T
	url   string
	state *observed.State
	clock *clock
	list  []dialect.Server
}

// clock is the present time, which tests put forward.
type clock struct {
	mu  sync.Mutex
	add time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.add)
}

func (c *clock) forward(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add += d
}

func configuration() routes.Configuration {
	one := func(name string, kind routes.Kind, service string, attempts int, resumable bool) routes.Route {
		return routes.Route{
			Name: name, Host: "api.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: testTimeout, MaxAttempts: attempts,
			Split: []routes.Share{{Service: service, Weight: 1}}, Resumable: resumable,
		}
	}
	return routes.Configuration{
		Version: 1,
		Routes: []routes.Route{
			one("read", routes.Idempotent, "desk", 2, false), one("book", routes.NonIdempotent, "desk", 1, false),
			one("plan", routes.Stream, "llm", 1, false), one("check", routes.Stream, "llm", 2, true),
		},
		Services: []routes.Service{
			{Name: "desk"}, {Name: "llm", Engine: &routes.Engine{Slots: 24, MemoryTokens: 34000, Moves: true, TokensPerEvent: 4}},
		},
		Workspaces: []routes.Workspace{{Name: "club", Keys: []string{"secret"}}},
	}
}

// logs keeps what a server logs, for the test's output when it fails.
type logs struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logs) show(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Failed() {
		t.Log(l.text.String())
	}
}

// start starts a server that knows its configuration and its backend servers.
func start(t *testing.T, backends map[string]http.Handler) *fixture {
	t.Helper()
	f := startUnknown(t, backends)
	f.learn()
	return f
}

// learn has the server know its configuration and its backend servers.
func (f *fixture) learn() {
	f.state.ReplaceServers(f.clock.now(), 1, f.list)
	f.state.ReplaceZones(f.clock.now(), 1, nil)
	f.state.Configure(f.clock.now(), configuration(), nil)
}

// startUnknown starts a server that knows nothing of the platform yet.
func startUnknown(t *testing.T, backends map[string]http.Handler) *fixture {
	t.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l
	}
	f := &fixture{t: t, state: observed.NewState(), clock: &clock{}}
	callers, rng := listen(), rand.New(rand.NewPCG(1, 2))
	logged := &logs{}
	t.Cleanup(func() { logged.show(t) })
	server, err := NewServer(Options{
		Callers: callers, Ready: listen(), Directory: listen(), Zone: "zone-a", State: f.state, Dialect: testDialect(),
		Balancer:  balancer.New(balancer.ColdLimits{}, rng, nil),
		Retries:   retry.NewBudgets(rng),
		Instances: func() int { return 1 }, Addresses: func(string) []string { return []string{"a"} },
		Grace: 8 * time.Second, Log: zerolog.New(logged), Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Now: f.clock.now,
	})
	require.NoError(t, err)
	f.Server, f.url = server, "http://"+callers.Addr().String()
	for id, handler := range backends {
		h := httptest.NewServer(handler)
		t.Cleanup(h.Close)
		service, _, _ := strings.Cut(id, "-")
		f.list = append(f.list, dialect.Server{ID: id, Service: service, Zone: "zone-a", Slots: 6, Address: strings.TrimPrefix(h.URL, "http://")})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() {
		f.Drain(f.clock.now())
		cancel()
		f.Close()
		<-done
	})
	return f
}

// send sends a request of a caller; fields are pairs of names and values.
func (f *fixture) send(method, path, body string, fields ...string) *http.Response {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "api.example"
	req.Header.Set("T-Id", "id-1")
	req.Header.Set("T-Key", "secret")
	req.Header.Set("T-Deadline", "20000")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// backend answers like a backend server and counts what it ran.
type backend struct {
	mu   sync.Mutex
	runs int
	seen *http.Request
	how  func(w http.ResponseWriter, r *http.Request)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.runs++
	b.seen = r.Clone(context.Background())
	b.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed")
	b.how(w, r)
}

func (b *backend) ran() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

func answers(status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A caller sets fields that are this instance's to set. The server must see the
// caller's workspace and not what the caller would like to be, and not the key.
func TestServerSeesTheCallersRequest(t *testing.T) {
	b := &backend{how: answers(http.StatusOK)}
	f := start(t, map[string]http.Handler{"desk-1": b})
	resp := f.send("POST", "/book/a%2Fb/../c?x=1", "field 3", "T-Workspace", "other", "T-From", "forged", "X-Kept", "1")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	require.Equal(t, "body", string(body))
	require.Equal(t, "sealed", resp.Header.Get("T-Seal"))
	require.Equal(t, "/book/a%2Fb/../c?x=1", b.seen.RequestURI)
	require.Equal(t, "api.example", b.seen.Host)
	for name, want := range map[string]string{"T-Workspace": "club", "T-Expect": "desk-1", "X-Kept": "1", "T-Key": "", "T-From": ""} {
		require.Equal(t, want, b.seen.Header.Get(name), name)
	}
}

// What a caller is told and how often its request runs, by what the servers do.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		path     string
		backends []func(http.ResponseWriter, *http.Request)
		status   int
		most     int
	}{
		"read answered":                {"/read/1", []func(http.ResponseWriter, *http.Request){answers(200)}, 200, 1},
		"read fails everywhere":        {"/read/1", []func(http.ResponseWriter, *http.Request){answers(500), answers(500)}, 500, 2},
		"read lost everywhere":         {"/read/1", []func(http.ResponseWriter, *http.Request){breaks, breaks}, 502, 2},
		"read refused everywhere":      {"/read/1", []func(http.ResponseWriter, *http.Request){refuses, refuses}, 503, 2},
		"booking fails":                {"/book/1", []func(http.ResponseWriter, *http.Request){answers(500), answers(500)}, 500, 1},
		"booking lost":                 {"/book/1", []func(http.ResponseWriter, *http.Request){breaks, breaks}, 502, 1},
		"booking refused everywhere":   {"/book/1", []func(http.ResponseWriter, *http.Request){refuses, refuses}, 503, 2},
		"not found there is passed on": {"/book/1", []func(http.ResponseWriter, *http.Request){answers(404)}, 404, 1},
		"no server":                    {"/read/1", nil, 503, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			all, handlers := []*backend{}, map[string]http.Handler{}
			for i, how := range tt.backends {
				b := &backend{how: how}
				all = append(all, b)
				handlers[fmt.Sprintf("desk-%d", i)] = b
			}
			resp := start(t, handlers).send("GET", tt.path, "")
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.status == 503, resp.Header.Get("Retry-After") != "")
			runs := 0
			for _, b := range all {
				runs += b.ran()
			}
			require.LessOrEqual(t, runs, tt.most)
			if tt.most > 0 {
				require.Positive(t, runs)
			}
		})
	}
}

// One of two servers fails or refuses; its callers are served by the other.
func TestOtherServerTakesOver(t *testing.T) {
	tests := map[string]struct {
		path string
		how  func(http.ResponseWriter, *http.Request)
	}{
		"read, failure":    {"/read/1", answers(500)},
		"read, lost":       {"/read/1", breaks},
		"read, refused":    {"/read/1", refuses},
		"booking, refused": {"/book/1", refuses},
		"read, another's answer": {"/read/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("T-Id", "id-0")
			_, _ = io.WriteString(w, "another's")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			good := &backend{how: answers(200)}
			f := start(t, map[string]http.Handler{"desk-0": &backend{how: tt.how}, "desk-1": good})
			for i := range 6 {
				resp := f.send("GET", tt.path, "")
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, "request %d", i)
				require.Equal(t, "body", string(body))
			}
		})
	}
}

// An instance says that a key or a route doesn't exist only as of a fresh
// configuration: it may be cut off while the key was added.
func TestDeniedOnlyWhenFresh(t *testing.T) {
	f := start(t, map[string]http.Handler{"desk-1": &backend{how: answers(200)}})
	require.Equal(t, http.StatusUnauthorized, f.send("GET", "/read/1", "", "T-Key", "none").StatusCode)
	require.Equal(t, http.StatusNotFound, f.send("GET", "/none/1", "").StatusCode)
	f.clock.forward(denyFresh + time.Second)
	for _, resp := range []*http.Response{f.send("GET", "/read/1", "", "T-Key", "none"), f.send("GET", "/none/1", "")} {
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	require.Equal(t, http.StatusOK, f.send("GET", "/read/1", "").StatusCode)
}

// An instance was told to stop, and callers that know it still come. A stream
// that would be cut at the end of the grace period is refused as not run; what
// is short is served.
func TestLeavingInstanceRefusesWhatItWouldCut(t *testing.T) {
	engine := &backend{how: events(1, 3, true)}
	f := start(t, map[string]http.Handler{"llm-1": engine, "desk-1": &backend{how: answers(200)}})
	f.Drain(f.clock.now())
	long := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	require.Equal(t, http.StatusServiceUnavailable, long.StatusCode)
	require.Equal(t, "0.060", long.Header.Get("Retry-After"))
	short := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "12")
	require.Equal(t, http.StatusServiceUnavailable, short.StatusCode, "an expectation isn't a bound")
	require.Zero(t, engine.ran())
	require.Equal(t, http.StatusOK, f.send("POST", "/check/1", "{}", "T-Tokens", "200,12").StatusCode)
	require.Equal(t, http.StatusOK, f.send("GET", "/read/1", "").StatusCode)
	f.clock.forward(7500 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, f.send("GET", "/read/1", "").StatusCode)
}

// An instance knows no configuration. While it starts, callers are told to come
// back soon; while the platform is away, when it may be back, as many callers
// have one more try only.
func TestRetryAfterWithoutConfiguration(t *testing.T) {
	tests := map[string]struct {
		outage bool
		want   time.Duration
	}{"starting": {want: denyRetryAfter}, "platform away": {outage: true, want: outageRetryAfter}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{opts: Options{State: observed.NewState()}}
			if tt.outage {
				s.opts.State.Lost(time.Now())
			}
			f := answer.Of(s.unready())
			require.Equal(t, answer.OutcomeNotRun, f.Outcome)
			require.Equal(t, tt.want, f.RetryAfter)
		})
	}
}

// Guards against a request to a zone that is taken out, by an instance that starts
// and has the configuration and the servers, but not yet the zones.
func TestStartingInstanceWaitsForZones(t *testing.T) {
	now := time.Now()
	s := &Server{opts: Options{State: observed.NewState(), DenyFresh: denyFresh}, fields: testDialect().Fields}
	code := func() answer.Code {
		_, err := s.read(now, app.NewContext(0))
		return answer.Of(err).Code
	}
	s.opts.State.Configure(now, configuration(), nil)
	s.opts.State.ReplaceServers(now, 1, []dialect.Server{{ID: "desk-1", Service: "desk", Zone: "zone-a"}})
	require.False(t, s.Ready())
	require.Equal(t, answer.CodePlatformDown, code())
	s.opts.State.ReplaceZones(now, 2, []string{"zone-a"})
	require.True(t, s.Ready())
	require.NotEqual(t, answer.CodePlatformDown, code())
}

// An instance is closed before it has begun to serve. It must end all the same.
func TestCloseBeforeRun(t *testing.T) {
	f := start(t, nil)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l
	}
	opts := f.opts
	opts.Callers, opts.Ready, opts.Directory = listen(), listen(), listen()
	s, err := NewServer(opts)
	require.NoError(t, err)
	s.Drain(f.clock.now())
	s.Close()
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { done <- s.Run(ctx) }()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("it serves for ever")
	}
}

// Two lengths of one body, or a second request within it, are refused, and the
// connection ends: what one side takes for a body, another could run.
func TestSmuggledRequests(t *testing.T) {
	head := "POST /book/1 HTTP/1.1\r\nHost: api.example\r\nT-Id: id-1\r\nT-Key: secret\r\n"
	inner := "POST /book/2 HTTP/1.1\r\nHost: api.example\r\nT-Id: id-2\r\nT-Key: secret\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]string{
		"length and chunks":  head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner),
		"chunks and length":  head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner),
		"two lengths":        head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"space before colon": head + fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(inner), inner),
		"folded encoding":    head + fmt.Sprintf("Transfer-Encoding:\r\n chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner),
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var paths []string
			b := &backend{how: func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				paths = append(paths, r.URL.Path)
				mu.Unlock()
				answers(200)(w, r)
			}}
			f := start(t, map[string]http.Handler{"desk-1": b})
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			last := "GET /book/3 HTTP/1.1\r\nHost: api.example\r\nT-Id: id-3\r\nT-Key: secret\r\nConnection: close\r\n\r\n"
			_, err = io.WriteString(conn, raw+last)
			require.NoError(t, err)
			got, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(string(got), "HTTP/1.1 400 "), "%q", got)
			mu.Lock()
			defer mu.Unlock()
			require.Empty(t, paths)
		})
	}
}
