package ingressserve

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/handover"
	"pollenspindle.example/pollenspindle/internal/ingress"
	"pollenspindle.example/pollenspindle/internal/lengthpeer"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/originpeer"
	"pollenspindle.example/pollenspindle/internal/outlierpeer"
	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/internal/serverdial"
	"pollenspindle.example/pollenspindle/internal/serverlink"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/suspectobjects"
	"pollenspindle.example/pollenspindle/internal/telemetry"
	"pollenspindle.example/pollenspindle/internal/trialpeer"
)

// listen opens a listener without multipath TCP, Go's default, for which the system can't drop the packets
// that begin a connection.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var l net.ListenConfig
	l.SetMultipathTCP(false)
	return l.Listen(ctx, "tcp", address)
}

// build creates the components of the instance.
func (in *instance) build(ctx context.Context) error {
	cfg, d := in.cfg, in.opts.Dialect
	in.state = platformstate.NewState()
	in.connections = connlimit.New(connlimit.Options{
		Bytes: cfg.Connections.MaxBytes(in.memoryBytes()), Connections: cfg.Connections.MaxOpen(connlimit.Descriptors(cfg.FileDescriptors)),
		Log: telemetry.ComponentLogger(in.tel.Log, "connections"), Scope: in.tel.Metrics.SubScope("connections"),
	})
	objects := objectapi.NewClient("http://"+cfg.PlatformAddress, objectapi.Options{
		Codec: d.Objects, ReadsPerSecond: readsPerSecond, ReadBurst: readBurst, MaxAnswerBytes: maxAnswerBytes, OnCall: in.recordCall,
	})
	in.table = membership.NewTable(membership.Record{
		ID: cfg.Instance, Peer: cfg.PeerAddress, Caller: cfg.CallerAddress, Zone: cfg.Zone, StartedAt: in.now().UnixMilli(),
	})
	coldLimits := balancer.ColdLimits{ColdOverage: cfg.ColdOverage, ColdSlack: cfg.ColdSlack}
	lb := balancer.New(coldLimits, rand.New(rand.NewPCG(rand.Uint64(), 1)), nil)
	in.limits = pushback.NewLimits(pushback.Options{Share: in.share, Listed: in.isListed})
	lb.SetLimits(in.limits)
	lb.SetShare(in.share)
	in.pauses = pushback.NewPauses()
	lb.SetPauses(in.pauses)
	in.brittle = pushback.NewBrittle()
	lb.SetBrittle(in.brittle)
	key, err := peer.NewKey(cfg.PeerKey)
	if err != nil {
		return err
	}
	in.buildDialer(key)
	if cfg.LearnLengths {
		in.lengths = lengthpeer.New(lengthpeer.Options{
			Self: cfg.Instance, Table: in.table, Key: key, Log: telemetry.ComponentLogger(in.tel.Log, "lengths"),
			Scope: in.tel.Metrics.SubScope("lengths"), Now: in.now,
		})
	}
	if cfg.PlaceByPace {
		in.pace = pace.NewObservations()
	}
	watch, bounded := in.handover()
	in.planner = planner.New(planner.Options{
		Pace: in.paceOptions(), Handover: bounded,
		Self: cfg.Instance, Table: in.table, Key: key, State: in.state, ColdLimits: coldLimits, Share: in.share, OwnLoads: lb.Loads, LoadChanged: lb.Changed(), Failures: lb.Failures,
		Log: telemetry.ComponentLogger(in.tel.Log, "planner"), Now: in.now,
		Queue: in.queueOptions(),
	})
	if in.pace != nil {
		lb.SetPace(in.planner.OwnPace)
	}
	in.buildRollouts(key, objects, lb)
	in.outliers = outlierpeer.New(outlierpeer.Options{
		Self: cfg.Instance, Table: in.table, Key: key, Log: telemetry.ComponentLogger(in.tel.Log, "outlier"),
		Scope: in.tel.Metrics.SubScope("outlier"), Now: in.now,
	})
	lb.SetAvoid(in.outliers.ShouldAvoid)
	in.origins, err = originpeer.New(originpeer.Options{
		Self: cfg.Instance, Table: in.table, Joined: in.knowsOthers, Key: key, Log: telemetry.ComponentLogger(in.tel.Log, "origins"),
		Scope: in.tel.Metrics.SubScope("origins"), Now: in.now,
	})
	if err != nil {
		return err
	}
	in.suspects = ingress.NewSuspects()
	in.suspects.Log = telemetry.ComponentLogger(in.tel.Log, "suspects")
	in.suspects.Broadcast = func(entries []crashsuspect.Entry) { in.gossip.BroadcastSuspects(entries) }
	in.suspectObjects = suspectobjects.New(suspectobjects.Options{
		Objects: objects, Kind: d.Kinds.CrashSuspects, Entries: in.suspects.Kept, Merge: in.suspects.Merge, Writes: in.writesSuspect,
		Log: telemetry.ComponentLogger(in.tel.Log, "suspects"), Now: in.now,
	})
	in.suspects.Changed = in.suspectObjects.Changed
	in.trials, err = trialpeer.New(trialpeer.Options{
		Self: cfg.Instance, Table: in.table, Key: key, Entry: in.suspects.Entry, Merge: in.suspects.Merge, Refused: in.suspects.PartRefused,
		Settle: trialpeer.SettleTime,
		Log:    telemetry.ComponentLogger(in.tel.Log, "trials"), Now: in.now,
	})
	if err != nil {
		return err
	}
	in.gossip, err = gossip.New(gossip.Options{
		ApplySuspects: in.suspects.Merge, Suspects: in.suspects.Newest,
		SuspectDigest: in.suspects.Digest, RecentSuspects: in.suspects.Recent, Limits: in.limits,
		Table: in.table, State: in.state, Key: key,
		Seeds: in.seeds(), ServeBytesPerSecond: int(cfg.LinkMegabits * bytesPerMegabit * servedLinkShare),
		Status: in.status, Handlers: in.handlers(), Connections: in.connections,
		ApplyConfiguration: func(now time.Time, value []byte, source string) {
			in.follower.ApplyRawConfiguration(now, value, source)
		},
		Log: telemetry.ComponentLogger(in.tel.Log, "peer"), Scope: in.tel.Metrics.SubScope("peer"), Now: in.now,
	})
	if err != nil {
		return err
	}
	in.follower = platformstate.NewFollower(platformstate.Options{
		State: in.state, Objects: objects, Dialect: d, Log: telemetry.ComponentLogger(in.tel.Log, "platform"), Now: in.now,
		Rank: in.table.Rank, Broadcast: in.gossip.Broadcast, StartWait: in.startupWait(), InstanceCount: in.instances, PropagationLimits: propagationLimits(cfg),
		ServerHeartbeat: time.Duration(cfg.ServerHeartbeatMillis * float64(time.Millisecond)),
	})
	return in.buildServer(ctx, lb, watch)
}

// buildDialer creates what opens connections to backend servers, also for other instances.
func (in *instance) buildDialer(key peer.Key) {
	log, scope := telemetry.ComponentLogger(in.tel.Log, "dial"), in.tel.Metrics.SubScope("dial")
	in.links = serverlink.NewLinks()
	in.dialer = serverdial.New(serverdial.Options{Links: in.links, Direct: in.opts.Dial, Log: log, Scope: scope, Now: in.now})
	in.dialPeer = dialpeer.New(dialpeer.Options{
		Self: in.cfg.Instance, Relays: in.relays, Key: key, Links: in.links, Direct: in.dialer.DialDirect, Log: log, Scope: scope, Now: in.now,
	})
	in.dialer.SetPeers(in.dialPeer)
}

// relays returns other instances that may open connections to backend servers.
func (in *instance) relays(rng *rand.Rand, n int, exclude func(id string) bool) []dialpeer.Instance {
	var out []dialpeer.Instance
	for _, r := range in.table.Relays(rng, n, exclude) {
		out = append(out, dialpeer.Instance{ID: r.ID, Address: r.Peer})
	}
	return out
}

// suspectWriters is the number of instances that write what is known of a crash suspect into the platform.
const suspectWriters = 2

// writesSuspect reports whether this instance writes what is known of a crash suspect into the platform.
func (in *instance) writesSuspect(fingerprint uint64) bool {
	return slices.ContainsFunc(in.table.Holders(fingerprint, suspectWriters), func(r membership.Record) bool { return r.ID == in.cfg.Instance })
}

// refreshSuspects asks for the crash suspects that this instance may lack: the platform after its start, and
// another instance.
func (in *instance) refreshSuspects(ctx context.Context) bool {
	select {
	case <-in.suspectObjects.Read():
	case <-ctx.Done():
		return false
	}
	return in.gossip.RefreshSuspects(ctx) || in.now().Sub(in.startedAt) < joinWait
}

// linksLost reports whether this instance's own links to all backend servers are lost.
func (in *instance) linksLost() bool { return in.links.Status().Lost }

// handover returns the observation of engines' notices and the planner's part of handovers that keep
// to them; nil if they don't.
func (in *instance) handover() (*handover.Watch, *planner.Handover) {
	if !in.cfg.BoundHandover {
		return nil, nil
	}
	watch := handover.NewWatch()
	return watch, &planner.Handover{Watch: watch, Scope: in.tel.Metrics.SubScope("planner")}
}

// paceOptions returns how the planner uses the pace of engines; nil if it doesn't.
func (in *instance) paceOptions() *planner.PaceOptions {
	if in.pace == nil {
		return nil
	}
	return &planner.PaceOptions{Observations: in.pace, Scope: in.tel.Metrics.SubScope("planner")}
}

// propagationLimits returns the deployment's time limits for changes of the platform state, or the
// default ones.
func propagationLimits(cfg settings.Ingress) platformstate.PropagationLimits {
	b := platformstate.DefaultPropagationLimits
	for _, limit := range []struct {
		millis float64
		target *time.Duration
	}{{cfg.ConfigurationMillis, &b.Configuration}, {cfg.DrainMillis, &b.Servers}, {cfg.EvacuationMillis, &b.Zones}, {cfg.RollbackMillis, &b.Rollouts}} {
		if limit.millis > 0 {
			*limit.target = time.Duration(limit.millis * float64(time.Millisecond))
		}
	}
	return b
}

// buildRollouts creates the rollout component if the deployment sets a rollback limit.
func (in *instance) buildRollouts(key peer.Key, objects *objectapi.Client, lb *balancer.Balancer) {
	if in.cfg.RollbackMillis <= 0 {
		return
	}
	in.rollouts = rolloutpeer.New(rolloutpeer.Options{
		Self: in.cfg.Instance, Table: in.table, Key: key, State: in.state, Objects: objects, Dialect: in.opts.Dialect,
		Limits:    rollout.Limits{Share: in.cfg.ExposureShare, Slack: in.cfg.ExposureSlack},
		Remaining: func(server string) int { return lb.LoadOn(server).Running }, StageChanged: func() { in.gossip.Broadcast() },
		Log: telemetry.ComponentLogger(in.tel.Log, "rollout"), Scope: in.tel.Metrics.SubScope("rollout"), Now: in.now,
	})
}

// handlers returns the handlers of requests from other instances, except for the gossip's, by path.
func (in *instance) handlers() map[string]http.Handler {
	all := in.planner.Handlers()
	maps.Copy(all, in.outliers.Handlers())
	maps.Copy(all, in.origins.Handlers())
	maps.Copy(all, in.trials.Handlers())
	all[dialpeer.Path] = in.dialPeer
	if in.lengths != nil {
		maps.Copy(all, in.lengths.Handlers())
	}
	if in.rollouts != nil {
		maps.Copy(all, in.rollouts.Handlers())
	}
	return all
}

func (in *instance) seeds() []string {
	return strings.FieldsFunc(in.cfg.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// startupWait is how long a starting instance waits to receive the platform state from other
// instances. Seeds don't wait: the others ask them.
func (in *instance) startupWait() time.Duration {
	switch {
	case slices.Contains(in.seeds(), in.cfg.PeerAddress):
		return 0
	case in.cfg.FirstStart:
		return firstStartupWait
	}
	return startupWait + time.Duration(rand.Int64N(int64(startupJitter)))
}

// joinWait is how long a ready instance that can't reach any other waits before it tells them that
// it is ready.
const joinWait = 2 * time.Second

// status returns what this instance reports about itself to the others. It is ready once it knows
// some of them: callers that are sent here ask it for instances, too, and would get this one only.
func (in *instance) status() membership.Status {
	joined := in.gossip.Joined() || in.now().Sub(in.startedAt) >= joinWait
	return membership.Status{Ready: in.server.Ready() && joined, Leaving: in.server.Draining(), PlatformUnreachable: in.follower.PlatformUnreachable(), ServersUnreachable: in.linksLost(), SharesLimits: in.sharesLimits.Load()}
}

// recordCall counts a call to the platform.
func (in *instance) recordCall(c objectapi.Call) {
	outcome := "answered"
	switch {
	case errors.Is(c.Err, objectapi.ErrWatchEnded):
		outcome = "cutOff"
	case c.Err != nil:
		outcome = "failed"
	}
	in.tel.Metrics.SubScope("platform").Tagged(map[string]string{"op": c.Op, "kind": c.Kind, "outcome": outcome}).Counter("calls").Inc(1)
}

func (in *instance) buildServer(ctx context.Context, lb *balancer.Balancer, watch *handover.Watch) error {
	cfg := in.cfg
	in.retries = retry.NewSharedBudgets(in.startedAt, retry.SharedOptions{Limits: in.retryLimits(), Part: in.retryPart, Rand: rand.New(rand.NewPCG(rand.Uint64(), 2))})
	var listeners [3]net.Listener
	for i, address := range []string{cfg.CallerAddress, cfg.ReadyAddress, cfg.DirectoryAddress} {
		l, err := listen(ctx, address)
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	server, err := ingress.NewServer(ingress.Options{
		Callers: listeners[0], Ready: listeners[1], Directory: listeners[2], Connections: in.connections, Zone: cfg.Zone, Dial: in.dialer.Dial, LinksLost: in.linksLost,
		State: in.state, Dialect: in.opts.Dialect, Balancer: lb,
		Retries:   in.retries,
		Instances: in.instances, DenyMaxAge: time.Duration(float64(propagationLimits(cfg).Configuration) * denyAgeShare), Addresses: in.callerAddresses, Planner: in.planner, Rollouts: in.rollouts, Outliers: in.outliers, Lengths: in.lengths, Origins: in.origins, Suspects: in.suspects, Trials: in.trials, Refresh: in.refreshSuspects, Limits: in.limits, Pauses: in.pauses, Brittle: in.brittle, Pace: in.pace, Handover: watch, LengthKey: in.queueLengthKey(),
		MemoryBytes: in.memoryBytes(), DetectSilence: cfg.DetectSilence,
		Grace: in.grace(),
		Log:   telemetry.ComponentLogger(in.tel.Log, "caller"), Scope: in.tel.Metrics.SubScope("ingress"), Tracer: in.tel.Tracer, Now: in.now,
	})
	in.server = server
	return err
}

// memoryBytes returns the memory that the process may use.
func (in *instance) memoryBytes() int64 {
	if mb := in.cfg.MemoryMegabytes; mb > 0 {
		return int64(mb) << 20
	}
	return settings.DefaultMemoryMegabytes << 20
}

// instances returns the number of instances that share common limits.
func (in *instance) instances() int { return in.table.Count(in.now()) }

// share returns this instance's share of the limit that a server has named.
func (in *instance) share(now time.Time, server string) pushback.Share {
	return pushback.Share{
		Rank: in.table.ShareRank(server), Instances: in.table.LimitShare(now).Instances, Known: in.knowsOthers(now),
	}
}

func (in *instance) knowsOthers(now time.Time) bool {
	return in.gossip.Joined() && in.table.KnowsOthers(now, in.startedAt)
}

func (in *instance) isListed(server string) bool {
	_, ok := in.state.Server(server)
	return ok
}

// callerAddresses returns the instances for callers in an availability zone: this one alone while it
// knows no other that is ready.
func (in *instance) callerAddresses(zone string) []string {
	addresses := in.table.CallerAddresses(rand.New(rand.NewPCG(rand.Uint64(), 4)), zone, maxAddresses)
	if len(addresses) == 0 && in.server.Ready() {
		return []string{in.table.Self().Caller}
	}
	return addresses
}

// retryLimits returns the deployment's retry budget.
func (in *instance) retryLimits() retry.SharedLimits {
	l := retry.SharedLimits{Window: defaultRetryWindow, Ratio: in.cfg.RetryRatio, Slack: in.cfg.RetrySlack}
	if in.cfg.RetryWindowSeconds > 0 {
		l.Window = time.Duration(in.cfg.RetryWindowSeconds * float64(time.Second))
	}
	return l
}

// retryPart returns this instance's part of the retry budget of a service. There are at least as many
// instances as seeds, which may be cut off since the start of this one.
func (in *instance) retryPart(now time.Time, service string) retry.SharedPart {
	share := in.table.LimitShare(now)
	return retry.SharedPart{
		Instances: max(share.Instances, len(in.seeds())), Rank: in.table.ShareRank(service),
		Known: in.sharesLimits.Load() && in.knowsOthers(now), Joined: in.gossip.Joined(), Lost: !share.Held,
	}
}

// joinsLimits reports whether this instance may take its part of limits that all instances share: it knows the
// others, and reaches most seeds or an instance that has its part. Of several groups of instances that start
// without reaching each other only one reaches most seeds.
func (in *instance) joinsLimits(now time.Time) bool {
	seeds := in.seeds()
	return in.knowsOthers(now) && (len(seeds) == 0 || in.table.ReachesMost(seeds) || in.table.KnowsSharer())
}

// observeLimits follows which part of the limits this instance has until ctx ends.
func (in *instance) observeLimits(ctx context.Context) {
	for joined := false; ; {
		now := in.now()
		joined = joined || in.joinsLimits(now)
		in.sharesLimits.Store(joined && in.table.LimitShare(now).Held)
		in.retries.Observe(now)
		if objectapi.Sleep(ctx, readyPollInterval) != nil {
			return
		}
	}
}
