package service_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against answers of a service with a malformed head that reach callers, or say that a request wasn't run.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range cutanswer.Malformed("X-Not-Run: true\r\n", "twelve bytes") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newClient(t, service.Options{})
			resp, err := client.Do(testContext(t), cutanswer.Start(t, answer), service.Request{Method: http.MethodPost, Path: "/", FreshConnection: true})
			require.ErrorIs(t, err, service.ErrUnknownOutcome, "%+v", resp)
		})
	}
}
