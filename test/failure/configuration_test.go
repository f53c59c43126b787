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

func changeRequest(summary string) operatorapi.ChangeRequest {
	return operatorapi.ChangeRequest{Author: "test", Summary: summary}
}

// versionWatcher polls the configuration version of each instance. It must never decrease.
type versionWatcher struct {
	mu        sync.Mutex
	highest   map[string]int64
	decreases []string
	stop      chan struct{}
	wg        sync.WaitGroup
}

// watchVersions polls the versions of all instances until the test ends.
func watchVersions(t *testing.T, s *system.System) *versionWatcher {
	v := &versionWatcher{highest: map[string]int64{}, stop: make(chan struct{})}
	for _, in := range s.Instances {
		v.wg.Go(func() {
			for {
				select {
				case <-v.stop:
					return
				case <-time.After(pollInterval):
				}
				v.observe(in.ID, s.ConfigVersion(t.Context(), t, in))
			}
		})
	}
	t.Cleanup(v.Stop)
	return v
}

func (v *versionWatcher) observe(id string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// An instance that has just started has no version yet and accepts no requests in that state.
	if version > 0 && version < v.highest[id] {
		v.decreases = append(v.decreases, fmt.Sprintf("%s decreased from %d to %d", id, v.highest[id], version))
	}
	v.highest[id] = max(version, v.highest[id])
}

func (v *versionWatcher) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
}

// requireNoDecrease stops the watcher and checks that no version decreased.
func (v *versionWatcher) requireNoDecrease(t *testing.T) {
	t.Helper()
	v.Stop()
	v.wg.Wait()
	require.Empty(t, v.decreases)
}

// inForceEverywhere reports whether version or a newer one is in force on all instances.
func inForceEverywhere(t *testing.T, s *system.System, version int64) bool {
	for _, in := range s.Instances {
		if s.ConfigVersion(t.Context(), t, in) < version {
			return false
		}
	}
	return true
}

// requireInForce checks that version is in force on all instances within propagationLimit after
// since, the time of its acceptance.
func requireInForce(t *testing.T, s *system.System, version int64, since time.Time) {
	t.Helper()
	require.Eventually(t, func() bool { return inForceEverywhere(t, s, version) }, waitTimeout, pollInterval)
	require.Less(t, time.Since(since), propagationLimit, "version %d is in force too late", version)
}

// withWeight returns the configuration with the weight of one workspace changed.
func withWeight(c pollenspindle.Config, workspace, weight int) pollenspindle.Config {
	c.Workspaces = append([]pollenspindle.Workspace(nil), c.Workspaces...)
	c.Workspaces[workspace].Weight = weight
	return c
}

// TestConcurrentOperatorChanges lets two operators apply different changes to the same version
// through two instances at once, ten times. The platform accepts one change per version: one is
// accepted and in force everywhere within three seconds, the other gets a conflict that names who
// changed what.
func TestConcurrentOperatorChanges(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	for round := range 10 {
		base, err := s.OperatorClient(t, s.Instances[0]).Configuration(t.Context())
		require.NoError(t, err)
		require.Eventually(t, func() bool { return inForceEverywhere(t, s, base.Version) }, waitTimeout, pollInterval)
		var answers [2]operatorapi.ChangeResult
		var errs [2]error
		var both sync.WaitGroup
		for i, author := range []string{"umutoni", "kamau"} {
			ops := s.OperatorClient(t, s.Instances[i])
			both.Go(func() {
				answers[i], errs[i] = ops.Apply(t.Context(), operatorapi.ApplyRequest{
					BaseVersion: base.Version, Author: author, Summary: "round " + fmt.Sprint(round),
					Config: withWeight(base.Config, i, 10+round),
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
	v.requireNoDecrease(t)
}

// TestLostPlatformResponses loses the platform's response to one or several writes of a
// configuration change that took effect. The operator must see the change accepted, exactly once:
// repeating the conditional write shows whose change is stored.
func TestLostPlatformResponses(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	ops := s.OperatorClient(t, s.Instances[1])
	for lost := 1; lost <= 4; lost++ {
		base, err := ops.Configuration(t.Context())
		require.NoError(t, err)
		putPlatformFaults(t, s, map[string]any{"loseAnswers": lost})
		got, err := ops.Apply(t.Context(), operatorapi.ApplyRequest{
			BaseVersion: base.Version, Author: "umutoni", Summary: fmt.Sprint("lost ", lost), Config: withWeight(base.Config, 0, 50+lost),
		})
		require.NoError(t, err)
		requireInForce(t, s, got.Version, time.Now())
		history, err := ops.History(t.Context(), 2)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("lost ", lost), history.Changes[0].Summary)
		require.NotEqual(t, history.Changes[0].Summary, history.Changes[1].Summary, "accepted twice")
	}
	v.requireNoDecrease(t)
}

// TestConfigVersionNeverDecreases changes the configuration while one instance can't reach the
// platform, instances restart without retained state, and the slow platform returns older versions
// than peers know. The cut-off instance follows through its peers within three seconds, and no
// version decreases, because only a newer one is put in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	s := start(t, system.Options{})
	v := watchVersions(t, s)
	change := func(weight int) (int64, time.Time) {
		return applyWeight(t, s, s.Instances[0], weight), time.Now()
	}
	s.Instances[2].PlatformProxy.SetMode(faultproxy.Refuse)
	for weight := 20; weight < 24; weight++ {
		version, accepted := change(weight)
		requireInForce(t, s, version, accepted)
	}
	s.Instances[2].PlatformProxy.SetMode(faultproxy.Pass)
	putPlatformFaults(t, s, map[string]any{"delayMillis": 300})
	for weight := 30; weight < 34; weight++ {
		s.RestartInstance(t, s.Instances[1])
		version, _ := change(weight)
		require.Eventually(t, func() bool { return inForceEverywhere(t, s, version) }, waitTimeout, pollInterval)
	}
	putPlatformFaults(t, s, map[string]any{})
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/compact", struct{}{})
	version, accepted := change(40)
	requireInForce(t, s, version, accepted)
	v.requireNoDecrease(t)
}
