package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// stableSettleTime is the time until the owner counts a server as stable and polls it less
	// often.
	stableSettleTime = 12 * time.Second
	pollMeasureTime  = 20 * time.Second
)

// acquireRates are the permit requests per second of each server; there is one server per rate.
// At the design size, 1,000 requests per second are spread over 2,000 servers.
var acquireRates = []float64{0, 0.25, 0.5, 1, 2}

// countingLoads responds to load polls of servers with the mean number of running requests and
// counts the polls by address.
type countingLoads struct {
	mu    sync.Mutex
	polls map[string]int
}

// Load implements owner.Loads.
func (l *countingLoads) Load(_ context.Context, polledAt time.Time, _ pollenspindle.ServiceKind, address string) (admission.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls[address]++
	r := engineReport(runningPerServer)
	r.MeasuredAt = polledAt
	return r, nil
}

func (l *countingLoads) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.polls)
}

// pollRateSeries measures how often an owner polls stable servers, for which permits are
// requested in a Poisson process each.
func pollRateSeries(ctx context.Context) (Series, error) {
	out := Series{Name: "load polls of a stable server", Unit: "calls/s", SizeName: "permit requests/s to it", DesignSize: 0.5}
	cfg := pollenspindle.Config{Zones: fleetConfig(1, 1).Zones, Services: fleetConfig(1, 1).Services}
	for i := range acquireRates {
		s := serverConfig(i)
		s.ColdLimit = s.WarmLimit
		cfg.Servers = append(cfg.Servers, s)
	}
	self := rosterInstances(1)[0]
	lease := &confirmedLease{lease: roster.NewLease(self, roster.Timing{LeaseDuration: 3 * time.Second, PermitLifetime: 2 * time.Second})}
	lease.lease.Adopt(time.Now(), roster.New(epoch, initialRoster([]roster.Instance{self})))
	snap, loads := config.NewSnapshot(1, cfg), &countingLoads{polls: map[string]int{}}
	o, err := owner.New(owner.Options{
		Self: self.ID, Incarnation: self.Incarnation, AuthoritySource: lease, Config: func() *config.Snapshot { return snap },
		Loads: loads, Policy: admission.Predicted{}, Suspects: owner.NewSuspects(zerolog.Nop()),
		PermitLifetime: 2 * time.Second, PollInterval: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	if err != nil {
		return out, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { o.Run(ctx) })
	for i, s := range cfg.Servers {
		running.Go(func() { acquireRepeatedly(ctx, o, s.Name, acquireRates[i], uint64(i)) })
	}
	if err := objectapi.Sleep(ctx, stableSettleTime); err != nil {
		return out, merry.Wrap(err)
	}
	loads.reset()
	if err := objectapi.Sleep(ctx, pollMeasureTime); err != nil {
		return out, merry.Wrap(err)
	}
	loads.mu.Lock()
	defer loads.mu.Unlock()
	for i, s := range cfg.Servers {
		out.Points = append(out.Points, Point{acquireRates[i], float64(loads.polls[s.Address]) / pollMeasureTime.Seconds()})
	}
	return out, nil
}

// acquireRepeatedly acquires permits and releases each immediately.
func acquireRepeatedly(ctx context.Context, o *owner.Owner, server string, rate float64, seed uint64) {
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ; i++ {
		if objectapi.Sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) != nil {
			return
		}
		res := o.Acquire(ctx, &peerv1.AcquireRequest{
			Epoch: epoch, Server: server, Id: fmt.Sprint(server, i), Service: serviceName, Model: modelName(0),
			Workspace: "workspace-001", PromptTokens: 300, MaxTokens: 1000, DeadlineMillis: 5000,
		})
		if g := res.GetGranted(); g != nil {
			o.Release([]*peerv1.Released{{Server: server, PermitId: g.GetPermitId(), Ending: string(permit.EndingCancelled)}})
		}
	}
}
