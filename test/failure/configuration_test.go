package failure_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

func changeBy(summary string) operatorapi.ChangeRequest {
	return operatorapi.ChangeRequest{Author: "test", Summary: summary}
}

// versions watches the version in force on each instance. It must never fall.
type versions struct {
	mu      sync.Mutex
	highest map[string]int64
	fell    []string
	stop    chan struct{}
	wg      sync.WaitGroup
}

// watchVersions asks all instances for their version until the test ends.
func watchVersions(t *testing.T, s *system.System) *versions {
	v := &versions{highest: map[string]int64{}, stop: make(chan struct{})}
	for _, in := range s.Instances {
		v.wg.Go(func() {
			for {
				select {
				case <-v.stop:
					return
				case <-time.After(pollEach):
				}
				v.see(in.ID, s.ConfigVersion(t.Context(), t, in))
			}
		})
	}
	t.Cleanup(v.Stop)
	return v
}

func (v *versions) see(id string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// An instance that has just started has none yet; it takes no work then.
	if version > 0 && version < v.highest[id] {
		v.fell = append(v.fell, fmt.Sprintf("%s fell from %d to %d", id, v.highest[id], version))
	}
	v.highest[id] = max(version, v.highest[id])
}

func (v *versions) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
}

// requireNoneFell ends the watch and checks it.
func (v *versions) requireNoneFell(t *testing.T) {
	t.Helper()
	v.Stop()
	v.wg.Wait()
	require.Empty(t, v.fell)
}

// inForce reports whether version is in force on all instances.
func inForce(t *testing.T, s *system.System, version int64) bool {
	for _, in := range s.Instances {
		if s.ConfigVersion(t.Context(), t, in) < version {
			return false
		}
	}
	return true
}

// requireInForce checks that version is in force on all instances within the
// promised time since it was accepted.
func requireInForce(t *testing.T, s *system.System, version int64, since time.Time) {
	t.Helper()
	require.Eventually(t, func() bool { return inForce(t, s, version) }, patience, pollEach)
	require.Less(t, time.Since(since), promised, "version %d is in force too late", version)
}

// weighted returns the configuration with another weight of one workspace.
func weighted(c pollenspindle.Config, workspace, weight int) pollenspindle.Config {
	c.Workspaces = append([]pollenspindle.Workspace(nil), c.Workspaces...)
	c.Workspaces[workspace].Weight = weight
	return c
}

// TestOperatorsRace: two operators read the same version and hand over
// different changes through two instances at the same moment, ten times. One
// is accepted, and in force on all instances within three seconds; the other
// is told who changed what meanwhile, because the platform takes only one
// change on each version.
func TestOperatorsRace(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	for round := range 10 {
		base, err := s.OperatorClient(t, s.Instances[0]).Configuration(t.Context())
		require.NoError(t, err)
		require.Eventually(t, func() bool { return inForce(t, s, base.Version) }, patience, pollEach)
		var answers [2]operatorapi.Accepted
		var errs [2]error
		var both sync.WaitGroup
		for i, author := range []string{"umutoni", "kamau"} {
			ops := s.OperatorClient(t, s.Instances[i])
			both.Go(func() {
				answers[i], errs[i] = ops.Apply(t.Context(), operatorapi.ApplyRequest{
					BaseVersion: base.Version, Author: author, Summary: "round " + fmt.Sprint(round),
					Config: weighted(base.Config, i, 10+round),
				})
			})
		}
		both.Wait()
		accepted := time.Now()
		won, lost := 0, 1
		if errs[0] != nil {
			won, lost = 1, 0
		}
		require.NoError(t, errs[won])
		var failure *operatorapi.Error
		require.True(t, errors.As(errs[lost], &failure), "%v", errs[lost])
		require.Equal(t, operatorapi.CodeConflict, failure.Code)
		require.Equal(t, answers[won].Version, failure.Conflict.CurrentVersion)
		require.Len(t, failure.Conflict.Changes, 1)
		require.Equal(t, []string{"umutoni", "kamau"}[won], failure.Conflict.Changes[0].Author)
		require.Equal(t, []string{"workspaces/" + base.Config.Workspaces[won].Name}, failure.Conflict.Changes[0].Changed)
		requireInForce(t, s, answers[won].Version, accepted)
	}
	v.requireNoneFell(t)
}

// TestLostAnswersOfThePlatform: an operator's change reaches the platform and
// takes effect there, and the answer is lost, for one write or several in a
// row. The operator is told the truth: the change is accepted, once, because a
// repeat of the same conditional write shows whose change is there.
func TestLostAnswersOfThePlatform(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	ops := s.OperatorClient(t, s.Instances[1])
	for lost := 1; lost <= 4; lost++ {
		base, err := ops.Configuration(t.Context())
		require.NoError(t, err)
		faults(t, s, map[string]any{"loseAnswers": lost})
		got, err := ops.Apply(t.Context(), operatorapi.ApplyRequest{
			BaseVersion: base.Version, Author: "umutoni", Summary: fmt.Sprint("lost ", lost), Config: weighted(base.Config, 0, 50+lost),
		})
		require.NoError(t, err)
		requireInForce(t, s, got.Version, time.Now())
		history, err := ops.History(t.Context(), 2)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("lost ", lost), history.Changes[0].Summary)
		require.NotEqual(t, history.Changes[0].Summary, history.Changes[1].Summary, "accepted twice")
	}
	v.requireNoneFell(t)
}

// TestVersionsOnlyRise: operators change the configuration while instances are
// killed and start anew with nothing remembered, one can't reach the platform,
// and the platform is slow, so that its answers are older than what peers know.
// The instance that is cut off follows through its peers within three seconds;
// on none does a version fall, because only a newer one is put in force.
func TestVersionsOnlyRise(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	change := func(weight int) (int64, time.Time) {
		return changeWeight(t, s, s.Instances[0], weight), time.Now()
	}
	s.Instances[2].PlatformProxy.SetMode(faultproxy.Refuse)
	for weight := 20; weight < 24; weight++ {
		version, accepted := change(weight)
		requireInForce(t, s, version, accepted)
	}
	s.Instances[2].PlatformProxy.SetMode(faultproxy.Pass)
	faults(t, s, map[string]any{"delayMillis": 300})
	for weight := 30; weight < 34; weight++ {
		s.RestartInstance(t, s.Instances[1])
		version, _ := change(weight)
		require.Eventually(t, func() bool { return inForce(t, s, version) }, patience, pollEach)
	}
	faults(t, s, map[string]any{})
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/compact", struct{}{})
	version, accepted := change(40)
	requireInForce(t, s, version, accepted)
	v.requireNoneFell(t)
}
