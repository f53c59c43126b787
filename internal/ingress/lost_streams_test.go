package ingress

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// losingEngines stand for all engines of a service: the first answer is lost, while its engine works on until it is
// told to stop.
type losingEngines struct {
	// stop answers the first requests to stop the generation, the last one all further ones.
	stop []func(w http.ResponseWriter)

	mu      sync.Mutex
	runs    int
	stops   []dialect.MigrationRequest
	working bool
	// overlapped is set if the rest is asked for while the first engine works.
	overlapped  bool
	resumedFrom string
}

func (e *losingEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/move" {
		var req dialect.MigrationRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		e.stops = append(e.stops, req)
		e.stop[min(len(e.stops), len(e.stop))-1](w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "sealed")
	if e.runs++; e.runs == 1 {
		e.working = true
		sendEvents(1, 3, false)(w, r)
	}
	e.overlapped = e.overlapped || e.working
	e.resumedFrom = r.Header.Get("T-From")
	sendEvents(4, 7, true)(w, r)
}

// Each case guards against a generation that goes on at a second engine while the first one, whose connection was
// lost, works on it.
func TestLostStreamIsStoppedBeforeItGoesOn(t *testing.T) {
	e := &losingEngines{}
	stopWith := func(status int, body string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			e.working = e.working && status != http.StatusOK
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	stopped := stopWith(http.StatusOK, `{"Handle":"h1","Events":3}`)
	for name, tt := range map[string]struct {
		stop []func(w http.ResponseWriter)
		// stops is the number of requests to stop the generation; resumes says that it goes on from its KV cache.
		stops   int
		resumes bool
		// cut says that the stream doesn't go on.
		cut bool
	}{
		"stops":                    {stop: []func(http.ResponseWriter){stopped}, stops: 1, resumes: true},
		"is busy, stops later":     {stop: []func(http.ResponseWriter){stopWith(http.StatusConflict, ""), stopped}, stops: 2, resumes: true},
		"goes on, busy all along":  {stop: []func(http.ResponseWriter){stopWith(http.StatusConflict, "")}, cut: true},
		"doesn't know it any more": {stop: []func(http.ResponseWriter){func(w http.ResponseWriter) { e.working = false; w.WriteHeader(http.StatusNotFound) }}, stops: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e = &losingEngines{stop: tt.stop}
			f := startFixture(t, map[string]http.Handler{"llm-1": e, "llm-2": e, "llm-3": e})
			start := time.Now()
			body, err := io.ReadAll(f.send("POST", "/check/1", "{}", "T-Tokens", "3000,400").Body)
			require.Less(t, time.Since(start), 2*cutoverTimeout)
			e.mu.Lock()
			defer e.mu.Unlock()
			require.False(t, e.overlapped)
			require.NotEmpty(t, e.stops)
			for _, req := range e.stops {
				require.True(t, req.Stop)
				require.Equal(t, "id-1", req.RequestID)
			}
			if tt.cut {
				require.Error(t, err)
				require.Equal(t, wantEvents(3), string(body))
				require.Equal(t, 1, e.runs)
				return
			}
			require.NoError(t, err)
			require.Equal(t, wantEvents(7), string(body))
			require.Len(t, e.stops, tt.stops)
			require.Equal(t, tt.resumes, e.resumedFrom != "")
		})
	}
}
