package tcpclose

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that are closed while the last response is on its way, or that never end.
func TestEndingWaitsForDelivery(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	step := func(d time.Duration, s State) func(e *ending) bool {
		return func(e *ending) bool { return e.isOver(at(d), s) }
	}
	const most = maxLinger
	tests := map[string]struct {
		discard bool
		steps   []func(e *ending) bool
	}{
		"caller closes":                   {true, []func(e *ending) bool{step(0, State{Confirms: true}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"caller closes its sending side":  {true, []func(e *ending) bool{step(0, State{Confirms: true, Closed: true, Unconfirmed: 9}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"reset":                           {true, []func(e *ending) bool{step(0, State{Failed: true})}},
		"rest of a request":               {true, []func(e *ending) bool{step(0, State{Confirms: true, Unread: true}), step(time.Millisecond, State{Confirms: true, Closed: true})}},
		"request crosses the end":         {false, []func(e *ending) bool{step(0, State{Confirms: true, Unread: true})}},
		"request crosses, not confirmed":  {false, []func(e *ending) bool{step(0, State{Confirms: true, Unread: true, Unconfirmed: 9}), step(time.Millisecond, State{Confirms: true, Unread: true})}},
		"caller doesn't close":            {true, []func(e *ending) bool{step(0, State{Confirms: true}), step(Timeout-1, State{Confirms: true}), step(Timeout, State{Confirms: true})}},
		"caller's machine is gone":        {true, []func(e *ending) bool{step(0, State{Confirms: true, Unconfirmed: 9}), step(Timeout, State{Confirms: true, Unconfirmed: 9})}},
		"caller reads slowly":             {true, []func(e *ending) bool{step(0, State{Confirms: true, Unconfirmed: 9}), step(Timeout, State{Confirms: true, Unconfirmed: 8}), step(2*Timeout-1, State{Confirms: true, Unconfirmed: 8}), step(2*Timeout, State{Confirms: true, Unconfirmed: 8})}},
		"caller reads slowly for long":    {true, []func(e *ending) bool{step(most-2, State{Confirms: true, Unconfirmed: 9}), step(most-1, State{Confirms: true, Unconfirmed: 8}), step(most, State{Confirms: true, Unconfirmed: 7})}},
		"confirmations unknown, closes":   {true, []func(e *ending) bool{step(0, State{}), step(time.Millisecond, State{Closed: true})}},
		"confirmations unknown, stays on": {true, []func(e *ending) bool{step(0, State{}), step(Timeout, State{})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &ending{began: at(0), progressAt: at(0), unconfirmed: 100, discard: tt.discard}
			if name == "caller reads slowly for long" {
				e.progressAt = at(most - Timeout)
			}
			for i, over := range tt.steps {
				require.Equal(t, i == len(tt.steps)-1, over(e), "step %d", i)
			}
		})
	}
}
