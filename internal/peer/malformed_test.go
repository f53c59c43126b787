package peer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/peer"
)

// Guards against a failure that counts as the word of a peer though its status isn't one.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{600, 999} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, `{"code":"not_found"}`)
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			t.Cleanup(server.Close)
			pool := peer.NewPool("i1", newKey(t, encodedKey), tally.NoopScope)
			t.Cleanup(pool.Close)
			_, err := sendHeartbeat(t, pool, strings.TrimPrefix(server.URL, "http://"), 10*time.Second)
			require.ErrorIs(t, err, peer.ErrUnreachable)
		})
	}
}
