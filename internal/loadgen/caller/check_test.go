package caller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
)

func token(id, position int64, tag string) eventstream.Event {
	data := fmt.Sprintf(`{"choices":[{"delta":{"content":%q},"finish_reason":null}]}`, engine.TokenText(position, tag))
	return eventstream.Event{ID: id, Data: []byte(data)}
}

func finish(id int64) eventstream.Event {
	return eventstream.Event{ID: id, Data: []byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`)}
}

// A checker that finds nothing would make every run look right.
func TestTokenCheckFindsFaults(t *testing.T) {
	tests := map[string]struct {
		events []eventstream.Event
		tokens int64
		faults measure.Faults
	}{
		"whole":              {events: []eventstream.Event{token(1, 1, "a"), token(2, 2, "a"), finish(3)}, tokens: 2},
		"doubled":            {events: []eventstream.Event{token(1, 1, "a"), token(1, 1, "a"), finish(2)}, tokens: 1, faults: measure.Faults{Doubled: 1}},
		"lost":               {events: []eventstream.Event{token(1, 1, "a"), token(4, 4, "a"), finish(5)}, tokens: 2, faults: measure.Faults{Lost: 2}},
		"crossed under ids":  {events: []eventstream.Event{token(1, 2, "a"), token(2, 1, "a"), finish(3)}, tokens: 2, faults: measure.Faults{OutOfOrder: 2}},
		"second generation":  {events: []eventstream.Event{token(1, 1, "a"), token(2, 2, "b"), finish(3)}, tokens: 2, faults: measure.Faults{Mixed: 1}},
		"end without finish": {events: []eventstream.Event{token(1, 1, "a")}, tokens: 1, faults: measure.Faults{Lost: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c tokenCheck
			for _, ev := range tt.events {
				c.accept(ev)
			}
			c.end()
			require.Equal(t, tt.tokens, c.tokens)
			require.Equal(t, tt.faults, c.faults)
		})
	}
}
