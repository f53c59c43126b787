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
	ordered   = "flight-briefing"
	orderedOn = "briefing-1"
	// lateBy is how long an order is under way to the engine: longer than
	// another instance takes to own it.
	lateBy = 20 * time.Second
	// stepDelay gives the test time between two steps of an order.
	stepDelay = 60 * time.Millisecond
)

// TestLateOrder: an operator orders version 2 of a model, and the order is held
// up on its way to the engine. Its sender is frozen past its lease, so that two
// instances believe they own the engine, and the operator orders version 3
// through the other. Version 2 arrives in the end. The version that the operator
// was told to be loaded last is the one that stays: an engine that checks
// numbers refuses the old order; for one that ignores them nothing is ordered
// while an order may be under way.
func TestLateOrder(t *testing.T) {
	tests := map[string]struct {
		fencing pollenspindle.Fencing
		args    []string
	}{
		"engine checks numbers":  {pollenspindle.FencingChecked, nil},
		"engine ignores numbers": {pollenspindle.FencingIgnored, []string{"--ignore-fencing"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, system.Options{
				EngineArgs: []string{"--load-millis", "100"},
				ServerArgs: map[string][]string{orderedOn: tt.args},
				Config: func(c *pollenspindle.Config) {
					for i := range c.Servers {
						if c.Servers[i].Name == orderedOn {
							c.Servers[i].Fencing = tt.fencing
						}
					}
				},
			})
			frozen := ownerOf(t, s, orderedOn)
			other := s.Instances[0]
			if other == frozen {
				other = s.Instances[1]
			}
			late := holdUp(t, s, frozen)
			frozen.Process.Signal(t, syscall.SIGSTOP)
			s.List(t, frozen, "")
			told := false
			if tt.fencing == pollenspindle.FencingChecked {
				// Such an engine needs no wait for the order that is under way.
				require.Eventually(t, func() bool { return loadVersion(t, s, other, "3") }, patience, 10*pollEach)
				told = true
			}
			for time.Now().Before(late) {
				told = told || loadVersion(t, s, other, "3")
				pause(t.Context(), 10*pollEach)
			}
			t.Logf("version 3 loaded before version 2 arrived: %t", told)
			// The late order has arrived.
			lasts(t, late, time.Second)
			frozen.Process.Signal(t, syscall.SIGCONT)
			s.List(t, frozen, instancelist.StateLive)
			if told {
				require.Contains(t, stateOf(t, s, orderedOn).Models, engine.ModelVersion{Name: ordered, Version: "3"})
			}
			require.Eventually(t, func() bool { return loadVersion(t, s, other, "3") }, patience, 10*pollEach)
			require.Contains(t, stateOf(t, s, orderedOn).Models, engine.ModelVersion{Name: ordered, Version: "3"})
		})
	}
}

// holdUp orders version 2 through an instance and holds the order up between it
// and the engine. It returns when the order will have arrived.
func holdUp(t *testing.T, s *system.System, through *system.Instance) time.Time {
	t.Helper()
	// An owner that still waits for its right orders nothing.
	require.Eventually(t, func() bool { return loadVersion(t, s, through, "1") }, patience, 10*pollEach)
	through.PlatformProxy.SetDelay(stepDelay)
	var call sync.WaitGroup
	t.Cleanup(call.Wait)
	c := s.Operators(t, through)
	call.Go(func() {
		_, _ = c.LoadModel(t.Context(), ordered, operatorapi.EngineCommand{Server: orderedOn, Version: "2"})
	})
	require.Eventually(t, func() bool { return orderOpen(t, s, "load%20slot%200") }, patience, pollEach)
	proxy := s.Servers[orderedOn].Proxy
	proxy.SetDelay(lateBy)
	through.PlatformProxy.SetDelay(0)
	require.Eventually(t, func() bool { return orderOpen(t, s, orderedOn) }, patience, pollEach)
	lasts(t, time.Now(), time.Second)
	proxy.SetDelay(0)
	return time.Now().Add(lateBy)
}

// orderOpen reports whether an order holds the platform's object.
func orderOpen(t *testing.T, s *system.System, object string) bool {
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

// loadVersion orders a version and reports whether the operator was told that the
// engine has it.
func loadVersion(t *testing.T, s *system.System, in *system.Instance, version string) bool {
	t.Helper()
	outcome, err := s.Operators(t, in).LoadModel(t.Context(), ordered, operatorapi.EngineCommand{Server: orderedOn, Version: version})
	return err == nil && outcome.State != "loading"
}

func stateOf(t *testing.T, s *system.System, server string) engine.State {
	t.Helper()
	var state engine.State
	data := s.Control(t, s.Servers[server].Address, http.MethodGet, "/v1/state", nil)
	require.NoError(t, json.Unmarshal(data, &state))
	return state
}

// TestOrdersShareTheWeightStore: an operator loads a version on all engines at
// once, through all instances, while the platform loses answers of writes that
// took effect. Some orders are refused or fail and are repeated. In the end all
// engines have the version, and never did more than two read from the weight
// store at the same time, whoever owned them.
func TestOrdersShareTheWeightStore(t *testing.T) {
	address := process.Address(t)
	store := process.Start(t, filepath.Join(process.Build(t), "standin"), "weights", "--address", address,
		"--bytes", "2000000", "--bytes-per-second", "2000000")
	store.Line(t, "listening ")
	s := start(t, system.Options{EngineArgs: []string{"--weight-store", "http://" + address}})
	var orders sync.WaitGroup
	for i, server := range engines(s, "") {
		c := s.Operators(t, s.Instances[i%len(s.Instances)])
		orders.Go(func() {
			for end := time.Now().Add(patience); time.Now().Before(end); pause(t.Context(), 5*pollEach) {
				outcome, err := c.LoadModel(t.Context(), ordered, operatorapi.EngineCommand{Server: server, Version: "2"})
				if err == nil && outcome.State != "loading" {
					return
				}
			}
		})
	}
	for range 4 {
		faults(t, s, map[string]any{"loseAnswers": 1})
		pause(t.Context(), 25*pollEach)
	}
	faults(t, s, map[string]any{})
	orders.Wait()
	for _, server := range engines(s, "") {
		require.Contains(t, stateOf(t, s, server).Models, engine.ModelVersion{Name: ordered, Version: "2"}, server)
	}
	var stats weights.Stats
	require.NoError(t, json.Unmarshal(s.Control(t, address, http.MethodGet, "/control/stats", nil), &stats))
	t.Logf("%+v", stats)
	require.LessOrEqual(t, stats.MaxReaders, int64(2))
	require.GreaterOrEqual(t, stats.Reads, int64(len(engines(s, ""))))
}
