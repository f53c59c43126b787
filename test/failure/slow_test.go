package failure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// TestStartWithSlowPlatform: each call to the platform takes twice the delay,
// longer than the first timeouts, for as long as the test runs. All instances
// are started anew meanwhile, and then one dies and leaves the list. Callers are
// served again after the start, and no longer sent to the dead instance after
// the change: each duty waits longer for its next answer until one comes.
func TestStartWithSlowPlatform(t *testing.T) {
	tests := map[string]time.Duration{
		"1.2 s each way": 1200 * time.Millisecond,
		"3 s each way":   3 * time.Second,
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: quickWarm})
			d := deployments["inyange"]
			for _, in := range s.Instances {
				in.PlatformProxy.SetDelay(delay)
			}
			began := time.Now()
			for _, in := range s.Instances {
				s.RestartInstance(t, in)
			}
			s.WaitReady(t)
			t.Logf("all ready after %.0f s", time.Since(began).Seconds())
			l := startLoad(t, s, d, 4, s.Instances, generate(d, 10))
			l.requireServes(t, 10)
			requireSound(t, l.Stop())

			dead := s.Instances[2]
			s.Instances = s.Instances[:2]
			dead.Process.Kill()
			s.SetInstanceState(t, dead, "")
			began = time.Now()
			for _, in := range s.Instances {
				require.Eventually(t, func() bool { return len(s.ListedInstances(t, in)) == 2 }, patience, pollEach)
			}
			t.Logf("one is out after %.0f s", time.Since(began).Seconds())
			s.WaitReady(t)
		})
	}
}
