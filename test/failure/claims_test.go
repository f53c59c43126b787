package failure_test

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	standin "pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/system"
)

// deskServers are the plain servers. With the second one, a repeated call could run elsewhere.
var deskServers = []string{"desk-1", "desk-2"}

// sendBooking sends one booking, a call that must run at most once. An empty key sends no
// Idempotency-Key. The note identifies the effect in the ledger.
func sendBooking(t *testing.T, c *system.Caller, in *system.Instance, key, note string) (system.Reply, error) {
	t.Helper()
	header := []string{}
	if key != "" {
		header = []string{"Idempotency-Key", key}
	}
	return c.Call(t.Context(), t, http.MethodPost, in.Caller, "/v1/services/club-desk/bookings?note="+note, []byte(`{"field":3}`), header...)
}

// countEffects returns the number of effects with a note on all desk servers.
func countEffects(t *testing.T, s *system.System, note string) int {
	t.Helper()
	n := 0
	for _, desk := range deskServers {
		for _, e := range s.ServiceLedger(t, desk).Effects {
			if e.Query == "note="+note {
				n++
			}
		}
	}
	return n
}

// setServiceFaults sets the faults of all desk servers until the test or subtest ends. A fault with
// a count occurs on one server; without the reset the other would keep it for the next test.
func setServiceFaults(t *testing.T, s *system.System, f standin.Faults) {
	t.Helper()
	set := func(f standin.Faults) {
		for _, desk := range deskServers {
			s.Control(t, s.Servers[desk].Address, http.MethodPut, "/control/faults", f)
		}
	}
	set(f)
	t.Cleanup(func() { set(standin.Faults{}) })
}

func setPlatformFaults(t *testing.T, s *system.System, faults map[string]any) {
	t.Helper()
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/faults", faults)
}

// requireUnknownOutcome checks that the response to a repeat says that the outcome is unknown.
func requireUnknownOutcome(t *testing.T, r system.Reply, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, r.Status, "%s", r.Body)
	require.Equal(t, answer.OutcomeUnknown, r.Failure(t).Outcome)
}

// addSecondDesk declares a second plain server and shortens the queue timeout to keep tests fast.
func addSecondDesk(c *pollenspindle.Config) {
	for i := range c.Services {
		c.Services[i].QueueSeconds = 5
	}
	for _, server := range c.Servers {
		if server.Name == deskServers[0] {
			server.Name, server.Zone = deskServers[1], c.Zones[1].Name
			c.Servers = append(c.Servers, server)
			return
		}
	}
}

func TestClaims(t *testing.T) {
	s := start(t, system.Options{Config: addSecondDesk})
	t.Run("concurrent calls with the same key", func(t *testing.T) { testConcurrentCalls(t, s) })
	t.Run("response lost after the effect", func(t *testing.T) { testResponseLost(t, s) })
	t.Run("service fails", func(t *testing.T) { testServiceFailure(t, s) })
	t.Run("platform response lost", func(t *testing.T) { testPlatformResponseLost(t, s) })
	t.Run("platform down", func(t *testing.T) { testPlatformDown(t, s) })
	t.Run("holder paused", func(t *testing.T) { testHolderPaused(t, s) })
	t.Run("holder killed", func(t *testing.T) { testHolderKilled(t, s) })
}

// testConcurrentCalls sends the same key through three instances at once. All try to create the
// claim in the platform, and only the one that succeeds sends the booking. One caller gets the
// service's response; the others get the same response replayed or an unknown outcome.
func testConcurrentCalls(t *testing.T, s *system.System) {
	setServiceFaults(t, s, standin.Faults{DelayMillis: 50})
	c := s.Caller("kigali-flyers")
	for _, key := range []string{"moment-1", "moment-2", "moment-3", "moment-4", "moment-5"} {
		replies := make([]system.Reply, len(s.Instances))
		errs := make([]error, len(s.Instances))
		var wg sync.WaitGroup
		for i, in := range s.Instances {
			wg.Go(func() { replies[i], errs[i] = sendBooking(t, c, in, key, key) })
		}
		wg.Wait()
		first := 0
		for i, r := range replies {
			require.NoError(t, errs[i])
			switch {
			case r.Status == http.StatusOK && r.Header.Get("Idempotent-Replayed") == "":
				first++
			case r.Status != http.StatusOK:
				requireUnknownOutcome(t, r, nil)
			}
		}
		require.Equal(t, 1, first, "responses that aren't replayed")
		require.Equal(t, 1, countEffects(t, s, key))
	}
	setServiceFaults(t, s, standin.Faults{})
}

// testResponseLost breaks the connection after the service has made the booking and before it
// responds. The caller gets an unknown outcome, and no repeat runs the booking. A booking without a
// key can't be recognized as a repeat and is sent only once.
func testResponseLost(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	for _, key := range []string{"lost", ""} {
		note := "lost" + key
		setServiceFaults(t, s, standin.Faults{LoseAnswers: 1})
		r, err := sendBooking(t, c, s.Instances[0], key, note)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, r.Status)
		require.Equal(t, answer.OutcomeUnknown, r.Failure(t).Outcome)
		require.Equal(t, 1, countEffects(t, s, note))
	}
	for _, in := range s.Instances {
		r, err := sendBooking(t, c, in, "lost", "lostlost")
		requireUnknownOutcome(t, r, err)
	}
	require.Equal(t, 1, countEffects(t, s, "lostlost"))
}

// testServiceFailure checks that a failure of the service is returned and is replayed to a repeat,
// and that a refusal before running is reported as not run, so that its repeat runs.
func testServiceFailure(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	tests := map[string]struct {
		faults standin.Faults
		status int
		// ran and repeat are the expected effects after the call and after its repeat.
		ran, repeat int
	}{
		"before": {standin.Faults{FailBefore: 1}, http.StatusInternalServerError, 0, 0},
		"after":  {standin.Faults{FailAfter: 1}, http.StatusInternalServerError, 1, 1},
		"refuse": {standin.Faults{Refuse: 1}, http.StatusServiceUnavailable, 0, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			setServiceFaults(t, s, tt.faults)
			r, err := sendBooking(t, c, s.Instances[0], "fails-"+name, name)
			require.NoError(t, err)
			require.Equal(t, tt.status, r.Status, "%s", r.Body)
			require.Equal(t, tt.ran, countEffects(t, s, name))
			if tt.repeat > tt.ran {
				require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
			}
			again, err := sendBooking(t, c, s.Instances[1], "fails-"+name, name)
			require.NoError(t, err)
			if tt.repeat == tt.ran {
				require.Equal(t, "true", again.Header.Get("Idempotent-Replayed"))
				require.Equal(t, r.Body, again.Body)
			}
			require.Equal(t, tt.repeat, countEffects(t, s, name))
			if tt.faults.Refuse > 0 {
				waitElapsed(t, time.Now(), servicePause)
			}
		})
	}
}

// testPlatformResponseLost loses the platform's response to a stored claim. The holder recognizes
// its own claim by the attempt in it: it must neither send the booking twice nor give up the key.
// The booking is made, or reported as not run and can be repeated.
func testPlatformResponseLost(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	for i, key := range []string{"gone-1", "gone-2", "gone-3", "gone-4", "gone-5"} {
		setPlatformFaults(t, s, map[string]any{"loseAnswers": i + 1})
		in := s.Instances[i%len(s.Instances)]
		r, err := sendBooking(t, c, in, key, key)
		require.NoError(t, err)
		if r.Status != http.StatusOK {
			require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
			require.Zero(t, countEffects(t, s, key))
		}
		setPlatformFaults(t, s, map[string]any{})
		require.Eventually(t, func() bool {
			again, err := sendBooking(t, c, s.Instances[(i+1)%len(s.Instances)], key, key)
			return err == nil && again.Status == http.StatusOK
		}, waitTimeout, pollInterval, "the key stays blocked")
		require.Equal(t, 1, countEffects(t, s, key))
	}
}

// testPlatformDown checks that a booking is refused at once as not run while the platform is down
// and no key can be claimed, that reads still work, and that the key works after the outage.
func testPlatformDown(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	setPlatformFaults(t, s, map[string]any{"down": true})
	for _, in := range s.Instances {
		r, err := sendBooking(t, c, in, "down", "down")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
		read, err := c.Call(t.Context(), t, http.MethodGet, in.Caller, "/v1/services/club-desk/rosters", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, read.Status, "%s", read.Body)
	}
	require.Zero(t, countEffects(t, s, "down"))
	setPlatformFaults(t, s, map[string]any{})
	require.Eventually(t, func() bool {
		r, err := sendBooking(t, c, s.Instances[0], "down", "down")
		return err == nil && r.Status == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Equal(t, 1, countEffects(t, s, "down"))
}

// startSlowBooking sends a booking that takes seconds and waits until the service's ledger shows
// that it has started. Load reports lag: one that still showed an earlier booking would let the
// test pause the holder before it has sent anything. The channel returns the status, 0 if the
// connection failed.
func startSlowBooking(t *testing.T, s *system.System, in *system.Instance, key string) <-chan int {
	t.Helper()
	setServiceFaults(t, s, standin.Faults{DelayMillis: 2000})
	status := make(chan int, 1)
	c := s.Caller("kigali-flyers")
	go func() {
		r, err := sendBooking(t, c, in, key, key)
		if err != nil {
			r.Status = 0
		}
		t.Logf("%s: %d %s", key, r.Status, r.Body)
		status <- r.Status
	}()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(deskServers, func(desk string) bool {
			return slices.Contains(s.ServiceLedger(t, desk).StartedQueries, "note="+key)
		})
	}, waitTimeout, pollInterval)
	return status
}

// testHolderPaused pauses the holder of a claim while the service works. It is removed from the
// instance list, its lease expires and its servers get another owner, but nobody takes over the
// claim. Repeats get an unknown outcome until the holder resumes and stores the response.
func testHolderPaused(t *testing.T, s *system.System) {
	holder, other := s.Instances[0], s.Instances[1]
	first := startSlowBooking(t, s, holder, "paused")
	holder.Process.Signal(t, syscall.SIGSTOP)
	c := s.Caller("kigali-flyers")
	r, err := sendBooking(t, c, other, "paused", "paused")
	requireUnknownOutcome(t, r, err)
	s.SetInstanceState(t, holder, "")
	require.Eventually(t, func() bool { return len(s.ListedInstances(t, other)) == len(s.Instances)-1 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return countEffects(t, s, "paused") == 1 }, waitTimeout, pollInterval)
	r, err = sendBooking(t, c, other, "paused", "paused")
	requireUnknownOutcome(t, r, err)
	holder.Process.Signal(t, syscall.SIGCONT)
	s.SetInstanceState(t, holder, instancelist.StateLive)
	require.Equal(t, http.StatusOK, <-first)
	require.Eventually(t, func() bool {
		r, err := sendBooking(t, c, other, "paused", "paused")
		return err == nil && r.Status == http.StatusOK && r.Header.Get("Idempotent-Replayed") == "true"
	}, waitTimeout, pollInterval)
	require.Equal(t, 1, countEffects(t, s, "paused"))
	s.WaitReady(t)
}

// testHolderKilled kills the holder of a claim between the claim and the response. The service
// completes the booking but its response is lost, so repeats get an unknown outcome permanently.
func testHolderKilled(t *testing.T, s *system.System) {
	holder := s.Instances[0]
	first := startSlowBooking(t, s, holder, "killed")
	holder.Process.Kill()
	require.Zero(t, <-first)
	c := s.Caller("kigali-flyers")
	for _, in := range s.Instances[1:] {
		r, err := sendBooking(t, c, in, "killed", "killed")
		requireUnknownOutcome(t, r, err)
	}
	require.Eventually(t, func() bool { return countEffects(t, s, "killed") == 1 }, waitTimeout, pollInterval)
	s.RestartInstance(t, holder)
	s.WaitReady(t)
	r, err := sendBooking(t, c, holder, "killed", "killed")
	requireUnknownOutcome(t, r, err)
	require.Equal(t, 1, countEffects(t, s, "killed"))
}
