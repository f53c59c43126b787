package owner

import (
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Guards against repeating a lost request before the owners of other servers know of its crash.
func TestLossIsSettled(t *testing.T) {
	errTimeout := merry.New("timeout")
	before, after := -time.Second, time.Second
	tests := map[string]struct {
		// pollAt is when the poll begins, relative to the loss.
		pollAt      time.Duration
		incarnation string
		err         error
		announced   bool
		want        bool
		suspect     crashsuspect.Verdict
	}{
		"the server runs on":              {pollAt: after, incarnation: "a", want: true},
		"the poll began before the loss":  {pollAt: before, incarnation: "a"},
		"the server is silent":            {pollAt: after, err: errTimeout},
		"restarted, not announced":        {pollAt: after, incarnation: "b", suspect: crashsuspect.Suspected},
		"restarted, announced":            {pollAt: after, incarnation: "b", announced: true, want: true, suspect: crashsuspect.Suspected},
		"nothing listens, not announced":  {pollAt: after, err: ErrNotListening, suspect: crashsuspect.Suspected},
		"nothing listens, announced":      {pollAt: after, err: ErrNotListening, announced: true, want: true, suspect: crashsuspect.Suspected},
		"restart seen before the loss is": {pollAt: before, incarnation: "b", suspect: crashsuspect.Suspected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const fingerprint = 7
			server := pollenspindle.Server{Name: "engine-1", Service: "briefing", Zone: "a", State: pollenspindle.ServerInService, ColdLimit: 2, WarmLimit: 8}
			snap := config.NewSnapshot(1, pollenspindle.Config{Servers: []pollenspindle.Server{server}})
			o := newTestOwner(t, snap, immediateLoads{}, time.Minute)
			now := time.Now()
			e := o.entry(snap, &server)
			e.applyAuthority(now.Add(-time.Hour), permit.Authority{Role: permit.RoleOwner}, true)
			e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now})
			require.IsType(t, admission.Granted{}, e.state.Acquire(now, admission.AcquireRequest{PermitID: "p", Request: permit.Request{ID: "r", Fingerprint: fingerprint}}))

			lost := []*peerv1.Released{{Server: "engine-1", PermitId: "p", Ending: string(permit.EndingLost)}}
			if tt.pollAt > 0 {
				o.Release(lost)
			}
			e.pollStartedAt = now.Add(tt.pollAt)
			o.handlePoll(now.Add(tt.pollAt), server, e, admission.Report{Incarnation: tt.incarnation, MeasuredAt: now.Add(tt.pollAt)}, tt.err)
			if tt.pollAt < 0 {
				o.Release(lost)
			}
			if tt.announced {
				close(o.opts.Suspects.takeAnnouncement(now).done)
			}
			require.Equal(t, tt.want, e.nextSettlement(now, "p") == nil)
			require.Equal(t, tt.suspect, o.opts.Suspects.check(now, fingerprint))
		})
	}
}
