package tcpclose

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that are closed while the last response is on its way, or that never end.
func TestEndingWaitsForDelivery(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	type look func(t *testing.T, e *lingering) bool
	// after looks after a pause of the process.
	after := func(d time.Duration, s State) look {
		return func(_ *testing.T, e *lingering) bool { return e.isOver(at(d), s) }
	}
	// step looks on time until then, and finds the state then.
	step := func(d time.Duration, s State) look {
		return func(t *testing.T, e *lingering) bool {
			before := State{Confirms: s.Confirms, Unconfirmed: e.unconfirmed}
			for e.lookedAt.Before(at(d - lingerInterval)) {
				require.False(t, e.isOver(e.lookedAt.Add(lingerInterval), before))
			}
			return e.isOver(at(d), s)
		}
	}
	const most, stall = maxLinger, 3 * Timeout
	tests := map[string]struct {
		discard         bool
		deliveryTimeout time.Duration
		// waited is how long the connection has lingered before.
		waited time.Duration
		steps  []look
	}{
		"caller pauses":                   {deliveryTimeout: stall, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), step(stall-1, State{Confirms: true, Unconfirmed: 9}), step(stall, State{Confirms: true, Closed: true})}},
		"caller stalls":                   {deliveryTimeout: stall, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), step(stall-1, State{Confirms: true, Unconfirmed: 9}), step(stall, State{Confirms: true, Unconfirmed: 9})}},
		"caller closes":                   {discard: true, steps: []look{step(0, State{Confirms: true}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"caller closes its sending side":  {discard: true, steps: []look{step(0, State{Confirms: true, Closed: true, Unconfirmed: 9}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"reset":                           {discard: true, steps: []look{step(0, State{Failed: true})}},
		"rest of a request":               {discard: true, steps: []look{step(0, State{Confirms: true, Unread: true}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"request crosses the end":         {steps: []look{step(0, State{Confirms: true, Unread: true})}},
		"request crosses, not confirmed":  {steps: []look{step(0, State{Confirms: true, Unread: true, Unconfirmed: 9}), step(time.Millisecond, State{Confirms: true, Unread: true})}},
		"caller doesn't close":            {discard: true, steps: []look{step(0, State{Confirms: true}), step(Timeout-1, State{Confirms: true}), step(Timeout, State{Confirms: true})}},
		"caller's machine is gone":        {discard: true, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), step(Timeout, State{Confirms: true, Unconfirmed: 9})}},
		"caller reads slowly":             {discard: true, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), step(Timeout, State{Confirms: true, Unconfirmed: 8}), step(2*Timeout-1, State{Confirms: true, Unconfirmed: 8}), step(2*Timeout, State{Confirms: true, Unconfirmed: 8})}},
		"caller reads slowly for long":    {discard: true, waited: most - Timeout, steps: []look{step(most-2, State{Confirms: true, Unconfirmed: 9}), step(most-1, State{Confirms: true, Unconfirmed: 8}), step(most, State{Confirms: true, Unconfirmed: 7})}},
		"paused before the first look":    {discard: true, steps: []look{after(3*Timeout, State{Confirms: true, Unconfirmed: 100}), step(3*Timeout+lingerInterval, State{Confirms: true, Closed: true})}},
		"paused between two looks":        {discard: true, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), step(lingerInterval, State{Confirms: true, Unconfirmed: 9}), after(2*Timeout, State{Confirms: true, Unconfirmed: 9}), step(2*Timeout+lingerInterval, State{Confirms: true, Closed: true})}},
		"paused beyond the limit":         {discard: true, steps: []look{step(0, State{Confirms: true, Unconfirmed: 9}), after(2*most, State{Confirms: true, Unconfirmed: 8}), step(2*most+lingerInterval, State{Confirms: true, Closed: true})}},
		"confirmations unknown, closes":   {discard: true, steps: []look{step(0, State{}), step(time.Millisecond, State{Closed: true})}},
		"confirmations unknown, stays on": {discard: true, steps: []look{step(0, State{}), step(Timeout, State{})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &lingering{lookedAt: at(tt.waited), waited: tt.waited, unconfirmed: 100, discard: tt.discard, deliveryTimeout: tt.deliveryTimeout}
			for i, over := range tt.steps {
				require.Equal(t, i == len(tt.steps)-1, over(t, e), "step %d", i)
			}
		})
	}
}
