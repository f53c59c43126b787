package list

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against rollouts that are shown from an answer with a malformed head.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range cutanswer.Malformed("", `[]`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := fetch(t.Context(), cutanswer.Start(t, answer))
			require.ErrorIs(t, err, ErrNoResponse)
		})
	}
}
