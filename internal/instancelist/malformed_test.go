package instancelist_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against a list with a malformed head that is taken for the instances there are.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range cutanswer.Malformed("", `{"instances":[]}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(cutanswer.New(answer, "X-Id"))
			t.Cleanup(server.Close)
			client := instancelist.NewClient(server.URL, nil)
			t.Cleanup(client.Close)
			_, err := client.List(t.Context())
			require.ErrorIs(t, err, instancelist.ErrUnavailable)
		})
	}
}
