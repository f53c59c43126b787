package serve

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/caller"
	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/member"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

const (
	// maxRequestTimeout is the maximum duration of a call to a plain service, whatever timeout it
	// is configured with; claims rely on it.
	maxRequestTimeout = 10 * time.Minute
	// maxClaimAttempts is the maximum number of attempts at a write while a caller waits.
	maxClaimAttempts = 3
)

// callers lists the instances that callers may use.
type callers struct{ members *member.Member }

// Live implements caller.Instances.
func (c callers) Live() ([]caller.Instance, int64) {
	epoch := c.members.Roster().Epoch
	live := c.members.Live()
	out := make([]caller.Instance, 0, len(live))
	for _, in := range live {
		out = append(out, caller.Instance{ID: in.ID, Address: in.CallerAddress, Zone: in.Zone})
	}
	return out, epoch
}

// guardedConfig is the configuration for callers' requests. New requests are sent only while the
// configuration is confirmed and the process was not paused: a resumed instance could otherwise
// send to an availability zone that was drained in the meantime.
type guardedConfig struct {
	*config.Store
	members *member.Member
}

// Confirmed implements caller.ConfigSource.
func (g guardedConfig) Confirmed(now time.Time, maxAge time.Duration) bool {
	return g.members.NewWorkAllowed(now) && g.Store.Confirmed(now, maxAge)
}

// configVersions queries the configuration versions of the instances.
type configVersions struct{ members *member.Member }

// ConfigVersions implements accepted.Fleet.
func (f configVersions) ConfigVersions(ctx context.Context, minVersion int64) ([]int64, error) {
	f.members.RefreshVersions(ctx, minVersion)
	return slices.Collect(maps.Values(f.members.ConfigVersions())), nil
}

// instances lists the entry instances for operators.
type instances struct{ *components }

// List implements operator.Instances.
func (p instances) List(ctx context.Context) ([]operatorapi.Instance, error) {
	p.members.RefreshVersions(ctx, p.store.Version())
	r := p.members.Roster()
	versions := p.members.ConfigVersions()
	out := make([]operatorapi.Instance, 0, len(r.Instances))
	for _, in := range r.Instances {
		state := "live"
		if in.Leaving {
			state = "leaving"
		}
		out = append(out, operatorapi.Instance{
			Name: in.ID, Zone: in.Zone, Address: in.CallerAddress, State: state, Epoch: r.Epoch,
			ConfigVersion: versions[in.ID],
		})
	}
	return out, nil
}

// Leave implements operator.Instances.
func (p instances) Leave(context.Context) error {
	p.leave()
	return nil
}

// servers lists the status of backend servers, as their owners know it, for operators.
type servers struct{ *components }

// Statuses implements operator.Servers.
func (p servers) Statuses(ctx context.Context) map[string]operatorapi.ServerStatus {
	loads := p.fleet.Loads(ctx)
	out := map[string]operatorapi.ServerStatus{}
	for name := range p.store.Snapshot().Servers {
		var status operatorapi.ServerStatus
		if owner, ok := p.fleet.Owner(name); ok {
			status.Owner = owner.ID
		}
		if l, ok := loads[name]; ok {
			status.Load, status.Running, status.Queued = l.GetState(), int(l.GetRunning()), int(l.GetQueued())
			status.Limit, status.UsedTokens = int(l.GetLimit()), int(l.GetUsedTokens())
			status.Preemptions, status.ReportMillis = int(l.GetPreemptions()), int(l.GetReportMillis())
		}
		out[name] = status
	}
	return out
}

// ready returns why the instance accepts no new requests, or nil.
func (p *components) ready() error {
	now := time.Now()
	switch {
	case p.store.Version() == 0:
		return merry.New("no configuration yet")
	case !p.members.NewWorkAllowed(now):
		return merry.New("process was paused")
	case !p.store.Confirmed(now, millis(p.settings.Timing.ConfirmMillis)):
		return merry.New("configuration not confirmed")
	}
	return nil
}

func (p *components) rosterTiming() roster.Timing {
	return roster.Timing{
		LeaseDuration:  millis(p.settings.Timing.ConfirmMillis),
		PermitLifetime: millis(p.settings.Timing.PermitMillis),
	}
}

func (p *components) claimOptions() claim.StoreOptions {
	return claim.StoreOptions{
		Objects:        p.objects,
		Log:            telemetry.ComponentLogger(p.tel.Log, "claim"),
		Holder:         p.settings.Instance,
		RequestTimeout: maxRequestTimeout,
		MaxAttempts:    maxClaimAttempts,
		Retention: func() time.Duration {
			return time.Duration(p.store.Snapshot().Config.Limits.ClaimRetentionSeconds) * time.Second
		},
	}
}

// ownsShard reports whether this instance sweeps a shard of the claims; the roster distributes the
// shards over the instances.
func (p *components) ownsShard(shard string) bool {
	owner, ok := p.members.Roster().Owner("claims/"+shard, "")
	return ok && owner.ID == p.settings.Instance
}
