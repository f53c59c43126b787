package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/endless"
)

// unlimited is memory without a limit.
type unlimited struct{}

func (unlimited) Reserve(int) bool { return true }
func (unlimited) Release(int)      {}

// Each case guards against a load report, or the answer to another call of our own, without end.
func TestEndlessAnswersToCalls(t *testing.T) {
	const maxSent = 8 << 20
	answers := endless.Heads("Content-Type: application/json\r\n")
	answers["body"] = &endless.Server{Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "}
	answers["chunks"] = &endless.Server{Begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Repeat: "8\r\n        \r\n"}
	answers["one chunk"] = &endless.Server{Begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", Repeat: " "}
	answers["body of a failure"] = &endless.Server{Begin: "HTTP/1.1 500 Failed\r\n\r\n", Repeat: " "}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(answer)
			t.Cleanup(server.Close)
			client := New(unlimited{}, nil)
			t.Cleanup(client.Close)
			ctx, cancel := context.WithTimeout(t.Context(), endless.Timeout)
			defer cancel()
			begin := time.Now()
			_, _, err := client.Call(ctx, strings.TrimPrefix(server.URL, "http://"), http.MethodGet, "/report", nil)
			require.Error(t, err)
			answer.Wait()
			require.Less(t, time.Since(begin), endless.Timeout)
			require.Less(t, answer.Most(), int64(maxSent))
		})
	}
}
