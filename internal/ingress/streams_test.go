package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// sendEvents sends the events first to last, and then ends the stream or aborts it within an event.
func sendEvents(first, last int, complete bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first; id <= last; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func wantEvents(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", id, id)
	}
	return b.String()
}

// Guards against a partial event or a stream that looks complete when an engine aborts within an
// event. A resumable stream must resume on another engine, with each event once.
func TestStreamAbortedWithinEvent(t *testing.T) {
	t.Run("not resumable", func(t *testing.T) {
		f := startFixture(t, map[string]http.Handler{"llm-1": &backend{handle: sendEvents(1, 5, false)}, "llm-2": &backend{handle: sendEvents(1, 5, false)}})
		body, err := io.ReadAll(f.send("POST", "/plan/1", "{}").Body)
		require.Error(t, err)
		require.Equal(t, wantEvents(5), string(body))
	})
	t.Run("resumable", func(t *testing.T) {
		handle := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "5" {
				sendEvents(6, 9, true)(w, r)
				return
			}
			sendEvents(1, 5, false)(w, r)
		}
		f := startFixture(t, map[string]http.Handler{"llm-1": &backend{handle: handle}, "llm-2": &backend{handle: handle}})
		body, err := io.ReadAll(f.send("POST", "/check/1", "{}").Body)
		require.NoError(t, err)
		require.Equal(t, wantEvents(9), string(body))
	})
}

// migratableEngine is an engine that can migrate its generation.
type migratableEngine struct {
	// abortsOnStop makes the engine exit without an answer when it is asked to stop; afterwards it
	// answers conflicts times that an earlier request is in progress.
	abortsOnStop bool
	conflicts    int
	// garblesResponse makes the engine stop and answer with invalid JSON.
	garblesResponse bool
	// onMigration, if set, is called with each request for a migration.
	onMigration func(dialect.MigrationRequest)

	stop              chan struct{}
	mu                sync.Mutex
	stopped           bool
	migrationRequests []dialect.MigrationRequest
	resumedFrom       string
}

func (m *migratableEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/move":
		var req dialect.MigrationRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.migrationRequests = append(m.migrationRequests, req)
		if m.onMigration != nil {
			m.onMigration(req)
		}
		if req.Stop && m.stopped && m.conflicts > 0 {
			m.conflicts--
			w.WriteHeader(http.StatusConflict)
			return
		}
		if req.Stop && m.stopped {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if req.Stop {
			m.stopped = m.abortsOnStop || m.garblesResponse
			close(m.stop)
			m.stop = make(chan struct{})
		}
		if req.Stop && m.abortsOnStop {
			panic(http.ErrAbortHandler)
		}
		if req.Stop && m.garblesResponse {
			_, _ = io.WriteString(w, `{"Handle":`)
			return
		}
		_, _ = io.WriteString(w, `{"Handle":"h1","Events":3}`)
		return
	case "/report":
		_, _ = io.WriteString(w, `{"Leaving":true}`)
		return
	}
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed by "+r.Header.Get("T-Expect"))
	if from := r.Header.Get("T-From"); from != "" {
		m.mu.Lock()
		m.resumedFrom = from + " after " + r.Header.Get("Last-Event-Id")
		m.mu.Unlock()
		sendEvents(4, 7, true)(w, r)
		return
	}
	m.mu.Lock()
	stop := m.stop
	m.mu.Unlock()
	sendEvents(1, 3, true)(w, r)
	<-stop
	panic(http.ErrAbortHandler)
}

// Guards against a stream that ends with its engine. The engine gives notice through the platform
// or, if the platform is silent, in its load report; the stream must resume on another engine, with
// each event once and the seal of the first engine.
func TestStreamMigratesFromLeavingEngine(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform silent: %v", silent), func(t *testing.T) {
			a, b := &migratableEngine{stop: make(chan struct{})}, &migratableEngine{stop: make(chan struct{})}
			f := startFixture(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
			if silent {
				f.clock.advance(platformstate.ServersInterval + platformSilenceMargin + time.Second)
			}
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			source, target := a, b
			if strings.HasSuffix(resp.Header.Get("T-Seal"), "llm-2") {
				source, target = b, a
			}
			at := "llm-1"
			if source == b {
				at = "llm-2"
			}
			if !silent {
				for i := range f.servers {
					f.servers[i].Leaving = f.servers[i].ID == at
				}
				f.state.ReplaceServers(f.clock.now(), 2, f.servers)
			}
			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
			server, _ := f.state.Server(at)
			require.True(t, server.Leaving)
			require.False(t, source.migrationRequests[0].Stop)
			require.True(t, source.migrationRequests[len(source.migrationRequests)-1].Stop)
			require.Equal(t, server.Address+"/h1 after 3", target.resumedFrom)
		})
	}
}

// Guards against losing or running twice a copied generation whose engine exits when it is asked to
// stop: the stream must resume from the copy, with each event once, but only after the engine no
// longer reports an earlier request in progress.
func TestStreamResumesFromCopy(t *testing.T) {
	tests := map[string]struct {
		conflicts       int
		garblesResponse bool
		complete        bool
	}{
		"engine has exited":                    {0, false, true},
		"earlier request in progress":          {2, false, true},
		"earlier request in progress for long": {100, false, false},
		"invalid response":                     {0, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			engine := func() *migratableEngine {
				return &migratableEngine{stop: make(chan struct{}), abortsOnStop: !tt.garblesResponse, garblesResponse: tt.garblesResponse, conflicts: tt.conflicts}
			}
			a, b := engine(), engine()
			f := startFixture(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			at, target := "llm-1", b
			if strings.HasSuffix(resp.Header.Get("T-Seal"), "llm-2") {
				at, target = "llm-2", a
			}
			for i := range f.servers {
				f.servers[i].Leaving = f.servers[i].ID == at
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.servers)
			rest, err := io.ReadAll(resp.Body)
			target.mu.Lock()
			defer target.mu.Unlock()
			if !tt.complete {
				require.Error(t, err)
				require.Empty(t, target.resumedFrom)
				return
			}
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
			server, _ := f.state.Server(at)
			require.Equal(t, server.Address+"/h1 after 3", target.resumedFrom)
		})
	}
}

// refusingEngine is an engine that refuses to stop its generation and completes it.
type refusingEngine struct {
	status int
	// endsFirst makes the generation end before the request to stop it is answered.
	endsFirst bool

	stopRequested chan struct{}
	once          sync.Once
	ended         chan struct{}
}

func (s *refusingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/move" {
		var req dialect.MigrationRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		if !req.Stop {
			_, _ = io.WriteString(w, `{"Handle":"h1","Events":3}`)
			return
		}
		s.once.Do(func() { close(s.stopRequested) })
		if s.endsFirst {
			<-s.ended
		}
		w.WriteHeader(s.status)
		return
	}
	if r.Method == http.MethodDelete {
		// The copy is freed.
		return
	}
	if r.Header.Get("T-From") != "" {
		refuseRequest(w, r)
		return
	}
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed by "+r.Header.Get("T-Expect"))
	sendEvents(1, 3, true)(w, r)
	select {
	case <-s.stopRequested:
	case <-r.Context().Done():
	}
	sendEvents(4, 7, true)(w, r)
	close(s.ended)
}

// Guards against an incomplete stream when a leaving engine refuses to stop a generation because
// the target engine is gone: the generation ends there, before or after the refusal.
func TestRefusedCutoverKeepsStream(t *testing.T) {
	tests := map[string]struct {
		status    int
		endsFirst bool
	}{
		"target has exited":                       {http.StatusServiceUnavailable, false},
		"earlier request in progress":             {http.StatusConflict, false},
		"generation ends before the answer":       {http.StatusServiceUnavailable, true},
		"generation has ended before the request": {http.StatusNotFound, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			engine := func() *refusingEngine {
				return &refusingEngine{status: tt.status, endsFirst: tt.endsFirst, stopRequested: make(chan struct{}), ended: make(chan struct{})}
			}
			f := startFixture(t, map[string]http.Handler{"llm-1": engine(), "llm-2": engine()})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			for i := range f.servers {
				f.servers[i].Leaving = strings.HasSuffix(resp.Header.Get("T-Seal"), f.servers[i].ID)
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.servers)
			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
		})
	}
}

// Guards against a caller that waits for a stream whose connection is silent and whose engine
// doesn't know the generation any more: the instance must close the caller's connection.
func TestLostSilentStreamIsClosed(t *testing.T) {
	forgetful := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/move" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Seal", "sealed")
		sendEvents(1, 3, true)(w, r)
		<-r.Context().Done()
	})
	f := startFixture(t, map[string]http.Handler{"llm-1": forgetful, "llm-2": forgetful})
	resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	three := make([]byte, len(wantEvents(3)))
	_, err := io.ReadFull(resp.Body, three)
	require.NoError(t, err)
	f.clock.advance(streamLostTimeout)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a stream that hangs on a dead connection while its engine runs and accepts new
// connections: it must resume on another engine, with each event once.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	a, b := &migratableEngine{stop: make(chan struct{})}, &migratableEngine{stop: make(chan struct{})}
	f := startFixture(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
	resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	three := make([]byte, len(wantEvents(3)))
	_, err := io.ReadFull(resp.Body, three)
	require.NoError(t, err)
	f.state.ReplaceServers(f.clock.now().Add(time.Hour), 2, f.servers)
	f.clock.advance(streamStallTimeout)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, wantEvents(7), string(three)+string(rest))
}

// Guards against copying several generations one after the other to an engine that has exited but
// is still listed during a platform outage. The source engine reports it as unreachable after a third of a
// second; an engine that refuses at once is running and full.
func TestUnreachableTargetIsRemembered(t *testing.T) {
	tests := map[string]struct {
		elapsed     time.Duration
		unreachable bool
	}{"exited": {300 * time.Millisecond, true}, "full": {5 * time.Millisecond, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			refused := make(chan struct{})
			var once sync.Once
			engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/move" {
					f.clock.advance(tt.elapsed)
					w.WriteHeader(http.StatusServiceUnavailable)
					once.Do(func() { close(refused) })
					return
				}
				w.Header().Set("T-Id", r.Header.Get("T-Id"))
				w.Header().Set("T-Seal", "sealed by "+r.Header.Get("T-Expect"))
				sendEvents(1, 3, true)(w, r)
				<-refused
				sendEvents(4, 7, true)(w, r)
			})
			f = startFixture(t, map[string]http.Handler{"llm-1": engine, "llm-2": engine})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			target := ""
			for i := range f.servers {
				f.servers[i].Leaving = strings.HasSuffix(resp.Header.Get("T-Seal"), f.servers[i].ID)
				if !f.servers[i].Leaving {
					target = f.servers[i].ID
				}
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.servers)
			_, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				return tt.unreachable == (f.opts.Balancer.Failures(f.clock.now(), target) >= maxRecentFailures)
			}, testTimeout, time.Millisecond)
		})
	}
}

// Guards against resuming on an engine that has asked for a pause since the copy was made.
func TestGenerationIsNotCutOverToPausingEngine(t *testing.T) {
	engines, handlers := map[string]*migratableEngine{}, map[string]http.Handler{}
	for _, id := range []string{"llm-1", "llm-2", "llm-3"} {
		engines[id] = &migratableEngine{stop: make(chan struct{})}
		handlers[id] = engines[id]
	}
	f := startFixture(t, handlers)
	paused := ""
	pauseFirstTarget := func(req dialect.MigrationRequest) {
		for _, s := range f.servers {
			if s.Address == req.Target && paused == "" {
				paused = s.ID
				f.opts.Pauses.Record(f.clock.now(), s.ID, time.Minute)
			}
		}
	}
	for _, e := range engines {
		e.onMigration = pauseFirstTarget
	}
	resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	source := resp.Header.Get("T-Seal")
	for i := range f.servers {
		f.servers[i].Leaving = strings.HasSuffix(source, f.servers[i].ID)
	}
	f.state.ReplaceServers(f.clock.now(), 2, f.servers)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, wantEvents(7), string(body))
	require.NotEmpty(t, paused)
	for id, e := range engines {
		resumes := id != paused && !strings.HasSuffix(source, id)
		require.Equal(t, resumes, e.resumedFrom != "", id)
	}
}
