package failure_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// TestMisroutedResponses checks that callers of several workspaces get only their own answers when
// engines answer each third request with another caller's stream, and the plain server repeats
// each response a moment later, when the connection may carry another caller's request. Engine
// answers name their request, and a connection to a plain server carries one exchange only.
func TestMisroutedResponses(t *testing.T) {
	s := start(t, system.Options{
		TimeScale: 8, Settings: shortStallTimeout,
		EngineArgs:  []string{"--cold-millis", "0", "--cross-every", "3"},
		ServiceArgs: []string{"--cold-millis", "0", "--delay-millis", "6", "--repeat-millis", "2"},
	})
	workspaces := []string{"kigali-flyers", "huye-gliders", "musanze-aero", "rubavu-wings"}
	const callers, calls = 12, 6
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := s.Caller(workspaces[i%len(workspaces)])
			for k := range calls {
				prompt := 400 + i*calls + k
				in := s.Instances[(i+k)%len(s.Instances)]
				call := func() int { return checkUnstreamedAnswer(t, s, c, in, prompt) }
				if (i+k)%2 == 0 {
					call = func() int { return checkStreamedAnswer(t, s, c, in, prompt) }
				}
				retryUntilServed(t, call)
			}
		})
		wg.Go(func() {
			c := s.Caller(workspaces[i%len(workspaces)])
			pace := time.NewTicker(time.Millisecond)
			defer pace.Stop()
			for k := range 10 * calls {
				checkRoster(t, c, s.Instances[(i+k)%len(s.Instances)], fmt.Sprintf("/rosters/%d-%d", i, k))
				<-pace.C
			}
		})
	}
	wg.Wait()
	s.WaitIdle(t)
}

// checkRoster reads a roster and checks that a successful response is for the same path.
func checkRoster(t *testing.T, c *system.Caller, in *system.Instance, path string) {
	r, err := c.Call(t.Context(), t, http.MethodGet, in.Caller, "/v1/services/club-desk"+path, nil)
	if !requireNoError(t, err) || r.Status != http.StatusOK {
		return
	}
	require.JSONEq(t, fmt.Sprintf(`{"path":%q}`, path), string(r.Body), "answer to another request")
}
