package ingressserve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// Guards against grace periods that are counted from a signal that the process handled late.
func TestSignalIsDatedBeforeThePause(t *testing.T) {
	tests := map[string]struct {
		observed   []time.Duration
		handled    time.Duration
		wantSentAt time.Duration
	}{
		"runs":                       {observed: []time.Duration{0, runInterval, 2 * runInterval}, handled: 2*runInterval + 10, wantSentAt: 2*runInterval + 10},
		"first note after the pause": {observed: []time.Duration{0, runInterval}, handled: 3 * time.Second, wantSentAt: runInterval},
		"noted after the pause":      {observed: []time.Duration{0, 3 * time.Second, 3*time.Second + maxRunGap}, handled: 3*time.Second + signalDelay, wantSentAt: 0},
		"pause is long over":         {observed: []time.Duration{0, 3 * time.Second, 3*time.Second + maxRunGap}, handled: 3*time.Second + signalDelay + 1, wantSentAt: 3*time.Second + signalDelay + 1},
		"short delay":                {observed: []time.Duration{0, maxRunGap}, handled: 2 * maxRunGap, wantSentAt: 2 * maxRunGap},
		"two pauses":                 {observed: []time.Duration{0, time.Second, time.Second + runInterval}, handled: 2 * time.Second, wantSentAt: time.Second + runInterval},
		"starts":                     {handled: time.Second, wantSentAt: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var w runWatch
			for _, d := range tt.observed {
				w.observe(at(d))
			}
			require.Equal(t, at(tt.wantSentAt), w.sentAt(at(tt.handled)))
		})
	}
}
