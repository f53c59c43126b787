package streamorigin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func server(version string, startedAt time.Time) *dialect.Server {
	return &dialect.Server{ID: "engine-1", Service: "llm", Version: version, StartedAtMillis: startedAt.UnixMilli()}
}

// Guards against a stream that goes on at the version that a restarted server had before or has since.
func TestConfirm(t *testing.T) {
	began := start.Add(time.Minute)
	o := Of(began, server("v1", start))
	for name, tt := range map[string]struct {
		listed  *dialect.Server
		version string
		ok      bool
	}{
		"same incarnation":                        {server("v1", start), "v1", true},
		"restarted with the same version":         {server("v1", began), "v1", true},
		"listed before it restarted":              {server("v0", start.Add(-time.Minute)), "v1", true},
		"restarted after the first event":         {server("v2", began.Add(5*time.Second)), "v1", true},
		"restarted before the first event":        {server("v2", began.Add(-5*time.Second)), "v2", true},
		"restarted about the time of the event":   {server("v2", began.Add(100*time.Millisecond)), "", false},
		"restarted at an unknown time":            {&dialect.Server{ID: "engine-1", Service: "llm", Version: "v2"}, "", false},
		"another server that restarted meanwhile": {&dialect.Server{ID: "engine-2", Service: "llm", Version: "v2"}, "v1", true},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := o.Confirm(tt.listed)
			require.Equal(t, tt.ok, ok)
			if ok {
				require.Equal(t, tt.version, got.Version)
			}
		})
	}
}

func TestAllows(t *testing.T) {
	o := Of(start, server("v1", start))
	for name, tt := range map[string]struct {
		service, version string
		want             bool
	}{
		"same version":                    {"llm", "v1", true},
		"another version":                 {"llm", "v2", false},
		"another service":                 {"desk", "v1", false},
		"a server that states no version": {"llm", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, o.Allows(&dialect.Server{ID: "engine-9", Service: tt.service, Version: tt.version}))
		})
	}
}

// Guards against entries that outlive their streams and against a table that grows without limit.
func TestTableExpiresAndEvicts(t *testing.T) {
	table := NewTable()
	for key := range uint64(MaxEntries + 10) {
		table.Put(start, key, Of(start.Add(time.Duration(key)), server("v1", start)), start.Add(time.Minute))
	}
	require.Equal(t, MaxEntries, table.Len())
	_, ok := table.Get(start, 9)
	require.False(t, ok)
	o, ok := table.Get(start, 10)
	require.True(t, ok)
	require.Equal(t, "v1", o.Version)
	require.Len(t, table.Entries(start), MaxEntries)
	later := start.Add(time.Minute)
	_, ok = table.Get(later, 10)
	require.False(t, ok)
	require.Empty(t, table.Entries(later))
	table.Put(later, 1, Of(later, server("v2", start)), later.Add(time.Minute))
	require.Equal(t, 1, table.Len())
	o, ok = table.Get(later, 1)
	require.True(t, ok)
	require.Equal(t, "v2", o.Version)
	require.Equal(t, later.UnixMilli(), o.BeganAtMillis)
}
