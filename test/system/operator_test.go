package system_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/test/system"
)

// sendRequest sends one request, reads the response and returns its status and header.
func sendRequest(t *testing.T, s *system.System, in *system.Instance, workspace, method, path, body string) (int, http.Header) {
	t.Helper()
	reply, err := s.Caller(workspace).Call(t.Context(), t, method, in.Caller, path, []byte(body))
	require.NoError(t, err)
	return reply.Status, reply.Header
}

const briefing = `{"model":"flight-briefing","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}`

// TestOperatorCommands runs the operator commands of the built program against a running
// deployment and checks exit code and output of each.
func TestOperatorCommands(t *testing.T) {
	s := system.Start(t, system.Options{EngineArgs: []string{"--load-millis", "10", "--model", "airworthiness"}})
	first := s.Instances[0]
	status, header := sendRequest(t, s, s.Instances[1], "kigali-flyers", http.MethodPost, "/v1/chat/completions", strings.Replace(briefing, "flight-briefing", "airworthiness", 1))
	require.Equal(t, http.StatusOK, status)
	generation := header.Get("X-Generation-Id")
	status, header = sendRequest(t, s, s.Instances[2], "kigali-flyers", http.MethodPost, "/v1/chat/completions", strings.Replace(briefing, "flight-briefing", "none", 1))
	require.Equal(t, http.StatusNotFound, status)
	refused := header.Get("X-Request-Id")

	config := func() string {
		code, out, stderr := s.RunCommand(t, first, "", "config", "show")
		require.Zero(t, code, stderr)
		return out
	}
	tests := []struct {
		args           []string
		stdin          string
		code           int
		stdout, stderr string
	}{
		{args: []string{"version"}},
		{args: []string{"instance", "list"}, stdout: `(?s)entry-1.*entry-2.*entry-3`},
		{args: []string{"server", "list"}, stdout: `(?m)^briefing-1\t.*\t(cold|warm)\t\d+\t[1-9]\d*\t\d+\tentry-\d$`},
		{args: []string{"zone", "list"}, stdout: `kigali-b\tkigali\tinService`},
		{args: []string{"zone", "drain", "kigali-b"}, stdout: `takenOut`, stderr: `in force on 3 of 3`},
		{args: []string{"zone", "restore", "kigali-b"}, stdout: `inService`},
		{args: []string{"zone", "drain", "nowhere"}, code: int(cmdutil.ExitNotFound), stderr: `nowhere`},
		{args: []string{"server", "drain", "briefing-2"}, stdout: `draining`},
		{args: []string{"server", "restore", "briefing-2"}, stdout: `inService`},
		{args: []string{"config", "history"}, stdout: `set zone kigali-b to takenOut`},
		{args: []string{"config", "validate", "-f", "-"}, stdin: config()},
		{args: []string{"config", "diff", "-f", "-"}, stdin: config()},
		{args: []string{"config", "apply", "-f", "-"}, stdin: config()},
		{args: []string{"config", "apply", "-f", "-"}, stdin: `{"zones":1}`, code: int(cmdutil.ExitInvalid), stderr: `zones: must be a list`},
		{args: []string{"model", "list"}, stdout: `flight-briefing`},
		{args: []string{"model", "load", "flight-briefing", "--server", "briefing-1"}, stdout: `briefing-1\tflight-briefing\tloaded\t\d+`},
		{args: []string{"model", "load", "flight-briefing", "--server", "briefing-1"}, stdout: `alreadyLoaded`},
		{args: []string{"model", "load", "flight-briefing", "--server", "desk-1"}, code: int(cmdutil.ExitConflict), stderr: `belongs to service`},
		{args: []string{"generation", "show", generation}, stdout: `(?s)entry-2\treceived.*asked.*permit.*sent.*firstToken.*ended`, stderr: `finished: workspace kigali-flyers, model airworthiness`},
		{args: []string{"generation", "show", refused}, stdout: `entry-3\tended\tunknownModel`, stderr: `refused`},
		{args: []string{"generation", "show", "req-madeup"}, code: int(cmdutil.ExitNotFound), stderr: `not an id of this deployment`},
		{args: []string{"generation", "cancel", generation}, stderr: `cancelled`},
		{args: []string{"generation", "cancel", "gen-madeup"}, code: int(cmdutil.ExitNotFound)},
		{args: []string{"log", "set", "debug"}},
		{args: []string{"log", "show"}, stdout: `debug`},
		{args: []string{"settings", "check", first.SettingsFile}},
		{args: []string{"settings", "print", first.SettingsFile}, stdout: `heartbeatMillis`},
		{args: []string{"settings", "schema"}, stdout: `\$schema`},
		{args: []string{"config", "schema"}, stdout: `\$schema`},
		{args: []string{"completion", "bash"}, stdout: `pollenspindle`},
		{args: []string{"nonsense"}, code: int(cmdutil.ExitUsage)},
		{args: []string{"instance", "leave", "entry-1"}},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args[:min(2, len(tt.args))], " "), func(t *testing.T) {
			code, stdout, stderr := s.RunCommand(t, first, tt.stdin, tt.args...)
			require.Equal(t, tt.code, code, "%s\n%s", stdout, stderr)
			require.Regexp(t, tt.stdout, stdout)
			require.Regexp(t, tt.stderr, stderr)
		})
	}
	require.Zero(t, first.Process.Wait(t))
	for _, line := range first.Process.Output() {
		require.Regexp(t, `^\{"level":"\w+","instance":"entry-1","part":"[a-z]+"`, line)
	}
}

var (
	seriesLine = regexp.MustCompile(`(?m)^(pollenspindle_\w+)(\{[^}]*\})? `)
	labelName  = regexp.MustCompile(`(\w+)="`)
)

// TestMetricsPresentAndBounded checks that all metrics are exported and that requests of callers
// can't add further series.
func TestMetricsPresentAndBounded(t *testing.T) {
	s := system.Start(t, system.Options{Instances: 1})
	in := s.Instances[0]
	scrape := func() string {
		res, err := http.Get("http://" + in.Operator + "/metrics")
		require.NoError(t, err)
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		return string(body)
	}
	traffic := func(workspace string) {
		sendRequest(t, s, in, workspace, http.MethodPost, "/v1/chat/completions", briefing)
		sendRequest(t, s, in, workspace, http.MethodPost, "/v1/chat/completions", strings.Replace(briefing, "flight", workspace, 1))
		sendRequest(t, s, in, workspace, http.MethodGet, "/v1/services/club-desk/rosters/"+workspace, "")
		sendRequest(t, s, in, workspace, http.MethodGet, "/"+workspace, "")
	}
	traffic("kigali-flyers")
	names := []string{
		"caller_relay_stall_bucket", "caller_relay_between_tokens_bucket", "caller_relay_first_token_bucket",
		"caller_relay_permit_wait_bucket", "caller_relay_attempts", "caller_forward_attempts", "caller_failures",
		"owner_permits", "owner_running", "owner_queued", "owner_limit", "owner_preemptions", "retry_budget",
		"config_version", "ready", "platform_calls", "peer_peer_bytes_sent", "peer_peer_bytes_received", "member_epoch",
		"control_bytes", "control_processor_nanoseconds",
	}
	var text string
	require.Eventually(t, func() bool {
		text = scrape()
		for _, name := range names {
			if !regexp.MustCompile(`(?m)^pollenspindle_` + name + `\{`).MatchString(text) {
				t.Logf("%s is missing", name)
				return false
			}
		}
		return true
	}, time.Minute, 500*time.Millisecond, "%s", text)
	require.Contains(t, text, "process_cpu_seconds_total")

	for _, w := range s.Config.Workspaces {
		for range 3 {
			traffic(w.Name)
		}
	}
	// The counters are copied to the metrics endpoint together, once per second.
	all := fmt.Sprintf(`pollenspindle_caller_failures{code="unknownModel",entry_zone="kigali-a"} %d`, 1+3*len(s.Config.Workspaces))
	require.Eventually(t, func() bool {
		text = scrape()
		return strings.Contains(text, all)
	}, time.Minute, 500*time.Millisecond, "%s", all)
	t.Logf("%d series", len(seriesLine.FindAllString(text, -1)))
	require.LessOrEqual(t, len(seriesLine.FindAllString(text, -1)), maxSeries)
	known := map[string]bool{}
	for _, line := range seriesLine.FindAllStringSubmatch(text, -1) {
		for _, label := range labelName.FindAllStringSubmatch(line[2], -1) {
			known[label[1]] = true
		}
	}
	for label := range known {
		require.Contains(t, []string{"entry_zone", "zone", "service", "reason", "code", "ending", "op", "kind", "result", "le", "role", "direction"}, label)
	}
}

// maxSeries is the limit for one instance with three availability zones, three services and all
// codes. With 350 instances it keeps the fleet below 200,000 series.
const maxSeries = 500
