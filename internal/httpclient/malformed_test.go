package httpclient

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against answers with a malformed head that are taken for answers, whole or with another body.
func TestMalformedHeadsFail(t *testing.T) {
	for name, answer := range cutanswer.Malformed("X-Field: value\r\n", "twelve bytes") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				status, got, err := exchange(t, c, address, http.MethodPost, call)
				require.ErrorIs(t, err, ErrMalformed, "%s: status %d, body %q", callName, status, got)
				require.ErrorIs(t, err, ErrUnknownOutcome, "%s: status %d, body %q", callName, status, got)
			}
		})
	}
}

// Guards against valid answers that are refused because they are unusual.
func TestOddHeadsAreRead(t *testing.T) {
	const body = "twelve bytes"
	for name, answer := range cutanswer.Odd("X-Field: value\r\n", body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				status, got, err := exchange(t, c, address, http.MethodPost, call)
				require.NoError(t, err, callName)
				require.Equal(t, answer.Status, status, callName)
				require.Equal(t, body, got, callName)
			}
		})
	}
}
