package ingress

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

// answerMalformed answers with a status that isn't one.
func answerMalformed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 Odd\r\nT-Id: %s\r\nT-Seal: sealed\r\nContent-Length: 4\r\n\r\nbody", r.Header.Get("T-Id"))
}

// Guards against sound requests and parts that are taken for the cause of a crash because their servers sent a
// malformed answer and were replaced then.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	for name, path := range map[string]string{"plain": "/book/1", "stream": "/plan/1", "stream, repeated": "/check/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFixture(t, map[string]http.Handler{
				"desk-1": http.HandlerFunc(answerMalformed), "desk-2": http.HandlerFunc(answerMalformed),
				"llm-1": http.HandlerFunc(answerMalformed), "llm-2": http.HandlerFunc(answerMalformed),
			}, withParts)
			require.Equal(t, http.StatusBadGateway, f.sendUntil(t.Context(), path, "part,own"))
			for i := range f.servers {
				f.servers[i].StartedAtMillis = 2
			}
			f.state.ReplaceServers(f.clock.now(), 3, f.servers)
			require.Never(t, func() bool {
				return f.uncleared("part") > 0 || len(f.opts.Suspects.Newest(f.clock.now())) > 0
			}, restartChecks[0]+5*crashRecheckDelay, 5*time.Millisecond)
			require.Equal(t, crashsuspect.Clear, f.opts.Suspects.checkParts(f.clock.now(), []uint64{crashsuspect.PartKey("llm", "part")}).verdict)
		})
	}
}

// Guards against a request that crashes servers after a malformed answer and isn't found.
func TestCrashAfterMalformedAnswer(t *testing.T) {
	f, servers := startCrashingServers(t, 1, false)
	servers[0].malformed = true
	require.Equal(t, http.StatusBadGateway, f.send("POST", "/book/1", "crash").StatusCode)
	require.Eventually(t, func() bool { return len(f.opts.Suspects.Newest(f.clock.now())) == 1 }, testTimeout, 5*time.Millisecond)
}
