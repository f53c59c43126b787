package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that reads a token now and then keeps its buffer full, so each new token waits for it.
// The waits together must not take longer than for a caller that reads nothing.
func TestLag(t *testing.T) {
	const limit = 10 * time.Second
	tests := map[string]struct {
		// queued is the number of unread messages before each push.
		queued []int
		every  time.Duration
		left   time.Duration
	}{
		"reads nothing":              {queued: []int{MessageCapacity}, left: limit},
		"reads a token now and then": {queued: []int{MessageCapacity, MessageCapacity, MessageCapacity}, every: 4 * time.Second, left: 2 * time.Second},
		"is behind for too long":     {queued: []int{MessageCapacity, MessageCapacity, MessageCapacity}, every: 6 * time.Second},
		"has caught up in between":   {queued: []int{MessageCapacity, MessageCapacity / 2, MessageCapacity}, every: 4 * time.Second, left: limit},
		"has not caught up enough": {
			queued: []int{MessageCapacity, MessageCapacity/2 + 1, MessageCapacity}, every: 4 * time.Second, left: 2 * time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l lag
			var left time.Duration
			now := time.Now()
			for i, queued := range tt.queued {
				l.resetIfCaughtUp(queued)
				if queued == MessageCapacity {
					left = l.remaining(now.Add(time.Duration(i)*tt.every), limit)
				}
			}
			require.Equal(t, tt.left, left)
		})
	}
}
