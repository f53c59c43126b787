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
	// answerWithin is the longest a call to a plain service may take, whatever
	// its configuration says; claims count on it.
	answerWithin = 10 * time.Minute
	// claimAttempts bounds the tries of one write while a caller waits.
	claimAttempts = 3
)

// callers gives the instances that callers may use.
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

// gate is the configuration as callers' requests see it. New work is sent only
// while the configuration is confirmed and the process was not paused: a
// thawed instance would otherwise send to an availability zone that was taken
// out meanwhile.
type gate struct {
	*config.Store
	members *member.Member
}

// Confirmed implements caller.ConfigSource.
func (g gate) Confirmed(now time.Time, within time.Duration) bool {
	return g.members.NewWorkAllowed(now) && g.Store.Confirmed(now, within)
}

// versions tells which versions of the configuration the instances have.
type versions struct{ members *member.Member }

// ConfigVersions implements accepted.Fleet.
func (f versions) ConfigVersions(ctx context.Context, atLeast int64) ([]int64, error) {
	f.members.RefreshVersions(ctx, atLeast)
	return slices.Collect(maps.Values(f.members.ConfigVersions())), nil
}

// instances lists the entry instances for operators.
type instances struct{ *parts }

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

// servers tells operators what the owners of backend servers know of them.
type servers struct{ *parts }

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

// ready returns why the instance takes no new work.
func (p *parts) ready() error {
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

func (p *parts) rosterTiming() roster.Timing {
	return roster.Timing{
		Lease:  millis(p.settings.Timing.ConfirmMillis),
		Permit: millis(p.settings.Timing.PermitMillis),
	}
}

func (p *parts) claimOptions() claim.StoreOptions {
	return claim.StoreOptions{
		Objects:      p.objects,
		Log:          telemetry.Part(p.tel.Log, "claim"),
		Holder:       p.settings.Instance,
		AnswerWithin: answerWithin,
		Attempts:     claimAttempts,
		Retention: func() time.Duration {
			return time.Duration(p.store.Snapshot().Config.Limits.ClaimRetentionSeconds) * time.Second
		},
	}
}

// ownsShard spreads the sweeping of claims over the instances.
func (p *parts) ownsShard(shard string) bool {
	owner, ok := p.members.Roster().Owner("claims/"+shard, "")
	return ok && owner.ID == p.settings.Instance
}
