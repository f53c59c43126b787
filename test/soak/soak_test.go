// Package soak_test mixes faults at random under load and checks what must
// always hold. script/soak runs it for long; a seed that shows a fault becomes
// a test of its own in test/failure.
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
	duration = flag.Duration("for", 20*time.Second, "how long faults go on")
)

const (
	generators, writers = 10, 3
	// instances is how many each deployment has today, maxTogether how many
	// faults strike at the same time.
	instances, maxTogether = 7, 3
	// promised is when a zone taken out gets no new work any more.
	promised = 3 * time.Second
	patience = 60 * time.Second
	pollEach = 20 * time.Millisecond
)

// deployment names what the load asks of a deployment.
type deployment struct{ workspace, model, write string }

var deployments = map[string]deployment{
	"inyange": {"kigali-flyers", "flight-briefing", "/v1/services/club-desk/bookings"},
	"mavuno":  {"nairobi-schools", "menu-planner", "/v1/services/orders/confirmations"},
}

// TestSoak: callers read streams and send keyed calls while faults strike at
// random, up to three at once: instances killed, frozen, cut off; links cut
// and silent; the platform down, slow, losing answers; a zone taken out and
// brought back. Whatever the order, every stream is one generation in order,
// every key has at most one effect and none that was said not to have run, a
// zone taken out gets nothing after three seconds, no cold engine crashes,
// and when the faults end every instance serves again.
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
		load.Go(func() { c.work(ctx, t, i) })
	}
	load.Go(func() { watchVersions(ctx, t, s) })
	f := &injector{s: s, rng: rand.New(rand.NewPCG(*seed, uint64(len(name)))), count: map[string]int{}}
	for ctx.Err() == nil {
		f.strike(ctx, t)
	}
	f.heal(t)
	load.Wait()
	t.Logf("seed %d: faults %v, streams %d of which whole %d, refused %d, keys %d, effects checked",
		*seed, f.count, len(c.history.streams), c.history.whole, c.history.refused, len(c.history.keys))
	c.requireHolds(t)
	f.requireHolds(t)
	for _, in := range s.Instances {
		require.Eventually(t, func() bool { return serves(t, s, d, in) }, patience, pollEach, "%s does not serve again", in.ID)
	}
}

func (c *callers) work(ctx context.Context, t *testing.T, worker int) {
	rng := rand.New(rand.NewPCG(*seed, uint64(worker)))
	caller := c.s.Caller(c.d.workspace)
	for i := 0; ctx.Err() == nil; i++ {
		tag := fmt.Sprintf("%d-%d-%d", *seed, worker, i)
		if worker < generators {
			c.generate(t, rng, caller, tag)
		} else {
			c.write(t, rng, caller, tag)
		}
		pause(ctx, 10*time.Millisecond)
	}
}

func serves(t *testing.T, s *system.System, d deployment, in *system.Instance) bool {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	st, err := s.Caller(d.workspace).Generate(ctx, t, in.Caller, d.model, "after all", 5)
	if err != nil {
		return false
	}
	defer st.Close()
	return st.Failure == nil && st.Read(0) == nil && st.Failure == nil
}

func pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// injector strikes with faults and keeps what the checks need.
type injector struct {
	s     *system.System
	rng   *rand.Rand
	count map[string]int
	outs  []out
	// hit is what the faults of the present strike have hit.
	hit map[string]bool
}

// out is a time in which a zone gets no new work.
type out struct {
	servers  []string
	from, to time.Time
}

// strike lets one to three faults strike for some seconds, and ends them.
func (f *injector) strike(ctx context.Context, t *testing.T) {
	var ends []func()
	f.hit = map[string]bool{}
	for range 1 + f.rng.IntN(maxTogether) {
		ends = append(ends, f.fault(t))
	}
	pause(ctx, time.Duration(500+f.rng.IntN(4500))*time.Millisecond)
	for _, end := range ends {
		end()
	}
	pause(ctx, time.Duration(f.rng.IntN(1500))*time.Millisecond)
}

// fault begins one fault and returns what ends it.
func (f *injector) fault(t *testing.T) func() {
	s := f.s
	in := s.Instances[f.rng.IntN(len(s.Instances))]
	names := []string{"kill", "freeze", "peerCut", "peerSilent", "platformCut", "down", "slow", "loseAnswers", "zone", "engineSilent", "engineCut"}
	name := names[f.rng.IntN(len(names))]
	// Two faults of the same thing would be ended by the end of the first.
	target := in.ID
	switch name {
	case "down", "slow", "loseAnswers":
		target = "platform"
	case "zone":
		target = "zone"
	case "engineSilent", "engineCut":
		target = ""
	}
	if f.hit[target] {
		return func() {}
	}
	f.hit[target] = target != ""
	f.count[name]++
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
		return f.platform(t, map[string]any{"down": true})
	case "slow":
		return f.platform(t, map[string]any{"delayMillis": 2000})
	case "loseAnswers":
		return f.platform(t, map[string]any{"loseAnswers": 3})
	case "zone":
		return f.zone(t)
	}
	server := s.Config.Servers[f.rng.IntN(len(s.Config.Servers))]
	if name == "engineSilent" {
		s.Servers[server.Name].Proxy.SilenceOpen()
	} else {
		s.Servers[server.Name].Proxy.CutOpen()
	}
	return func() {}
}

func breakLinks(p *faultproxy.Proxy, mode faultproxy.Mode) func() {
	p.SetMode(mode)
	if mode == faultproxy.Silent {
		p.SilenceOpen()
	}
	return func() { p.SetMode(faultproxy.Pass) }
}

func (f *injector) platform(t *testing.T, set map[string]any) func() {
	f.s.Control(t, f.s.Platform.Address, http.MethodPut, "/control/faults", set)
	return func() { f.s.Control(t, f.s.Platform.Address, http.MethodPut, "/control/faults", struct{}{}) }
}

// zone takes a zone out, through the first instance that accepts it. It can
// fail, with the platform down; then nothing was promised.
func (f *injector) zone(t *testing.T) func() {
	zone := f.s.Config.Zones[f.rng.IntN(len(f.s.Config.Zones))].Name
	if !f.change(t, zone, (*operatorapi.Client).DrainZone) {
		return func() {}
	}
	o := out{from: time.Now().Add(promised)}
	for _, server := range f.s.Config.Servers {
		if server.Zone == zone {
			o.servers = append(o.servers, server.Name)
		}
	}
	return func() {
		o.to = time.Now()
		f.outs = append(f.outs, o)
		f.change(t, zone, (*operatorapi.Client).RestoreZone)
	}
}

type zoneCall func(c *operatorapi.Client, ctx context.Context, zone string, change operatorapi.ChangeRequest) (operatorapi.Accepted, error)

func (f *injector) change(t *testing.T, zone string, call zoneCall) bool {
	for _, in := range f.s.Instances {
		ctx, cancel := context.WithTimeout(t.Context(), promised)
		_, err := call(f.s.OperatorClient(t, in), ctx, zone, operatorapi.ChangeRequest{Author: "soak"})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// heal brings every zone back once the platform is there again.
func (f *injector) heal(t *testing.T) {
	for _, zone := range f.s.Config.Zones {
		require.Eventually(t, func() bool {
			return f.change(t, zone.Name, (*operatorapi.Client).RestoreZone)
		}, patience, pollEach, "zone %s is not restored", zone.Name)
	}
}

// requireHolds checks the engines' ledgers.
func (f *injector) requireHolds(t *testing.T) {
	t.Helper()
	for _, o := range f.outs {
		for _, name := range o.servers {
			for _, at := range f.arrivals(t, name) {
				late := at.After(o.from) && at.Before(o.to)
				require.False(t, late, "%s got work %s after its zone was out", name, at.Sub(o.from)+promised)
			}
		}
	}
	for _, server := range f.s.Config.Servers {
		if len(server.Models) == 0 {
			continue
		}
		// The name of an incarnation is NAME-START-RANDOM.
		incarnation := f.s.EngineLedger(t, server.Name).Incarnation
		parts := strings.Split(strings.TrimPrefix(incarnation, server.Name+"-"), "-")
		starts, err := strconv.Atoi(parts[0])
		require.NoError(t, err, incarnation)
		require.Equal(t, 1, starts, "%s crashed", server.Name)
	}
}

func newHistory() *history { return &history{keys: map[string][]answer.Outcome{}} }
