package slopes

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/member"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/suspect"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// settle is the time for a duty to come into its rhythm, dutyFor that for
	// which it is measured.
	settle  = time.Second
	dutyFor = 3 * time.Second
	epoch   = 5
	// runningOnEach is the mean number of requests on a backend server at the
	// size designed for: 450,000 tokens a second, 42 ms a token, 2,000 servers.
	runningOnEach = 10
)

// ownerDuty measures the owner's duty: rights, load reports, queues.
func ownerDuty(ctx context.Context, _ Options) ([]Series, error) {
	var failed error
	measure := func(instances, servers int) float64 {
		v, err := ownerCost(ctx, instances, servers)
		if err != nil {
			failed = err
		}
		return v
	}
	return []Series{
		over("owner's duty at 350 instances", "% of a core", "servers", fullServers, serverSizes, func(n int) float64 {
			return measure(fullInstances, n)
		}),
		over("owner's duty at 2,000 servers", "% of a core", "instances", fullInstances, instanceSizes, func(n int) float64 {
			return measure(n, fullServers)
		}),
	}, failed
}

// rights is a confirmed lease.
type rights struct {
	mu    sync.Mutex
	lease *roster.Lease
}

// Right implements owner.Rights.
func (r *rights) Right(now time.Time, s roster.Server) permit.Authority {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Confirm(now, epoch)
	return r.lease.Right(now, s)
}

// Roster implements owner.Rights.
func (r *rights) Roster() *roster.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Roster()
}

// reports answers load polls at once.
type reports struct{}

// Load implements owner.Loads.
func (reports) Load(_ context.Context, asked time.Time, _ pollenspindle.ServiceKind, _ string) (admission.Report, error) {
	r := engineReport(runningOnEach)
	r.MeasuredAt = asked
	return r, nil
}

func ownerCost(ctx context.Context, members, servers int) (float64, error) {
	list := instances(members)
	self := typical(list, servers)
	r := &rights{lease: roster.NewLease(self, roster.Timing{Lease: 3 * time.Second, Permit: 2 * time.Second})}
	r.lease.Adopt(time.Now(), roster.New(epoch, firstRoster(list)))
	snap := config.NewSnapshot(1, fleet(servers, fullWorkspaces))
	o, err := owner.New(owner.Options{
		Self: self.ID, Incarnation: self.Incarnation, Rights: r, Config: func() *config.Snapshot { return snap },
		Loads: reports{}, Policy: admission.Predicted{}, Suspects: owner.NewSuspects(),
		PermitFor: 2 * time.Second, PollEvery: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	if err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return share(ctx, o.Run)
}

// typical returns the instance whose number of owned servers is nearest to the
// mean.
func typical(list []roster.Instance, servers int) roster.Instance {
	r := roster.New(epoch, firstRoster(list))
	owned := map[string]int{}
	for i := range servers {
		if in, ok := r.Owner(server(i).Name, regionName(i)); ok {
			owned[in.ID]++
		}
	}
	mean := servers / len(list)
	best := list[0]
	for _, in := range list {
		if distance(owned[in.ID], mean) < distance(owned[best.ID], mean) {
			best = in
		}
	}
	return best
}

func distance(a, b int) int { return max(a-b, b-a) }

// share runs a duty and returns its share of a core, in percent.
func share(ctx context.Context, duty func(context.Context)) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		duty(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	if err := objectapi.Pause(ctx, settle); err != nil {
		return 0, merry.Wrap(err)
	}
	before, start := processorTime(), time.Now()
	if err := objectapi.Pause(ctx, dutyFor); err != nil {
		return 0, merry.Wrap(err)
	}
	return 100 * float64(processorTime()-before) / float64(time.Since(start)), nil
}

// memberDuty measures heartbeats, the roster's watch and the list, of one
// member among fakes. A member sends as many heartbeats as it gets; the
// processor time of the fakes' answers stands for that of its own.
func memberDuty(ctx context.Context, _ Options) ([]Series, error) {
	shared := []Series{
		{What: "heartbeats: bytes sent by an instance", Unit: "bytes/s", Over: "instances", Size: fullInstances},
		{What: "heartbeats sent", Unit: "calls/s", Over: "instances", Size: fullInstances},
		{What: "member's duty, with the answers to as many", Unit: "% of a core", Over: "instances", Size: fullInstances},
		{What: "instance list: one body", Unit: "bytes", Over: "instances", Size: fullInstances},
	}
	for _, n := range instanceSizes {
		cost, err := memberCost(ctx, n, fullServers)
		if err != nil {
			return nil, err
		}
		for i, v := range []float64{cost.bytes, cost.calls, cost.cpu, cost.list} {
			shared[i].Points = append(shared[i].Points, Point{float64(n), v})
		}
	}
	servers := Series{What: "heartbeats: bytes sent by an instance, at 350 instances", Unit: "bytes/s", Over: "servers", Size: fullServers}
	cpu := Series{What: "member's duty at 350 instances", Unit: "% of a core", Over: "servers", Size: fullServers}
	for _, n := range serverSizes {
		cost, err := memberCost(ctx, fullInstances, n)
		if err != nil {
			return nil, err
		}
		servers.Points = append(servers.Points, Point{float64(n), cost.bytes})
		cpu.Points = append(cpu.Points, Point{float64(n), cost.cpu})
	}
	return append(shared, servers, cpu), nil
}

// memberCosts are what one member costs in a second, and the size of the list.
type memberCosts struct{ bytes, calls, cpu, list float64 }

func memberCost(ctx context.Context, members, servers int) (memberCosts, error) {
	key, err := peer.NewKey(sharedKey)
	if err != nil {
		return memberCosts{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	list := instances(members)
	world := &fakeWorld{servers: servers}
	var serving sync.WaitGroup
	defer serving.Wait()
	defer cancel()
	for i := range list {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return memberCosts{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		list[i].PeerAddress = l.Addr().String()
		s := peer.NewServer(fakePeer{in: list[i], adopters: make([]byte, (members+7)/8), world: world}, key, tally.NoopScope)
		serving.Go(func() { _ = s.Serve(ctx, countingListener{l, &world.bytes}) })
	}
	if err := world.fill(list); err != nil {
		return memberCosts{}, err
	}
	self := typical(list, servers)
	pool := peer.NewPool(self.ID, key, tally.NoopScope)
	defer pool.Close()
	m, err := member.New(member.Options{
		Self: self, Timing: roster.Timing{Lease: 3 * time.Second, Permit: 2 * time.Second},
		Objects: world, List: world, Config: world, Suspects: noSuspects{}, Peers: pool,
		Heartbeat: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	if err != nil {
		return memberCosts{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	var costs memberCosts
	costs.cpu, err = share(ctx, func(ctx context.Context) {
		go func() {
			if objectapi.Pause(ctx, settle) == nil {
				world.reset()
			}
		}()
		m.Run(ctx)
	})
	costs.bytes = float64(world.bytes.bytes.Load()) / dutyFor.Seconds()
	costs.calls = float64(world.beats.Load()) / dutyFor.Seconds()
	costs.list = float64(world.listBytes)
	return costs, err
}

// fakePeer answers heartbeats as a settled instance.
type fakePeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	in       roster.Instance
	adopters []byte
	world    *fakeWorld
}

// Heartbeat implements the service.
func (p fakePeer) Heartbeat(_ context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	p.world.beats.Add(1)
	res := &peerv1.HeartbeatResponse{
		Instance: p.in.ID, Incarnation: p.in.Incarnation, Epoch: epoch, ConfigVersion: 1, Adopters: p.adopters,
	}
	if req.GetWantIdentity() {
		res.Identity = &peerv1.Identity{
			PeerAddress: p.in.PeerAddress, CallerAddress: p.in.CallerAddress, Zone: p.in.Zone, Region: p.in.Region,
		}
	}
	return res, nil
}

// noSuspects knows none.
type noSuspects struct{}

func (noSuspects) Newest(time.Time, int) []suspect.Entry { return nil }
func (noSuspects) Merge(time.Time, []suspect.Entry)      {}

// fill makes what the platform and the configuration answer.
func (w *fakeWorld) fill(list []roster.Instance) error {
	var err error
	if w.roster, err = json.Marshal(firstRoster(list)); err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	for _, in := range list {
		w.list = append(w.list, instancelist.Instance{
			ID: in.ID, Address: in.CallerAddress, PeerAddress: in.PeerAddress, Zone: in.Zone, State: instancelist.StateLive,
		})
	}
	body, err := json.Marshal(w.list)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	w.listBytes = len(body)
	w.snapshot = config.NewSnapshot(1, fleet(w.servers, fullWorkspaces))
	return nil
}
