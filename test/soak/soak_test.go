// Package soak_test injects random faults under load and checks invariants. script/soak runs it
// for a long time; a seed that shows a fault becomes a test of its own in test/failure.
//
// # Usage
//
//	script/soak 42 10m
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the faults and of the load")
	duration = flag.Duration("for", 20*time.Second, "how long faults are injected")
)

const (
	generators, writers = 10, 3
	// instances is the number of entry instances per deployment, as in production.
	// maxConcurrentFaults is the number of faults active at the same time.
	instances, maxConcurrentFaults = 7, 3
	// drainLimit is the time after which a drained zone gets no new requests.
	drainLimit   = 3 * time.Second
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// deployment holds the workspace, model and plain call that the load uses.
type deployment struct{ workspace, model, write string }

var deployments = map[string]deployment{
	"inyange": {"kigali-flyers", "flight-briefing", "/v1/services/club-desk/bookings"},
	"mavuno":  {"nairobi-schools", "menu-planner", "/v1/services/orders/confirmations"},
}

// TestSoak injects random faults, up to three at once, while callers read streams and send calls
// with idempotency keys: instances are killed, frozen or cut off, links are cut or silent, the
// platform is down, slow or loses responses, zones are drained and restored. Throughout, every
// stream must be one generation in order; every key must have at most one effect, and none if it
// was reported as not run; a drained zone must get no requests after three seconds; no cold
// engine may crash. After the faults every instance must serve again.
func TestSoak(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, name, d)
		})
	}
}

func run(t *testing.T, name string, d deployment) {
	s := system.Start(t, system.Options{
		Deployment: name, Instances: instances,
		EngineArgs: []string{"--cold-limit", "2", "--cold-overload", "crash", "--crash", "restart", "--cold-millis", "2000"},
	})
	c := &callers{s: s, d: d, history: newHistory()}
	ctx, cancel := context.WithTimeout(t.Context(), *duration)
	defer cancel()
	var load sync.WaitGroup
	for i := range generators + writers {
		load.Go(func() { c.runWorker(ctx, t, i) })
	}
	load.Go(func() { watchVersions(ctx, t, s) })
	f := &injector{s: s, rng: rand.New(rand.NewPCG(*seed, uint64(len(name)))), faultCounts: map[string]int{}}
	for ctx.Err() == nil {
		f.injectFaults(ctx, t)
	}
	f.restoreZones(t)
	load.Wait()
	t.Logf("seed %d: faults %v, %d streams, %d of them complete, %d refused, %d keys",
		*seed, f.faultCounts, len(c.history.streams), c.history.complete, c.history.refused, len(c.history.outcomesByKey))
	c.requireInvariants(t)
	f.requireInvariants(t)
	for _, in := range s.Instances {
		require.Eventually(t, func() bool { return isServing(t, s, d, in) }, waitTimeout, pollInterval, "%s does not recover", in.ID)
	}
}

func (c *callers) runWorker(ctx context.Context, t *testing.T, worker int) {
	rng := rand.New(rand.NewPCG(*seed, uint64(worker)))
	caller := c.s.Caller(c.d.workspace)
	for i := 0; ctx.Err() == nil; i++ {
		tag := fmt.Sprintf("%d-%d-%d", *seed, worker, i)
		if worker < generators {
			c.generate(t, rng, caller, tag)
		} else {
			c.write(t, rng, caller, tag)
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

func isServing(t *testing.T, s *system.System, d deployment, in *system.Instance) bool {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	st, err := s.Caller(d.workspace).Generate(ctx, t, in.Caller, d.model, "after all", 5)
	if err != nil {
		return false
	}
	defer st.Close()
	return st.Failure == nil && st.Read(0) == nil && st.Failure == nil
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// injector injects faults and keeps what the checks need.
type injector struct {
	s           *system.System
	rng         *rand.Rand
	faultCounts map[string]int
	drains      []drainPeriod
	// targets holds the components affected by the current faults.
	targets map[string]bool
}

// drainPeriod is a period in which a drained zone must get no new requests.
type drainPeriod struct {
	servers  []string
	from, to time.Time
}

// injectFaults starts one to three faults and ends them after a few seconds.
func (f *injector) injectFaults(ctx context.Context, t *testing.T) {
	var ends []func()
	f.targets = map[string]bool{}
	for range 1 + f.rng.IntN(maxConcurrentFaults) {
		ends = append(ends, f.startFault(t))
	}
	sleep(ctx, time.Duration(500+f.rng.IntN(4500))*time.Millisecond)
	for _, end := range ends {
		end()
	}
	sleep(ctx, time.Duration(f.rng.IntN(1500))*time.Millisecond)
}

// startFault starts one random fault and returns the function that ends it.
func (f *injector) startFault(t *testing.T) func() {
	s := f.s
	in := s.Instances[f.rng.IntN(len(s.Instances))]
	names := []string{"kill", "freeze", "peerCut", "peerSilent", "platformCut", "down", "slow", "loseAnswers", "zone", "engineSilent", "engineCut"}
	name := names[f.rng.IntN(len(names))]
	// The end of one fault would also end a second fault on the same target.
	target := in.ID
	switch name {
	case "down", "slow", "loseAnswers":
		target = "platform"
	case "zone":
		target = "zone"
	case "engineSilent", "engineCut":
		target = ""
	}
	if f.targets[target] {
		return func() {}
	}
	f.targets[target] = target != ""
	f.faultCounts[name]++
	switch name {
	case "kill":
		in.Process.Kill()
		return func() { s.RestartInstance(t, in) }
	case "freeze":
		in.Process.Signal(t, syscall.SIGSTOP)
		return func() { in.Process.Signal(t, syscall.SIGCONT) }
	case "peerCut":
		return breakLinks(in.PeerProxy, faultproxy.Refuse)
	case "peerSilent":
		return breakLinks(in.PeerProxy, faultproxy.Silent)
	case "platformCut":
		return breakLinks(in.PlatformProxy, faultproxy.Refuse)
	case "down":
		return f.setPlatformFaults(t, map[string]any{"down": true})
	case "slow":
		return f.setPlatformFaults(t, map[string]any{"delayMillis": 2000})
	case "loseAnswers":
		return f.setPlatformFaults(t, map[string]any{"loseAnswers": 3})
	case "zone":
		return f.drainRandomZone(t)
	}
	server := s.Config.Servers[f.rng.IntN(len(s.Config.Servers))]
	if name == "engineSilent" {
		s.Servers[server.Name].Proxy.SilenceOpenConnections()
	} else {
		s.Servers[server.Name].Proxy.CloseOpenConnections()
	}
	return func() {}
}

func breakLinks(p *faultproxy.Proxy, mode faultproxy.Mode) func() {
	p.SetMode(mode)
	if mode == faultproxy.Silent {
		p.SilenceOpenConnections()
	}
	return func() { p.SetMode(faultproxy.Pass) }
}

func (f *injector) setPlatformFaults(t *testing.T, set map[string]any) func() {
	f.s.Control(t, f.s.Platform.Address, http.MethodPut, "/control/faults", set)
	return func() { f.s.Control(t, f.s.Platform.Address, http.MethodPut, "/control/faults", struct{}{}) }
}

// drainRandomZone drains a zone through the first instance that accepts the change. If none does,
// for example because the platform is down, nothing is checked.
func (f *injector) drainRandomZone(t *testing.T) func() {
	zone := f.s.Config.Zones[f.rng.IntN(len(f.s.Config.Zones))].Name
	if !f.changeZone(t, zone, (*operatorapi.Client).DrainZone) {
		return func() {}
	}
	o := drainPeriod{from: time.Now().Add(drainLimit)}
	for _, server := range f.s.Config.Servers {
		if server.Zone == zone {
			o.servers = append(o.servers, server.Name)
		}
	}
	return func() {
		o.to = time.Now()
		f.drains = append(f.drains, o)
		f.changeZone(t, zone, (*operatorapi.Client).RestoreZone)
	}
}

type zoneCall func(c *operatorapi.Client, ctx context.Context, zone string, change operatorapi.ChangeRequest) (operatorapi.ChangeResult, error)

func (f *injector) changeZone(t *testing.T, zone string, call zoneCall) bool {
	for _, in := range f.s.Instances {
		ctx, cancel := context.WithTimeout(t.Context(), drainLimit)
		_, err := call(f.s.OperatorClient(t, in), ctx, zone, operatorapi.ChangeRequest{Author: "soak"})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// restoreZones restores every zone once the platform is reachable again.
func (f *injector) restoreZones(t *testing.T) {
	for _, zone := range f.s.Config.Zones {
		require.Eventually(t, func() bool {
			return f.changeZone(t, zone.Name, (*operatorapi.Client).RestoreZone)
		}, waitTimeout, pollInterval, "zone %s is not restored", zone.Name)
	}
}

// requireInvariants checks the ledgers of the engines.
func (f *injector) requireInvariants(t *testing.T) {
	t.Helper()
	for _, o := range f.drains {
		for _, name := range o.servers {
			for _, at := range f.arrivalTimes(t, name) {
				late := at.After(o.from) && at.Before(o.to)
				require.False(t, late, "%s got a request %s after its zone was drained", name, at.Sub(o.from)+drainLimit)
			}
		}
	}
	for _, server := range f.s.Config.Servers {
		if len(server.Models) == 0 {
			continue
		}
		// An incarnation is named SERVER-START-RANDOM, where START counts its starts.
		incarnation := f.s.EngineLedger(t, server.Name).Incarnation
		parts := strings.Split(strings.TrimPrefix(incarnation, server.Name+"-"), "-")
		starts, err := strconv.Atoi(parts[0])
		require.NoError(t, err, incarnation)
		require.Equal(t, 1, starts, "%s crashed", server.Name)
	}
}

func newHistory() *history { return &history{outcomesByKey: map[string][]answer.Outcome{}} }
