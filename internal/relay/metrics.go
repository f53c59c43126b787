package relay

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the relay's metrics. They are created once: looking one up takes a lock, and some
// are recorded for each token.
type metrics struct {
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	stall         tally.Histogram
	permitWait    tally.Histogram
	retries       tally.Counter
	probes        tally.Counter
	gaps          tally.Counter
	slowCallers   tally.Counter
}

const (
	firstBucket  = time.Millisecond
	bucketFactor = 2
	numBuckets   = 18
)

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, numBuckets)
	return metrics{
		firstToken:    scope.Histogram("first_token", buckets),
		betweenTokens: scope.Histogram("between_tokens", buckets),
		stall:         scope.Histogram("stall", buckets),
		permitWait:    scope.Histogram("permit_wait", buckets),
		retries:       scope.Counter("retries"),
		probes:        scope.Counter("probes"),
		gaps:          scope.Counter("gaps"),
		slowCallers:   scope.Counter("slow_callers"),
	}
}
