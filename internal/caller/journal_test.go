package caller

import (
	"bufio"
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/journal"
)

func stepKinds(r journal.Record) []journal.StepKind {
	var list []journal.StepKind
	for _, s := range r.Steps {
		list = append(list, s.Kind)
	}
	return list
}

// A refused request has no generation. Its caller still gets a request ID, under which the journal
// holds the reason.
func TestJournalOfRefusedRequest(t *testing.T) {
	j := journal.New(journal.DefaultLimits)
	cfg := testConfig(startEngine(t, 100))
	cfg.snapshot.ServersByService["briefing"] = nil
	f := startServer(t, cfg, func(o *Options) { o.Journal = j })
	tests := map[string]struct {
		request request
		code    string
		model   string
	}{
		"no server":     {request{path: "/v1/chat/completions", body: withStream(chatBody)}, "noServer", "glide-7b"},
		"unknown model": {request{path: "/v1/chat/completions", body: `{"model":"my secret","messages":[{"role":"user","content":"x"}]}`}, "unknownModel", ""},
		"bad body":      {request{path: "/v1/chat/completions", body: `{`}, "invalidRequest", ""},
		"unknown route": {request{method: "PUT", path: "/v1/services/desk/x"}, "unknownRoute", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := f.do(t, tt.request)
			require.Equal(t, answer.Code(tt.code), r.detail(t).Code)
			records := j.Find(r.header.Get("X-Request-Id"))
			require.Len(t, records, 1)
			require.Equal(t, journal.Refused, records[0].State)
			require.Equal(t, journal.Subject{Workspace: "club", Model: tt.model}, records[0].Subject)
			require.Equal(t, []journal.StepKind{journal.Received, journal.Ended}, stepKinds(records[0]))
			require.Equal(t, tt.code, records[0].Steps[1].Reason)
		})
	}
	nobody := f.do(t, request{path: "/v1/chat/completions", token: "-"})
	require.NotEmpty(t, nobody.header.Get("X-Request-Id"))
	require.Empty(t, j.Find(nobody.header.Get("X-Request-Id")))
}

// A caller disconnects during a stream and resumes. The journal holds the entries of both
// connections under the generation ID.
func TestJournalOfResumedGeneration(t *testing.T) {
	j := journal.New(journal.DefaultLimits)
	f := startServer(t, testConfig(startEngine(t, 5)), func(o *Options) { o.Journal = j })
	ctx, disconnect := context.WithCancel(t.Context())
	resp := f.open(ctx, t, request{path: "/v1/chat/completions", body: withStream(chatBody)})
	defer resp.Body.Close()
	id := resp.Header.Get(headerGeneration)
	readEvents(bufio.NewReader(resp.Body), 3)
	disconnect()
	require.Eventually(t, func() bool {
		records := j.Find(id)
		return len(records) == 1 && records[0].Steps[len(records[0].Steps)-1].Kind == journal.CallerGone
	}, time.Minute, time.Millisecond)

	again := f.open(t.Context(), t, request{method: http.MethodGet, path: "/v1/generations/" + id, header: map[string]string{"Last-Event-ID": "3"}})
	defer again.Body.Close()
	readEvents(bufio.NewReader(again.Body), math.MaxInt)
	require.Eventually(t, func() bool {
		records := j.Find(id)
		return len(records) == 2 && records[0].State == journal.Finished && records[1].State == journal.Finished
	}, time.Minute, time.Millisecond)
	records := j.Find(id)
	require.Equal(t, []journal.StepKind{
		journal.Received, journal.PermitGranted, journal.Sent, journal.FirstToken, journal.CallerGone, journal.TakenOver, journal.Ended,
	}, stepKinds(records[0]))
	require.Equal(t, "engine-1", records[0].Server)
	require.Equal(t, journal.Received, records[1].Steps[0].Kind)
	require.Equal(t, journal.Step{At: records[1].Steps[1].At, Kind: journal.Resumed, Server: "engine-1", Count: 3}, records[1].Steps[1])
}
