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

// outageFor is far above every lease and retry of the system, so that what
// still works then works for any length of outage.
const outageFor = 15 * time.Second

// TestPlatformOutage: the platform is down, slow or silent for long, and an
// instance, perhaps the owner of servers, is killed meanwhile. Callers of the
// others get generations and reads all the time: the instances confirm owners
// and configuration among themselves, and deputies serve what the dead one
// owned. Keyed calls need a claim, so they are refused soon, truly not run.
// When the platform is back, its calls don't come in a surge.
func TestPlatformOutage(t *testing.T) {
	tests := map[string]struct {
		begin, end func(t *testing.T, s *system.System)
	}{
		"down": {
			begin: func(t *testing.T, s *system.System) { faults(t, s, map[string]any{"down": true}) },
			end:   func(t *testing.T, s *system.System) { faults(t, s, map[string]any{}) },
		},
		"slow": {
			begin: func(t *testing.T, s *system.System) { faults(t, s, map[string]any{"delayMillis": 15000}) },
			end:   func(t *testing.T, s *system.System) { faults(t, s, map[string]any{}) },
		},
		"silent": {
			begin: func(_ *testing.T, s *system.System) {
				for _, in := range s.Instances {
					in.PlatformProxy.SetMode(faultproxy.Silent)
					in.PlatformProxy.SilenceOpen()
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
			s := start(t, system.Options{EngineArgs: quickWarm, Instances: 4})
			d := deployments["inyange"]
			usual := platformCalls(t, s, promised)
			streams := startLoad(t, s, d, 8, s.Instances, generate(d, 20))
			reads := startLoad(t, s, d, 4, s.Instances, read(d))
			streams.requireServes(t, 40)

			tt.begin(t, s)
			began := time.Now()
			lasts(t, began, promised)
			writes := startLoad(t, s, d, 2, s.Instances[1:], write(d))
			streams.requireServes(t, 40)
			s.Instances[0].Process.Kill()
			killed := time.Now()
			streams.Through(s.Instances[1:])
			reads.Through(s.Instances[1:])
			streams.requireServes(t, 40)
			reads.requireServes(t, 40)
			lasts(t, began, outageFor)
			for _, in := range s.Instances[1:] {
				requireServing(t, s, d, in)
			}
			refused := writes.Stop()
			tt.end(t, s)

			surge := platformCalls(t, s, promised)
			require.Less(t, surge, 2*usual+int64(10*len(s.Instances)), "calls after the outage, %d before", usual)
			require.Eventually(t, func() bool {
				return write(d)(t.Context(), t, s.Caller(d.workspace), s.Instances[1], t.Name()+"/after").served()
			}, patience, pollEach, "keyed calls do not come back")
			requireSound(t, append(streams.Stop(), reads.Stop()...))
			requireUnharmed(t, append(streams.Records(), reads.Records()...), s.Instances[0], killed)
			requireRefused(t, refused)
			requireNotRunIsTrue(t, refused, s.ServiceLedger(t, "desk-1"))
		})
	}
}

// requireServing checks that an instance serves a generation and a read at
// once.
func requireServing(t *testing.T, s *system.System, d deployment, in *system.Instance) {
	t.Helper()
	r := generate(d, 5)(t.Context(), t, s.Caller(d.workspace), in, "serving")
	require.True(t, r.served(), "%s: %+v", in.ID, r)
	r = read(d)(t.Context(), t, s.Caller(d.workspace), in, "")
	require.True(t, r.served(), "%s: %+v", in.ID, r)
}

// requireRefused checks that keyed calls were refused soon and as not run.
func requireRefused(t *testing.T, records []record) {
	t.Helper()
	require.NotEmpty(t, records)
	for _, r := range records {
		require.NoError(t, r.err)
		require.NotNil(t, r.failure)
		require.Equal(t, answer.OutcomeNotRun, r.failure.Outcome, "%+v", r.failure)
		require.Less(t, r.ended.Sub(r.began), 2*promised)
	}
}

// requireUnharmed checks that no request failed but those through the killed
// instance, and those whose owner it was, which are refused as not run while
// the others notice.
func requireUnharmed(t *testing.T, records []record, dead *system.Instance, killed time.Time) {
	t.Helper()
	for _, r := range records {
		switch {
		case r.served() || r.instance == dead.ID:
		case r.failure != nil && r.failure.Outcome == answer.OutcomeNotRun && r.ended.After(killed):
		default:
			require.Fail(t, "request failed", "%+v %+v", r, r.failure)
		}
	}
}

// platformCalls counts the calls that the platform gets within d.
func platformCalls(t *testing.T, s *system.System, d time.Duration) int64 {
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
	lasts(t, time.Now(), d)
	return count() - before
}

// TestAllInstancesReplaced: every instance is killed and replaced by a new one
// within a minute, under load, while engines are cold and die above two
// requests at once. Callers of live instances go on being served; no engine
// crashes, no keyed call runs twice, and the new instances have the newest
// configuration, because all that lasts lies in the platform.
func TestAllInstancesReplaced(t *testing.T) {
	s := start(t, system.Options{EngineArgs: coldEngines})
	d := deployments["inyange"]
	all := engines(s, "")
	before := incarnations(t, s, all)
	base, err := s.OperatorClient(t, s.Instances[0]).Configuration(t.Context())
	require.NoError(t, err)
	version := s.Apply(t, weighted(base.Config, 0, 77))
	streams := startLoad(t, s, d, 12, s.Instances, generate(d, 20))
	writes := startLoad(t, s, d, 4, s.Instances, write(d))
	streams.requireServes(t, 10)
	began := time.Now()
	for range 3 {
		old := s.Instances[0]
		s.AddInstance(t)
		s.Instances = s.Instances[1:]
		old.Process.Kill()
		s.SetInstanceState(t, old, "")
		streams.Through(s.Instances)
		writes.Through(s.Instances)
		s.WaitReady(t)
		streams.requireServes(t, 10)
	}
	require.Less(t, time.Since(began), time.Minute)
	require.Eventually(t, func() bool { return inForce(t, s, version) }, patience, pollEach)
	requireSound(t, streams.Stop())
	requireNotRunIsTrue(t, writes.Stop(), s.ServiceLedger(t, "desk-1"))
	require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
}
