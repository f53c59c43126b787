package trialpeer

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/test/endless"
)

// Each case guards against an instance whose answer has no end and takes the memory of others, or keeps them
// waiting.
func TestEndlessAnswersOfInstances(t *testing.T) {
	const maxSent = 16 << 20
	answers := endless.Heads("Content-Type: application/json\r\n")
	answers["body"] = &endless.Server{Begin: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", Repeat: " "}
	answers["body of a failure"] = &endless.Server{Begin: "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\r\n", Repeat: " "}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(answer)
			t.Cleanup(server.Close)
			all, _ := startInstances(t, 1, func(uint64) bool { return false })
			keeper := membership.Record{ID: "endless", Peer: strings.TrimPrefix(server.URL, "http://"), Zone: "zone-1", StartedAt: 1, Change: 1}
			begin := time.Now()
			_, err := all[0].callBegin(t.Context(), keeper, BeginRequest{Part: 1})
			require.Error(t, err)
			answer.Wait()
			require.Less(t, time.Since(begin), endless.Timeout)
			require.Less(t, answer.Most(), int64(maxSent))
		})
	}
}
