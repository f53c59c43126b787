package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/router"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// allowedMembers implements Members: always allowed, with an empty roster.
type allowedMembers struct{}

func (allowedMembers) Roster() *roster.Roster               { return &roster.Roster{} }
func (allowedMembers) NewWorkAllowed(time.Time) bool        { return true }
func (allowedMembers) AwaitResume(context.Context)          {}
func (allowedMembers) CatchUp(context.Context, string) bool { return false }

// Guards against a refusal that comes only at the request's deadline although no
// backend server may run the request, or each one has refused it already.
func TestAcquireRefusesImmediatelyWithoutCandidates(t *testing.T) {
	tests := map[string]struct {
		exclude func(c *pollenspindle.Config) []string
		policy  router.Policy
	}{
		"refused by every server": {func(c *pollenspindle.Config) []string {
			var names []string
			for _, s := range c.Servers {
				names = append(names, s.Name)
			}
			return names
		}, router.Predicted{}},
		"zone drained": {func(c *pollenspindle.Config) []string {
			c.Zones[0].State = pollenspindle.ZoneTakenOut
			return nil
		}, router.Predicted{}},
		"zone drained, baseline policy": {func(c *pollenspindle.Config) []string {
			c.Zones[0].State = pollenspindle.ZoneTakenOut
			return nil
		}, router.LeastRequests{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := declared()
			exclude := tt.exclude(&cfg)
			snap := config.NewSnapshot(1, cfg)
			r := router.New(router.Options{
				Self: roster.Instance{ID: "i1", Zone: "a", Region: "r"}, Members: allowedMembers{}, Policy: tt.policy,
				Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(), Metrics: tally.NoopScope,
			})
			now := time.Now()
			_, err := r.Acquire(t.Context(), now, permit.Request{
				ID: "r1", Service: "briefing", Model: "m", Workspace: "w", Deadline: now.Add(time.Hour), ExcludeServers: exclude,
			})
			var refusal *permit.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, permit.ReasonNoServer, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

// Guards against sending to a server that may have restarted cold: permits requested
// before a connection to it broke can't be used. Later permits and permits for other
// servers can.
func TestMaySendRejectsPermitsFromBeforeABrokenConnection(t *testing.T) {
	const permitFor = 2 * time.Second
	now := time.Now()
	r := router.New(router.Options{Members: allowedMembers{}, PermitLifetime: permitFor, Metrics: tally.NoopScope})
	r.ReportBroken(now, permit.Permit{Server: "engine-1"})
	requestedAt := func(at time.Time, server string) permit.Permit {
		return permit.Permit{Server: server, ExpiresAt: at.Add(permitFor)}
	}
	tests := map[string]struct {
		permit permit.Permit
		now    time.Time
		want   bool
	}{
		"requested before": {requestedAt(now.Add(-time.Second), "engine-1"), now.Add(time.Millisecond), false},
		"requested after":  {requestedAt(now.Add(time.Millisecond), "engine-1"), now.Add(2 * time.Millisecond), true},
		"another server":   {requestedAt(now.Add(-time.Second), "engine-2"), now.Add(time.Millisecond), true},
		"expired":          {requestedAt(now.Add(time.Millisecond), "engine-1"), now.Add(time.Minute), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, r.MaySend(tt.now, tt.permit)) })
	}
}

// soleOwner implements Members with a roster in which this instance owns every server.
type soleOwner struct {
	allowedMembers
	roster *roster.Roster
}

func (o soleOwner) Roster() *roster.Roster { return o.roster }

// countingOwner implements Local: each permit raises a server's load by a tenth.
type countingOwner struct{ granted map[string]int }

func (f countingOwner) Acquire(_ context.Context, req *peerv1.AcquireRequest) *peerv1.AcquireResponse {
	f.granted[req.GetServer()]++
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
		PermitId: req.GetId(), ValidMillis: 1000, LoadPermille: int32(100 * f.granted[req.GetServer()]),
	}}}
}

func (countingOwner) Release([]*peerv1.Released) {}

func (countingOwner) SettleLosses(context.Context, []*peerv1.Released) {}

// Guards against requests with a common prompt prefix all going to the server that
// has it cached: its streams would slow down while the other servers are idle. The
// server is preferred only until its extra load outweighs the cache hit.
func TestSharedPrefixDoesNotOverloadOneServer(t *testing.T) {
	self := roster.Instance{ID: "i1", Zone: "a", Region: "r"}
	members := soleOwner{roster: roster.New(1, roster.Object{Number: 1, Instances: []roster.Instance{self}})}
	snap := config.NewSnapshot(1, declared())
	local := countingOwner{granted: map[string]int{}}
	r := router.New(router.Options{
		Self: self, Members: members, Local: local, Policy: router.Predicted{}, Seed: 1, PermitLifetime: time.Second,
		Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	now := time.Now()
	for range 20 {
		_, err := r.Acquire(t.Context(), now, permit.Request{
			ID: "r", Service: "briefing", Model: "m", Workspace: "w", PrefixHash: 7, Deadline: now.Add(time.Hour),
		})
		require.NoError(t, err)
	}
	require.Len(t, local.granted, len(snap.Config.Servers), "%v", local.granted)
	for server, n := range local.granted {
		require.LessOrEqual(t, n, 7, "%s of %v", server, local.granted)
	}
}

// pausedOwner implements Members: new work is allowed after a wait.
type pausedOwner struct {
	soleOwner
	resumed *bool
}

func (o pausedOwner) NewWorkAllowed(time.Time) bool { return *o.resumed }
func (o pausedOwner) AwaitResume(context.Context)   { *o.resumed = true }

// Guards against refusing a request because the process was paused while the request waited.
func TestAcquireWaitsForResume(t *testing.T) {
	self := roster.Instance{ID: "i1", Zone: "a", Region: "r"}
	members := pausedOwner{soleOwner{roster: roster.New(1, roster.Object{Number: 1, Instances: []roster.Instance{self}})}, new(bool)}
	snap := config.NewSnapshot(1, declared())
	r := router.New(router.Options{
		Self: self, Members: members, Local: countingOwner{granted: map[string]int{}}, Policy: router.Predicted{}, Seed: 1, PermitLifetime: time.Second,
		Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	now := time.Now()
	_, err := r.Acquire(t.Context(), now, permit.Request{ID: "r", Service: "briefing", Model: "m", Workspace: "w", Deadline: now.Add(time.Hour)})
	require.NoError(t, err)
}

// Guards against requests within a server's pause, and a Retry-After that ends within it.
func TestPauseBindsNewRequestsAndPermits(t *testing.T) {
	const pause = 3 * time.Second
	for name, policy := range map[string]router.Policy{"predicted": router.Predicted{}, "baseline": router.RoundRobin{}} {
		t.Run(name, func(t *testing.T) {
			self := roster.Instance{ID: "i1", Zone: "a", Region: "r"}
			members := soleOwner{roster: roster.New(1, roster.Object{Number: 1, Instances: []roster.Instance{self}})}
			snap := config.NewSnapshot(1, declared())
			local := countingOwner{granted: map[string]int{}}
			r := router.New(router.Options{
				Self: self, Members: members, Local: local, Policy: policy, Seed: 1, PermitLifetime: time.Second,
				Config: func() *config.Snapshot { return snap }, Log: zerolog.Nop(), Metrics: tally.NoopScope,
			})
			acquire := func() (permit.Permit, error) {
				now := time.Now()
				return r.Acquire(t.Context(), now, permit.Request{ID: "r", Service: "briefing", Model: "m", Workspace: "w", Deadline: now.Add(time.Hour)})
			}
			refuse := func(p permit.Permit) {
				r.Release(p, permit.Outcome{Ending: permit.EndingRefused, Pause: pause})
			}
			first, err := acquire()
			require.NoError(t, err)
			require.True(t, r.MaySend(time.Now(), first))
			refuse(first)
			require.False(t, r.MaySend(time.Now(), first))
			for range 20 {
				p, err := acquire()
				require.NoError(t, err)
				require.NotEqual(t, first.Server, p.Server)
			}
			for i := range snap.Config.Servers {
				refuse(permit.Permit{Server: snap.Config.Servers[i].Name})
			}
			_, err = acquire()
			var refusal *permit.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, permit.ReasonNoServer, refusal.Reason)
			require.Greater(t, refusal.RetryAfter, pause-time.Second)
		})
	}
}
