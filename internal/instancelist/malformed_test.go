package instancelist_test

import (
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
			client := instancelist.NewClient("http://"+cutanswer.Start(t, answer), nil)
			t.Cleanup(client.Close)
			_, err := client.List(t.Context())
			require.ErrorIs(t, err, instancelist.ErrUnavailable)
		})
	}
}
