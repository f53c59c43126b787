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
	// calmSettle is the time until the owner takes a server for calm.
	calmSettle = 12 * time.Second
	pollsFor   = 20 * time.Second
)

// askRates are asks a second for each of so many servers of one owner. At the
// size designed for, 1,000 requests a second ask 2,000 servers.
var askRates = []float64{0, 0.25, 0.5, 1, 2}

// countedLoads answers load polls of servers that run as many requests as the
// mean, and counts them by address.
type countedLoads struct {
	mu    sync.Mutex
	polls map[string]int
}

// Load implements owner.Loads.
func (l *countedLoads) Load(_ context.Context, asked time.Time, _ pollenspindle.ServiceKind, address string) (admission.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls[address]++
	r := engineReport(runningOnEach)
	r.MeasuredAt = asked
	return r, nil
}

func (l *countedLoads) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.polls)
}

// pollRates measures how often an owner reads the load of calm servers, which
// asks for permits come to in a Poisson process each.
func pollRates(ctx context.Context) (Series, error) {
	out := Series{What: "load polls of a calm server", Unit: "calls/s", Over: "asks/s to it", Size: 0.5}
	cfg := pollenspindle.Config{Zones: fleet(1, 1).Zones, Services: fleet(1, 1).Services}
	for i := range askRates {
		s := server(i)
		s.ColdLimit = s.WarmLimit
		cfg.Servers = append(cfg.Servers, s)
	}
	self := instances(1)[0]
	r := &rights{lease: roster.NewLease(self, roster.Timing{LeaseDuration: 3 * time.Second, PermitValidity: 2 * time.Second})}
	r.lease.Adopt(time.Now(), roster.New(epoch, firstRoster([]roster.Instance{self})))
	snap, loads := config.NewSnapshot(1, cfg), &countedLoads{polls: map[string]int{}}
	o, err := owner.New(owner.Options{
		Self: self.ID, Incarnation: self.Incarnation, Rights: r, Config: func() *config.Snapshot { return snap },
		Loads: loads, Policy: admission.Predicted{}, Suspects: owner.NewSuspects(),
		PermitValidity: 2 * time.Second, PollInterval: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	if err != nil {
		return out, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() { o.Run(ctx) })
	for i, s := range cfg.Servers {
		duties.Go(func() { askOften(ctx, o, s.Name, askRates[i], uint64(i)) })
	}
	if err := objectapi.Pause(ctx, calmSettle); err != nil {
		return out, merry.Wrap(err)
	}
	loads.reset()
	if err := objectapi.Pause(ctx, pollsFor); err != nil {
		return out, merry.Wrap(err)
	}
	loads.mu.Lock()
	defer loads.mu.Unlock()
	for i, s := range cfg.Servers {
		out.Points = append(out.Points, Point{askRates[i], float64(loads.polls[s.Address]) / pollsFor.Seconds()})
	}
	return out, nil
}

// askOften asks for permits and gives each back at once.
func askOften(ctx context.Context, o *owner.Owner, server string, rate float64, seed uint64) {
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ; i++ {
		if objectapi.Pause(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) != nil {
			return
		}
		res := o.Acquire(ctx, &peerv1.AcquireRequest{
			Epoch: epoch, Server: server, Id: fmt.Sprint(server, i), Service: service, Model: modelName(0),
			Workspace: "workspace-001", PromptTokens: 300, MaxTokens: 1000, DeadlineMillis: 5000,
		})
		if g := res.GetGranted(); g != nil {
			o.Release([]*peerv1.Released{{Server: server, PermitId: g.GetPermitId(), Ending: string(permit.EndingCancelled)}})
		}
	}
}
