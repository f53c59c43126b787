package failure_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// outageDuration is far longer than every lease and retry, so that what still works at its end
// works during an outage of any length.
const outageDuration = 15 * time.Second

// TestPlatformOutage makes the platform down, slow or silent for a long time and kills an instance,
// possibly an owner, meanwhile. Generations and reads through the other instances must keep
// working: they confirm owners and configuration among themselves, and deputies stand in for the
// killed owner. Calls with a key need a claim and must be refused soon, as not run. After the
// outage there must be no surge of platform calls.
func TestPlatformOutage(t *testing.T) {
	tests := map[string]struct {
		begin, end func(t *testing.T, s *system.System)
	}{
		"down": {
			begin: func(t *testing.T, s *system.System) { putPlatformFaults(t, s, map[string]any{"down": true}) },
			end:   func(t *testing.T, s *system.System) { putPlatformFaults(t, s, map[string]any{}) },
		},
		"slow": {
			begin: func(t *testing.T, s *system.System) { putPlatformFaults(t, s, map[string]any{"delayMillis": 15000}) },
			end:   func(t *testing.T, s *system.System) { putPlatformFaults(t, s, map[string]any{}) },
		},
		"silent": {
			begin: func(_ *testing.T, s *system.System) {
				for _, in := range s.Instances {
					in.PlatformProxy.SetMode(faultproxy.Silent)
					in.PlatformProxy.SilenceOpenConnections()
				}
			},
			end: func(_ *testing.T, s *system.System) {
				for _, in := range s.Instances {
					in.PlatformProxy.SetMode(faultproxy.Pass)
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: warmEngineArgs, Instances: 4})
			d := deployments["inyange"]
			baseline := countPlatformCalls(t, s, propagationLimit)
			streams := startLoad(t, s, d, 8, s.Instances, generate(d, 20))
			reads := startLoad(t, s, d, 4, s.Instances, read(d))
			streams.waitServed(t, 40)

			tt.begin(t, s)
			startedAt := time.Now()
			waitElapsed(t, startedAt, propagationLimit)
			writes := startLoad(t, s, d, 2, s.Instances[1:], write(d))
			streams.waitServed(t, 40)
			s.Instances[0].Process.Kill()
			killed := time.Now()
			streams.SetInstances(s.Instances[1:])
			reads.SetInstances(s.Instances[1:])
			streams.waitServed(t, 40)
			reads.waitServed(t, 40)
			waitElapsed(t, startedAt, outageDuration)
			for _, in := range s.Instances[1:] {
				requireServing(t, s, d, in)
			}
			refused := writes.Stop()
			tt.end(t, s)

			surge := countPlatformCalls(t, s, propagationLimit)
			require.Less(t, surge, 2*baseline+int64(10*len(s.Instances)), "calls after the outage, %d before", baseline)
			require.Eventually(t, func() bool {
				return write(d)(t.Context(), t, s.Caller(d.workspace), s.Instances[1], t.Name()+"/after").served()
			}, waitTimeout, pollInterval, "calls with a key are not served after the outage")
			requireCompleteStreams(t, append(streams.Stop(), reads.Stop()...))
			requireOnlyExpectedFailures(t, append(streams.Records(), reads.Records()...), s.Instances[0], killed)
			requireRefusedAsNotRun(t, refused)
			requireConsistentEffects(t, refused, s.ServiceLedger(t, "desk-1"))
		})
	}
}

// requireServing checks that an instance serves a generation and a read on the first attempt.
func requireServing(t *testing.T, s *system.System, d deployment, in *system.Instance) {
	t.Helper()
	r := generate(d, 5)(t.Context(), t, s.Caller(d.workspace), in, "serving")
	require.True(t, r.served(), "%s: %+v", in.ID, r)
	r = read(d)(t.Context(), t, s.Caller(d.workspace), in, "")
	require.True(t, r.served(), "%s: %+v", in.ID, r)
}

// requireRefusedAsNotRun checks that all calls were refused soon and as not run.
func requireRefusedAsNotRun(t *testing.T, records []record) {
	t.Helper()
	require.NotEmpty(t, records)
	for _, r := range records {
		require.NoError(t, r.err)
		require.NotNil(t, r.failure)
		require.Equal(t, answer.OutcomeNotRun, r.failure.Outcome, "%+v", r.failure)
		require.Less(t, r.endedAt.Sub(r.startedAt), 2*propagationLimit)
	}
}

// requireOnlyExpectedFailures checks that only two kinds of requests failed: those through the
// killed instance, and those refused as not run after the kill, because the killed instance owned
// their server and the others had not noticed yet.
func requireOnlyExpectedFailures(t *testing.T, records []record, dead *system.Instance, killed time.Time) {
	t.Helper()
	for _, r := range records {
		switch {
		case r.served() || r.instance == dead.ID:
		case r.failure != nil && r.failure.Outcome == answer.OutcomeNotRun && r.endedAt.After(killed):
		default:
			require.Fail(t, "request failed", "%+v %+v", r, r.failure)
		}
	}
}

// countPlatformCalls returns the number of calls that the platform receives within d.
func countPlatformCalls(t *testing.T, s *system.System, d time.Duration) int64 {
	t.Helper()
	count := func() int64 {
		var stats platform.Stats
		data := s.Control(t, s.Platform.Address, http.MethodGet, "/control/stats", nil)
		require.NoError(t, json.Unmarshal(data, &stats))
		n := int64(0)
		for _, calls := range stats.Calls {
			n += calls
		}
		return n
	}
	before := count()
	waitElapsed(t, time.Now(), d)
	return count() - before
}

// TestAllInstancesReplaced replaces every instance within a minute under load while cold engines
// crash above two concurrent requests. Callers of live instances must be served, no engine may
// crash, no call may run twice, and the new instances must get the newest configuration, because
// all persistent state is in the platform.
func TestAllInstancesReplaced(t *testing.T) {
	s := start(t, system.Options{EngineArgs: coldEngineArgs})
	d := deployments["inyange"]
	all := engineNames(s, "")
	before := incarnations(t, s, all)
	base, err := s.OperatorClient(t, s.Instances[0]).Configuration(t.Context())
	require.NoError(t, err)
	version := s.Apply(t, withWeight(base.Config, 0, 77))
	streams := startLoad(t, s, d, 12, s.Instances, generate(d, 20))
	writes := startLoad(t, s, d, 4, s.Instances, write(d))
	streams.waitServed(t, 10)
	startedAt := time.Now()
	for range 3 {
		old := s.Instances[0]
		s.AddInstance(t)
		s.Instances = s.Instances[1:]
		old.Process.Kill()
		s.SetInstanceState(t, old, "")
		streams.SetInstances(s.Instances)
		writes.SetInstances(s.Instances)
		s.WaitReady(t)
		streams.waitServed(t, 10)
	}
	require.Less(t, time.Since(startedAt), time.Minute)
	require.Eventually(t, func() bool { return inForceEverywhere(t, s, version) }, waitTimeout, pollInterval)
	requireCompleteStreams(t, streams.Stop())
	requireConsistentEffects(t, writes.Stop(), s.ServiceLedger(t, "desk-1"))
	require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
}
