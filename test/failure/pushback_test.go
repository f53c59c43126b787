package failure_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// pushbackSpan is how long requests are counted.
	pushbackSpan = 4 * time.Second
	// limitOverage and limitSlack are the tolerance for a rate that a server reports.
	limitOverage = 1.5
	limitSlack   = 5
	// servicePause is the pause that the stand-in asks for with each refusal, and maxInPause the
	// number of requests that an instance may send in one.
	servicePause = time.Second
	maxInPause   = 2
)

// Guards against exceeding a plain server's reported rate, and requests within its pauses.
func TestPlainServersAskForLess(t *testing.T) {
	const maxPerSecond = 2.0
	s := start(t, system.Options{Config: addSecondDesk, ServiceArgs: []string{"--delay-millis", "20"}})
	d := deployments["inyange"]
	address := s.Servers["desk-1"].Address
	writes := startLoad(t, s, d, 8, s.Instances, write(d))
	writes.waitServed(t, 40)

	s.Control(t, address, http.MethodPost, "/control/limit", map[string]float64{"maxPerSecond": maxPerSecond})
	waitElapsed(t, time.Now(), propagationLimit)
	before, at := loadReport(t, s, "desk-1").AcceptedTotal, time.Now()
	waitElapsed(t, at, pushbackSpan)
	accepted := loadReport(t, s, "desk-1").AcceptedTotal - before
	require.LessOrEqual(t, float64(accepted), limitOverage*maxPerSecond*pushbackSpan.Seconds()+limitSlack)
	require.Positive(t, accepted)
	s.Control(t, address, http.MethodPost, "/control/limit", map[string]float64{"maxPerSecond": 0})
	writes.waitServed(t, 40)

	more := startLoad(t, s, d, 24, s.Instances, write(d))
	s.Control(t, address, http.MethodPut, "/control/faults", standin.Faults{Refuse: 1 << 20})
	waitElapsed(t, time.Now(), servicePause)
	refused, at := s.ServiceLedger(t, "desk-1").Refused, time.Now()
	waitElapsed(t, at, pushbackSpan)
	refused = s.ServiceLedger(t, "desk-1").Refused - refused
	pauses := int64(pushbackSpan/servicePause) + 1
	require.LessOrEqual(t, refused, int64(len(s.Instances))*pauses*(1+maxInPause))
	for _, r := range append(writes.Stop(), more.Stop()...) {
		require.NoError(t, r.err)
	}
	t.Logf("accepted %d within %s at %g a second, refused %d", accepted, pushbackSpan, maxPerSecond, refused)
}
