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

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

// fragile is a server that ends with a request whose body says so.
type fragile struct {
	server *httptest.Server
	ended  atomic.Bool
	// survives servers break off the answer and go on.
	survives bool
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed")
	if !strings.Contains(string(body), "crash") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	if !f.survives {
		f.ended.Store(true)
		_ = f.server.Listener.Close()
	}
	panic(http.ErrAbortHandler)
}

// startFragile returns a fixture with servers of the plain service.
func startFragile(t *testing.T, n int, survive bool) (*fixture, []*fragile) {
	f := start(t, nil)
	f.opts.Suspects = NewSuspects()
	servers := make([]*fragile, n)
	for i := range servers {
		one := &fragile{survives: survive}
		one.server = httptest.NewServer(one)
		t.Cleanup(one.server.Close)
		servers[i] = one
		f.list = append(f.list, dialect.Server{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: fmt.Sprintf("zone-%d", i), Slots: 6,
			Address: strings.TrimPrefix(one.server.URL, "http://"),
		})
	}
	f.state.ReplaceServers(f.clock.now(), 2, f.list)
	return f, servers
}

// Guards against a request that ends one server after the other, sent again by its
// caller each time.
func TestCrashingRequestIsRefused(t *testing.T) {
	f, servers := startFragile(t, 10, false)
	ended := func() int {
		n := 0
		for _, s := range servers {
			if s.ended.Load() {
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
	require.Equal(t, suspectCrashes, ended())
	require.Equal(t, 8-suspectCrashes, refused)
	require.Equal(t, http.StatusOK, f.send("POST", "/book/1", "fine").StatusCode, "others of the caller go on")
}

// Guards against refusing a request whose servers broke off an answer and are there.
func TestBrokenOffAnswerIsNoCrash(t *testing.T) {
	f, _ := startFragile(t, 4, true)
	for i := range 6 {
		require.Equal(t, http.StatusBadGateway, f.send("POST", "/book/1", "crash", "T-Id", fmt.Sprint("b-", i)).StatusCode)
	}
	require.Empty(t, f.opts.Suspects.Newest(f.clock.now()))
}

// Guards against refusing a request for crashes that others saw before it was run
// to its end.
func TestSuspectIsClearedForAll(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewSuspects(), NewSuspects()
	a.Tell = func(entries []suspect.Entry) { b.Merge(now, entries) }
	for i := range suspectCrashes {
		a.crash(now, observed.Server{Server: dialect.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("zone", i)}}, 7)
	}
	require.Equal(t, suspect.Refused, b.check(now, 7))
	a.finished(now.Add(time.Second), 7)
	require.Equal(t, suspect.Clear, b.check(now.Add(time.Second), 7))
}
