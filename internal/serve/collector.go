package serve

import "runtime/debug"

// collectorPercent is how much garbage may come together, in percent of what
// is live. It doesn't follow the environment: an instance is told everything by
// its settings.
const collectorPercent = 50

func setCollector() { debug.SetGCPercent(collectorPercent) }
