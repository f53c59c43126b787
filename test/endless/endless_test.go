package endless_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/endless"
)

// Guards against a data race of requests that begin while a test waits for the others.
func TestWaitWhileRequestsBegin(t *testing.T) {
	const requests = 20
	s := &endless.Server{Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "x"}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range requests {
			resp, err := http.Post(server.URL, "text/plain", strings.NewReader("{}"))
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}()
	for waiting := true; waiting; {
		s.Wait()
		select {
		case <-done:
			waiting = false
		default:
		}
	}
	s.Wait()
	require.Positive(t, s.Most())
}
