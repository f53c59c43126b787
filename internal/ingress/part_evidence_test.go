package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/trialpeer"
)

const prefixField = "T-Prefix"

// withParts lets a server find the parts of prompts.
func withParts(o *Options) {
	o.Suspects = NewSuspects()
	o.Dialect.Fields.Prefix = prefixField
	o.Dialect.DecodePrefix = func(value string) []string { return strings.Split(value, ",") }
}

// verdict returns what is known of a part of prompts for the engines.
func (f *fixture) verdict(part string) crashsuspect.Verdict {
	return f.opts.Suspects.checkParts(f.clock.now(), []uint64{crashsuspect.PartKey("llm", part)}).verdict
}

// recordCrashes records crashes on a part of prompts, after which it is suspected.
func (f *fixture) recordCrashes(part string) {
	for n := range 2 {
		f.opts.Suspects.recordPartsCrash(f.clock.now(), engineNumber(n), []uint64{crashsuspect.PartKey("llm", part)}, 0, crashsuspect.Progress{})
	}
	require.Equal(f.t, crashsuspect.Suspected, f.verdict(part))
}

// Each case guards against an answer that clears a part of prompts without showing that a server can run it, or
// against one that shows it and doesn't.
func TestOnlyWholeAnswersClearParts(t *testing.T) {
	for name, tt := range map[string]struct {
		path    string
		handle  func(w http.ResponseWriter, r *http.Request)
		cleared bool
	}{
		"whole":                        {"/plan/1", sendEvents(1, 3, true), true},
		"whole, resumable":             {"/check/1", sendEvents(1, 3, true), true},
		"whole, one event":             {"/plan/1", sendEvents(1, 1, true), true},
		"first event, then the end":    {"/plan/1", sendEvents(1, 1, false), false},
		"many events, then the end":    {"/plan/1", sendEvents(1, 30, false), false},
		"the same on resumable routes": {"/check/1", sendEvents(1, 3, false), false},
		"failure":                      {"/plan/1", respondWith(http.StatusInternalServerError), false},
		"failure, resumable":           {"/check/1", respondWith(http.StatusInternalServerError), false},
		"timeout":                      {"/plan/1", respondWith(http.StatusGatewayTimeout), false},
		"denied":                       {"/plan/1", respondWith(http.StatusBadRequest), false},
		"empty stream":                 {"/plan/1", func(http.ResponseWriter, *http.Request) {}, false},
		"head only": {"/plan/1", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, false},
		"comment, no event": {"/plan/1", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, ": ping\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, false},
		"rejected": {"/plan/1", refuseRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, map[string]http.Handler{"llm-1": &backend{handle: tt.handle}, "llm-2": &backend{handle: tt.handle}}, withParts)
			f.recordCrashes("bad")
			resp := f.send("POST", tt.path, "{}", prefixField, "bad,own")
			_, _ = io.Copy(io.Discard, resp.Body)
			want := crashsuspect.Suspected
			if tt.cleared {
				want = crashsuspect.Clear
			}
			require.Equal(t, want, f.verdict("bad"), "status %d", resp.StatusCode)
		})
	}
}

// crashingEngine crashes when it begins to write on a part that is called bad. It answers the first requests
// with failures of its own.
type crashingEngine struct {
	server   *httptest.Server
	failures *atomic.Int64
	crashed  atomic.Bool
	// beforeCrash is called before the engine crashes.
	beforeCrash func()
	// aborts is the number of answers that are broken off before, by an engine that goes on.
	aborts atomic.Int64
	// keepsListener leaves the listener open, as if another process had taken the address.
	keepsListener bool
	// events is the number of events that the engine writes before it crashes.
	events int
	// unframed ends its answers with their connections.
	unframed bool
}

func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed")
	switch {
	case e.failures.Add(-1) >= 0:
		w.WriteHeader(http.StatusInternalServerError)
	case e.aborts.Add(-1) >= 0:
		panic(http.ErrAbortHandler)
	case slices.Contains(strings.Split(r.Header.Get(prefixField), ","), "bad"):
		if e.events > 0 {
			e.writeEvents(w, r)
		}
		e.beforeCrash()
		e.crashed.Store(true)
		if !e.keepsListener {
			_ = e.server.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "id: 1\ndata: e1\n\n")
	}
}

// writeEvents writes the events before a crash.
func (e *crashingEngine) writeEvents(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !e.unframed {
		sendEvents(last+1, last+e.events, true)(w, r)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: sealed\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("T-Id"))
	for id := last + 1; id <= last+e.events; id++ {
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: e%d\n\n", id, id)
	}
	_ = conn.Close()
}

// startCrashingEngines returns a fixture with n engines that crash on a part, after some failures of their own.
func startCrashingEngines(t *testing.T, n, failures int, prepare func(e *crashingEngine)) (*fixture, []*crashingEngine) {
	f := startFixture(t, nil, withParts)
	remaining := &atomic.Int64{}
	remaining.Store(int64(failures))
	var engines []*crashingEngine
	for i := range n {
		e := &crashingEngine{failures: remaining, beforeCrash: func() {}}
		if prepare != nil {
			prepare(e)
		}
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
		engines = append(engines, e)
		f.servers = append(f.servers, dialect.Server{
			ID: fmt.Sprint("llm-", i), Service: "llm", Zone: fmt.Sprint("zone-", i), Slots: 6, StartedAtMillis: 1, Address: strings.TrimPrefix(e.server.URL, "http://"),
		})
	}
	f.state.ReplaceServers(f.clock.now(), 2, f.servers)
	return f, engines
}

// uncleared returns the number of crashes that count against a part.
func (f *fixture) uncleared(part string) int {
	e, _ := f.opts.Suspects.Entry(crashsuspect.PartKey("llm", part))
	return len(e.Uncleared())
}

// Each case guards against the crash of an engine that counts against no part of the request that it was
// about to answer.
func TestCrashCountsAgainstParts(t *testing.T) {
	leave := make(chan context.CancelFunc, 1)
	for name, tt := range map[string]struct {
		path string
		// prompt is the prompt's parts, "bad,own" if it is empty.
		prompt string
		// failures are the answers with a failure before.
		failures int
		prepare  func(f *fixture, e *crashingEngine)
		// known lets the part be suspected before, restarts has the platform list a new incarnation.
		known, restarts bool
		want            int
		// once says that no more crashes than that count.
		once bool
	}{
		"first attempt":                       {path: "/plan/1", want: 1},
		"after the failure of another engine": {path: "/check/1", failures: 1, want: 1},
		"with the first event":                {path: "/plan/1", prepare: func(_ *fixture, e *crashingEngine) { e.events = 1 }, want: 1},
		"with the first event, resumed":       {path: "/check/1", prepare: func(_ *fixture, e *crashingEngine) { e.events = 1 }, want: 2},
		"with the third event":                {path: "/plan/1", prepare: func(_ *fixture, e *crashingEngine) { e.events = 3 }, want: 1},
		"after an event, without framing": {path: "/plan/1", prepare: func(_ *fixture, e *crashingEngine) {
			e.events, e.unframed = 3, true
		}, want: 1},
		"the last part":                        {path: "/plan/1", prompt: "own,bad", want: 1},
		"the only part":                        {path: "/plan/1", prompt: "bad", want: 1},
		"the last part counts once a request":  {path: "/check/1", prompt: "own,bad", prepare: func(_ *fixture, e *crashingEngine) { e.events = 1 }, want: 1, once: true},
		"the address is taken, entry is new":   {path: "/plan/1", prepare: func(_ *fixture, e *crashingEngine) { e.keepsListener = true }, restarts: true, want: 1},
		"the caller leaves as the engine does": {path: "/plan/1", known: true, prepare: func(_ *fixture, e *crashingEngine) { e.beforeCrash = func() { (<-leave)() } }, want: 3},
		"a busy instance has no worker to spare": {path: "/plan/1", prepare: func(f *fixture, _ *crashingEngine) {
			f.workers.Tune(1)
			_ = f.workers.Submit(func() { <-f.t.Context().Done() })
		}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, engines := startCrashingEngines(t, 3, tt.failures, nil)
			if tt.prepare != nil {
				for _, e := range engines {
					tt.prepare(f, e)
				}
			}
			if tt.known {
				f.recordCrashes("bad")
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if tt.known {
				leave <- cancel
			}
			prompt := tt.prompt
			if prompt == "" {
				prompt = "bad,own"
			}
			f.sendUntil(ctx, tt.path, prompt)
			if tt.restarts {
				for i := range f.servers {
					f.servers[i].StartedAtMillis = 2
				}
				f.state.ReplaceServers(f.clock.now(), 3, f.servers)
			}
			require.Eventually(t, func() bool { return f.uncleared("bad") >= tt.want }, testTimeout, 5*time.Millisecond)
			if tt.once {
				require.Never(t, func() bool { return f.uncleared("bad") > tt.want }, 3*crashRecheckDelay, 5*time.Millisecond)
			}
		})
	}
}

// sendUntil sends a request of a caller that leaves when ctx ends.
func (f *fixture) sendUntil(ctx context.Context, path, prompt string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader("{}"))
	require.NoError(f.t, err)
	req.Host = "api.example"
	for name, value := range map[string]string{"T-Id": "id-1", "T-Key": "secret", "T-Deadline": "20000", prefixField: prompt} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against the crash of a server that has broken off an answer a moment before, and was found running.
func TestCrashAfterBrokenAnswer(t *testing.T) {
	f, engines := startCrashingEngines(t, 1, 0, func(e *crashingEngine) { e.aborts.Store(1) })
	f.sendUntil(t.Context(), "/plan/1", "sound,own")
	require.Eventually(t, func() bool { return f.crashes.awaiting.Load() == 1 }, testTimeout, 5*time.Millisecond)
	f.sendUntil(t.Context(), "/plan/1", "bad,own")
	require.Eventually(t, func() bool { return f.uncleared("bad") == 1 }, testTimeout, 5*time.Millisecond)
	require.True(t, engines[0].crashed.Load())
	require.Zero(t, f.uncleared("sound"))
}

// Guards against a request that goes on from the server that it has crashed as the last one allowed to the next.
func TestCrashingReadIsRefusedBetweenAttempts(t *testing.T) {
	f, servers := startCrashingServers(t, 8, false)
	for i := range 4 {
		status := f.send("POST", "/read/1", "crash", "T-Id", fmt.Sprint("crash-", i)).StatusCode
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, status)
	}
	crashed := 0
	for _, s := range servers {
		if s.crashed.Load() {
			crashed++
		}
	}
	require.Equal(t, suspectCrashLimit, crashed)
}

// Guards against requests that were admitted before a part of theirs was known to crash servers, and are sent
// after they have waited.
func TestPartsAreCheckedAfterWaiting(t *testing.T) {
	f, engines := startCrashingEngines(t, 3, 0, nil)
	r := &request{parts: []uint64{crashsuspect.PartKey("llm", "bad")}, service: nil}
	atFirst, past := crashsuspect.Progress{}, crashsuspect.Progress{Events: 10, Running: time.Second}
	require.True(t, f.partsAllowed(r, atFirst), "nothing is known")
	f.recordCrashes("bad")
	f.opts.Trials = &trialpeer.Peer{}
	require.False(t, f.partsAllowed(r, atFirst), "suspected, not tried")
	require.False(t, f.partsAllowed(r, crashsuspect.Progress{Events: 1}), "a run that has only begun")
	require.True(t, f.partsAllowed(r, past), "a run that got past the crashes")
	r.trials.Store(&r.parts)
	require.True(t, f.partsAllowed(r, atFirst), "tried")
	f.opts.Trials = nil
	for n := range 3 {
		f.opts.Suspects.recordPartsCrash(f.clock.now(), engineNumber(10+n), r.parts, r.parts[0], crashsuspect.Progress{})
	}
	require.False(t, f.partsAllowed(r, atFirst), "refused")
	require.False(t, f.partsAllowed(r, past), "refused")
	require.Equal(t, http.StatusServiceUnavailable, f.sendUntil(t.Context(), "/plan/1", "bad,own"))
	for _, e := range engines {
		require.False(t, e.crashed.Load())
	}
}

// Guards against crashes that don't count because another instance, whose clock is ahead, has cleared the part
// before them.
func TestClearingByAFastClockHidesNoLaterCrash(t *testing.T) {
	const part = 1
	start := time.Now()
	for name, ahead := range map[string]time.Duration{"ahead": 2400 * time.Millisecond, "same": 0, "behind": -2400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			a, b := NewSuspects(), NewSuspects()
			a.Broadcast = func(entries []crashsuspect.Entry) { b.Merge(start, entries) }
			b.Broadcast = func(entries []crashsuspect.Entry) { a.Merge(start, entries) }
			for n := range 2 {
				a.recordPartsCrash(start, engineNumber(n), []uint64{part}, 0, crashsuspect.Progress{})
			}
			answeredAt := start.Add(100 * time.Millisecond)
			b.recordPartsRun(answeredAt.Add(ahead), start, []uint64{part}, crashsuspect.Progress{Complete: true})
			for n, s := range []*Suspects{a, b} {
				require.Equal(t, crashsuspect.Clear, s.checkParts(answeredAt, []uint64{part}).verdict, "instance %d", n)
			}
			for n := range 2 {
				a.recordPartsCrash(answeredAt.Add(time.Second), engineNumber(10+n), []uint64{part}, 0, crashsuspect.Progress{})
			}
			for n, s := range []*Suspects{a, b} {
				require.Equal(t, crashsuspect.Suspected, s.checkParts(answeredAt.Add(time.Second), []uint64{part}).verdict, "instance %d", n)
			}
		})
	}
}

// Guards against an answer from before a part turned bad that clears it of the crashes since.
func TestOldAnswerShowsNothing(t *testing.T) {
	const part = 1
	a, b := newSuspectsPair()
	sentAt := time.Now()
	for n := range 2 {
		a.recordPartsCrash(sentAt.Add(-time.Minute), engineNumber(n), []uint64{part}, 0, crashsuspect.Progress{})
	}
	for _, s := range []*Suspects{a, b} {
		s.recordPartsRun(time.Now(), sentAt.Add(-2*time.Minute), []uint64{part}, crashsuspect.Progress{Complete: true})
		require.Equal(t, crashsuspect.Suspected, s.checkParts(time.Now(), []uint64{part}).verdict)
	}
	b.recordPartsRun(time.Now(), sentAt, []uint64{part}, crashsuspect.Progress{Complete: true})
	require.Equal(t, crashsuspect.Suspected, a.checkParts(time.Now(), []uint64{part}).verdict, "b heard of it after it had sent the request")
	b.recordPartsRun(time.Now(), time.Now(), []uint64{part}, crashsuspect.Progress{Complete: true})
	require.Equal(t, crashsuspect.Clear, a.checkParts(time.Now(), []uint64{part}).verdict)
}

// Guards against instances that send what they held as they go on after a pause, before they have asked for
// what others have learned meanwhile.
func TestRequestsWaitForNewsAfterPause(t *testing.T) {
	at := time.Now()
	for name, tt := range map[string]struct {
		ticks    []time.Duration
		informed bool
		now      time.Duration
		behind   bool
	}{
		"runs":                          {[]time.Duration{0, pauseTickInterval}, false, 2 * pauseTickInterval, false},
		"paused, not noticed yet":       {[]time.Duration{0}, false, 2 * maxPauseGap, true},
		"paused":                        {[]time.Duration{0, 2 * maxPauseGap}, false, 2*maxPauseGap + newsPollInterval, true},
		"paused, informed":              {[]time.Duration{0, 2 * maxPauseGap}, true, 2*maxPauseGap + newsPollInterval, false},
		"paused, nobody answers":        {[]time.Duration{0, 2 * maxPauseGap}, false, 2*maxPauseGap + maxNewsWait, false},
		"the clock has gone back":       {[]time.Duration{2 * maxPauseGap, 0}, false, newsPollInterval, false},
		"a moment after a short pause":  {[]time.Duration{0, maxPauseGap}, false, maxPauseGap, false},
		"not started to watch for that": {nil, false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := &resumeGuard{}
			for _, d := range tt.ticks {
				g.tick(at.Add(d))
			}
			if tt.informed {
				g.informed()
			}
			require.Equal(t, tt.behind, g.behind(at.Add(tt.now)))
		})
	}
}

// Guards against a crash that counts once for each request that runs on the server, and against checks that
// dial once for each.
func TestOneCheckForAllRequestsOfAServer(t *testing.T) {
	f, engines := startCrashingEngines(t, 1, 0, nil)
	_ = engines[0].server.Listener.Close()
	server, _ := f.state.Server("llm-0")
	dials := &atomic.Int64{}
	dial := f.opts.Dial
	f.opts.Dial = func(ctx context.Context, address string, timeout time.Duration) (network.Conn, error) {
		dials.Add(1)
		return dial(ctx, address, timeout)
	}
	for i := range 2 * maxLostRequests {
		<-f.reportCrash(platformstate.Server{Server: server.Server}, &request{id: fmt.Sprint(i), fingerprint: uint64(i), parts: []uint64{7}}, httpclient.ErrUnknownOutcome)
	}
	require.EqualValues(t, 1, dials.Load())
	e, _ := f.opts.Suspects.Entry(7)
	require.Len(t, e.Uncleared(), 1)
	require.True(t, f.opts.Suspects.hasCrashed(2*maxLostRequests-1, nil))
}

// Guards against a request that crashes engines in the middle of its answer and is sent on to the next one after
// it was refused.
func TestRefusedStreamDoesNotGoOn(t *testing.T) {
	f, engines := startCrashingEngines(t, 8, 0, func(e *crashingEngine) { e.events = 2 })
	require.Equal(t, http.StatusOK, f.sendUntil(t.Context(), "/check/1", "bad"))
	require.Equal(t, http.StatusServiceUnavailable, f.sendUntil(t.Context(), "/check/1", "bad"))
	crashed := 0
	for _, e := range engines {
		if e.crashed.Load() {
			crashed++
		}
	}
	require.Equal(t, suspectCrashLimit, crashed)
}

// Guards against a whole request that the head of its answer clears of its crashes.
func TestHeadOfLongAnswerClearsNothing(t *testing.T) {
	const crashes = 2
	for name, complete := range map[string]bool{"whole": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, map[string]http.Handler{"desk-1": &backend{handle: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 4<<20))
				_ = http.NewResponseController(w).Flush()
				if !complete {
					panic(http.ErrAbortHandler)
				}
			}}}, func(o *Options) { o.Suspects = NewSuspects() })
			fingerprint := xxhash.Sum64String("club\nPOST /book/1\n{}")
			for n := range crashes {
				f.opts.Suspects.recordCrash(f.clock.now(), engineNumber(n), fingerprint)
			}
			resp := f.send("POST", "/book/1", "{}")
			_, err := io.Copy(io.Discard, resp.Body)
			require.Equal(t, complete, err == nil)
			require.Eventually(t, func() bool {
				e, _ := f.opts.Suspects.Entry(fingerprint)
				return len(e.Crashes) == crashes && (len(e.Uncleared()) == 0) == complete
			}, testTimeout, 5*time.Millisecond)
		})
	}
}
