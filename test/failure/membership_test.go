// Package failure_test breaks real processes and the links between them, and
// checks what callers, engines and services saw.
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

// slots bounds the systems that run at once: each is eight processes.
var slots = make(chan struct{}, 3)

func start(t *testing.T, opts system.Options) *system.System {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	return system.Start(t, opts)
}

// coldEngines stay cold for 20 s of the clock at time scale 4, and die above
// two requests at once. They come back in the same process, so that the ledger
// tells of it.
var coldEngines = []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "80000"}

// TestColdServersNeverCrash: callers send bursts through all instances to
// engines that have just started, and that die above two requests at once. In
// the middle the owner of an engine's limit is killed, frozen past its lease
// so that two believe they own it, or can't reach the others, so that its
// deputy gives permits too. Whoever gives the permits, together they stay
// within the cold limit, because each right ends before the next one begins.
func TestColdServersNeverCrash(t *testing.T) {
	cut := func(mode faultproxy.Mode) func(t *testing.T, s *system.System, owner *system.Instance) {
		return func(t *testing.T, s *system.System, _ *system.Instance) {
			for _, in := range s.Instances {
				in.PeerProxy.SetMode(mode)
				if mode == faultproxy.Silent {
					in.PeerProxy.SilenceOpen()
				}
			}
			lasts(t, time.Now(), 6*time.Second)
			for _, in := range s.Instances {
				in.PeerProxy.SetMode(faultproxy.Pass)
				in.PeerProxy.CutOpen()
			}
		}
	}
	tests := map[string]func(t *testing.T, s *system.System, owner *system.Instance){
		"nothing else fails": func(*testing.T, *system.System, *system.Instance) {},
		"owner killed": func(t *testing.T, s *system.System, owner *system.Instance) {
			owner.Process.Kill()
			s.SetInstanceState(t, owner, "")
		},
		"owner frozen past its lease": func(t *testing.T, s *system.System, owner *system.Instance) {
			owner.Process.Signal(t, syscall.SIGSTOP)
			s.SetInstanceState(t, owner, "")
			lasts(t, time.Now(), 7*time.Second)
			owner.Process.Signal(t, syscall.SIGCONT)
		},
		"peer links cut":    cut(faultproxy.Refuse),
		"peer links silent": cut(faultproxy.Silent),
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{EngineArgs: coldEngines})
			d := deployments["inyange"]
			all := engines(s, "")
			before := incarnations(t, s, all)
			l := startLoad(t, s, d, 24, s.Instances, generate(d, 30))
			l.requireServes(t, 10)
			fault(t, s, ownerOf(t, s, all[0]))
			l.requireServes(t, 20)
			records := l.Stop()
			require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
			requireSound(t, records)
		})
	}
}

// TestServerTurnsCold: a caller's burst meets engines that were warm and have
// lost their warm state without a new start; only their load reports say so.
// From the report on the owners give no more than the cold limit, however
// often requests succeed, until the report says warm.
func TestServerTurnsCold(t *testing.T) {
	s := start(t, system.Options{EngineArgs: []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "400"}})
	d := deployments["inyange"]
	all := engines(s, "")
	l := startLoad(t, s, d, 24, s.Instances, generate(d, 30))
	l.requireServes(t, 100)
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
	}, patience, pollEach, "the report is not known")
	l = startLoad(t, s, d, 24, s.Instances, generate(d, 30))
	l.requireServes(t, 40)
	requireSound(t, l.Stop())
	require.Equal(t, before, incarnations(t, s, all), "an engine crashed")
}

// TestServerRestartsUnderLoad: callers' streams break when a warm engine dies
// under its full load and is back at once, cold. Its owner learns of that from
// the next load report only, half a second later, and callers repeat at once.
// A broken stream is the first sign of a restart, so the owner gives nothing
// until a report measured after it; the engine doesn't crash a second time.
func TestServerRestartsUnderLoad(t *testing.T) {
	args := []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "6000"}
	s := start(t, system.Options{EngineArgs: args})
	d := deployments["inyange"]
	all := engines(s, "")
	l := startLoad(t, s, d, 40, s.Instances, generate(d, 60))
	l.requireServes(t, 150)
	s.Control(t, s.Servers[all[0]].Address, http.MethodPost, "/control/crash", nil)
	after := incarnations(t, s, all)
	l.requireServes(t, 150)
	requireSound(t, l.Stop())
	require.Equal(t, after, incarnations(t, s, all), "an engine crashed again")
}

// TestLeavingServer: callers' streams run on an engine that is told to leave,
// by an operator or by whoever reclaims it. The streams end whole; after three
// seconds no new generation arrives there, while callers are served elsewhere.
func TestLeavingServer(t *testing.T) {
	tests := map[string]func(t *testing.T, s *system.System, name string){
		"drained by operators": func(t *testing.T, s *system.System, name string) {
			_, err := s.OperatorClient(t, s.Instances[1]).DrainServer(t.Context(), name, changeBy("drain"))
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
			leaving := engines(s, "")[0]
			l := startLoad(t, s, d, 12, s.Instances, generate(d, 40))
			l.requireServes(t, 30)
			running := s.EngineLedger(t, leaving).Generations
			leave(t, s, leaving)
			left := time.Now()
			lasts(t, left, promised)
			l.requireServes(t, 60)
			records := l.Stop()
			require.Zero(t, arrivals(t, s, []string{leaving}, left.Add(promised)))
			requireSound(t, records)
			requireNoneCut(t, records)
			for i, g := range s.EngineLedger(t, leaving).Generations[:len(running)] {
				require.Equal(t, "finished", string(g.Status), "generation %d", i)
			}
		})
	}
}

// requireNoneCut checks that no stream that had begun was broken off.
func requireNoneCut(t *testing.T, records []record) {
	t.Helper()
	for _, r := range records {
		if r.stream != nil && len(r.stream.Tokens) > 0 {
			require.NoError(t, r.err)
			require.Nil(t, r.failure, "%+v", r.failure)
		}
	}
}
