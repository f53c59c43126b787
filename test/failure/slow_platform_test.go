package failure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// TestStartWithSlowPlatform delays each platform call by more than the initial timeouts, in both
// directions, for the whole test. All instances are restarted, then one is killed and removed from
// the list. The instances must become ready and stop returning the dead one, because each task
// increases its timeout until it gets a response.
func TestStartWithSlowPlatform(t *testing.T) {
	tests := map[string]time.Duration{
		"1.2 s in each direction": 1200 * time.Millisecond,
		"3 s in each direction":   3 * time.Second,
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: warmEngineArgs})
			d := deployments["inyange"]
			for _, in := range s.Instances {
				in.PlatformProxy.SetDelay(delay)
			}
			startedAt := time.Now()
			for _, in := range s.Instances {
				s.RestartInstance(t, in)
			}
			s.WaitReady(t)
			t.Logf("all ready after %.0f s", time.Since(startedAt).Seconds())
			l := startLoad(t, s, d, 4, s.Instances, generate(d, 10))
			l.waitServed(t, 10)
			requireCompleteStreams(t, l.Stop())

			dead := s.Instances[2]
			s.Instances = s.Instances[:2]
			dead.Process.Kill()
			s.SetInstanceState(t, dead, "")
			startedAt = time.Now()
			for _, in := range s.Instances {
				require.Eventually(t, func() bool { return len(s.ListedInstances(t, in)) == 2 }, waitTimeout, pollInterval)
			}
			t.Logf("dead instance no longer listed after %.0f s", time.Since(startedAt).Seconds())
			s.WaitReady(t)
		})
	}
}
