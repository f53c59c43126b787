package ingress

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against answers to streaming requests that lose their body because they aren't streams.
func TestAnswersToStreamsThatAreNoStreams(t *testing.T) {
	for name, tt := range map[string]struct {
		method string
		status int
		body   string
	}{
		"created":         {"POST", http.StatusCreated, "body"},
		"accepted":        {"POST", http.StatusAccepted, "body"},
		"partial content": {"POST", http.StatusPartialContent, "body"},
		"no content":      {"POST", http.StatusNoContent, ""},
		"found":           {"POST", http.StatusFound, "body"},
		"bad request":     {"POST", http.StatusBadRequest, "body"},
		"HEAD":            {"HEAD", http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, map[string]http.Handler{"llm-1": &backend{handle: respondWith(tt.status)}})
			resp := f.send(tt.method, "/plan/1", "")
			require.Equal(t, tt.status, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.body, string(body))
		})
	}
}
