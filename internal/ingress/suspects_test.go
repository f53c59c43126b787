package ingress

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// crashingServer is a server that crashes if the body of a request says so.
type crashingServer struct {
	server  *httptest.Server
	crashed atomic.Bool
	// survives makes the server abort the response and keep running instead, closesLate close its
	// listener a moment after the connection, malformed answer before its end.
	survives, closesLate, malformed bool
}

func (f *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed")
	if !strings.Contains(string(body), "crash") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	switch {
	case f.closesLate:
		f.crashed.Store(true)
		time.AfterFunc(crashRecheckDelay/2, func() { _ = f.server.Listener.Close() })
	case !f.survives:
		f.crashed.Store(true)
		_ = f.server.Listener.Close()
	}
	if f.malformed {
		answerMalformed(w, r)
		return
	}
	panic(http.ErrAbortHandler)
}

// startCrashingServers returns a fixture with n servers of the plain service.
func startCrashingServers(t *testing.T, n int, survives bool) (*fixture, []*crashingServer) {
	f := startFixture(t, nil)
	f.opts.Suspects = NewSuspects()
	servers := make([]*crashingServer, n)
	for i := range servers {
		server := &crashingServer{survives: survives}
		server.server = httptest.NewServer(server)
		t.Cleanup(server.server.Close)
		servers[i] = server
		f.servers = append(f.servers, dialect.Server{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: fmt.Sprintf("zone-%d", i), Slots: 6,
			Address: strings.TrimPrefix(server.server.URL, "http://"),
		})
	}
	f.state.ReplaceServers(f.clock.now(), 2, f.servers)
	return f, servers
}

// Guards against a request that crashes one server after the other because its caller retries.
func TestCrashingRequestIsRefused(t *testing.T) {
	f, servers := startCrashingServers(t, 10, false)
	ended := func() int {
		n := 0
		for _, s := range servers {
			if s.crashed.Load() {
				n++
			}
		}
		return n
	}
	refused := 0
	for i := range 8 {
		resp := f.send("POST", "/book/1", "crash", "T-Id", fmt.Sprint("crash-", i))
		if resp.StatusCode == http.StatusServiceUnavailable {
			require.Equal(t, "30.000", resp.Header.Get("Retry-After"))
			refused++
			continue
		}
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		known := ended()
		require.Eventually(t, func() bool {
			entries := f.opts.Suspects.Newest(f.clock.now())
			return len(entries) > 0 && len(entries[0].Crashes) == known
		}, testTimeout, 5*time.Millisecond)
	}
	require.Equal(t, suspectCrashLimit, ended())
	require.Equal(t, 8-suspectCrashLimit, refused)
	require.Equal(t, http.StatusOK, f.send("POST", "/book/1", "fine").StatusCode, "other requests of the caller are served")
}

// Guards against a crash that isn't seen because the server still accepts a connection right after it has
// closed that of the request.
func TestCrashIsSeenAfterLateClose(t *testing.T) {
	f, servers := startCrashingServers(t, 1, false)
	servers[0].closesLate = true
	require.Equal(t, http.StatusBadGateway, f.send("POST", "/book/1", "crash").StatusCode)
	require.Eventually(t, func() bool { return len(f.opts.Suspects.Newest(f.clock.now())) == 1 }, testTimeout, 5*time.Millisecond)
}

// Guards against refusing a request whose servers aborted the response but are running.
func TestAbortedResponseIsNoCrash(t *testing.T) {
	f, _ := startCrashingServers(t, 4, true)
	for i := range 6 {
		require.Equal(t, http.StatusBadGateway, f.send("POST", "/book/1", "crash", "T-Id", fmt.Sprint("b-", i)).StatusCode)
	}
	require.Empty(t, f.opts.Suspects.Newest(f.clock.now()))
}

// Guards against refusing a request for crashes that other instances saw before it completed.
func TestSuspectIsClearedForAll(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewSuspects(), NewSuspects()
	a.Broadcast = func(entries []crashsuspect.Entry) { b.Merge(now, entries) }
	for i := range suspectCrashLimit {
		a.recordCrash(now, platformstate.Server{Server: dialect.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("zone", i)}}, 7)
	}
	require.Equal(t, crashsuspect.Refused, b.check(now, 7))
	a.clear(now.Add(time.Second), 7)
	require.Equal(t, crashsuspect.Clear, b.check(now.Add(time.Second), 7))
}
