package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
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
			server := httptest.NewServer(cutanswer.New(answer, "X-Id"))
			t.Cleanup(server.Close)
			client := New(unlimited{}, nil)
			t.Cleanup(client.Close)
			_, _, err := client.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), http.MethodPost, "/stop", []byte(`{}`))
			require.ErrorIs(t, err, httpclient.ErrUnknownOutcome)
		})
	}
}
