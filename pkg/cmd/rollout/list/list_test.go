package list

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

func TestListRun(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   string
		err    error
	}{
		"a canary": {
			http.StatusOK,
			`[{"service":"desk","to":"v2","stage":"canary","share":0.08,"ageMs":1500,"answers":12,"failed":1,"oldAnswers":140,"oldFailed":2,"deciding":true,"waits":"canary"}]`,
			"desk\tv2\tcanary\t0.08\t1.5s\t1 of 12\t2 of 140\t0\ttrue\tcanary\n", nil,
		},
		"none":      {http.StatusOK, `[]`, "", nil},
		"not found": {http.StatusNotFound, ``, "", ErrNoResponse},
		"not JSON":  {http.StatusOK, `x`, "", ErrNoResponse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/rollouts", r.URL.Path)
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			var out bytes.Buffer
			o := NewCmdList(&cmdutil.Factory{Streams: &iostreams.IOStreams{Out: &out}})
			o.Metrics = strings.TrimPrefix(server.URL, "http://")
			require.ErrorIs(t, listRun(t.Context(), &o), tt.err)
			require.Equal(t, tt.want, out.String())
		})
	}
}
