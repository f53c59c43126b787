package objectapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// Guards against an odd object that keeps those beside it from being read.
func TestObjectsBesideAnOddOne(t *testing.T) {
	const sound = `{"kind":"k","name":"a","version":3,"value":{"x":[1]}}`
	want := objectapi.Object{Kind: "k", Name: "a", Version: 3, Value: []byte(`{"x":[1]}`)}
	for name, value := range map[string]string{
		"deep":         strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000),
		"infinite":     `{"n":Infinity}`,
		"not a number": `NaN`,
		"no value":     `{"n":}`,
	} {
		t.Run(name, func(t *testing.T) {
			odd := objectapi.Object{Kind: "k", Name: "odd", Version: 5, Value: []byte(value), Status: []byte(value)}
			oddText := `{"kind":"k","name":"odd","version":5,"value":` + value + `,"status":` + value + `}`
			answers := map[string]string{
				"/objects/k":     `{"version":8,"objects":[` + sound + `,` + oddText + `],"cursor":""}`,
				"/objects/k/odd": oddText,
				"/watch/k":       `{"version":9,"events":[{"type":"put","object":` + oddText + `},{"type":"delete","object":` + sound + `}]}`,
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(answers[r.URL.Path])) }))
			t.Cleanup(server.Close)
			client := objectapi.NewClient(server.URL, objectapi.Options{})
			t.Cleanup(client.Close)
			version, objects, err := client.List(t.Context(), "k")
			require.NoError(t, err)
			require.Equal(t, int64(8), version)
			require.Equal(t, []objectapi.Object{want, odd}, objects)
			o, err := client.Get(t.Context(), "k", "odd")
			require.NoError(t, err)
			require.Equal(t, odd, o)
			changes, err := client.Watch(t.Context(), "k", 8, time.Second)
			require.NoError(t, err)
			require.Equal(t, objectapi.Changes{Version: 9, Events: []objectapi.Event{{Type: objectapi.EventPut, Object: odd}, {Type: objectapi.EventDelete, Object: want}}}, changes)
		})
	}
}

// Guards against a watch whose response can't be read and that is taken for one that was cut off, which
// is repeated.
func TestUnreadableWatch(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":  `<html>`,
		"cut value": `{"version":9,"events":[`,
		"too large": strings.Repeat(" ", 2<<10),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			t.Cleanup(server.Close)
			client := objectapi.NewClient(server.URL, objectapi.Options{MaxAnswerBytes: 1 << 10})
			t.Cleanup(client.Close)
			_, err := client.Watch(t.Context(), "k", 8, time.Second)
			require.ErrorIs(t, err, objectapi.ErrUnreadable)
			require.NotErrorIs(t, err, objectapi.ErrWatchEnded)
		})
	}
}
