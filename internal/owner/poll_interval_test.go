package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// stableEntry returns a server that has been stable for an hour, with a limit of 4.
func stableEntry(now time.Time) *entry {
	cfg := admission.Config{Name: "desk-1", ColdLimit: 4, WarmLimit: 4, MemoryTokens: 1000, PermitLifetime: time.Second, QueueTimeout: time.Second}
	e := &entry{
		cfg: cfg, state: admission.New(cfg, admission.FixedLimit{}, outputlength.NewEstimator(outputlength.DefaultParams)),
		waiters: map[string]chan admission.Decision{}, holders: map[string]permitHolder{}, reachable: true,
	}
	e.applyAuthority(now.Add(-time.Hour), permit.Authority{Role: permit.RoleOwner}, true)
	e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now})
	return e
}

func TestPollEvery(t *testing.T) {
	const usual = 500 * time.Millisecond
	now := time.Unix(50_000, 0)
	report := func(r admission.Report) func(*entry) {
		return func(e *entry) {
			before, _ := e.state.LastReport()
			r.MeasuredAt = now
			e.recordPoll(now.Add(-time.Hour), nil, before, r)
			e.state.ApplyReport(now, r)
		}
	}
	running := func(n int) func(*entry) {
		return func(e *entry) {
			for i := range n {
				id := fmt.Sprint(i)
				e.state.Acquire(now, admission.AcquireRequest{PermitID: id, MayQueue: true, Request: permit.Request{ID: id, Deadline: now.Add(time.Minute)}})
			}
		}
	}
	tests := map[string]struct {
		change func(*entry)
		want   time.Duration
	}{
		"idle":                  {func(*entry) {}, stablePollFactor * usual},
		"few running":           {running(3), stablePollFactor * usual},
		"near the limit":        {running(4), usual},
		"queued":                {running(5), usual},
		"near the memory limit": {report(admission.Report{Incarnation: "a", UsedTokens: 800}), usual},
		"cold":                  {report(admission.Report{Incarnation: "a", Cold: true}), usual},
		"leaving":               {report(admission.Report{Incarnation: "a", Leaving: true}), usual},
		"restarted": {func(e *entry) {
			e.recordPoll(now, nil, admission.Report{Incarnation: "a"}, admission.Report{Incarnation: "b"})
		}, usual},
		"preempted":                 {func(e *entry) { e.recordPoll(now, nil, admission.Report{}, admission.Report{Preemptions: 1}) }, usual},
		"silent":                    {func(e *entry) { e.recordPoll(now, errors.New("lost"), admission.Report{}, admission.Report{}) }, usual},
		"not reachable":             {func(e *entry) { e.reachable = false }, usual},
		"newly owned":               {func(e *entry) { e.grantingSince = now }, usual},
		"owned by another instance": {func(e *entry) { e.applyAuthority(now, permit.Authority{}, true) }, usual},
		"report requested":          {func(e *entry) { require.True(t, e.lastReportSuffices(now, usual)) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := stableEntry(now)
			tt.change(e)
			require.Equal(t, tt.want, e.pollInterval(now, usual))
		})
	}
}

// alwaysOwner makes this instance the owner of all servers.
type alwaysOwner struct{}

func (alwaysOwner) Authority(time.Time, roster.Server) permit.Authority {
	return permit.Authority{Role: permit.RoleOwner}
}
func (alwaysOwner) Roster() *roster.Roster { return &roster.Roster{} }

// newTestOwner returns an owner without background work.
func newTestOwner(t *testing.T, snap *config.Snapshot, loads Loads, permitLifetime time.Duration) *Owner {
	t.Helper()
	o, err := New(Options{
		AuthoritySource: alwaysOwner{}, Config: func() *config.Snapshot { return snap }, Loads: loads,
		Policy: admission.Predicted{}, Suspects: NewSuspects(zerolog.Nop()), PermitLifetime: permitLifetime, PollInterval: time.Minute,
		Log: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	require.NoError(t, err)
	t.Cleanup(o.workers.Release)
	return o
}

// blockedLoads returns the report of a restarted, cold server once it is closed.
type blockedLoads chan struct{}

func (h blockedLoads) Load(_ context.Context, sentAt time.Time, _ pollenspindle.ServiceKind, _ string) (admission.Report, error) {
	<-h
	return admission.Report{Incarnation: "b", MeasuredAt: sentAt, Cold: true}, nil
}

// A stable server restarts between two load reports, which are far apart, and a burst
// of requests arrives before the next. The first request triggers a report, and until
// it arrives no more are granted than a cold server can handle. Guards against a crash
// of the cold server by the burst.
func TestBurstAfterUnnoticedRestart(t *testing.T) {
	const cold, burst = 2, 6
	server := pollenspindle.Server{Name: "desk-1", Service: "desk", Zone: "a", State: pollenspindle.ServerInService, ColdLimit: cold, WarmLimit: 8}
	snap := config.NewSnapshot(1, pollenspindle.Config{
		Zones:    []pollenspindle.Zone{{Name: "a", State: pollenspindle.ZoneInService}},
		Services: []pollenspindle.Service{{Name: "desk", Kind: pollenspindle.ServicePlain}},
		Servers:  []pollenspindle.Server{server},
	})
	loads := make(blockedLoads)
	o := newTestOwner(t, snap, loads, time.Minute)
	now := time.Now()
	e := o.entry(snap, &server)
	e.applyAuthority(now.Add(-time.Hour), permit.Authority{Role: permit.RoleOwner}, true)
	e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now.Add(-2 * time.Minute)})
	e.reachable, e.polledAt = true, now.Add(-2*time.Minute)
	for i := 0; e.state.Limit() < server.WarmLimit; i++ {
		for j := range e.state.Limit() {
			id := fmt.Sprint("earlier", i, j)
			require.IsType(t, admission.Granted{}, e.state.Acquire(now, admission.AcquireRequest{PermitID: id, Request: permit.Request{ID: id}}))
		}
		for j := range e.state.Running() {
			e.state.Release(now, fmt.Sprint("earlier", i, j), permit.Outcome{Ending: permit.EndingFinished})
		}
	}
	require.Zero(t, e.state.Running())
	granted := func(i int) bool {
		return o.Acquire(t.Context(), &peerv1.AcquireRequest{Server: "desk-1", Id: fmt.Sprint(i)}).GetGranted() != nil
	}
	for i := range cold {
		require.True(t, granted(i))
	}
	var requests sync.WaitGroup
	more := make([]bool, burst)
	for i := range more {
		requests.Go(func() { more[i] = granted(cold + i) })
	}
	close(loads)
	requests.Wait()
	require.Equal(t, make([]bool, burst), more)
}
