package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkControlBytes reports the control traffic of an idle instance to and
// from its peers, in bytes a second, with five heartbeats a second. Run it with
// -benchtime=1x.
func BenchmarkControlBytes(b *testing.B) {
	const during = 10 * time.Second
	for _, n := range []int{3, 7, 14, 28} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			c := newCluster(b)
			var all []*instance
			for i := range n {
				all = append(all, c.start(fmt.Sprintf("i%02d", i), "1"))
			}
			c.list(all...)
			c.waitForRoster(all...)
			for b.Loop() {
				before := c.bytes()
				started := time.Now()
				require.Eventually(b, func() bool { return time.Since(started) >= during }, eventually, 10*time.Millisecond)
				perSecond := float64(c.bytes()-before) / time.Since(started).Seconds() / float64(n)
				b.ReportMetric(perSecond, "B/s/instance")
				b.ReportMetric(perSecond/heartbeatsPerSecond, "B/beat")
			}
		})
	}
}

// BenchmarkAcquire measures acquiring a permit for an idle server, mostly
// through an instance that doesn't own the server.
func BenchmarkAcquire(b *testing.B) {
	c := newCluster(b)
	all := []*instance{c.start("i1", "1"), c.start("i2", "1"), c.start("i3", "1")}
	c.list(all...)
	c.waitForRoster(all...)
	c.waitUntilServing(all[0])
	i := 0
	for b.Loop() {
		i++
		require.NoError(b, c.acquire(all[0], fmt.Sprint("b", i)))
	}
}
