package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// immediateLoads answers each poll at once with a new report.
type immediateLoads struct{}

func (immediateLoads) Load(_ context.Context, sentAt time.Time, _ pollenspindle.ServiceKind, _ string) (admission.Report, error) {
	return admission.Report{Incarnation: "a", MeasuredAt: sentAt}, nil
}

// Guards against refusing a request as if the server were full, when the permit granted
// to its earlier Acquire call has expired.
func TestExpiredPermitIsRequestedAgain(t *testing.T) {
	const permitFor = 40 * time.Millisecond
	server := pollenspindle.Server{Name: "desk-1", Service: "desk", Zone: "a", State: pollenspindle.ServerInService, ColdLimit: 2, WarmLimit: 8}
	snap := config.NewSnapshot(1, pollenspindle.Config{
		Zones:    []pollenspindle.Zone{{Name: "a", State: pollenspindle.ZoneInService}},
		Services: []pollenspindle.Service{{Name: "desk", Kind: pollenspindle.ServicePlain}},
		Servers:  []pollenspindle.Server{server},
	})
	o := newTestOwner(t, snap, immediateLoads{}, permitFor)
	now := time.Now()
	authority := permit.Authority{Role: permit.RoleOwner}
	e := o.entry(snap, &server)
	e.applyAuthority(now.Add(-time.Hour), authority, true)
	e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now})
	e.reachable, e.polledAt = true, now
	past := now.Add(-permitFor - 5*time.Millisecond)
	require.IsType(t, admission.Granted{}, e.state.Acquire(past, admission.AcquireRequest{PermitID: "r", Request: permit.Request{ID: "r", Deadline: now.Add(time.Minute)}}))
	answer := o.Acquire(t.Context(), &peerv1.AcquireRequest{Server: "desk-1", Id: "r", WaitMillis: 10})
	require.Nil(t, answer.GetRefused())
	require.NotNil(t, answer.GetQueued(), "must be queued, so that it is requested again")
}
