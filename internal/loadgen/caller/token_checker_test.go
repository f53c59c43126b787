package caller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
)

func tokenEvent(id, position int64, tag string) eventstream.Event {
	data := fmt.Sprintf(`{"choices":[{"delta":{"content":%q},"finish_reason":null}]}`, engine.TokenText(position, tag))
	return eventstream.Event{ID: id, Data: []byte(data)}
}

func finishEvent(id int64) eventstream.Event {
	return eventstream.Event{ID: id, Data: []byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`)}
}

// Guards against a checker that misses faults, which would make every run look correct.
func TestTokenCheckFindsFaults(t *testing.T) {
	tests := map[string]struct {
		events []eventstream.Event
		tokens int64
		faults measure.Faults
	}{
		"no fault":                    {events: []eventstream.Event{tokenEvent(1, 1, "a"), tokenEvent(2, 2, "a"), finishEvent(3)}, tokens: 2},
		"duplicated":                  {events: []eventstream.Event{tokenEvent(1, 1, "a"), tokenEvent(1, 1, "a"), finishEvent(2)}, tokens: 1, faults: measure.Faults{Duplicated: 1}},
		"lost":                        {events: []eventstream.Event{tokenEvent(1, 1, "a"), tokenEvent(4, 4, "a"), finishEvent(5)}, tokens: 2, faults: measure.Faults{Lost: 2}},
		"text out of order":           {events: []eventstream.Event{tokenEvent(1, 2, "a"), tokenEvent(2, 1, "a"), finishEvent(3)}, tokens: 2, faults: measure.Faults{OutOfOrder: 2}},
		"token of another generation": {events: []eventstream.Event{tokenEvent(1, 1, "a"), tokenEvent(2, 2, "b"), finishEvent(3)}, tokens: 2, faults: measure.Faults{Foreign: 1}},
		"end without finish reason":   {events: []eventstream.Event{tokenEvent(1, 1, "a")}, tokens: 1, faults: measure.Faults{Lost: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c tokenChecker
			for _, ev := range tt.events {
				c.accept(ev)
			}
			c.checkEnd()
			require.Equal(t, tt.tokens, c.tokens)
			require.Equal(t, tt.faults, c.faults)
		})
	}
}
