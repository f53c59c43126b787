package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
)

const (
	key  = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	text = `{
  // One entry instance.
  "instance": "entry-1", "region": "kigali", "zone": "kigali-a",
  "callerAddress": "127.0.0.1:8081",
  "peerAddress": "127.0.0.1:9081",
  "operatorAddress": "127.0.0.1:7081",
  "platformUrl": "http://127.0.0.1:6001",
  "peerKey": "` + key + `", "generationKey": "` + key + `",
  "operatorTokenSha256": "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
  "timing": {"heartbeatMillis": 100}, /* the rest by default */
}`
)

func TestLoadSetsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path)
	require.NoError(t, err)
	want := settings.DefaultTiming
	want.HeartbeatMillis = 100
	require.Equal(t, want, s.Timing)
	require.Equal(t, settings.PolicyPredicted, s.Policy)
	require.Equal(t, settings.DefaultLogLevel, s.Log.Level)
	require.Equal(t, settings.ExporterNone, s.Trace.Exporter)
	require.Equal(t, settings.DefaultCallerTracesPerSecond, s.Trace.CallerTracesPerSecond)
	require.Equal(t, "kigali-a", s.Zone)

	_, err = settings.Load(path + ".missing")
	require.ErrorIs(t, err, settings.ErrRead)
}

func TestParseReportsAllFaults(t *testing.T) {
	tests := map[string]struct {
		replace []string
		want    []string
	}{
		"missing, unknown and duplicate": {
			[]string{`"zone": "kigali-a"`, `"zonne": "kigali-a", "region": "x"`},
			[]string{
				"f:1:1: zone: is missing",
				"f:3:46: zonne: is not a known name",
				"f:3:67: region: is given twice",
			},
		},
		"wrong types": {
			[]string{`"entry-1"`, `7`, `100}`, `1.5}, "log": "info", "seed": null`},
			[]string{
				"f:3:15: instance: must be a string, not a number",
				"f:10:33: timing.heartbeatMillis: must be a whole number within 64 bits",
				"f:10:46: log: must be an object, not a string",
				"f:10:62: seed: must be a whole number, not null",
			},
		},
		"ranges": {
			[]string{`100}`, `6000, "confirmMillis": 200}, "trace": {"exporter": "otlp", "sampleRatio": 1.1, "callerTracesPerSecond": 1001}`},
			[]string{
				"f:10:33: timing.heartbeatMillis: must be from 20 to 5000 milliseconds",
				"f:10:56: timing.confirmMillis: must be at least twice heartbeatMillis (6000)",
				"f:10:71: trace.endpoint: is missing",
				"f:10:107: trace.sampleRatio: must be from 0 to 1",
				"f:10:137: trace.callerTracesPerSecond: must be from 0 to 1000",
			},
		},
		"addresses": {
			[]string{`127.0.0.1:9081`, `localhost:9081`, `127.0.0.1:7081`, `127.0.0.1:8081`, `http://127.0.0.1:6001`, `127.0.0.1`},
			[]string{
				"f:5:18: peerAddress: must be host:port with an IP number that others can reach and a port from 1 to 65535",
				"f:6:22: operatorAddress: must differ from callerAddress",
				"f:7:18: platformUrl: must be an http or https URL with a host",
			},
		},
		"keys": {
			[]string{`"peerKey": "` + key, `"peerKey": "AAAA`, `e3b0`, `E3B0`},
			[]string{
				"f:8:14: peerKey: must be the base64 of 32 bytes",
				"f:9:26: operatorTokenSha256: must be a SHA-256 in 64 lower-case hex digits",
			},
		},
		"accepted keys": {
			[]string{`"timing": {`, `"accepted": {"peerKeys": ["` + key + `", "AA"], "operatorTokensSha256": ["", "0", "1"]}, "timing": {`},
			[]string{
				"f:10:29: accepted.peerKeys[0]: is given already",
				"f:10:77: accepted.peerKeys[1]: must be the base64 of 32 bytes",
				"f:10:108: accepted.operatorTokensSha256: must hold at most 2",
				"f:10:109: accepted.operatorTokensSha256[0]: is missing",
				"f:10:113: accepted.operatorTokensSha256[1]: must be a SHA-256 in 64 lower-case hex digits",
				"f:10:118: accepted.operatorTokensSha256[2]: must be a SHA-256 in 64 lower-case hex digits",
			},
		},
		"not JSON": {
			[]string{`"instance": `, `"instance" `},
			[]string{`f:3:14: invalid character '"' after object name`},
		},
		"nested too deep": {
			[]string{`"entry-1"`, strings.Repeat("[", 100000)},
			[]string{"f:3:78: is nested deeper than 64 levels"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			changed := strings.NewReplacer(tt.replace...).Replace(text)
			require.NotEqual(t, text, changed)
			_, err := settings.Parse("f", []byte(changed))
			require.EqualError(t, err, strings.Join(tt.want, "\n"))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(text))
	f.Add([]byte(`{"timing": {"stopSeconds": -1, "stopSeconds": 1e3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if err != nil {
			var invalid *settings.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.NotEmpty(t, invalid.Faults)
			return
		}
		require.NotEmpty(t, s.Instance)
		require.GreaterOrEqual(t, s.Timing.ConfirmMillis, 2*s.Timing.HeartbeatMillis)
	})
}

func TestSchemaDescribesEachFieldWithItsUnit(t *testing.T) {
	text, err := settings.Schema()
	require.NoError(t, err)
	for _, want := range []string{"In milliseconds", "In seconds", "base64 of 32 bytes", `"default": 3000`} {
		require.Contains(t, string(text), want)
	}
}
