package platformstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// fleetOf returns n servers of one service in five zones.
func fleetOf(n int) []dialect.Server {
	out := make([]dialect.Server, n)
	for i := range out {
		out[i] = dialect.Server{
			ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprint("ll", "m"), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprint("zone-", i%5), Version: fmt.Sprint("v", 1), Slots: 24, StartedAtMillis: int64(i),
		}
	}
	return out
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against state that doesn't fit the memory of a small instance: at 20,000 servers it may
// take 10 MB, and the change of one server 32 bytes of garbage for each of its service.
func TestMemoryGrowsBySmallRecords(t *testing.T) {
	const maxBytesPerServer, maxGarbagePerServer, fixed = 512, 32, 64 << 10
	for _, n := range []int{2500, 5000, 10000, 20000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			before := heapBytes()
			s := NewState()
			s.ReplaceServers(start, 1, fleetOf(n))
			used := heapBytes() - before
			require.Less(t, used, int64(maxBytesPerServer*n+fixed))

			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			allocated := m.TotalAlloc
			changed := fleetOf(1)[0]
			for i := range 10 {
				changed.Leaving = i%2 == 0
				require.True(t, s.ChangeServers(start.Add(time.Second), int64(i+1), int64(i+2), []Change{{ID: changed.ID, Server: &changed}}))
			}
			runtime.ReadMemStats(&m)
			garbage := int64(m.TotalAlloc-allocated) / 10
			t.Logf("%d servers: %d bytes each, %d bytes of garbage a change", n, used/int64(n), garbage)
			require.Less(t, garbage, int64(maxGarbagePerServer*n+fixed))
			runtime.KeepAlive(s)
		})
	}
}
