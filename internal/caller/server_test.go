package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
)

func TestInstanceOrderSpreadsCallersAndIsStable(t *testing.T) {
	f := startServer(t, testConfig("127.0.0.1:1"))
	var got InstancesResponse
	r := f.do(t, request{method: "GET", path: "/v1/instances", token: "-"})
	require.NoError(t, json.Unmarshal(r.body, &got), "%s", r.body)
	require.Len(t, got.Instances, 3, "%s", r.body)
	require.Equal(t, 1, got.TTLSeconds)
	require.Equal(t, int64(7), got.Epoch)

	// Each instance is the first choice of an equal share of callers; when an instance is lost,
	// only its own callers change theirs.
	live := []Instance{{ID: "1", Address: "a"}, {ID: "2", Address: "b"}, {ID: "3", Address: "c"}}
	first := map[string]int{}
	for i := range 3000 {
		key := strconv.Itoa(i)
		before, after := rankInstances(live, key), rankInstances(live[:2], key)
		first[before[0].Address]++
		if before[0].Address != "c" {
			require.Equal(t, before[0], after[0])
		}
	}
	for _, in := range live {
		require.InDelta(t, 1000, first[in.Address], 150)
	}
}

// An instance that reaches neither the platform nor its peers might send to a drained zone. It
// must fail readiness and refuse new requests with the outcome "not run".
func TestUnconfirmedConfiguration(t *testing.T) {
	cfg := testConfig("127.0.0.1:1")
	f := startServer(t, cfg)
	require.Equal(t, http.StatusOK, f.do(t, request{method: "GET", path: "/readyz"}).status)
	cfg.unconfirmed.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, f.do(t, request{method: "GET", path: "/readyz"}).status)
	for _, path := range []string{"/v1/chat/completions", "/v1/services/desk/bookings"} {
		r := f.do(t, request{path: path, body: chatBody})
		d := r.detail(t)
		require.Equal(t, answer.Code(permit.ReasonNotConfirmed), d.Code)
		require.Equal(t, answer.OutcomeNotRun, d.Outcome)
		require.Equal(t, "1", r.header.Get("Retry-After"))
	}
	require.Zero(t, f.permits.issued)
}

func TestPanicGivesFailureResponse(t *testing.T) {
	f := startServer(t, testConfig("127.0.0.1:1"))
	c := app.NewContext(0)
	f.server.wrap("x", func(context.Context, *app.RequestContext) error { panic("boom") })(t.Context(), c)
	require.Equal(t, http.StatusInternalServerError, c.Response.StatusCode())
	require.Contains(t, string(c.Response.Body()), `"outcome":"unknown"`)
	require.Equal(t, admitted, f.server.gate.Enter(), "the panic released its slot")
	f.server.gate.Leave()
}

// A shutdown starts during a stream. The stream must complete, and callers with an older list of
// instances must be served until the list has expired.
func TestShutdownCompletesStreams(t *testing.T) {
	f := startServer(t, testConfig(startEngine(t, 1)))
	resp := f.open(t.Context(), t, request{path: "/v1/chat/completions", body: withStream(chatBody)})
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	require.Len(t, readEvents(r, 1), 1)

	f.server.Drain()
	require.Equal(t, http.StatusServiceUnavailable, f.do(t, request{method: "GET", path: "/readyz"}).status)
	late := f.open(t.Context(), t, request{path: "/v1/chat/completions", body: withStream(chatBody)})
	defer late.Body.Close()
	require.Equal(t, http.StatusOK, late.StatusCode)

	done := make(chan struct{})
	go func() {
		defer close(done)
		f.server.Shutdown(context.Background())
	}()
	for _, body := range []*bufio.Reader{r, bufio.NewReader(late.Body)} {
		events := readEvents(body, math.MaxInt)
		require.Equal(t, doneMarker, events[len(events)-1].data)
	}
	<-done
	require.True(t, f.permits.balanced())
}

// A stream runs longer than the time limit of a shutdown. Its caller gets an event with its
// position and resumes through another instance.
func TestStreamResumesElsewhereAfterStopLimit(t *testing.T) {
	cfg := testConfig(startEngine(t, 1))
	first, second := startServer(t, cfg), startServer(t, cfg)
	resp := first.open(t.Context(), t, request{path: "/v1/chat/completions", body: withStream(chatBody)})
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	events := readEvents(r, 2)
	first.stop()
	events = append(events, readEvents(r, math.MaxInt)...)
	last := events[len(events)-1]
	require.Equal(t, eventError, last.kind)
	d := reply{body: []byte(last.data)}.detail(t)
	require.Equal(t, answer.CodeResumeElsewhere, d.Code)
	require.Equal(t, events[len(events)-2].id, strconv.FormatInt(d.Position, 10))

	again := second.open(t.Context(), t, request{
		method: "GET", path: "/v1/generations/" + resp.Header.Get(headerGeneration),
		header: map[string]string{"Last-Event-ID": strconv.FormatInt(d.Position, 10)},
	})
	defer again.Body.Close()
	rest := readEvents(bufio.NewReader(again.Body), math.MaxInt)
	require.Equal(t, strconv.FormatInt(d.Position+1, 10), rest[0].id)
	require.Equal(t, doneMarker, rest[len(rest)-1].data)
	require.Eventually(t, first.permits.balanced, time.Minute, time.Millisecond)
}
