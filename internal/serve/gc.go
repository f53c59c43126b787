package serve

import "runtime/debug"

// gcPercent is how much the heap may grow before a garbage collection, in percent of the live heap.
// It overrides GOGC: an instance is configured by its settings only.
const gcPercent = 50

func setGCPercent() { debug.SetGCPercent(gcPercent) }
