package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unframed answers with neither a length nor chunks, and ends with its connection: with a reset if reset is
// set.
func unframed(body string, reset bool) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: sealed\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("T-Id"), body)
		_ = rw.Flush()
		// The answer is read before the connection ends.
		time.Sleep(30 * time.Millisecond)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Each case guards against an answer without length or chunks that looks complete to the caller although it
// was broken off, or that is taken for broken off although it is whole.
func TestUnframedAnswers(t *testing.T) {
	whole := wantEvents(5)
	inEvent, inLine, withoutBlankLine := whole+"id: 6\ndata: e", whole+"id", strings.TrimSuffix(whole, "\n")
	rest := wantEvents(9)[len(whole):]
	for name, tt := range map[string]struct {
		path string
		// bodies are those of the first and of further requests.
		bodies   [2]string
		reset    bool
		want     string
		complete bool
	}{
		"read":                               {"/read/1", [2]string{"body", "body"}, false, "body", true},
		"read, reset":                        {"/read/1", [2]string{"body", "body"}, true, "", false},
		"booking":                            {"/book/1", [2]string{"body", "body"}, false, "body", true},
		"booking, reset":                     {"/book/1", [2]string{"body", "body"}, true, "", false},
		"large read":                         {"/read/1", [2]string{strings.Repeat("b", 100<<10), ""}, false, strings.Repeat("b", 100<<10), true},
		"large read, reset":                  {"/read/1", [2]string{strings.Repeat("b", 100<<10), strings.Repeat("b", 100<<10)}, true, "", false},
		"stream":                             {"/plan/1", [2]string{whole, ""}, false, whole, true},
		"stream, reset":                      {"/plan/1", [2]string{whole, ""}, true, whole, false},
		"stream ends in an event":            {"/plan/1", [2]string{inEvent, ""}, false, whole, false},
		"stream ends in a line":              {"/plan/1", [2]string{inLine, ""}, false, whole, false},
		"stream ends before the blank line":  {"/plan/1", [2]string{withoutBlankLine, ""}, false, wantEvents(4), false},
		"stream ends in its first event":     {"/plan/1", [2]string{"id: 1\ndata", ""}, false, "", false},
		"stream without an event":            {"/plan/1", [2]string{"", ""}, false, "", false},
		"resumable, without an event":        {"/check/1", [2]string{"", whole}, false, whole, true},
		"resumable, ends in an event":        {"/check/1", [2]string{inEvent, rest}, false, wantEvents(9), true},
		"resumable, no blank line":           {"/check/1", [2]string{withoutBlankLine, "id: 5\ndata: e5\n\n"}, false, whole, true},
		"resumable, ends in its first event": {"/check/1", [2]string{"id: 1\nda", whole}, false, whole, true},
	} {
		t.Run(name, func(t *testing.T) {
			first := true
			f := startFixture(t, nil)
			handle := func(w http.ResponseWriter, r *http.Request) {
				body := tt.bodies[1]
				if first {
					body, first = tt.bodies[0], false
				}
				unframed(body, tt.reset)(w, r)
			}
			f.addServers(handle, "desk-1", "desk-2", "llm-1", "llm-2")
			resp := f.send("POST", tt.path, "{}")
			body, err := io.ReadAll(resp.Body)
			complete := err == nil && resp.StatusCode == http.StatusOK
			require.Equal(t, tt.complete, complete, "status %d, %v", resp.StatusCode, err)
			if resp.StatusCode == http.StatusOK {
				require.Equal(t, tt.want, string(body))
			}
		})
	}
}
