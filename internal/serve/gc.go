package serve

import (
	"runtime/debug"

	"pollenspindle.example/pollenspindle/internal/settings"
)

const (
	// gcPercent is how much the heap may grow before a garbage collection, in percent of the live heap.
	// It overrides GOGC: an instance is configured by its settings only.
	gcPercent = 50
	// memoryShare is the share of the allowed memory that is the soft limit of the garbage collector.
	memoryShare = 0.6
)

// limitMemory configures the garbage collector.
func limitMemory(s settings.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryBytes(s)) * memoryShare))
}

// memoryBytes returns the memory that the process may use.
func memoryBytes(s settings.Settings) int64 {
	if s.MemoryMegabytes > 0 {
		return int64(s.MemoryMegabytes) << 20
	}
	return settings.DefaultMemoryMegabytes << 20
}
