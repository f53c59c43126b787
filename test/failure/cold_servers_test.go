// Package failure_test injects faults into real processes and the links between them, and checks
// the results at callers, engines and services.
//
// # Usage
//
//	go test -run TestZone ./test/failure
package failure_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// systemSlots limits the number of concurrent systems; each has eight processes.
var systemSlots = make(chan struct{}, 3)

func start(t *testing.T, opts system.Options) *system.System {
	t.Helper()
	t.Parallel()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	return system.Start(t, opts)
}

// coldEngineArgs makes engines stay cold for 20 s of real time at time scale 4 and crash above two
// concurrent requests. They restart in the same process, so that the ledger records the crash.
var coldEngineArgs = []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "80000"}

// TestColdServersNeverCrash sends bursts through all instances to engines that have just started
// and crash above two concurrent requests. Meanwhile the owner of an engine's limit is killed, is
// frozen past its lease so that two instances believe they own the engine, or can't reach the
// others, so that its deputy grants permits too. All permits together must stay within the cold
// limit, because each right to grant ends before the next one begins.
func TestColdServersNeverCrash(t *testing.T) {
	cut := func(mode faultproxy.Mode) func(t *testing.T, s *system.System, owner *system.Instance) {
		return func(t *testing.T, s *system.System, _ *system.Instance) {
			for _, in := range s.Instances {
				in.PeerProxy.SetMode(mode)
				if mode == faultproxy.Silent {
					in.PeerProxy.SilenceOpenConnections()
				}
			}
			waitElapsed(t, time.Now(), 6*time.Second)
			for _, in := range s.Instances {
				in.PeerProxy.SetMode(faultproxy.Pass)
				in.PeerProxy.CloseOpenConnections()
			}
		}
	}
	tests := map[string]func(t *testing.T, s *system.System, owner *system.Instance){
		"no further fault": func(*testing.T, *system.System, *system.Instance) {},
		"owner killed": func(t *testing.T, s *system.System, owner *system.Instance) {
			owner.Process.Kill()
			s.SetInstanceState(t, owner, "")
		},
		"owner frozen past its lease": func(t *testing.T, s *system.System, owner *system.Instance) {
			owner.Process.Signal(t, syscall.SIGSTOP)
			s.SetInstanceState(t, owner, "")
			waitElapsed(t, time.Now(), 7*time.Second)
			owner.Process.Signal(t, syscall.SIGCONT)
		},
		"peer links cut":    cut(faultproxy.Refuse),
		"peer links silent": cut(faultproxy.Silent),
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: coldEngineArgs})
			d := deployments["inyange"]
			all := engineNames(s, "")
			before := incarnations(t, s, all)
			l := startLoad(t, s, d, 24, s.Instances, generate(d, 30))
			l.waitServed(t, 10)
			fault(t, s, ownerOf(t, s, all[0]))
			l.waitServed(t, 20)
			records := l.Stop()
			require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
			requireCompleteStreams(t, records)
		})
	}
}

// TestServerTurnsCold sends a burst to engines that have turned cold again without a restart, which
// only their load reports show. After such a report owners must keep to the cold limit, regardless
// of successful requests, until a report says warm.
func TestServerTurnsCold(t *testing.T) {
	s := start(t, system.Options{EngineArgs: []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "400"}})
	d := deployments["inyange"]
	all := engineNames(s, "")
	l := startLoad(t, s, d, 24, s.Instances, generate(d, 30))
	l.waitServed(t, 100)
	l.Stop()
	before := incarnations(t, s, all)
	for _, name := range all {
		s.Control(t, s.Servers[name].Address, http.MethodPost, "/control/cold", map[string]any{"millis": 40000})
	}
	require.Eventually(t, func() bool {
		servers, err := s.OperatorClient(t, ownerOf(t, s, all[0])).Servers(t.Context())
		cold := 0
		for _, v := range servers.Servers {
			if v.Status.Load == "cold" {
				cold++
			}
		}
		return err == nil && cold == len(all)
	}, waitTimeout, pollInterval, "not all engines are reported as cold")
	l = startLoad(t, s, d, 24, s.Instances, generate(d, 30))
	l.waitServed(t, 40)
	requireCompleteStreams(t, l.Stop())
	require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
}

// TestServerRestartsUnderLoad crashes a warm engine under full load; it restarts at once, cold. The
// next load report comes up to half a second later, while callers repeat immediately. A broken
// stream is the first sign of a restart: the owner must grant no permits until it has a report
// measured after it, so that the engine doesn't crash again.
func TestServerRestartsUnderLoad(t *testing.T) {
	args := []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "6000"}
	s := start(t, system.Options{EngineArgs: args})
	d := deployments["inyange"]
	all := engineNames(s, "")
	l := startLoad(t, s, d, 40, s.Instances, generate(d, 60))
	l.waitServed(t, 150)
	s.Control(t, s.Servers[all[0]].Address, http.MethodPost, "/control/crash", nil)
	after := incarnations(t, s, all)
	l.waitServed(t, 150)
	requireCompleteStreams(t, l.Stop())
	require.Equal(t, after, incarnations(t, s, all), "an engine crashed again")
}

// TestLeavingServer drains or reclaims an engine with running streams. The streams must complete,
// and after three seconds no new generation may arrive there, while callers are served elsewhere.
func TestLeavingServer(t *testing.T) {
	tests := map[string]func(t *testing.T, s *system.System, name string){
		"drained by operators": func(t *testing.T, s *system.System, name string) {
			_, err := s.OperatorClient(t, s.Instances[1]).DrainServer(t.Context(), name, changeRequest("drain"))
			require.NoError(t, err)
		},
		"reclaimed": func(t *testing.T, s *system.System, name string) {
			s.Control(t, s.Servers[name].Address, http.MethodPost, "/control/leave", nil)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: []string{"--cold-millis", "400"}})
			d := deployments["inyange"]
			leaving := engineNames(s, "")[0]
			l := startLoad(t, s, d, 12, s.Instances, generate(d, 40))
			l.waitServed(t, 30)
			running := s.EngineLedger(t, leaving).Generations
			leave(t, s, leaving)
			leftAt := time.Now()
			waitElapsed(t, leftAt, propagationLimit)
			l.waitServed(t, 60)
			records := l.Stop()
			require.Zero(t, countArrivals(t, s, []string{leaving}, leftAt.Add(propagationLimit)))
			requireCompleteStreams(t, records)
			requireNoBrokenStreams(t, records)
			for i, g := range s.EngineLedger(t, leaving).Generations[:len(running)] {
				require.Equal(t, "finished", string(g.Status), "generation %d", i)
			}
		})
	}
}

// requireNoBrokenStreams checks that no stream failed after its first token.
func requireNoBrokenStreams(t *testing.T, records []record) {
	t.Helper()
	for _, r := range records {
		if r.stream != nil && len(r.stream.Tokens) > 0 {
			require.NoError(t, r.err)
			require.Nil(t, r.failure, "%+v", r.failure)
		}
	}
}
