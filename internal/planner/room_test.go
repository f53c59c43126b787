package planner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/gossip"
)

// The engines of one group are full, those of the other have room. A generation
// whose turn it is in the full one begins in the other. Where all are full the
// asker is told so, and can wait; where none would ever have room it needn't.
func TestFullGroupIsPassedOver(t *testing.T) {
	const engines, measure = 48, 34000
	groups := groupsOf(engines)
	require.Equal(t, 2, groups)
	tests := map[string]struct {
		used func(id string) int
		need int
		want error
	}{
		"one group has room":      {func(id string) int { return measure * (1 - groupOf(id, groups)) }, 4000, nil},
		"none has":                {func(string) int { return measure }, 4000, ErrFull},
		"larger than any of them": {func(string) int { return 0 }, 2 * measure, ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := startWith(t, "a", "k", engineList(engines), func(o *Options) {
				o.Own = func(id string) gossip.Load { return gossip.Load{Running: 1, Tokens: tt.used(id)} }
			})
			asked := 0
			for i := 0; asked < 4; i++ {
				request := fmt.Sprint("r", i)
				if groupOf(request, groups) != 0 {
					continue
				}
				asked++
				engine, err := a.Place(t.Context(), Placing{Request: request, Service: "llm", Zone: "zone-0", Prompt: 3000, Need: tt.need})
				if tt.want != nil {
					require.ErrorIs(t, err, tt.want)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, 1, groupOf(engine, groups))
			}
		})
	}
}
