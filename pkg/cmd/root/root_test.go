package root_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operator/operatortest"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmd/root"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// fakeFleet implements the operator's dependencies with one instance, one generation and one model.
type fakeFleet struct{}

func (fakeFleet) List(context.Context) ([]operatorapi.Instance, error) {
	return []operatorapi.Instance{{
		Name: "entry-1", Zone: "kigali-a", Address: "127.0.0.1:8081", State: "live", ConfigVersion: 4, Epoch: 2,
	}}, nil
}

func (fakeFleet) Leave(context.Context) error { return nil }

func (fakeFleet) Get(_ context.Context, id string) (operatorapi.Generation, error) {
	if id != "g/1" {
		return operatorapi.Generation{}, operator.ErrNotFound
	}
	return operatorapi.Generation{
		ID: id, Workspace: "huye", Model: "flight-briefing", Server: "briefing-1", State: "running", OutputTokens: 12,
		Steps: []operatorapi.Step{{At: operatortest.Now, Instance: "entry-2", Kind: "queued", Detail: "4 ahead"}},
	}, nil
}

func (fakeFleet) Cancel(_ context.Context, id string) error {
	if id != "g/1" {
		return operator.ErrNotFound
	}
	return nil
}

func (fakeFleet) Load(_ context.Context, _ time.Time, model string, command operatorapi.EngineCommand) (operatorapi.EngineCommandResult, error) {
	return operatorapi.EngineCommandResult{Server: command.Server, Model: model, FencingNumber: 7, State: "loaded"}, nil
}

// program runs commands against an operator listener.
type program struct {
	t       *testing.T
	harness operatortest.Harness
	token   string
	served  []settings.Settings
	// terminal makes the output count as a terminal.
	terminal bool
}

func newProgram(t *testing.T) *program {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(operatortest.Token+"\n"), 0o600))
	fleet := fakeFleet{}
	deps := operator.Options{Instances: fleet, Generations: fleet, Models: fleet}
	return &program{t: t, harness: operatortest.Start(t, deps), token: token}
}

// run runs a command and returns its exit code and outputs.
func (p *program) run(stdin string, args ...string) (code cmdutil.ExitCode, stdout, stderr string) {
	p.t.Helper()
	streams, in, out, errOut := iostreams.Test()
	in.WriteString(stdin)
	streams.OutIsTerminal = p.terminal
	f := &cmdutil.Factory{
		Streams: streams, Version: "1.2.3", Author: "ines",
		Serve: func(_ context.Context, s settings.Settings, _ *iostreams.IOStreams) error {
			p.served = append(p.served, s)
			return nil
		},
	}
	code = root.Main(p.t.Context(), f, args)
	return code, out.String(), errOut.String()
}

// runConnected is run with the flags for the connection to the instance.
func (p *program) runConnected(stdin string, args ...string) (code cmdutil.ExitCode, stdout, stderr string) {
	p.t.Helper()
	return p.run(stdin, append(args, "--instance", p.harness.Address, "--token-file", p.token)...)
}

// printedConfig returns a printed configuration, changed by change unless it is nil.
func printedConfig(t *testing.T, change func(*pollenspindle.Config)) string {
	t.Helper()
	cfg := pollenspindle.New("inyange")
	zone := cfg.AddZone("kigali-a", "kigali")
	desk := cfg.AddPlainService("club-desk", 0)
	desk.Idempotent("GET", "/rosters")
	desk.AddServer("desk-1", zone, "127.0.0.1:9002", 2, 32)
	cfg.AddWorkspace(pollenspindle.Workspace{Name: "huye", TokenSHA256: []string{pollenspindle.Token("t")}})
	if change != nil {
		change(cfg)
	}
	var out bytes.Buffer
	require.NoError(t, cfg.Print(&out))
	return out.String()
}

func TestApplyDrainAndApplyAgain(t *testing.T) {
	p := newProgram(t)
	p.harness.Config.IncompleteCounts = 2
	code, _, stderr := p.runConnected(printedConfig(t, nil), "config", "apply", "-f", "-", "-m", "first")
	require.Equal(t, cmdutil.ExitOK, code, stderr)
	require.Equal(t, "8 changes to version 0.\nVersion 1 is in force on 3 of 3 instances.\n", stderr)

	code, stdout, stderr := p.runConnected("", "zone", "drain", "kigali-a")
	require.Equal(t, cmdutil.ExitOK, code, stderr)
	require.Equal(t, "Taking out zone kigali-a: 1 of 1 backend servers.\nVersion 2 is in force on 3 of 3 instances.\n", stderr)
	require.Equal(t, "changed\tzones/kigali-a/state\t\"inService\"\t\"takenOut\"\n", stdout)

	wider := printedConfig(t, func(c *pollenspindle.Config) { c.Servers[0].WarmLimit = 64 })
	code, stdout, _ = p.runConnected(wider, "config", "diff", "-f", "-")
	require.Equal(t, cmdutil.ExitOK, code)
	require.Equal(t, "changed\tservers/desk-1/warmLimit\t32\t64\n", stdout)
	code, stdout, _ = p.runConnected(wider, "config", "apply", "-f", "-", "--json")
	require.Equal(t, cmdutil.ExitOK, code)
	require.JSONEq(t, `{"version":3,"changes":[{"path":"servers/desk-1/warmLimit","before":"32","after":"64"}],"inForce":3,"total":3}`, stdout)

	code, stdout, _ = p.runConnected("", "zone", "list")
	require.Equal(t, cmdutil.ExitOK, code)
	require.Equal(t, "kigali-a\tkigali\ttakenOut\n", stdout)
	code, _, stderr = p.runConnected("", "zone", "drain", "kigali-a")
	require.Equal(t, cmdutil.ExitOK, code)
	require.Equal(t, "Taking out zone kigali-a: 1 of 1 backend servers.\nNothing to change.\nVersion 3 is in force on 3 of 3 instances.\n", stderr)

	_, stdout, _ = p.runConnected("", "config", "history")
	require.Equal(t, "3\t2026-12-02T09:00:00Z\tines\t\n"+
		"2\t2026-12-02T09:00:00Z\tines\tset zone kigali-a to takenOut\n"+
		"1\t2026-12-02T09:00:00Z\tines\tfirst\n", stdout)
	p.terminal = true
	_, stdout, _ = p.runConnected("", "server", "list")
	require.Equal(t, "SERVER  SERVICE    ZONE      ADDRESS         STATE      LOAD  RUNNING  LIMIT  QUEUED  OWNER\n"+
		"desk-1  club-desk  kigali-a  127.0.0.1:9002  inService        0        0      0       \n", stdout)
}

// Two operators start from version 1. One drains a zone, then the other applies
// a configuration based on version 1. It must be rejected with the author and
// summary of the other change, and change nothing.
func TestConflictReportsOtherChanges(t *testing.T) {
	p := newProgram(t)
	code, _, _ := p.runConnected(printedConfig(t, nil), "config", "apply", "-f", "-")
	require.Equal(t, cmdutil.ExitOK, code)
	code, _, _ = p.runConnected("", "zone", "drain", "kigali-a", "--author", "jean", "-m", "power work")
	require.Equal(t, cmdutil.ExitOK, code)

	code, _, stderr := p.runConnected(printedConfig(t, nil), "config", "apply", "-f", "-", "--base-version", "1")
	require.Equal(t, cmdutil.ExitConflict, code)
	require.Equal(t, "0 changes to version 2.\n"+`the configuration has changed since the version that this change is based on; nothing was changed
your change is based on version 1, but version 2 is in force; changes since then:
  version 2, 2026-12-02 09:00:00Z, jean: power work
`+"See what differs with `pollenspindle config diff`, then apply again with the version in force as --base-version.\n", stderr)
}

// A drain reads version 1, and version 2 adds a server before the drain is
// accepted. The drain must be applied to version 2 and keep the server.
func TestDrainIsAppliedToConcurrentChange(t *testing.T) {
	p := newProgram(t)
	code, _, _ := p.runConnected(printedConfig(t, nil), "config", "apply", "-f", "-")
	require.Equal(t, cmdutil.ExitOK, code)
	p.harness.Config.BeforeApply = func() {
		current, err := p.harness.Config.Current(t.Context())
		require.NoError(t, err)
		next := current.Config
		added := next.Servers[0]
		added.Name, added.Address = "desk-2", "127.0.0.1:9003"
		next.Servers = append(next.Servers[:1:1], added)
		p.harness.Config.Put(t, "jean", "add desk-2", next)
	}
	code, _, stderr := p.runConnected("", "zone", "drain", "kigali-a")
	require.Equal(t, cmdutil.ExitOK, code, stderr)
	current, err := p.harness.Config.Current(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(3), current.Version)
	require.Equal(t, pollenspindle.ZoneTakenOut, current.Config.Zones[0].State)
	require.Len(t, current.Config.Servers, 2)
}

func TestQueriesAndCommandsReachTheInstance(t *testing.T) {
	tests := map[string]struct {
		args           []string
		code           cmdutil.ExitCode
		stdout, stderr string
	}{
		"instances":             {[]string{"instance", "list"}, cmdutil.ExitOK, "entry-1\tkigali-a\t127.0.0.1:8081\tlive\t4\t2\n", ""},
		"leave":                 {[]string{"instance", "leave", "entry-1"}, cmdutil.ExitOK, "", "Instance entry-1 is leaving.\n"},
		"leave another":         {[]string{"instance", "leave", "entry-2"}, cmdutil.ExitConflict, "", `this is instance "entry-1", not "entry-2"`},
		"generation":            {[]string{"generation", "show", "g/1"}, cmdutil.ExitOK, "2026-12-02T09:00:00.000000Z\tentry-2\tqueued\t4 ahead\n", "running: workspace huye, model flight-briefing, server briefing-1, 12 tokens.\n"},
		"no such generation":    {[]string{"generation", "show", "g2"}, cmdutil.ExitNotFound, "", "not found"},
		"cancel":                {[]string{"generation", "cancel", "g/1"}, cmdutil.ExitOK, "", "Generation g/1 is cancelled.\n"},
		"cancel unknown":        {[]string{"generation", "cancel", "g2"}, cmdutil.ExitNotFound, "", "not found"},
		"load a model":          {[]string{"model", "load", "airworthiness", "--server", "briefing-1"}, cmdutil.ExitOK, "briefing-1\tairworthiness\tloaded\t7\n", ""},
		"load without a server": {[]string{"model", "load", "airworthiness"}, cmdutil.ExitUsage, "", "missing flags: --server=NAME"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProgram(t)
			code, stdout, stderr := p.runConnected("", tt.args...)
			require.Equal(t, tt.code, code, stderr)
			require.Equal(t, tt.stdout, stdout)
			require.Contains(t, stderr, tt.stderr)
		})
	}
}

func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "wrong")
	require.NoError(t, os.WriteFile(file, []byte("wrong"), 0o600))
	tests := map[string]struct {
		prepare func(*operatortest.Config)
		stdin   string
		args    []string
		plain   bool
		want    cmdutil.ExitCode
		stderr  string
	}{
		"version":          {args: []string{"version"}, plain: true, want: cmdutil.ExitOK},
		"help":             {args: []string{"zone", "drain", "--help"}, plain: true, want: cmdutil.ExitOK},
		"unknown command":  {args: []string{"zoen"}, plain: true, want: cmdutil.ExitUsage, stderr: "unexpected argument zoen"},
		"no instance":      {args: []string{"zone", "list"}, plain: true, want: cmdutil.ExitUsage, stderr: "missing flags: --instance"},
		"no token file":    {args: []string{"zone", "list", "--instance", "127.0.0.1:1", "--token-file", file + "x"}, plain: true, want: cmdutil.ExitUsage, stderr: "--token-file"},
		"invalid":          {stdin: "{}", args: []string{"config", "apply", "-f", "-"}, want: cmdutil.ExitInvalid, stderr: "stdin:1:1: zones: must name"},
		"invalid settings": {stdin: "", args: []string{"settings", "check", file}, plain: true, want: cmdutil.ExitInvalid, stderr: ":1:1: invalid literal: wrong"},
		"unreachable":      {args: []string{"zone", "list", "--instance", "127.0.0.1:1", "--token-file", file}, plain: true, want: cmdutil.ExitUnreachable, stderr: "Nothing was changed."},
		"no such zone":     {args: []string{"zone", "drain", "x"}, want: cmdutil.ExitNotFound, stderr: `not found: availability zone "x"`},
		"platform down": {
			prepare: func(c *operatortest.Config) { c.Err = operator.ErrUnavailable },
			stdin:   printedConfig(t, nil), args: []string{"config", "apply", "-f", "-"},
			want: cmdutil.ExitUnreachable, stderr: "Nothing was changed.",
		},
		"no response": {
			prepare: func(c *operatortest.Config) { c.Err = operator.ErrUnknownOutcome },
			stdin:   printedConfig(t, nil), args: []string{"config", "apply", "-f", "-"},
			want: cmdutil.ExitUnknownOutcome, stderr: "may have been accepted",
		},
		"not in force": {
			prepare: func(c *operatortest.Config) { c.IncompleteCounts = 1 << 30 },
			stdin:   printedConfig(t, nil), args: []string{"config", "apply", "-f", "-", "--wait", "1ms"},
			want: cmdutil.ExitNotInForce, stderr: "version 1 is accepted but in force on only",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProgram(t)
			if tt.prepare != nil {
				tt.prepare(p.harness.Config)
			}
			run := p.runConnected
			if tt.plain {
				run = p.run
			}
			code, _, stderr := run(tt.stdin, tt.args...)
			require.Equal(t, tt.want, code, stderr)
			require.Contains(t, stderr, tt.stderr)
		})
	}
}

func TestWrongTokenIsUnauthorized(t *testing.T) {
	p := newProgram(t)
	require.NoError(t, os.WriteFile(p.token, []byte("guess"), 0o600))
	code, _, stderr := p.runConnected("", "zone", "list")
	require.Equal(t, cmdutil.ExitUnauthorized, code)
	require.NotContains(t, stderr, "guess")
}

func TestServeAndPrintReadSettingsFile(t *testing.T) {
	const key = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(`{ // one instance
  "instance": "entry-1", "region": "kigali", "zone": "kigali-a",
  "callerAddress": "127.0.0.1:8081", "peerAddress": "127.0.0.1:9081",
  "operatorAddress": "127.0.0.1:7081", "platformUrl": "http://127.0.0.1:6001",
  "peerKey": "`+key+`", "generationKey": "`+key+`",
  "operatorTokenSha256": "`+pollenspindle.Token("t")+`"}`), 0o600))
	p := newProgram(t)
	code, _, stderr := p.run("", "serve", "--settings", file)
	require.Equal(t, cmdutil.ExitOK, code, stderr)
	require.Len(t, p.served, 1)
	require.Equal(t, "entry-1", p.served[0].Instance)

	code, stdout, _ := p.run("", "settings", "print", file)
	require.Equal(t, cmdutil.ExitOK, code)
	require.Contains(t, stdout, `"confirmMillis": 3000`)
	require.NotContains(t, stdout, key)
}
