package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against answers of an engine with a malformed head that are read as streams, or say that a request wasn't
// run or that a generation is unknown.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range cutanswer.Malformed("X-Request-Id: r1\r\nX-Not-Run: true\r\n", "data: {}\n\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, address := engine.NewClient(engine.Options{}), cutanswer.Start(t, answer)
			t.Cleanup(client.Close)
			_, err := client.Start(t.Context(), address, engine.Request{ID: "r1", Body: []byte(`{}`)})
			require.ErrorIs(t, err, engine.ErrUnknownOutcome)
			_, err = client.Resume(t.Context(), address, "r1", 1, true)
			require.ErrorIs(t, err, engine.ErrUnknownOutcome)
			require.ErrorIs(t, client.Cancel(t.Context(), address, "r1"), engine.ErrUnknownOutcome)
		})
	}
}
