package objectapi_test

import (
	"maps"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/test/endless"
)

// Each case guards against an answer of the platform without end that takes the memory of an instance, or
// keeps it waiting.
func TestEndlessAnswers(t *testing.T) {
	const maxAnswer, maxSent = 1 << 20, 8 << 20
	const json = "Content-Type: application/json\r\n"
	answers := endless.Heads(json)
	maps.Copy(answers, map[string]*endless.Server{
		"body":              {Begin: "HTTP/1.1 200 OK\r\n" + json + "\r\n", Repeat: " "},
		"body in chunks":    {Begin: "HTTP/1.1 200 OK\r\n" + json + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "8\r\n[[[[[[[[\r\n"},
		"body of a failure": {Begin: "HTTP/1.1 500 Failed\r\n" + json + "\r\n", Repeat: " "},
	})
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(answer)
			t.Cleanup(server.Close)
			client := objectapi.NewClient(server.URL, objectapi.Options{Timeout: testMax, MaxAnswerBytes: maxAnswer})
			t.Cleanup(client.Close)
			begin := time.Now()
			_, err := client.Get(t.Context(), kind, "head")
			require.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Create(t.Context(), kind, "head", []byte(`{}`))
			require.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
			answer.Wait()
			require.Less(t, time.Since(begin), endless.Timeout)
			require.Less(t, answer.Most(), int64(maxSent))
		})
	}
}
