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

// quickWarm are engines that are warm soon and keep their ledger.
var quickWarm = []string{"--cold-millis", "400", "--crash", "restart"}

// TestZoneTakenOut: operators take an availability zone out under load, while
// one instance can't hear of it from the platform, or is frozen and acts on
// what was true before when it thaws. Callers go on being served; three
// seconds after the change was accepted no generation arrives in the zone,
// because an instance hears of it from peers, or takes no new work while it
// can't confirm that its configuration is the newest.
func TestZoneTakenOut(t *testing.T) {
	tests := map[string]struct {
		before, after func(t *testing.T, s *system.System, in *system.Instance)
		// refuses says that the instance must refuse all new work.
		refuses bool
	}{
		"all instances hear of it": {},
		"one can't reach the platform": {before: func(_ *testing.T, _ *system.System, in *system.Instance) {
			in.PlatformProxy.SetMode(faultproxy.Refuse)
		}},
		"one's links to the platform are silent": {before: func(_ *testing.T, _ *system.System, in *system.Instance) {
			in.PlatformProxy.SetMode(faultproxy.Silent)
			in.PlatformProxy.SilenceOpen()
		}},
		"one is cut off from all": {refuses: true, before: func(_ *testing.T, s *system.System, in *system.Instance) {
			isolate(s, in)
		}},
		"one is frozen and thaws": {
			before: func(t *testing.T, _ *system.System, in *system.Instance) { in.Process.Signal(t, syscall.SIGSTOP) },
			after:  func(t *testing.T, _ *system.System, in *system.Instance) { in.Process.Signal(t, syscall.SIGCONT) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: quickWarm})
			d := deployments["inyange"]
			zone := s.Config.Zones[0].Name
			in, out := engines(s, zone), engines(s, s.Config.Zones[1].Name)
			odd := ownerOf(t, s, in[0])
			hears := s.Instances[0]
			if odd == hears {
				hears = s.Instances[1]
			}
			l := startLoad(t, s, d, 16, s.Instances, generate(d, 20))
			l.requireServes(t, 40)
			if tt.before != nil {
				tt.before(t, s, odd)
			}
			_, err := s.OperatorClient(t, hears).DrainZone(t.Context(), zone, changeBy("take the zone out"))
			require.NoError(t, err)
			drained := time.Now()
			lasts(t, drained, promised)
			if tt.after != nil {
				tt.after(t, s, odd)
			}
			if !tt.refuses {
				l.requireServes(t, 100)
			}
			lasts(t, drained, 2*promised)
			if tt.refuses {
				requireRefusing(t, s, d, odd)
			}
			records := l.Stop()
			require.Zero(t, arrivals(t, s, in, drained.Add(promised)), "new work in a zone taken out")
			if !tt.refuses {
				require.Positive(t, arrivals(t, s, out, drained.Add(promised)))
			}
			requireSound(t, records)
			requireNoneCut(t, records)
		})
	}
}

// isolate cuts an instance off from the platform and from its peers, but not
// from its callers and the backend servers. A proxy doesn't know who calls, so
// the others lose each other too; they have the platform.
func isolate(s *system.System, in *system.Instance) {
	in.PlatformProxy.SetMode(faultproxy.Refuse)
	for _, other := range s.Instances {
		other.PeerProxy.SetMode(faultproxy.Refuse)
	}
}

// requireRefusing checks that an instance takes no new work and says that it
// wasn't run.
func requireRefusing(t *testing.T, s *system.System, d deployment, in *system.Instance) {
	t.Helper()
	for range 5 {
		r := generate(d, 5)(t.Context(), t, s.Caller(d.workspace), in, "refused")
		require.NotNil(t, r.failure, "%+v", r)
		require.Equal(t, answer.OutcomeNotRun, r.failure.Outcome)
		require.Equal(t, answer.Code(permit.ReasonNotConfirmed), r.failure.Code)
	}
}

// TestZoneRestored: operators bring an availability zone back under full load;
// its engines were warm when it left. Callers' requests wait for places there
// at that moment. Until one of them has shown a token, no more arrive than a
// cold server can handle, because each owner takes a server whose zone returns for
// cold: nobody knows what it went through.
func TestZoneRestored(t *testing.T) {
	s := start(t, system.Options{EngineArgs: quickWarm})
	d := deployments["inyange"]
	zone := s.Config.Zones[0].Name
	in := engines(s, zone)
	l := startLoad(t, s, d, 40, s.Instances, generate(d, 20))
	l.requireServes(t, 200)
	ops := s.OperatorClient(t, s.Instances[0])
	_, err := ops.DrainZone(t.Context(), zone, changeBy("take the zone out"))
	require.NoError(t, err)
	lasts(t, time.Now(), promised)
	restored := time.Now()
	_, err = ops.RestoreZone(t.Context(), zone, changeBy("bring the zone back"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return arrivals(t, s, in, restored) >= 20 }, patience, pollEach, "no work returns")
	requireSound(t, l.Stop())
	for _, name := range in {
		early, shown := 0, time.Time{}
		for _, g := range s.EngineLedger(t, name).Generations {
			if g.ArrivedAt.Before(restored) {
				continue
			}
			if first := g.ArrivedAt.Add(time.Duration(g.QueueMillis) * time.Millisecond); shown.IsZero() || first.Before(shown) {
				shown = first
			}
			if !g.ArrivedAt.After(shown) {
				early++
			}
		}
		require.LessOrEqual(t, early, s.Config.Servers[0].ColdLimit, "requests before the first token on %s", name)
	}
}
