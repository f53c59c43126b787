package failure_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// warmEngineArgs makes engines warm up quickly and keep their ledger across crashes.
var warmEngineArgs = []string{"--cold-millis", "400", "--crash", "restart"}

// TestZoneDrained drains an availability zone under load while one instance can't learn of it from
// the platform, or is frozen and continues with outdated state. Callers must be served. Three
// seconds after the change was accepted no generation may arrive in the zone: an instance learns of
// the change from its peers, or accepts no requests while it can't confirm its configuration.
func TestZoneDrained(t *testing.T) {
	tests := map[string]struct {
		before, after func(t *testing.T, s *system.System, in *system.Instance)
		// refuses means that the instance must refuse all new requests.
		refuses bool
	}{
		"all instances are reachable": {},
		"one instance can't reach the platform": {before: func(_ *testing.T, _ *system.System, in *system.Instance) {
			in.PlatformProxy.SetMode(faultproxy.Refuse)
		}},
		"one instance's platform links are silent": {before: func(_ *testing.T, _ *system.System, in *system.Instance) {
			in.PlatformProxy.SetMode(faultproxy.Silent)
			in.PlatformProxy.SilenceOpenConnections()
		}},
		"one instance is isolated": {refuses: true, before: func(_ *testing.T, s *system.System, in *system.Instance) {
			isolate(s, in)
		}},
		"one instance is frozen for a while": {
			before: func(t *testing.T, _ *system.System, in *system.Instance) { in.Process.Signal(t, syscall.SIGSTOP) },
			after:  func(t *testing.T, _ *system.System, in *system.Instance) { in.Process.Signal(t, syscall.SIGCONT) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: warmEngineArgs})
			d := deployments["inyange"]
			zone := s.Config.Zones[0].Name
			drainedEngines, otherEngines := engineNames(s, zone), engineNames(s, s.Config.Zones[1].Name)
			faulty := ownerOf(t, s, drainedEngines[0])
			healthy := s.Instances[0]
			if faulty == healthy {
				healthy = s.Instances[1]
			}
			l := startLoad(t, s, d, 16, s.Instances, generate(d, 20))
			l.waitServed(t, 40)
			if tt.before != nil {
				tt.before(t, s, faulty)
			}
			_, err := s.OperatorClient(t, healthy).DrainZone(t.Context(), zone, changeRequest("drain zone"))
			require.NoError(t, err)
			drainedAt := time.Now()
			waitElapsed(t, drainedAt, propagationLimit)
			if tt.after != nil {
				tt.after(t, s, faulty)
			}
			if !tt.refuses {
				l.waitServed(t, 100)
			}
			waitElapsed(t, drainedAt, 2*propagationLimit)
			if tt.refuses {
				requireRefusesNewWork(t, s, d, faulty)
			}
			records := l.Stop()
			require.Zero(t, countArrivals(t, s, drainedEngines, drainedAt.Add(propagationLimit)), "new generations in a drained zone")
			if !tt.refuses {
				require.Positive(t, countArrivals(t, s, otherEngines, drainedAt.Add(propagationLimit)))
			}
			requireCompleteStreams(t, records)
			requireNoBrokenStreams(t, records)
		})
	}
}

// isolate cuts an instance off from the platform and its peers, but not from its callers and the
// backend servers. A proxy can't tell its clients apart, so the other instances lose their peer
// connections too; they still reach the platform.
func isolate(s *system.System, in *system.Instance) {
	in.PlatformProxy.SetMode(faultproxy.Refuse)
	for _, other := range s.Instances {
		other.PeerProxy.SetMode(faultproxy.Refuse)
	}
}

// requireRefusesNewWork checks that an instance refuses new requests as not run.
func requireRefusesNewWork(t *testing.T, s *system.System, d deployment, in *system.Instance) {
	t.Helper()
	for range 5 {
		r := generate(d, 5)(t.Context(), t, s.Caller(d.workspace), in, "refused")
		require.NotNil(t, r.failure, "%+v", r)
		require.Equal(t, answer.OutcomeNotRun, r.failure.Outcome)
		require.Equal(t, answer.Code(permit.ReasonNotConfirmed), r.failure.Code)
	}
}

// TestZoneRestored restores an availability zone under full load, with requests queued. Its engines
// were warm when it was drained, but their state is now unknown, so owners must treat them as cold:
// until a server has produced a token, it gets no more requests than its cold limit.
func TestZoneRestored(t *testing.T) {
	s := start(t, system.Options{EngineArgs: warmEngineArgs})
	d := deployments["inyange"]
	zone := s.Config.Zones[0].Name
	restoredEngines := engineNames(s, zone)
	l := startLoad(t, s, d, 40, s.Instances, generate(d, 20))
	l.waitServed(t, 200)
	ops := s.OperatorClient(t, s.Instances[0])
	_, err := ops.DrainZone(t.Context(), zone, changeRequest("drain zone"))
	require.NoError(t, err)
	waitElapsed(t, time.Now(), propagationLimit)
	restoredAt := time.Now()
	_, err = ops.RestoreZone(t.Context(), zone, changeRequest("restore zone"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return countArrivals(t, s, restoredEngines, restoredAt) >= 20 }, waitTimeout, pollInterval, "no requests after the zone was restored")
	requireCompleteStreams(t, l.Stop())
	for _, name := range restoredEngines {
		beforeFirstToken, firstToken := 0, time.Time{}
		for _, g := range s.EngineLedger(t, name).Generations {
			if g.ArrivedAt.Before(restoredAt) {
				continue
			}
			if first := g.ArrivedAt.Add(time.Duration(g.QueueMillis) * time.Millisecond); firstToken.IsZero() || first.Before(firstToken) {
				firstToken = first
			}
			if !g.ArrivedAt.After(firstToken) {
				beforeFirstToken++
			}
		}
		require.LessOrEqual(t, beforeFirstToken, s.Config.Servers[0].ColdLimit, "requests before the first token on %s", name)
	}
}
