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

// addSecondAndThirdDesk declares a plain server in each availability zone.
func addSecondAndThirdDesk(c *pollenspindle.Config) {
	addSecondDesk(c)
	third := c.Servers[len(c.Servers)-1]
	third.Name, third.Zone = "desk-3", c.Zones[2].Name
	c.Servers = append(c.Servers, third)
}

// TestPlainServers reads and books continuously. First the plain servers are cold and crash above
// two concurrent requests; only their load reports tell when they are warm. Then the zone of one
// server is drained, the server is drained, or it reports that it is leaving. Callers must be
// served throughout, no cold server may crash, a server must get no requests three seconds after
// it left, and each booking is made once or refused as not run.
func TestPlainServers(t *testing.T) {
	s := start(t, system.Options{
		Config:      addSecondAndThirdDesk,
		ServiceArgs: []string{"--cold-limit", "2", "--cold-millis", "10000", "--delay-millis", "20"},
	})
	d := deployments["inyange"]
	desks := []string{"desk-1", "desk-2", "desk-3"}
	starts := deskIncarnations(t, s, desks)
	reads := startLoad(t, s, d, 16, s.Instances, read(d))
	writes := startLoad(t, s, d, 8, s.Instances, write(d))
	reads.waitServed(t, 40)
	writes.waitServed(t, 20)
	for _, desk := range desks {
		require.Eventually(t, func() bool { return loadReport(t, s, desk).State == service.LoadWarm }, waitTimeout, pollInterval)
	}
	reads.waitServed(t, 100)
	require.Equal(t, starts, deskIncarnations(t, s, desks), "a cold plain server crashed")

	ops := s.OperatorClient(t, s.Instances[0])
	departures := map[string]struct{ leave, restore func() }{
		"zone drained": {
			leave: func() {
				_, err := ops.DrainZone(t.Context(), s.Config.Zones[0].Name, changeRequest("drain zone"))
				require.NoError(t, err)
			},
			restore: func() {
				_, err := ops.RestoreZone(t.Context(), s.Config.Zones[0].Name, changeRequest("restore zone"))
				require.NoError(t, err)
			},
		},
		"server drained": {
			leave: func() {
				_, err := ops.DrainServer(t.Context(), "desk-1", changeRequest("drain"))
				require.NoError(t, err)
			},
			restore: func() {
				_, err := ops.RestoreServer(t.Context(), "desk-1", changeRequest("restore"))
				require.NoError(t, err)
			},
		},
		"reports that it is leaving": {
			leave:   func() { s.Control(t, s.Servers["desk-1"].Address, http.MethodPost, "/control/leave", nil) },
			restore: func() { s.Control(t, s.Servers["desk-1"].Address, http.MethodPost, "/control/crash", nil) },
		},
	}
	for name, tt := range departures {
		t.Run(name, func(t *testing.T) {
			tt.leave()
			waitElapsed(t, time.Now(), propagationLimit)
			before := loadReport(t, s, "desk-1").AcceptedTotal
			reads.waitServed(t, 100)
			writes.waitServed(t, 50)
			require.Equal(t, before, loadReport(t, s, "desk-1").AcceptedTotal, "new requests on a plain server that left")
			tt.restore()
			atRestore := loadReport(t, s, "desk-1").AcceptedTotal
			require.Eventually(t, func() bool { return loadReport(t, s, "desk-1").AcceptedTotal > atRestore }, waitTimeout, pollInterval, "no requests after the server returned")
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
	requireConsistentEffects(t, records, all)
}

// deskIncarnations returns the incarnation of each plain server.
func deskIncarnations(t *testing.T, s *system.System, desks []string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, desk := range desks {
		out[desk] = s.ServiceLedger(t, desk).Incarnation
	}
	return out
}

// loadReport returns the load report of a plain server.
func loadReport(t *testing.T, s *system.System, desk string) service.LoadReport {
	t.Helper()
	var r service.LoadReport
	require.NoError(t, json.Unmarshal(s.Control(t, s.Servers[desk].Address, http.MethodGet, "/load", nil), &r))
	return r
}
