package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that are moved or cut as stalled while their events wait in the sockets of a process that
// didn't run.
func TestResumedInstanceReadsItsStreams(t *testing.T) {
	const events, paused = 7, 3 * streamLostTimeout
	tests := map[string]func(f *fixture){
		"one pause": func(f *fixture) { f.clock.advance(paused) },
		"a series":  func(f *fixture) { f.clock.advance(paused); <-time.After(2 * scanInterval); f.clock.advance(paused) },
	}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			var moves atomic.Int64
			resumed := make(chan struct{})
			engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/move" {
					moves.Add(1)
					w.WriteHeader(http.StatusNotFound)
					return
				}
				w.Header().Set("T-Id", r.Header.Get("T-Id"))
				w.Header().Set("T-Seal", "sealed")
				sendEvents(1, 3, true)(w, r)
				<-resumed
				sendEvents(4, events, true)(w, r)
			})
			f := startFixture(t, map[string]http.Handler{"llm-1": engine, "llm-2": engine})
			resp := f.send("POST", "/plan/1", "{}", "T-Tokens", "3000,4000", "T-Hint", "900")
			three := make([]byte, len(wantEvents(3)))
			_, err := io.ReadFull(resp.Body, three)
			require.NoError(t, err)
			<-time.After(2 * scanInterval)
			pause(f)
			<-time.After(2 * scanInterval)
			close(resumed)
			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, wantEvents(events), string(three)+string(rest))
			require.Zero(t, moves.Load())
		})
	}
}
