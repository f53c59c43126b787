package pollenspindle_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// valid returns a small valid configuration.
func valid() *pollenspindle.Config {
	cfg := pollenspindle.New("inyange")
	zone := cfg.AddZone("kigali-a", "kigali")
	briefing := cfg.AddGenerationService("briefing", pollenspindle.Queueing{})
	model := briefing.AddModel("flight-briefing", "1", 8192)
	briefing.AddServer("engine-1", zone, "127.0.0.1:9001", pollenspindle.Engine{
		Models: []pollenspindle.ModelRef{model}, ColdLimit: 2, WarmLimit: 16,
		MemoryTokens: 16000, Fencing: pollenspindle.FencingChecked,
	})
	desk := cfg.AddPlainService("club-desk", 0)
	desk.Idempotent("GET", "/rosters")
	desk.NonIdempotent("POST", "/bookings")
	desk.AddServer("desk-1", zone, "127.0.0.1:9002", 2, 32)
	cfg.AddWorkspace(pollenspindle.Workspace{
		Name: "huye-gliders", TokenSHA256: []string{pollenspindle.Token("secret")},
	})
	return cfg
}

func TestValidateNamesTheField(t *testing.T) {
	require.NoError(t, valid().Validate())
	tests := map[string]struct {
		change func(*pollenspindle.Config)
		want   []string
	}{
		"empty": {
			func(c *pollenspindle.Config) { *c = pollenspindle.Config{} },
			[]string{
				"deployment: is missing",
				"zones: must name at least one availability zone",
				"services: must name at least one service",
				"servers: must name at least one backend server",
				"workspaces: must name at least one workspace",
			},
		},
		"undeclared names": {
			func(c *pollenspindle.Config) {
				c.Servers[0].Zone, c.Servers[0].Models[0], c.Servers[1].Service = "x", "y", "z"
			},
			[]string{
				`servers[0].zone: "x" is not a declared availability zone`,
				`servers[0].models[0]: "y" is not a declared model`,
				`servers[1].service: "z" is not a declared service`,
			},
		},
		"duplicate names and addresses": {
			func(c *pollenspindle.Config) {
				c.Zones = append(c.Zones, c.Zones[0])
				c.Servers[1].Address = c.Servers[0].Address
			},
			[]string{
				`zones[1].name: "kigali-a" is taken by zones[0].name`,
				`servers[1].address: "127.0.0.1:9001" is taken by servers[0].address`,
			},
		},
		"one token for two workspaces": {
			func(c *pollenspindle.Config) {
				other := c.Workspaces[0]
				other.Name = "musanze-aero"
				c.Workspaces = append(c.Workspaces, other)
			},
			[]string{`workspaces[1].tokenSha256[0]: "` + pollenspindle.Token("secret") +
				`" is taken by workspaces[0].tokenSha256[0]`},
		},
		"route declared as idempotent and not": {
			func(c *pollenspindle.Config) {
				c.Services[1].Routes[1] = pollenspindle.Route{Method: "GET", PathPrefix: "/rosters"}
			},
			[]string{`services[1].routes[1].pathPrefix: "GET /rosters" is taken by services[1].routes[0].pathPrefix`},
		},
		"cold and warm limits swapped": {
			func(c *pollenspindle.Config) { c.Servers[0].ColdLimit, c.Servers[0].WarmLimit = 16, 2 },
			[]string{"servers[0].coldLimit: must not be above warmLimit (2)"},
		},
		"plain server with an engine's fields": {
			func(c *pollenspindle.Config) {
				c.Servers[1].MemoryTokens, c.Servers[1].Fencing = 1, pollenspindle.FencingChecked
			},
			[]string{
				`servers[1].memoryTokens: must be absent: "club-desk" is a plain service`,
				`servers[1].fencing: must be absent: "club-desk" is a plain service`,
			},
		},
		"engine without fencing, by host name": {
			func(c *pollenspindle.Config) {
				c.Servers[0].Fencing, c.Servers[0].Address = "", "localhost:9001"
			},
			[]string{
				"servers[0].address: must be host:port with an IP number and a port from 1 to 65535",
				"servers[0].fencing: must be one of checked, ignored",
			},
		},
		"model of a plain service": {
			func(c *pollenspindle.Config) { c.Models[0].Service = "club-desk" },
			[]string{
				`models[0].service: "club-desk" is not a generation service`,
				`servers[0].models[0]: "flight-briefing" belongs to service "club-desk"`,
			},
		},
		"token instead of its hash": {
			func(c *pollenspindle.Config) {
				c.Workspaces[0].TokenSHA256[0], c.Workspaces[0].Weight = "secret", 1001
			},
			[]string{
				"workspaces[0].tokenSha256[0]: must be a SHA-256 in 64 lower-case hex digits",
				"workspaces[0].weight: must be from 1 to 1000 shares",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := valid()
			tt.change(cfg)
			err := cfg.Validate()
			require.ErrorIs(t, err, pollenspindle.ErrInvalid)
			var invalid *pollenspindle.InvalidError
			require.ErrorAs(t, err, &invalid)
			var got []string
			for _, f := range invalid.Faults {
				got = append(got, f.Path+": "+f.Message)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func TestParseReportsAllFaultsWithPosition(t *testing.T) {
	text := `{
  // A comment.
  "deployment": "inyange",
  "Zones": [],
  "zones": [{"name": "a", "region": "r"}],
  "services": [{"name": "s", "kind": "odd"}],
  "servers": [{"name": "e", "service": "s", "zone": "b", "address": "127.0.0.1:1",
    "coldLimit": "2", "warmLimit": 4}],
  "deployment": "again",
  "workspaces": [],
}`
	_, err := pollenspindle.Parse("cfg.jsonc", []byte(text))
	require.EqualError(t, err, `cfg.jsonc:4:3: Zones: is not a known name; did you mean zones?
cfg.jsonc:6:38: services[0].kind: must be one of generation, plain
cfg.jsonc:7:53: servers[0].zone: "b" is not a declared availability zone
cfg.jsonc:8:18: servers[0].coldLimit: must be a whole number, not a string
cfg.jsonc:9:3: deployment: is given twice
cfg.jsonc:10:17: workspaces: must name at least one workspace`)
}

// Rejecting an oversized input must be cheap: the process that parses it also
// serves streams.
func TestParseLimitsInput(t *testing.T) {
	tests := map[string]struct {
		text   string
		faults int
		want   string
	}{
		"bytes":      {strings.Repeat(" ", 4<<20+1), 1, "is larger than 4194304 bytes"},
		"separators": {`{"zones": [` + strings.Repeat("0,", 500_001), 1, "holds more than 500000 commas and colons"},
		"nesting":    {strings.Repeat("[", 65), 1, "is nested deeper than 64 levels"},
		"in strings": {`{"deployment": "` + strings.Repeat("[,", 300_000), 1, "unexpected EOF"},
		"faults":     {`{"zones": [` + strings.Repeat("0,", 2000) + `]}`, 1001, "more faults"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := pollenspindle.Parse("c", []byte(tt.text))
			var invalid *pollenspindle.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Len(t, invalid.Faults, tt.faults)
			require.Contains(t, invalid.Faults[tt.faults-1].Message, tt.want)
		})
	}
}

// An operator drains a zone, then the printed configuration is applied again.
// The program that printed it doesn't know the state of the zone, so its output
// must not restore the zone.
func TestApplyingAgainKeepsDrainedZones(t *testing.T) {
	current := valid().WithDefaults()
	current.Zones[0].State = pollenspindle.ZoneTakenOut
	current.Servers[1].State = pollenspindle.ServerDraining

	var printed bytes.Buffer
	require.NoError(t, valid().Print(&printed))
	next, err := pollenspindle.Parse("printed", printed.Bytes())
	require.NoError(t, err)
	require.Equal(t, current, next.KeepStates(current).WithDefaults())
	require.Equal(t, pollenspindle.ZoneInService, next.KeepStates(pollenspindle.Config{}).WithDefaults().Zones[0].State)
}

func FuzzParse(f *testing.F) {
	var printed bytes.Buffer
	require.NoError(f, valid().Print(&printed))
	f.Add(printed.Bytes())
	f.Add([]byte(`{"zones": [{}], /* "x" */ "zones": null,}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := pollenspindle.Parse("input", data)
		if err != nil {
			require.ErrorIs(t, err, pollenspindle.ErrInvalid)
			require.NotEmpty(t, err.Error())
			return
		}
		var first, second bytes.Buffer
		require.NoError(t, cfg.Print(&first))
		again, err := pollenspindle.Parse("printed", first.Bytes())
		require.NoError(t, err)
		require.NoError(t, again.Print(&second))
		require.Equal(t, first.String(), second.String())
	})
}
