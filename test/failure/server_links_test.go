package failure_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/linkfault"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// linksContact is how long after its links have failed an instance is held to the service of others,
	// minLinksServed how often it must serve relative to them.
	linksContact    = 3 * time.Second
	minLinksServed  = 2.0 / 3
	linkRequests    = 12
	linkOutputLimit = 20
)

// Guards against instances of the product's own interface that refuse or fail requests because their
// own links to all servers are down.
func TestInstanceWithoutServerLinksServes(t *testing.T) {
	d := deployments["inyange"]
	for _, mode := range []linkfault.Mode{linkfault.Hang, linkfault.Reset, linkfault.Refuse} {
		t.Run(string(mode), func(t *testing.T) {
			s := start(t, system.Options{LinkFaults: true, EngineArgs: []string{"--cold-millis", "0"}, ServiceArgs: []string{"--cold-millis", "0"}})
			cut, calm := s.Instances[0], s.Instances[1]
			for _, in := range s.Instances {
				require.Eventually(t, func() bool {
					return generate(d, linkOutputLimit)(t.Context(), t, s.Caller(d.workspace), in, "ready").served()
				}, waitTimeout, pollInterval)
			}
			s.SetLinks(t, cut, mode)
			waitElapsed(t, time.Now(), linksContact)
			for name, do := range map[string]request{"generations": generate(d, linkOutputLimit), "reads": read(d), "writes": write(d)} {
				others := countServed(t, s, d, calm, name+"-calm", do)
				require.Positive(t, others)
				require.GreaterOrEqual(t, float64(countServed(t, s, d, cut, name+"-cut", do)), minLinksServed*float64(others), name)
			}
		})
	}
}

// countServed sends requests to one instance at the same time, each once, and returns how many are served.
func countServed(t *testing.T, s *system.System, d deployment, in *system.Instance, tag string, do request) int {
	t.Helper()
	var mu sync.Mutex
	var sending sync.WaitGroup
	served := 0
	for n := range linkRequests {
		sending.Go(func() {
			if do(t.Context(), t, s.Caller(d.workspace), in, fmt.Sprintf("%s-%s-%d", t.Name(), tag, n)).served() {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	sending.Wait()
	return served
}
