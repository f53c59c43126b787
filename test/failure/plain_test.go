package failure_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/service"
	standin "pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/system"
)

// threeDesks declares a plain server in each availability zone.
func threeDesks(c *pollenspindle.Config) {
	twoDesks(c)
	third := c.Servers[len(c.Servers)-1]
	third.Name, third.Zone = "desk-3", c.Zones[2].Name
	c.Servers = append(c.Servers, third)
}

// TestPlainServers: callers read rosters and book fields all the time. First the
// plain servers have just started, and die above two requests at once; nothing
// but their reports tells when they are warm. Then the zone of one is taken
// out, one is drained, and one says that it leaves. Callers are served
// throughout, no cold server dies, none gets new work three seconds after it
// left, and each booking is made once or was truly refused.
func TestPlainServers(t *testing.T) {
	s := start(t, system.Options{
		Config:      threeDesks,
		ServiceArgs: []string{"--cold-limit", "2", "--cold-millis", "10000", "--delay-millis", "20"},
	})
	d := deployments["inyange"]
	desks := []string{"desk-1", "desk-2", "desk-3"}
	starts := deskStarts(t, s, desks)
	reads := startLoad(t, s, d, 16, s.Instances, read(d))
	writes := startLoad(t, s, d, 8, s.Instances, write(d))
	reads.requireServes(t, 40)
	writes.requireServes(t, 20)
	for _, desk := range desks {
		require.Eventually(t, func() bool { return loadOf(t, s, desk).State == service.LoadWarm }, patience, pollEach)
	}
	reads.requireServes(t, 100)
	require.Equal(t, starts, deskStarts(t, s, desks), "a cold plain server crashed")

	ops := s.OperatorClient(t, s.Instances[0])
	leaves := map[string]struct{ leave, back func() }{
		"zone taken out": {
			leave: func() {
				_, err := ops.DrainZone(t.Context(), s.Config.Zones[0].Name, changeBy("take the zone out"))
				require.NoError(t, err)
			},
			back: func() {
				_, err := ops.RestoreZone(t.Context(), s.Config.Zones[0].Name, changeBy("bring the zone back"))
				require.NoError(t, err)
			},
		},
		"drained": {
			leave: func() {
				_, err := ops.DrainServer(t.Context(), "desk-1", changeBy("drain"))
				require.NoError(t, err)
			},
			back: func() {
				_, err := ops.RestoreServer(t.Context(), "desk-1", changeBy("restore"))
				require.NoError(t, err)
			},
		},
		"says that it leaves": {
			leave: func() { s.Control(t, s.Servers["desk-1"].Address, http.MethodPost, "/control/leave", nil) },
			back:  func() { s.Control(t, s.Servers["desk-1"].Address, http.MethodPost, "/control/crash", nil) },
		},
	}
	for name, tt := range leaves {
		t.Run(name, func(t *testing.T) {
			tt.leave()
			lasts(t, time.Now(), promised)
			before := loadOf(t, s, "desk-1").AcceptedTotal
			reads.requireServes(t, 100)
			writes.requireServes(t, 50)
			require.Equal(t, before, loadOf(t, s, "desk-1").AcceptedTotal, "new work on a plain server that left")
			tt.back()
			back := loadOf(t, s, "desk-1").AcceptedTotal
			require.Eventually(t, func() bool { return loadOf(t, s, "desk-1").AcceptedTotal > back }, patience, pollEach, "no work returns")
		})
	}
	reads.Stop()
	records := writes.Stop()
	for _, r := range records {
		require.NoError(t, r.err)
		require.True(t, r.failure == nil || r.failure.Outcome == answer.OutcomeNotRun, "%+v", r.failure)
	}
	var all standin.Ledger
	for _, desk := range desks {
		all.Effects = append(all.Effects, s.ServiceLedger(t, desk).Effects...)
	}
	requireNotRunIsTrue(t, records, all)
}

// deskStarts returns the start that each plain server is in.
func deskStarts(t *testing.T, s *system.System, desks []string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, desk := range desks {
		out[desk] = s.ServiceLedger(t, desk).Incarnation
	}
	return out
}

// loadOf returns a plain server's own report.
func loadOf(t *testing.T, s *system.System, desk string) service.LoadReport {
	t.Helper()
	var r service.LoadReport
	require.NoError(t, json.Unmarshal(s.Control(t, s.Servers[desk].Address, http.MethodGet, "/load", nil), &r))
	return r
}
