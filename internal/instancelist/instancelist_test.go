package instancelist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

// The client returns the list as the platform serves it: with lag, frozen after a fault, or not at
// all.
func TestListWithPlatformFaults(t *testing.T) {
	server := httptest.NewServer(platform.NewHandler(platform.Options{Lag: time.Millisecond}))
	defer server.Close()
	put := func(path, body string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := server.Client().Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	client := instancelist.NewClient(server.URL, nil)
	defer client.Close()
	list, err := client.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, list)

	put("/control/instances", `{"instances":[{"id":"i1","address":"127.0.0.1:8080","peerAddress":"127.0.0.1:9080","zone":"kigali-a","state":"leaving"}]}`)
	want := []instancelist.Instance{{ID: "i1", Address: "127.0.0.1:8080", PeerAddress: "127.0.0.1:9080", Zone: "kigali-a", State: instancelist.StateLeaving}}
	require.Eventually(t, func() bool {
		list, err := client.List(t.Context())
		return err == nil && len(list) == 1
	}, 10*time.Second, time.Millisecond)
	put("/control/faults", `{"freezeList":true}`)
	put("/control/instances", `{"instances":[]}`)
	list, err = client.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, want, list)

	put("/control/faults", `{"down":true}`)
	_, err = client.List(t.Context())
	require.ErrorIs(t, err, instancelist.ErrUnavailable)
}
