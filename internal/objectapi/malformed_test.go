package objectapi_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

const (
	jsonField    = "Content-Type: application/json\r\n"
	storedObject = `{"kind":"config","name":"head","version":7,"value":{}}`
	noChanges    = `{"version":7,"events":[]}`
)

// Guards against answers of the platform with a malformed head that are taken for answers, or for the word that a
// write had no effect.
func TestMalformedAnswers(t *testing.T) {
	changes := cutanswer.Malformed(jsonField, noChanges)
	for name, answer := range cutanswer.Malformed(jsonField, storedObject) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := serveAnswer(t, answer)
			_, err := client.Get(t.Context(), kind, "head")
			require.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Create(t.Context(), kind, "head", []byte(`{}`))
			require.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
			_, err = client.Update(t.Context(), kind, "head", 6, []byte(`{}`))
			require.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
			require.ErrorIs(t, client.Delete(t.Context(), kind, "head", 6), objectapi.ErrUnknownOutcome)
			_, err = serveAnswer(t, changes[name]).Watch(t.Context(), kind, 6, time.Second)
			require.ErrorIs(t, err, objectapi.ErrWatchEnded)
		})
	}
}

// Guards against valid answers of the platform that are refused because they are unusual.
func TestOddAnswers(t *testing.T) {
	for name, answer := range cutanswer.Odd(jsonField, storedObject) {
		if answer.Status != http.StatusOK {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, err := serveAnswer(t, answer).Get(t.Context(), kind, "head")
			require.NoError(t, err)
			require.EqualValues(t, 7, o.Version)
			// The stand-in closes its connections, which the client would use again.
			_, err = serveAnswer(t, answer).Create(t.Context(), kind, "head", []byte(`{}`))
			require.NoError(t, err)
		})
	}
}

// serveAnswer returns a client of a platform that sends one answer to all calls.
func serveAnswer(t *testing.T, answer cutanswer.Answer) *objectapi.Client {
	t.Helper()
	client := objectapi.NewClient("http://"+cutanswer.Start(t, answer), objectapi.Options{Timeout: testMax})
	t.Cleanup(client.Close)
	return client
}
