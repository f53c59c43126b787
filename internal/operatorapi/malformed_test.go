package operatorapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

const jsonField = "Content-Type: application/json\r\n"

// serveAnswer returns a client of an instance that sends one answer to all calls.
func serveAnswer(t *testing.T, answer cutanswer.Answer) *operatorapi.Client {
	t.Helper()
	client := operatorapi.NewClient(cutanswer.Start(t, answer), "token")
	t.Cleanup(client.Close)
	return client
}

// Guards against answers with a malformed head that tell an operator that a change was accepted, or rejected.
func TestMalformedAnswers(t *testing.T) {
	for bodyName, body := range map[string]string{"result": `{"version":7}`, "failure": `{"error":{"code":"unavailable","message":"not run"}}`} {
		for name, answer := range cutanswer.Malformed(jsonField, body) {
			t.Run(bodyName+", "+name, func(t *testing.T) {
				t.Parallel()
				client := serveAnswer(t, answer)
				_, err := client.Configuration(t.Context())
				require.ErrorIs(t, err, operatorapi.ErrUnreachable)
				_, err = client.Apply(t.Context(), operatorapi.ApplyRequest{})
				require.ErrorIs(t, err, operatorapi.ErrNoResponse)
				require.ErrorIs(t, client.LeaveInstance(t.Context(), "entry-1"), operatorapi.ErrNoResponse)
			})
		}
	}
}

// Guards against answers that were cut and tell an operator that a change was accepted.
func TestCutAnswers(t *testing.T) {
	for name, answer := range cutanswer.Answers(jsonField, `{"version":7}`) {
		if answer.Empty || answer.Unframed || answer.Method != http.MethodPost {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := cutanswer.New(answer, "X-Id")
			h := httptest.NewServer(server)
			t.Cleanup(h.Close)
			for n := range answer.Len("") {
				server.Cut(n, cutanswer.Close)
				client := operatorapi.NewClient(strings.TrimPrefix(h.URL, "http://"), "token")
				_, err := client.Apply(t.Context(), operatorapi.ApplyRequest{})
				client.Close()
				require.ErrorIs(t, err, operatorapi.ErrNoResponse, "after %d bytes", n)
			}
		})
	}
}

// Guards against valid answers that operators don't get because they are unusual.
func TestOddAnswers(t *testing.T) {
	for name, answer := range cutanswer.Odd(jsonField, `{"version":7}`) {
		if answer.Status != http.StatusOK {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := serveAnswer(t, answer)
			result, err := client.Apply(t.Context(), operatorapi.ApplyRequest{})
			require.NoError(t, err)
			require.EqualValues(t, 7, result.Version)
		})
	}
}
