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
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/member"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// settleTime is how long a background loop runs before it is measured, measureTime how long
	// it is measured.
	settleTime  = time.Second
	measureTime = 3 * time.Second
	epoch       = 5
	// runningPerServer is the mean number of running requests on a backend server at the design
	// size: 450,000 tokens per second, 42 ms per token, 2,000 servers.
	runningPerServer = 10
)

// ownerSeries measures the owner's background loop: leases, load reports and queues.
func ownerSeries(ctx context.Context, _ Options) ([]Series, error) {
	var lastErr error
	measure := func(instances, servers int) float64 {
		v, err := ownerCPU(ctx, instances, servers)
		if err != nil {
			lastErr = err
		}
		return v
	}
	return []Series{
		measureSeries("owner's background loop at 350 instances", "% of a core", "servers", designServers, serverSizes, func(n int) float64 {
			return measure(designInstances, n)
		}),
		measureSeries("owner's background loop at 2,000 servers", "% of a core", "instances", designInstances, instanceSizes, func(n int) float64 {
			return measure(n, designServers)
		}),
	}, lastErr
}

// confirmedLease implements owner.AuthoritySource with a lease that is always confirmed.
type confirmedLease struct {
	mu    sync.Mutex
	lease *roster.Lease
}

// Authority implements owner.AuthoritySource.
func (r *confirmedLease) Authority(now time.Time, s roster.Server) permit.Authority {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Confirm(now, epoch)
	return r.lease.Authority(now, s)
}

// Roster implements owner.AuthoritySource.
func (r *confirmedLease) Roster() *roster.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Roster()
}

// fakeLoads responds to load polls immediately.
type fakeLoads struct{}

// Load implements owner.Loads.
func (fakeLoads) Load(_ context.Context, polledAt time.Time, _ pollenspindle.ServiceKind, _ string) (admission.Report, error) {
	r := engineReport(runningPerServer)
	r.MeasuredAt = polledAt
	return r, nil
}

func ownerCPU(ctx context.Context, members, servers int) (float64, error) {
	list := rosterInstances(members)
	self := typicalInstance(list, servers)
	lease := &confirmedLease{lease: roster.NewLease(self, roster.Timing{LeaseDuration: 3 * time.Second, PermitLifetime: 2 * time.Second})}
	lease.lease.Adopt(time.Now(), roster.New(epoch, initialRoster(list)))
	snap := config.NewSnapshot(1, fleetConfig(servers, designWorkspaces))
	o, err := owner.New(owner.Options{
		Self: self.ID, Incarnation: self.Incarnation, AuthoritySource: lease, Config: func() *config.Snapshot { return snap },
		Loads: fakeLoads{}, Policy: admission.Predicted{}, Suspects: owner.NewSuspects(zerolog.Nop()),
		PermitLifetime: 2 * time.Second, PollInterval: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	if err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return cpuPercent(ctx, o.Run)
}

// typicalInstance returns the instance whose number of owned servers is closest to the mean.
func typicalInstance(list []roster.Instance, servers int) roster.Instance {
	r := roster.New(epoch, initialRoster(list))
	owned := map[string]int{}
	for i := range servers {
		if in, ok := r.Owner(serverConfig(i).Name, regionName(i)); ok {
			owned[in.ID]++
		}
	}
	mean := servers / len(list)
	typical := list[0]
	for _, in := range list {
		if absDiff(owned[in.ID], mean) < absDiff(owned[typical.ID], mean) {
			typical = in
		}
	}
	return typical
}

func absDiff(a, b int) int { return max(a-b, b-a) }

// cpuPercent runs a background loop and returns the CPU time it uses, in percent of a core.
func cpuPercent(ctx context.Context, run func(context.Context)) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	if err := objectapi.Sleep(ctx, settleTime); err != nil {
		return 0, merry.Wrap(err)
	}
	before, start := cpuTime(), time.Now()
	if err := objectapi.Sleep(ctx, measureTime); err != nil {
		return 0, merry.Wrap(err)
	}
	return 100 * float64(cpuTime()-before) / float64(time.Since(start)), nil
}

// memberSeries measures the heartbeats, the roster watch and the instance list of one member
// among fake peers. A member receives as many heartbeats as it sends; the CPU time of the fake
// peers' responses stands in for that of its own.
func memberSeries(ctx context.Context, _ Options) ([]Series, error) {
	byInstances := []Series{
		{Name: "heartbeats: bytes sent by an instance", Unit: "bytes/s", SizeName: "instances", DesignSize: designInstances},
		{Name: "heartbeats sent", Unit: "calls/s", SizeName: "instances", DesignSize: designInstances},
		{Name: "member's background loop, with its peers' responses", Unit: "% of a core", SizeName: "instances", DesignSize: designInstances},
		{Name: "instance list: one body", Unit: "bytes", SizeName: "instances", DesignSize: designInstances},
	}
	for _, n := range instanceSizes {
		cost, err := measureMember(ctx, n, designServers)
		if err != nil {
			return nil, err
		}
		for i, v := range []float64{cost.bytesPerSecond, cost.callsPerSecond, cost.cpuPercent, cost.listBytes} {
			byInstances[i].Points = append(byInstances[i].Points, Point{float64(n), v})
		}
	}
	bytesByServers := Series{Name: "heartbeats: bytes sent by an instance, at 350 instances", Unit: "bytes/s", SizeName: "servers", DesignSize: designServers}
	cpuByServers := Series{Name: "member's background loop at 350 instances", Unit: "% of a core", SizeName: "servers", DesignSize: designServers}
	for _, n := range serverSizes {
		cost, err := measureMember(ctx, designInstances, n)
		if err != nil {
			return nil, err
		}
		bytesByServers.Points = append(bytesByServers.Points, Point{float64(n), cost.bytesPerSecond})
		cpuByServers.Points = append(cpuByServers.Points, Point{float64(n), cost.cpuPercent})
	}
	return append(byInstances, bytesByServers, cpuByServers), nil
}

// memberUsage is what one member uses: heartbeat bytes and calls per second, CPU in percent of
// a core, and the size of the instance list in bytes.
type memberUsage struct{ bytesPerSecond, callsPerSecond, cpuPercent, listBytes float64 }

func measureMember(ctx context.Context, members, servers int) (memberUsage, error) {
	key, err := peer.NewKey(sharedKey)
	if err != nil {
		return memberUsage{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	list := rosterInstances(members)
	platform := &fakePlatform{servers: servers}
	var serving sync.WaitGroup
	defer serving.Wait()
	defer cancel()
	for i := range list {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return memberUsage{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		list[i].PeerAddress = l.Addr().String()
		s := peer.NewServer(fakePeer{self: list[i], adopters: make([]byte, (members+7)/8), platform: platform}, key, tally.NoopScope)
		serving.Go(func() { _ = s.Serve(ctx, countingListener{l, &platform.bytes}) })
	}
	if err := platform.prepare(list); err != nil {
		return memberUsage{}, err
	}
	self := typicalInstance(list, servers)
	pool := peer.NewPool(self.ID, key, tally.NoopScope)
	defer pool.Close()
	m, err := member.New(member.Options{
		Self: self, Timing: roster.Timing{LeaseDuration: 3 * time.Second, PermitLifetime: 2 * time.Second},
		Objects: platform, List: platform, Config: platform, Suspects: noSuspects{}, Peers: pool,
		Heartbeat: 500 * time.Millisecond, Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	if err != nil {
		return memberUsage{}, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	var usage memberUsage
	usage.cpuPercent, err = cpuPercent(ctx, func(ctx context.Context) {
		go func() {
			if objectapi.Sleep(ctx, settleTime) == nil {
				platform.resetCounts()
			}
		}()
		m.Run(ctx)
	})
	usage.bytesPerSecond = float64(platform.bytes.total.Load()) / measureTime.Seconds()
	usage.callsPerSecond = float64(platform.heartbeats.Load()) / measureTime.Seconds()
	usage.listBytes = float64(platform.listBytes)
	return usage, err
}

// fakePeer responds to heartbeats like an instance in a stable roster.
type fakePeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	self     roster.Instance
	adopters []byte
	platform *fakePlatform
}

// Heartbeat implements PeerServiceHandler.
func (p fakePeer) Heartbeat(_ context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	p.platform.heartbeats.Add(1)
	res := &peerv1.HeartbeatResponse{
		Instance: p.self.ID, Incarnation: p.self.Incarnation, Epoch: epoch, ConfigVersion: 1, Adopters: p.adopters,
	}
	if req.GetWantIdentity() {
		res.Identity = &peerv1.Identity{
			PeerAddress: p.self.PeerAddress, CallerAddress: p.self.CallerAddress, Zone: p.self.Zone, Region: p.self.Region,
		}
	}
	return res, nil
}

// noSuspects implements an empty list of crash suspects.
type noSuspects struct{}

func (noSuspects) Newest(time.Time, int) []crashsuspect.Entry { return nil }
func (noSuspects) Merge(time.Time, []crashsuspect.Entry)      {}

// prepare builds the roster, the instance list and the configuration snapshot.
func (w *fakePlatform) prepare(list []roster.Instance) error {
	var err error
	if w.roster, err = json.Marshal(initialRoster(list)); err != nil {
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
	w.snapshot = config.NewSnapshot(1, fleetConfig(w.servers, designWorkspaces))
	return nil
}
