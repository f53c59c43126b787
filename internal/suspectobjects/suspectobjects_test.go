package suspectobjects

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func newTestKeeper() *Keeper {
	return New(Options{Log: zerolog.Nop(), Now: func() time.Time { return start }})
}

// Guards against objects of another writer that never expire, or that take the memory of all instances.
func TestOddObjectsAreLeftOut(t *testing.T) {
	const value = `{"fingerprint":7,"crashes":[{"name":%q,"at":%q}],"clearedAt":%q}`
	const now, past, future = "2026-01-01T08:00:00Z", "2026-01-01T07:59:00Z", "9999-12-31T23:59:59Z"
	for name, tt := range map[string]struct {
		value string
		ok    bool
	}{
		"sound":               {fmt.Sprintf(value, "z/e/1", now, past), true},
		"crash to come":       {fmt.Sprintf(value, "z/e/1", future, past), false},
		"cleared later":       {fmt.Sprintf(value, "z/e/1", now, future), false},
		"long name":           {fmt.Sprintf(value, strings.Repeat("x", 1<<20), now, past), false},
		"another fingerprint": {strings.Replace(fmt.Sprintf(value, "z/e/1", now, past), "7", "8", 1), false},
		"beyond 64 bits":      {`{"fingerprint":18446744073709551623}`, false},
		"text":                {`{"fingerprint":"7"}`, false},
		"deep":                {strings.Repeat("[", 20_000), false},
		"no JSON":             {`{"fingerprint":NaN}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			entries := newTestKeeper().decodeAll([]objectapi.Object{{Name: "7", Value: json.RawMessage(tt.value)}})
			require.Equal(t, tt.ok, len(entries) == 1)
		})
	}
}

func FuzzDecodeAll(f *testing.F) {
	f.Add([]byte(`{"fingerprint":7,"part":true,"crashes":[{"name":"z/e/1","at":"2026-01-01T08:00:00Z","trial":true}]}`))
	f.Add([]byte(`{"fingerprint":7,"crashes":[{"name":"","at":"9999-12-31T23:59:59-23:59","events":-9223372036854775808}]}`))
	f.Add([]byte(`{"fingerprint":7,"crashes":[],"clearedAt":"0000-01-01T00:00:00Z","refusedAt":"2026-01-01T08:00:59Z"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		table := crashsuspect.NewTable(crashsuspect.DefaultParams)
		table.Merge(start, newTestKeeper().decodeAll([]objectapi.Object{{Name: "7", Value: value}}))
		table.Merge(start, []crashsuspect.Entry{{Fingerprint: 7, Part: true, Crashes: []crashsuspect.Crash{{Name: "z/e/2", At: start, Trial: true}}}})
		table.Check(start, 7)
		table.CheckPart(start, 7)
		table.Digest(start)
		_, err := json.Marshal(table.Newest(start, 10))
		require.NoError(t, err)
		_, err = json.Marshal(table.Kept(start, 10))
		require.NoError(t, err)
	})
}
