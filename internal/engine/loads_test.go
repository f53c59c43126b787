package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/engine"
)

// Guards against a load report that depends on whether the engine sent it in full or as an update.
func TestLoadWithAndWithoutUpdates(t *testing.T) {
	const full = `{"incarnation":"a","tag":"t1","measuredMillisAgo":5,"usedTokens":70,"waiting":2,"running":[` +
		`{"id":"r1","promptTokens":10,"outputTokens":1},{"id":"r2","promptTokens":20,"outputTokens":2},{"id":"r3","promptTokens":30,"outputTokens":3}]}`
	run := func(id string, prompt, output int) engine.RunningSequence {
		return engine.RunningSequence{ID: id, PromptTokens: prompt, OutputTokens: output}
	}
	tests := map[string]struct {
		first, second string
		after         string
		want          engine.LoadReport
		fails         bool
	}{
		"no tags": {
			first: strings.Replace(full, `"tag":"t1",`, "", 1), second: `{"incarnation":"a","measuredMillisAgo":7}`,
			after: "", want: engine.LoadReport{Incarnation: "a", MeasuredMillisAgo: 7},
		},
		"update": {
			first: full, after: "t1",
			second: `{"tag":"t2","after":"t1","measuredMillisAgo":7,"usedTokens":60,"ended":[1],"outputs":[4,6],"running":[{"id":"r4","promptTokens":40,"outputTokens":1}]}`,
			want: engine.LoadReport{
				Incarnation: "a", Tag: "t2", MeasuredMillisAgo: 7, UsedTokens: 60, Waiting: 2,
				Running: []engine.RunningSequence{run("r1", 10, 4), run("r3", 30, 6), run("r4", 40, 1)},
			},
		},
		"full report after a restart": {
			first: full, after: "t1", second: `{"incarnation":"b","tag":"u1","measuredMillisAgo":7,"running":[]}`,
			want: engine.LoadReport{Incarnation: "b", Tag: "u1", MeasuredMillisAgo: 7, Running: []engine.RunningSequence{}},
		},
		"update of another report": {
			first: full, after: "t1", second: `{"tag":"t2","after":"t0","measuredMillisAgo":7,"outputs":[1,2,3]}`, fails: true,
		},
		"too few outputs": {
			first: full, after: "t1", second: `{"tag":"t2","after":"t1","measuredMillisAgo":7,"outputs":[1,2]}`, fails: true,
		},
		"index out of range": {
			first: full, after: "t1", second: `{"tag":"t2","after":"t1","measuredMillisAgo":7,"ended":[3],"outputs":[1,2,3]}`, fails: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			responses, after := []string{tt.first, tt.second, full}, []string{}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte(responses[len(after)]))
				after = append(after, r.URL.Query().Get("after"))
			}))
			defer s.Close()
			c, address := newClient(t), strings.TrimPrefix(s.URL, "http://")
			_, err := c.Load(testContext(t), address)
			require.NoError(t, err)
			got, err := c.Load(testContext(t), address)
			if tt.fails {
				require.ErrorIs(t, err, engine.ErrInvalidResponse)
				_, err = c.Load(testContext(t), address)
				require.NoError(t, err)
				require.Equal(t, []string{"", "t1", ""}, after)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
			require.Equal(t, []string{"", tt.after}, after)
		})
	}
}

// Polls a running engine with full and with incremental reports while requests start and end, and
// compares the reports with the same tag.
func TestUpdatesMatchFullReports(t *testing.T) {
	address := startEngine(t, nil)
	c, ctx := newClient(t), testContext(t)
	full := map[string]engine.LoadReport{}
	compared := map[string]bool{}
	for i := 0; len(compared) < 20; i++ {
		if i%5 == 0 {
			s, err := c.Start(ctx, address, engine.Request{ID: fmt.Sprintf("r%d", i), Body: []byte(requestBody)})
			require.NoError(t, err)
			t.Cleanup(s.Close)
		}
		report, err := c.Load(ctx, address)
		require.NoError(t, err)
		resp, err := http.Get("http://" + address + "/v1/load")
		require.NoError(t, err)
		var fullReport engine.LoadReport
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&fullReport))
		require.NoError(t, resp.Body.Close())
		full[fullReport.Tag] = fullReport
		if expected, ok := full[report.Tag]; ok && len(report.Running) > 0 {
			report.MeasuredMillisAgo = expected.MeasuredMillisAgo
			require.Equal(t, expected, report)
			compared[report.Tag] = true
		}
	}
}
