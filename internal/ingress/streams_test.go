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
	"pollenspindle.example/pollenspindle/internal/observed"
)

// events writes events first to last, and ends the stream or breaks it off.
func events(first, last int, whole bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first; id <= last; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
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

// An engine breaks off in the middle of an event. The caller of a stream that
// can't be resumed must see that it isn't whole, and no half event; one that
// can goes on at another engine, each event once.
func TestStreamThatBreaksOff(t *testing.T) {
	t.Run("not resumable", func(t *testing.T) {
		f := start(t, map[string]http.Handler{"llm-1": &backend{how: events(1, 5, false)}, "llm-2": &backend{how: events(1, 5, false)}})
		body, err := io.ReadAll(f.send("POST", "/plan/1", "{}").Body)
		require.Error(t, err)
		require.Equal(t, wantEvents(5), string(body))
	})
	t.Run("resumable", func(t *testing.T) {
		how := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "5" {
				events(6, 9, true)(w, r)
				return
			}
			events(1, 5, false)(w, r)
		}
		f := start(t, map[string]http.Handler{"llm-1": &backend{how: how}, "llm-2": &backend{how: how}})
		body, err := io.ReadAll(f.send("POST", "/check/1", "{}").Body)
		require.NoError(t, err)
		require.Equal(t, wantEvents(9), string(body))
	})
}

// mobile is an engine that can move its run to another.
type mobile struct {
	// vanishes has it end when it is told to stop its run, without an answer;
	// afterwards it says so often that it is at work on an earlier order.
	vanishes bool
	busy     int
	// garbles has it stop its run and answer with bytes that are no answer.
	garbles bool

	stop  chan struct{}
	mu    sync.Mutex
	gone  bool
	moves []dialect.Move
	from  string
}

func (m *mobile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/move":
		var move dialect.Move
		_ = json.NewDecoder(r.Body).Decode(&move)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.moves = append(m.moves, move)
		if move.Last && m.gone && m.busy > 0 {
			m.busy--
			w.WriteHeader(http.StatusConflict)
			return
		}
		if move.Last && m.gone {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if move.Last {
			m.gone = m.vanishes || m.garbles
			close(m.stop)
			m.stop = make(chan struct{})
		}
		if move.Last && m.vanishes {
			panic(http.ErrAbortHandler)
		}
		if move.Last && m.garbles {
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
		m.from = from + " after " + r.Header.Get("Last-Event-Id")
		m.mu.Unlock()
		events(4, 7, true)(w, r)
		return
	}
	m.mu.Lock()
	stop := m.stop
	m.mu.Unlock()
	events(1, 3, true)(w, r)
	<-stop
	panic(http.ErrAbortHandler)
}

// An engine gives notice, in the platform or, while that is silent, in its own
// report, in the middle of a caller's stream. The stream goes on from its
// memory at another engine: each event once, under the first engine's seal.
func TestStreamOutlivesItsEngine(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform silent: %v", silent), func(t *testing.T) {
			a, b := &mobile{stop: make(chan struct{})}, &mobile{stop: make(chan struct{})}
			f := start(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
			if silent {
				f.clock.forward(observed.ServersInterval + platformSilent + time.Second)
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
				for i := range f.list {
					f.list[i].Leaving = f.list[i].ID == at
				}
				f.state.ReplaceServers(f.clock.now(), 2, f.list)
			}
			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
			server, _ := f.state.Server(at)
			require.True(t, server.Leaving)
			require.False(t, source.moves[0].Last)
			require.True(t, source.moves[len(source.moves)-1].Last)
			require.Equal(t, server.Address+"/h1 after 3", target.from)
		})
	}
}

// An engine that leaves is gone when its run, which has been copied, is told to
// stop: the answer is lost, the stream breaks off. It goes on from the copy,
// each event once, as soon as the engine says that it doesn't run it any more;
// while the engine doesn't say so, it mustn't.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	tests := map[string]struct {
		busy    int
		garbles bool
		whole   bool
	}{
		"gone":                        {0, false, true},
		"at work on an earlier order": {2, false, true},
		"at work on it for long":      {100, false, false},
		"its answer makes no sense":   {0, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			engine := func() *mobile {
				return &mobile{stop: make(chan struct{}), vanishes: !tt.garbles, garbles: tt.garbles, busy: tt.busy}
			}
			a, b := engine(), engine()
			f := start(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			at, target := "llm-1", b
			if strings.HasSuffix(resp.Header.Get("T-Seal"), "llm-2") {
				at, target = "llm-2", a
			}
			for i := range f.list {
				f.list[i].Leaving = f.list[i].ID == at
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.list)
			rest, err := io.ReadAll(resp.Body)
			target.mu.Lock()
			defer target.mu.Unlock()
			if !tt.whole {
				require.Error(t, err)
				require.Empty(t, target.from)
				return
			}
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
			server, _ := f.state.Server(at)
			require.Equal(t, server.Address+"/h1 after 3", target.from)
		})
	}
}

// stubborn is an engine that refuses to stop its run and goes on with it to its
// end.
type stubborn struct {
	status int
	// first has the run end before the order to stop is answered.
	first bool

	asked chan struct{}
	once  sync.Once
	ended chan struct{}
}

func (s *stubborn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/move" {
		var move dialect.Move
		_ = json.NewDecoder(r.Body).Decode(&move)
		if !move.Last {
			_, _ = io.WriteString(w, `{"Handle":"h1","Events":3}`)
			return
		}
		s.once.Do(func() { close(s.asked) })
		if s.first {
			<-s.ended
		}
		w.WriteHeader(s.status)
		return
	}
	if r.Method == http.MethodDelete {
		// The copy is given back.
		return
	}
	if r.Header.Get("T-From") != "" {
		refuses(w, r)
		return
	}
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed by "+r.Header.Get("T-Expect"))
	events(1, 3, true)(w, r)
	select {
	case <-s.asked:
	case <-r.Context().Done():
	}
	events(4, 7, true)(w, r)
	close(s.ended)
}

// An engine that leaves is told to stop a run, and refuses: the engine that the
// run was copied to is gone. It goes on with the run to its end. The caller gets
// the whole stream, whether it ends after the refusal or before.
func TestRefusedStopLeavesTheStreamAlone(t *testing.T) {
	tests := map[string]struct {
		status int
		first  bool
	}{
		"target gone":                      {http.StatusServiceUnavailable, false},
		"earlier order":                    {http.StatusConflict, false},
		"the run ends before it answers":   {http.StatusServiceUnavailable, true},
		"the run has ended when it's told": {http.StatusNotFound, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			engine := func() *stubborn {
				return &stubborn{status: tt.status, first: tt.first, asked: make(chan struct{}), ended: make(chan struct{})}
			}
			f := start(t, map[string]http.Handler{"llm-1": engine(), "llm-2": engine()})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			for i := range f.list {
				f.list[i].Leaving = strings.HasSuffix(resp.Header.Get("T-Seal"), f.list[i].ID)
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.list)
			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(three)+string(rest))
		})
	}
}

// A stream's connection has gone silent, and its engine says that it doesn't run
// the request any more. No event can come: the caller is told so by the end of
// its connection, in place of waiting until it gives up itself.
func TestSilentStreamThatIsLostEnds(t *testing.T) {
	forgetful := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/move" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Seal", "sealed")
		events(1, 3, true)(w, r)
		<-r.Context().Done()
	})
	f := start(t, map[string]http.Handler{"llm-1": forgetful, "llm-2": forgetful})
	resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	three := make([]byte, len(wantEvents(3)))
	_, err := io.ReadFull(resp.Body, three)
	require.NoError(t, err)
	f.clock.forward(streamLost)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Something between the instance and an engine has lost track of a stream's
// connection: the engine goes on, new connections to it work, and no event
// comes. The stream goes on from its memory elsewhere, each event once.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	a, b := &mobile{stop: make(chan struct{})}, &mobile{stop: make(chan struct{})}
	f := start(t, map[string]http.Handler{"llm-1": a, "llm-2": b})
	resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
	three := make([]byte, len(wantEvents(3)))
	_, err := io.ReadFull(resp.Body, three)
	require.NoError(t, err)
	f.state.ReplaceServers(f.clock.now().Add(time.Hour), 2, f.list)
	f.clock.forward(streamSilent)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, wantEvents(7), string(three)+string(rest))
}

// The platform is away, and still lists an engine that is gone. A leaving engine
// can't reach it, and says so after a third of a second, each time: copied there
// first, its generations would be cut one after the other. One that refuses at
// once is there, and full.
func TestUnreachableTargetIsRemembered(t *testing.T) {
	tests := map[string]struct {
		takes time.Duration
		want  bool
	}{"gone": {300 * time.Millisecond, true}, "full": {5 * time.Millisecond, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			refused := make(chan struct{})
			var once sync.Once
			engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/move" {
					f.clock.forward(tt.takes)
					w.WriteHeader(http.StatusServiceUnavailable)
					once.Do(func() { close(refused) })
					return
				}
				w.Header().Set("T-Id", r.Header.Get("T-Id"))
				w.Header().Set("T-Seal", "sealed by "+r.Header.Get("T-Expect"))
				events(1, 3, true)(w, r)
				<-refused
				events(4, 7, true)(w, r)
			})
			f = start(t, map[string]http.Handler{"llm-1": engine, "llm-2": engine})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			target := ""
			for i := range f.list {
				f.list[i].Leaving = strings.HasSuffix(resp.Header.Get("T-Seal"), f.list[i].ID)
				if !f.list[i].Leaving {
					target = f.list[i].ID
				}
			}
			f.state.ReplaceServers(f.clock.now(), 2, f.list)
			_, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				return tt.want == (f.opts.Balancer.Failures(f.clock.now(), target) >= distrust)
			}, testTimeout, time.Millisecond)
		})
	}
}
