package ingress

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/streamorigin"
)

// startVersions starts a server before engines llm-1 and llm-2 of the given versions.
func startVersions(t *testing.T, first, second string) (f *fixture, engines [2]*backend) {
	handle := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			_ = json.NewEncoder(w).Encode(dialect.LoadReport{})
			return
		}
		if r.Header.Get("Last-Event-Id") == "5" {
			sendEvents(6, 9, true)(w, r)
			return
		}
		sendEvents(1, 5, true)(w, r)
	}
	engines = [2]*backend{{handle: handle}, {handle: handle}}
	f = startUnconfigured(t, map[string]http.Handler{"llm-1": engines[0], "llm-2": engines[1]})
	for i := range f.servers {
		f.servers[i].Version, f.servers[i].StartedAtMillis = first, 1
		if f.servers[i].ID == "llm-2" {
			f.servers[i].Version = second
		}
	}
	f.configure()
	return f, engines
}

// begin records that a server began the stream of the attempt id-0.
func (f *fixture) begin(service, id, version string) {
	origin := streamorigin.Of(f.clock.now(), &dialect.Server{ID: id, Service: service, Version: version, StartedAtMillis: 1})
	f.opts.Origins.Record(f.t.Context(), streamorigin.Key("club", "id-0"), origin, time.Minute)
}

// Each case guards against a stream that a caller resumes at another version than the one that began it,
// or that is refused although a server of its version serves.
func TestResumedStreamByOrigin(t *testing.T) {
	tests := map[string]struct {
		begin   func(f *fixture)
		resumes string
		status  int
		// server is the engine that goes on, -1 for none.
		server     int
		retryAfter string
	}{
		"version serves":           {func(f *fixture) { f.begin("llm", "llm-2", "v2") }, "id-0", http.StatusOK, 1, ""},
		"its server is gone":       {func(f *fixture) { f.begin("llm", "llm-9", "v2") }, "id-0", http.StatusOK, 1, ""},
		"version is gone":          {func(f *fixture) { f.begin("llm", "llm-9", "v0") }, "id-0", http.StatusServiceUnavailable, -1, ""},
		"another service began it": {func(f *fixture) { f.begin("draft", "draft-1", "v2") }, "id-0", http.StatusServiceUnavailable, -1, ""},
		"unknown attempt":          {func(*fixture) {}, "id-7", http.StatusServiceUnavailable, -1, "0.500"},
		"no attempt named":         {func(f *fixture) { f.begin("llm", "llm-2", "v2") }, "", http.StatusServiceUnavailable, -1, ""},
		"its server has restarted with another version": {func(f *fixture) {
			f.begin("llm", "llm-1", "v1")
			f.restart("llm-1", "v2", f.clock.now().Add(time.Minute))
			f.restart("llm-2", "v1", time.UnixMilli(2))
		}, "id-0", http.StatusOK, 1, ""},
		"its server had restarted with another version before": {func(f *fixture) {
			f.begin("llm", "llm-1", "v1")
			f.restart("llm-1", "v2", f.clock.now().Add(-time.Minute))
		}, "id-0", http.StatusOK, -1, ""},
		"its server is listed as it was before": {func(f *fixture) {
			f.begin("llm", "llm-1", "v2")
			f.restart("llm-1", "v1", time.UnixMilli(0).Add(-time.Hour))
			f.restart("llm-2", "v1", time.UnixMilli(1))
		}, "id-0", http.StatusServiceUnavailable, -1, "1.000"},
		"its server is listed as it was before, another of its version serves": {func(f *fixture) {
			f.begin("llm", "llm-1", "v2")
			f.restart("llm-1", "v1", time.UnixMilli(0).Add(-time.Hour))
		}, "id-0", http.StatusOK, 1, ""},
		"its server isn't listed while the platform is silent": {func(f *fixture) {
			f.clock.advance(platformstate.ServersInterval + 2*platformSilenceMargin)
			f.begin("llm", "llm-9", "v9")
		}, "id-0", http.StatusServiceUnavailable, -1, "1.000"},
		"its server has restarted at about the same time": {func(f *fixture) {
			f.begin("llm", "llm-1", "v1")
			f.restart("llm-1", "v2", f.clock.now())
		}, "id-0", http.StatusServiceUnavailable, -1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f, engines := startVersions(t, "v1", "v2")
			tt.begin(f)
			resp := f.send("POST", "/check/1", "{}", "Last-Event-Id", "5", "T-Resumes", tt.resumes)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, string(body))
			require.Equal(t, tt.retryAfter, resp.Header.Get("Retry-After"))
			runs := engines[0].runCount() + engines[1].runCount()
			if tt.status != http.StatusOK {
				require.Zero(t, runs)
				return
			}
			require.Equal(t, 1, runs)
			require.Equal(t, wantEvents(9)[len(wantEvents(5)):], string(body))
			if tt.server >= 0 {
				require.Equal(t, 1, engines[tt.server].runCount())
			}
		})
	}
}

// Guards against a stream of unknown origin that waits while no server is listed, and goes on at the first one.
func TestStreamOfUnknownOriginWaitsForNoServer(t *testing.T) {
	engine := &backend{handle: sendEvents(6, 9, true)}
	f := startUnconfigured(t, map[string]http.Handler{"llm-1": engine}, func(o *Options) {
		o.Dialect.Fields.Prefix = "T-Parts"
		o.Dialect.DecodePrefix = func(value string) []string { return strings.Split(value, ",") }
		o.Suspects = NewSuspects()
		// Requests with parts wait for news of crashes at first.
		o.Refresh = func(ctx context.Context) bool { <-ctx.Done(); return false }
	})
	f.servers[0].Version = "v2"
	f.state.ReplaceServers(f.clock.now(), 1, nil)
	f.state.ReplaceZones(f.clock.now(), 1, nil)
	f.state.Configure(f.clock.now(), configuration(), nil)
	time.AfterFunc(maxNewsWait/4, func() { f.state.ReplaceServers(f.clock.now(), 2, f.servers) })
	resp := f.send("POST", "/check/1", "{}", "T-Tokens", "300,40", "T-Parts", "a,b", "Last-Event-Id", "5", "T-Resumes", "id-0")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Zero(t, engine.runCount())
}

// restart lists a server as restarted with a version.
func (f *fixture) restart(id, version string, at time.Time) {
	for i := range f.servers {
		if f.servers[i].ID == id {
			f.servers[i].Version, f.servers[i].StartedAtMillis = version, at.UnixMilli()
		}
	}
	known, _ := f.state.Version(platformstate.Servers)
	f.state.ReplaceServers(f.clock.now(), known+1, f.servers)
}

// Guards against a stream that goes on at another service of a route that splits its requests.
func TestResumedStreamKeepsItsService(t *testing.T) {
	events := &backend{handle: sendEvents(6, 9, true)}
	other := &backend{handle: sendEvents(6, 9, true)}
	f := startFixture(t, map[string]http.Handler{"llm-1": events, "next-1": other})
	c := configuration()
	c.Version++
	c.Services = append(c.Services, routes.Service{Name: "next", Engine: c.Services[1].Engine})
	for i := range c.Routes {
		if c.Routes[i].Name == "check" {
			c.Routes[i].Split = []routes.Share{{Service: "llm", Weight: 1}, {Service: "next", Weight: 99}}
		}
	}
	f.state.Configure(f.clock.now(), c, nil)
	f.begin("llm", "llm-1", "")
	for range 8 {
		resp := f.send("POST", "/check/1", "{}", "Last-Event-Id", "5", "T-Resumes", "id-0")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
	}
	require.Zero(t, other.runCount())
}

// Guards against a stream that goes on at an engine that has restarted with another version under its ID
// while the platform is silent, and against refusing all streams then.
func TestResumedStreamWhilePlatformIsSilent(t *testing.T) {
	for name, tt := range map[string]struct {
		startedAt int64
		status    int
	}{
		"same incarnation": {1, http.StatusOK},
		"restarted":        {2, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f, engines := startVersions(t, "v1", "v2")
			rest := engines[1].handle
			engines[1].handle = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/report" {
					_ = json.NewEncoder(w).Encode(dialect.LoadReport{StartedAtMillis: tt.startedAt})
					return
				}
				rest(w, r)
			}
			f.begin("llm", "llm-9", "v2")
			f.clock.advance(platformstate.ServersInterval + 2*platformSilenceMargin)
			resp := f.send("POST", "/check/1", "{}", "Last-Event-Id", "5", "T-Resumes", "id-0")
			_, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Zero(t, engines[0].runCount())
		})
	}
}

// Guards against a stream that goes on at a server that may have restarted with another version under its ID,
// which the list of servers doesn't show, or that isn't listed any more.
func TestBegunStreamAtRestartedServer(t *testing.T) {
	for name, tt := range map[string]struct {
		startedAt int64
		listed    bool
		hasCopy   bool
		plain     bool
		want      bool
	}{
		"listed":                 {startedAt: 1, listed: true, want: true},
		"restarted, listed":      {startedAt: 2, listed: true, want: false},
		"listed, has a copy":     {startedAt: 2, listed: true, hasCopy: true, want: true},
		"restarted, has a copy":  {startedAt: 2, hasCopy: true, want: false},
		"same incarnation":       {startedAt: 1, want: true},
		"restarted":              {startedAt: 2, want: false},
		"has no report":          {startedAt: 1, plain: true, want: false},
		"has no report, listed":  {startedAt: 1, plain: true, listed: true, want: true},
		"reports no incarnation": {startedAt: 0, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, engines := startVersions(t, "v1", "v2")
			engines[1].handle = func(w http.ResponseWriter, r *http.Request) {
				_ = json.NewEncoder(w).Encode(dialect.LoadReport{StartedAtMillis: tt.startedAt})
			}
			engine, _ := f.state.Server("llm-2")
			if !tt.listed {
				known, _ := f.state.Version(platformstate.Servers)
				f.state.ReplaceServers(f.clock.now(), known+1, nil)
			}
			r := &request{service: &routes.Service{Name: "llm"}}
			if !tt.plain {
				r.service.Engine = &routes.Engine{}
			}
			origin := streamorigin.Of(f.clock.now(), &engine.Server)
			r.origin.Store(&origin)
			err := f.confirmIncarnation(t.Context(), r, engine, tt.hasCopy)
			require.Equal(t, tt.want, err == nil, "%v", err)
		})
	}
}
