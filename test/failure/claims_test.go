package failure_test

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	standin "pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/system"
)

// desks are the plain servers; a second one is where a repeat would run.
var desks = []string{"desk-1", "desk-2"}

// book calls the service once without an effect being allowed twice. An empty
// key sends none; the note finds the effect in the ledger.
func book(t *testing.T, c *system.Caller, in *system.Instance, key, note string) (system.Reply, error) {
	t.Helper()
	header := []string{}
	if key != "" {
		header = []string{"Idempotency-Key", key}
	}
	return c.Call(t.Context(), t, http.MethodPost, in.Caller, "/v1/services/club-desk/bookings?note="+note, []byte(`{"field":3}`), header...)
}

// effects counts what the service did for a note.
func effects(t *testing.T, s *system.System, note string) int {
	t.Helper()
	n := 0
	for _, desk := range desks {
		for _, e := range s.ServiceLedger(t, desk).Effects {
			if e.Query == "note="+note {
				n++
			}
		}
	}
	return n
}

// serviceFaults sets the faults of both desks until the test or subtest ends. A
// counted fault strikes one desk; on the other it would be left for the next.
func serviceFaults(t *testing.T, s *system.System, f standin.Faults) {
	t.Helper()
	set := func(f standin.Faults) {
		for _, desk := range desks {
			s.Control(t, s.Servers[desk].Address, http.MethodPut, "/control/faults", f)
		}
	}
	set(f)
	t.Cleanup(func() { set(standin.Faults{}) })
}

func platformFaults(t *testing.T, s *system.System, faults map[string]any) {
	t.Helper()
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/faults", faults)
}

// requireUnknown checks that a repeat is told that the outcome isn't known.
func requireUnknown(t *testing.T, r system.Reply, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, r.Status, "%s", r.Body)
	require.Equal(t, answer.OutcomeUnknown, r.Failure(t).Outcome)
}

// twoDesks declares a second plain server. It shortens the wait for a place
// too, so that tests are quick.
func twoDesks(c *pollenspindle.Config) {
	for i := range c.Services {
		c.Services[i].QueueSeconds = 5
	}
	for _, server := range c.Servers {
		if server.Name == desks[0] {
			server.Name, server.Zone = desks[1], c.Zones[1].Name
			c.Servers = append(c.Servers, server)
			return
		}
	}
}

func TestClaims(t *testing.T) {
	s := start(t, system.Options{Config: twoDesks})
	t.Run("same key at the same moment", func(t *testing.T) { sameMoment(t, s) })
	t.Run("answer lost after the effect", func(t *testing.T) { answerLost(t, s) })
	t.Run("service fails", func(t *testing.T) { serviceFails(t, s) })
	t.Run("platform answer lost", func(t *testing.T) { platformAnswerLost(t, s) })
	t.Run("platform down", func(t *testing.T) { platformDown(t, s) })
	t.Run("holder paused", func(t *testing.T) { holderPaused(t, s) })
	t.Run("holder killed", func(t *testing.T) { holderKilled(t, s) })
}

// Three callers see one booking: one has the service's answer, the others the
// same answer again or that it is under way. They send the same key at the
// same moment through three instances; each tries to create the claim in the
// platform, one create wins, and only its holder sends.
func sameMoment(t *testing.T, s *system.System) {
	serviceFaults(t, s, standin.Faults{DelayMillis: 50})
	c := s.Caller("kigali-flyers")
	for _, key := range []string{"moment-1", "moment-2", "moment-3", "moment-4", "moment-5"} {
		replies := make([]system.Reply, len(s.Instances))
		errs := make([]error, len(s.Instances))
		var wg sync.WaitGroup
		for i, in := range s.Instances {
			wg.Go(func() { replies[i], errs[i] = book(t, c, in, key, key) })
		}
		wg.Wait()
		first := 0
		for i, r := range replies {
			require.NoError(t, errs[i])
			switch {
			case r.Status == http.StatusOK && r.Header.Get("Idempotent-Replayed") == "":
				first++
			case r.Status != http.StatusOK:
				requireUnknown(t, r, nil)
			}
		}
		require.Equal(t, 1, first, "answers that aren't repeats")
		require.Equal(t, 1, effects(t, s, key))
	}
	serviceFaults(t, s, standin.Faults{})
}

// The caller is told that its booking may have run, and no repeat runs it. The
// service makes the booking and its connection breaks before the answer.
// Without a key there is nothing to repeat under, and it is sent once.
func answerLost(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	for _, key := range []string{"lost", ""} {
		note := "lost" + key
		serviceFaults(t, s, standin.Faults{LoseAnswers: 1})
		r, err := book(t, c, s.Instances[0], key, note)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, r.Status)
		require.Equal(t, answer.OutcomeUnknown, r.Failure(t).Outcome)
		require.Equal(t, 1, effects(t, s, note))
	}
	for _, in := range s.Instances {
		r, err := book(t, c, in, "lost", "lostlost")
		requireUnknown(t, r, err)
	}
	require.Equal(t, 1, effects(t, s, "lostlost"))
}

// The caller sees the service's own failure, and the same again when it
// repeats; a refusal before running says "not run", and its repeat runs.
func serviceFails(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	tests := map[string]struct {
		faults standin.Faults
		status int
		// ran and repeat count the effects after the call and after a repeat.
		ran, repeat int
	}{
		"before": {standin.Faults{FailBefore: 1}, http.StatusInternalServerError, 0, 0},
		"after":  {standin.Faults{FailAfter: 1}, http.StatusInternalServerError, 1, 1},
		"refuse": {standin.Faults{Refuse: 1}, http.StatusServiceUnavailable, 0, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			serviceFaults(t, s, tt.faults)
			r, err := book(t, c, s.Instances[0], "fails-"+name, name)
			require.NoError(t, err)
			require.Equal(t, tt.status, r.Status, "%s", r.Body)
			require.Equal(t, tt.ran, effects(t, s, name))
			if tt.repeat > tt.ran {
				require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
			}
			again, err := book(t, c, s.Instances[1], "fails-"+name, name)
			require.NoError(t, err)
			if tt.repeat == tt.ran {
				require.Equal(t, "true", again.Header.Get("Idempotent-Replayed"))
				require.Equal(t, r.Body, again.Body)
			}
			require.Equal(t, tt.repeat, effects(t, s, name))
		})
	}
}

// The caller sees its booking made, or that it wasn't run and may be repeated.
// The platform takes the claim and its answer is lost; the holder finds its
// own claim by the attempt in it and neither sends twice nor gives up a key
// that it holds.
func platformAnswerLost(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	for i, key := range []string{"gone-1", "gone-2", "gone-3", "gone-4", "gone-5"} {
		platformFaults(t, s, map[string]any{"loseAnswers": i + 1})
		in := s.Instances[i%len(s.Instances)]
		r, err := book(t, c, in, key, key)
		require.NoError(t, err)
		if r.Status != http.StatusOK {
			require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
			require.Zero(t, effects(t, s, key))
		}
		platformFaults(t, s, map[string]any{})
		require.Eventually(t, func() bool {
			again, err := book(t, c, s.Instances[(i+1)%len(s.Instances)], key, key)
			return err == nil && again.Status == http.StatusOK
		}, patience, pollEach, "the key stays blocked")
		require.Equal(t, 1, effects(t, s, key))
	}
}

// The caller is told at once that its booking wasn't run; rosters are still
// read. The platform is down, so no key can be claimed. When it is back, the
// same key runs.
func platformDown(t *testing.T, s *system.System) {
	c := s.Caller("kigali-flyers")
	platformFaults(t, s, map[string]any{"down": true})
	for _, in := range s.Instances {
		r, err := book(t, c, in, "down", "down")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		require.Equal(t, answer.OutcomeNotRun, r.Failure(t).Outcome)
		read, err := c.Call(t.Context(), t, http.MethodGet, in.Caller, "/v1/services/club-desk/rosters", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, read.Status, "%s", read.Body)
	}
	require.Zero(t, effects(t, s, "down"))
	platformFaults(t, s, map[string]any{})
	require.Eventually(t, func() bool {
		r, err := book(t, c, s.Instances[0], "down", "down")
		return err == nil && r.Status == http.StatusOK
	}, patience, pollEach)
	require.Equal(t, 1, effects(t, s, "down"))
}

// slowBooking sends a booking that takes seconds and waits until the service
// has begun it, by its ledger: load reports lag, and one that still showed the
// booking before let the holder be paused with nothing sent. The channel gives
// the answer's status, 0 for none.
func slowBooking(t *testing.T, s *system.System, in *system.Instance, key string) <-chan int {
	t.Helper()
	serviceFaults(t, s, standin.Faults{DelayMillis: 2000})
	status := make(chan int, 1)
	c := s.Caller("kigali-flyers")
	go func() {
		r, err := book(t, c, in, key, key)
		if err != nil {
			r.Status = 0
		}
		t.Logf("%s: %d %s", key, r.Status, r.Body)
		status <- r.Status
	}()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(desks, func(desk string) bool {
			return slices.Contains(s.ServiceLedger(t, desk).StartedQueries, "note="+key)
		})
	}, patience, pollEach)
	return status
}

// A repeat learns that the booking may have run, and later gets its answer.
// The holder of the claim is paused while the service works. The platform
// lists it no more, its lease lapses and another owns its servers; nobody
// takes its claim over. When it goes on it stores the answer.
func holderPaused(t *testing.T, s *system.System) {
	holder, other := s.Instances[0], s.Instances[1]
	first := slowBooking(t, s, holder, "paused")
	holder.Process.Signal(t, syscall.SIGSTOP)
	c := s.Caller("kigali-flyers")
	r, err := book(t, c, other, "paused", "paused")
	requireUnknown(t, r, err)
	s.SetInstanceState(t, holder, "")
	require.Eventually(t, func() bool { return len(s.ListedInstances(t, other)) == len(s.Instances)-1 }, patience, pollEach)
	require.Eventually(t, func() bool { return effects(t, s, "paused") == 1 }, patience, pollEach)
	r, err = book(t, c, other, "paused", "paused")
	requireUnknown(t, r, err)
	holder.Process.Signal(t, syscall.SIGCONT)
	s.SetInstanceState(t, holder, instancelist.StateLive)
	require.Equal(t, http.StatusOK, <-first)
	require.Eventually(t, func() bool {
		r, err := book(t, c, other, "paused", "paused")
		return err == nil && r.Status == http.StatusOK && r.Header.Get("Idempotent-Replayed") == "true"
	}, patience, pollEach)
	require.Equal(t, 1, effects(t, s, "paused"))
	s.WaitReady(t)
}

// A repeat learns that the booking may have run, for good. The holder is
// killed between the claim and the answer; the service goes on and makes the
// booking, and nobody can know what it answered.
func holderKilled(t *testing.T, s *system.System) {
	holder := s.Instances[0]
	first := slowBooking(t, s, holder, "killed")
	holder.Process.Kill()
	require.Zero(t, <-first)
	c := s.Caller("kigali-flyers")
	for _, in := range s.Instances[1:] {
		r, err := book(t, c, in, "killed", "killed")
		requireUnknown(t, r, err)
	}
	require.Eventually(t, func() bool { return effects(t, s, "killed") == 1 }, patience, pollEach)
	s.RestartInstance(t, holder)
	s.WaitReady(t)
	r, err := book(t, c, holder, "killed", "killed")
	requireUnknown(t, r, err)
	require.Equal(t, 1, effects(t, s, "killed"))
}
