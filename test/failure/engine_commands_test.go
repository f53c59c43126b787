package failure_test

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/commandlock"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/standin/weights"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/process"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	commandModel  = "flight-briefing"
	commandServer = "briefing-1"
	// commandDelay is the time that a delayed command takes to reach the engine: longer than
	// another instance needs to become the owner.
	commandDelay = 20 * time.Second
	// stepDelay lets the test act between two steps of a command.
	stepDelay = 60 * time.Millisecond
)

// TestLateEngineCommand delays a command to load version 2 on its way to the engine. Its sender is
// frozen past its lease, so that two instances believe they own the engine, and version 3 is loaded
// through the other. When version 2 arrives, the version last acknowledged to the operator must
// stay: an engine that checks fencing tokens refuses the late command; for one that ignores them,
// no command is sent while another may be in flight.
func TestLateEngineCommand(t *testing.T) {
	tests := map[string]struct {
		fencing pollenspindle.Fencing
		args    []string
	}{
		"engine checks fencing tokens":  {pollenspindle.FencingChecked, nil},
		"engine ignores fencing tokens": {pollenspindle.FencingIgnored, []string{"--ignore-fencing"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{
				EngineArgs: []string{"--load-millis", "100"},
				ServerArgs: map[string][]string{commandServer: tt.args},
				Config: func(c *pollenspindle.Config) {
					for i := range c.Servers {
						if c.Servers[i].Name == commandServer {
							c.Servers[i].Fencing = tt.fencing
						}
					}
				},
			})
			frozen := ownerOf(t, s, commandServer)
			other := s.Instances[0]
			if other == frozen {
				other = s.Instances[1]
			}
			arrival := delayLoadCommand(t, s, frozen)
			frozen.Process.Signal(t, syscall.SIGSTOP)
			s.SetInstanceState(t, frozen, "")
			acknowledged := false
			if tt.fencing == pollenspindle.FencingChecked {
				// Such an engine doesn't need to wait for the command in flight.
				require.Eventually(t, func() bool { return loadVersion(t, s, other, "3") }, waitTimeout, 10*pollInterval)
				acknowledged = true
			}
			for time.Now().Before(arrival) {
				acknowledged = acknowledged || loadVersion(t, s, other, "3")
				sleep(t.Context(), 10*pollInterval)
			}
			t.Logf("version 3 loaded before version 2 arrived: %t", acknowledged)
			// The late command has arrived.
			waitElapsed(t, arrival, time.Second)
			frozen.Process.Signal(t, syscall.SIGCONT)
			s.SetInstanceState(t, frozen, instancelist.StateLive)
			if acknowledged {
				require.Contains(t, engineState(t, s, commandServer).Models, engine.ModelVersion{Name: commandModel, Version: "3"})
			}
			require.Eventually(t, func() bool { return loadVersion(t, s, other, "3") }, waitTimeout, 10*pollInterval)
			require.Contains(t, engineState(t, s, commandServer).Models, engine.ModelVersion{Name: commandModel, Version: "3"})
		})
	}
}

// delayLoadCommand sends the command to load version 2 through an instance and delays it between
// the instance and the engine. It returns the time at which the command will have arrived.
func delayLoadCommand(t *testing.T, s *system.System, through *system.Instance) time.Time {
	t.Helper()
	// An owner that still waits for its right to grant sends no commands.
	require.Eventually(t, func() bool { return loadVersion(t, s, through, "1") }, waitTimeout, 10*pollInterval)
	through.PlatformProxy.SetDelay(stepDelay)
	var call sync.WaitGroup
	t.Cleanup(call.Wait)
	c := s.OperatorClient(t, through)
	call.Go(func() {
		_, _ = c.LoadModel(t.Context(), commandModel, operatorapi.EngineCommand{Server: commandServer, Version: "2"})
	})
	require.Eventually(t, func() bool { return commandPending(t, s, "load%20slot%200") }, waitTimeout, pollInterval)
	proxy := s.Servers[commandServer].Proxy
	proxy.SetDelay(commandDelay)
	through.PlatformProxy.SetDelay(0)
	require.Eventually(t, func() bool { return commandPending(t, s, commandServer) }, waitTimeout, pollInterval)
	waitElapsed(t, time.Now(), time.Second)
	proxy.SetDelay(0)
	return time.Now().Add(commandDelay)
}

// commandPending reports whether an unfinished command is recorded in the platform's object.
func commandPending(t *testing.T, s *system.System, object string) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Platform.Address+"/objects/fencing/"+object, nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return false
	}
	var o struct {
		Value commandlock.Record `json:"value"`
	}
	require.NoError(t, json.NewDecoder(res.Body).Decode(&o))
	return !o.Value.Ended
}

// loadVersion sends the command to load a version and reports whether the engine has confirmed it.
func loadVersion(t *testing.T, s *system.System, in *system.Instance, version string) bool {
	t.Helper()
	outcome, err := s.OperatorClient(t, in).LoadModel(t.Context(), commandModel, operatorapi.EngineCommand{Server: commandServer, Version: version})
	return err == nil && outcome.State != "loading"
}

func engineState(t *testing.T, s *system.System, server string) engine.State {
	t.Helper()
	var state engine.State
	data := s.Control(t, s.Servers[server].Address, http.MethodGet, "/v1/state", nil)
	require.NoError(t, json.Unmarshal(data, &state))
	return state
}

// TestLoadsShareWeightStore loads a version on all engines at once through all instances while the
// platform loses responses to writes that took effect. Refused and failed commands are repeated. In
// the end all engines must have the version, and at most two may have read from the weight store at
// the same time, regardless of their owners.
func TestLoadsShareWeightStore(t *testing.T) {
	address := process.FreeAddress(t)
	store := process.Start(t, filepath.Join(process.Build(t), "standin"), "weights", "--address", address,
		"--bytes", "2000000", "--bytes-per-second", "2000000")
	store.WaitForLine(t, "listening ")
	s := start(t, system.Options{EngineArgs: []string{"--weight-store", "http://" + address}})
	var orders sync.WaitGroup
	for i, server := range engineNames(s, "") {
		c := s.OperatorClient(t, s.Instances[i%len(s.Instances)])
		orders.Go(func() {
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); sleep(t.Context(), 5*pollInterval) {
				outcome, err := c.LoadModel(t.Context(), commandModel, operatorapi.EngineCommand{Server: server, Version: "2"})
				if err == nil && outcome.State != "loading" {
					return
				}
			}
		})
	}
	for range 4 {
		putPlatformFaults(t, s, map[string]any{"loseAnswers": 1})
		sleep(t.Context(), 25*pollInterval)
	}
	putPlatformFaults(t, s, map[string]any{})
	orders.Wait()
	for _, server := range engineNames(s, "") {
		require.Contains(t, engineState(t, s, server).Models, engine.ModelVersion{Name: commandModel, Version: "2"}, server)
	}
	var stats weights.Stats
	require.NoError(t, json.Unmarshal(s.Control(t, address, http.MethodGet, "/control/stats", nil), &stats))
	t.Logf("%+v", stats)
	require.LessOrEqual(t, stats.MaxReaders, int64(2))
	require.GreaterOrEqual(t, stats.Reads, int64(len(engineNames(s, ""))))
}
