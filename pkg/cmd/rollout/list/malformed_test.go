package list

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against rollouts that are shown from an answer with a malformed head.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range cutanswer.Malformed("", `[]`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(cutanswer.New(answer, "X-Id"))
			t.Cleanup(server.Close)
			_, err := fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"))
			require.ErrorIs(t, err, ErrNoResponse)
		})
	}
}
