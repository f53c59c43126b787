package upstream

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against calls to servers that count as done because of an answer with a malformed head.
func TestMalformedAnswersToCalls(t *testing.T) {
	for name, answer := range cutanswer.Malformed("Content-Type: application/json\r\n", `{}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := New(unlimited{}, nil)
			t.Cleanup(client.Close)
			_, _, err := client.Call(t.Context(), cutanswer.Start(t, answer), http.MethodPost, "/stop", []byte(`{}`))
			require.ErrorIs(t, err, httpclient.ErrUnknownOutcome)
		})
	}
}
