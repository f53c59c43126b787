package ingressserve

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/ingress"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/outlierpeer"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/suspect"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// build makes the parts.
func (in *instance) build(ctx context.Context) error {
	cfg, d := in.cfg, in.opts.Dialect
	in.state = observed.NewState()
	objects := objectapi.NewClient("http://"+cfg.PlatformAddress, objectapi.Options{
		Form: d.Objects, ReadsPerSecond: readsPerSecond, ReadBurst: readBurst, OnCall: in.countCall,
	})
	in.table = membership.NewTable(membership.Record{
		ID: cfg.Instance, Peer: cfg.PeerAddress, Caller: cfg.CallerAddress, Zone: cfg.Zone, StartedAt: time.Now().UnixMilli(),
	})
	bounds := balancer.Bounds{ColdOverage: cfg.ColdOverage, ColdSlack: cfg.ColdSlack}
	placing := balancer.New(bounds, rand.New(rand.NewPCG(rand.Uint64(), 1)), nil)
	key, err := peer.NewKey(cfg.PeerKey)
	if err != nil {
		return err
	}
	in.plans = planner.New(planner.Options{
		Self: cfg.Instance, Table: in.table, Key: key, State: in.state, Bounds: bounds, Own: placing.Load, Changed: placing.Changed(), Failures: placing.Failures,
		Log: telemetry.Part(in.tel.Log, "planner"), Now: time.Now,
	})
	in.buildRollouts(key, objects, placing)
	in.outliers = outlierpeer.New(outlierpeer.Options{
		Self: cfg.Instance, Table: in.table, Key: key, Log: telemetry.Part(in.tel.Log, "outlier"),
		Scope: in.tel.Metrics.SubScope("outlier"), Now: time.Now,
	})
	placing.SetAvoid(in.outliers.ShouldAvoid)
	in.suspects = ingress.NewSuspects()
	in.suspects.Tell = func(entries []suspect.Entry) { in.gossip.BroadcastSuspects(entries) }
	in.gossip, err = gossip.New(gossip.Options{
		ApplySuspects: in.suspects.Merge, Suspects: in.suspects.Newest,
		Table: in.table, State: in.state, Key: key,
		Seeds:  in.seeds(),
		Status: in.status, Handlers: in.handlers(),
		ApplyConfiguration: func(now time.Time, value []byte, source string) { in.follow.ApplyRawConfiguration(now, value, source) },
		Log:                telemetry.Part(in.tel.Log, "peer"), Scope: in.tel.Metrics.SubScope("peer"), Now: time.Now,
	})
	if err != nil {
		return err
	}
	in.follow = observed.NewFollower(observed.Options{
		State: in.state, Objects: objects, Dialect: d, Log: telemetry.Part(in.tel.Log, "platform"), Now: time.Now,
		Rank: in.table.Rank, Broadcast: in.gossip.Broadcast, StartWait: in.startWait(), InstanceCount: in.instances, PropagationLimits: boundsOf(cfg),
	})
	return in.buildServer(ctx, placing)
}

// boundsOf returns the deployment's bounds, or the default ones.
func boundsOf(cfg settings.Ingress) observed.PropagationLimits {
	b := observed.DefaultPropagationLimits
	for _, one := range []struct {
		millis float64
		bound  *time.Duration
	}{{cfg.ConfigurationMillis, &b.Configuration}, {cfg.DrainMillis, &b.Servers}, {cfg.EvacuationMillis, &b.Zones}, {cfg.RollbackMillis, &b.Rollouts}} {
		if one.millis > 0 {
			*one.bound = time.Duration(one.millis * float64(time.Millisecond))
		}
	}
	return b
}

// buildRollouts makes the part in roll-outs, where the deployment has bounds for
// them.
func (in *instance) buildRollouts(key peer.Key, objects *objectapi.Client, placing *balancer.Balancer) {
	if in.cfg.RollbackMillis <= 0 {
		return
	}
	in.rollouts = rolloutpeer.New(rolloutpeer.Options{
		Self: in.cfg.Instance, Table: in.table, Key: key, State: in.state, Objects: objects, Dialect: in.opts.Dialect,
		Limits:    rollout.Limits{Share: in.cfg.ExposureShare, Slack: in.cfg.ExposureSlack},
		Remaining: func(server string) int { return placing.On(server).Running }, StageChanged: func() { in.gossip.Broadcast() },
		Log: telemetry.Part(in.tel.Log, "rollout"), Scope: in.tel.Metrics.SubScope("rollout"), Now: time.Now,
	})
}

// handlers answer other instances beside the gossip, by path.
func (in *instance) handlers() map[string]http.Handler {
	all := in.plans.Handlers()
	maps.Copy(all, in.outliers.Handlers())
	if in.rollouts != nil {
		maps.Copy(all, in.rollouts.Handlers())
	}
	return all
}

func (in *instance) seeds() []string {
	return strings.FieldsFunc(in.cfg.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// startWait is how long the instance waits to be told what is in force. Seeds
// don't: the others ask them.
func (in *instance) startWait() time.Duration {
	switch {
	case slices.Contains(in.seeds(), in.cfg.PeerAddress):
		return 0
	case in.cfg.FirstStart:
		return firstStartWait
	}
	return startWait + time.Duration(rand.Int64N(int64(startSpread)))
}

// status is what other instances are told of this one.
func (in *instance) status() membership.Status {
	return membership.Status{Ready: in.server.Ready(), Leaving: in.server.Draining(), PlatformUnreachable: in.follow.PlatformUnreachable()}
}

// countCall counts a call to the platform.
func (in *instance) countCall(c objectapi.Call) {
	outcome := "answered"
	if c.Err != nil {
		outcome = "failed"
	}
	in.tel.Metrics.SubScope("platform").Tagged(map[string]string{"op": c.Op, "kind": c.Kind, "outcome": outcome}).Counter("calls").Inc(1)
}

func (in *instance) buildServer(ctx context.Context, placing *balancer.Balancer) error {
	cfg := in.cfg
	var listeners [3]net.Listener
	for i, address := range []string{cfg.CallerAddress, cfg.ReadyAddress, cfg.DirectoryAddress} {
		l, err := listen(ctx, address)
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	server, err := ingress.NewServer(ingress.Options{
		Callers: listeners[0], Ready: listeners[1], Directory: listeners[2], Zone: cfg.Zone,
		State: in.state, Dialect: in.opts.Dialect, Balancer: placing,
		Retries:   retry.NewSharedBudgets(rand.New(rand.NewPCG(rand.Uint64(), 2)), in.retryLimits),
		Instances: in.instances, DenyFresh: time.Duration(float64(boundsOf(cfg).Configuration) * denyShare), Addresses: in.callers, Planner: in.plans, Rollouts: in.rollouts, Outliers: in.outliers, Suspects: in.suspects,
		Grace: time.Duration(cfg.GraceSeconds * float64(time.Second)),
		Log:   telemetry.Part(in.tel.Log, "caller"), Scope: in.tel.Metrics.SubScope("ingress"), Tracer: in.tel.Tracer, Now: time.Now,
	})
	in.server = server
	return err
}

// instances returns how many instances share common limits.
func (in *instance) instances() int { return in.table.Count(time.Now()) }

// callers returns the instances that a caller in a zone may use.
func (in *instance) callers(zone string) []string {
	return in.table.CallerAddresses(rand.New(rand.NewPCG(rand.Uint64(), 4)), zone, maxAddresses)
}

// retryLimits is this instance's share of what all may send again.
func (in *instance) retryLimits() retry.Limits {
	share := in.cfg.RetrySlack / float64(max(1, in.instances()))
	return retry.Limits{SuccessShare: in.cfg.RetryRatio * retryPart, MaxTokens: max(1, share*retryPart)}
}
