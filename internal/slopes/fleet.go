package slopes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	zoneCount   = 9
	regionCount = 4
	serviceName = "briefing"
)

func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i%zoneCount) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i%zoneCount%regionCount) }
func modelName(i int) string  { return fmt.Sprintf("model-%d", i%designModels) }

// fleetConfig returns the configuration of a deployment of the given size.
func fleetConfig(servers, workspaces int) pollenspindle.Config {
	cfg := pollenspindle.Config{Deployment: "full"}
	for i := range zoneCount {
		cfg.Zones = append(cfg.Zones, pollenspindle.Zone{
			Name: zoneName(i), Region: regionName(i), State: pollenspindle.ZoneInService,
		})
	}
	cfg.Services = []pollenspindle.Service{{
		Name: serviceName, Kind: pollenspindle.ServiceGeneration,
		QueueSeconds: 5, PatientQueueSeconds: 300, TokenIntervalTargetMillis: 42,
	}}
	for i := range designModels {
		cfg.Models = append(cfg.Models, pollenspindle.Model{
			Name: modelName(i), Version: "1", Service: serviceName, ContextTokens: 32768,
		})
	}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, serverConfig(i))
	}
	for i := range workspaces {
		sum := sha256.Sum256(fmt.Appendf(nil, "token-%d", i))
		cfg.Workspaces = append(cfg.Workspaces, pollenspindle.Workspace{
			Name: fmt.Sprintf("workspace-%03d", i), Weight: 1 + i%5, Class: pollenspindle.ClassInteractive,
			TokenSHA256: []string{hex.EncodeToString(sum[:])},
		})
	}
	return cfg
}

func serverConfig(i int) pollenspindle.Server {
	return pollenspindle.Server{
		Name: fmt.Sprintf("engine-%04d", i), Service: serviceName, Zone: zoneName(i),
		Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), State: pollenspindle.ServerInService,
		Models: []string{modelName(i)}, ColdLimit: 2, WarmLimit: 32, MemoryTokens: 160000,
		Fencing: pollenspindle.FencingChecked,
	}
}

// rosterInstances returns n instances for a roster.
func rosterInstances(n int) []roster.Instance {
	out := make([]roster.Instance, 0, n)
	for i := range n {
		out = append(out, roster.Instance{
			ID: fmt.Sprintf("entry-%03d", i), Incarnation: fmt.Sprintf("%08x-5f2c-4a71-9d0e-1b2c3d4e5f60", i),
			PeerAddress:   fmt.Sprintf("10.1.%d.%d:9080", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Zone:          zoneName(i), Region: regionName(i),
		})
	}
	return out
}

// initialRoster returns the first roster, with which owners have no previous owner to wait for.
func initialRoster(members []roster.Instance) roster.Object {
	return roster.Object{Number: 1, Instances: members}
}

// minTiming is the minimum duration of one timing.
const minTiming = 20 * time.Millisecond

// timeMicros returns the time of one call of f in µs, the minimum of three timings:
// disturbances on a shared machine only make a timing longer.
func timeMicros(f func()) float64 {
	fastest := 0.0
	for range 3 {
		for n := 1; ; n *= 2 {
			start := time.Now()
			for range n {
				f()
			}
			if elapsed := time.Since(start); elapsed >= minTiming {
				perCall := float64(elapsed.Nanoseconds()) / 1000 / float64(n)
				if fastest == 0 || perCall < fastest {
					fastest = perCall
				}
				break
			}
		}
	}
	return fastest
}

// allocatedBytes returns the bytes that one call of f allocates, after a first call that may
// build what later ones reuse.
func allocatedBytes(f func()) float64 {
	const calls = 100
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / calls
}

// retainedBytes returns the memory that the result of f retains, as the mean over several
// results, since other garbage may remain after a collection.
func retainedBytes(f func() any) float64 {
	const copies = 16
	var before, after runtime.MemStats
	retained := make([]any, 0, copies)
	collectGarbage(&before)
	for range copies {
		retained = append(retained, f())
	}
	collectGarbage(&after)
	runtime.KeepAlive(retained)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / copies
}

// collectGarbage runs the collector twice, since memory held by finalizers is freed only by the
// second collection.
func collectGarbage(m *runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(m)
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureSeries measures a series at the given sizes.
func measureSeries(name, unit, sizeName string, designSize float64, sizes []int, measure func(n int) float64) Series {
	s := Series{Name: name, Unit: unit, SizeName: sizeName, DesignSize: designSize}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{N: float64(n), Value: measure(n)})
	}
	return s
}

var (
	serverSizes    = []int{200, 500, 1000, 2000}
	instanceSizes  = []int{35, 88, 175, 350}
	workspaceSizes = []int{29, 73, 145, 290}
	runningSizes   = []int{4, 8, 16, 32}
	queuedSizes    = []int{1000, 2500, 5000, 10000}
	suspectSizes   = []int{10, 100, 1000, 4000}
)
