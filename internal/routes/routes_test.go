package routes

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoute(t *testing.T) {
	table := NewTable(Configuration{Routes: []Route{
		{Name: "all", Host: "api.example", PathPrefix: "/"},
		{Name: "plans", Host: "api.example", PathPrefix: "/plans/"},
		{Name: "drafts", Host: "api.example", PathPrefix: "/plans/drafts/"},
		{Name: "other", Host: "Other.example", PathPrefix: "/x/"},
	}})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":      {"api.example", "/plans/drafts/7", "drafts"},
		"shorter prefix":      {"api.example", "/plans/7", "plans"},
		"prefix needs a path": {"api.example", "/plans", "all"},
		"host with a port":    {"api.example:8080", "/plans/7", "plans"},
		"host in capitals":    {"OTHER.example", "/x/1", "other"},
		"unknown path":        {"other.example", "/y/1", ""},
		"unknown host":        {"none.example", "/plans/7", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Route(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, r.Name)
			}
		})
	}
}

func TestWorkspaceOfKey(t *testing.T) {
	table := NewTable(Configuration{Workspaces: []Workspace{{Name: "club", Keys: []string{"a", "b"}}}})
	w, ok := table.Workspace("b")
	require.True(t, ok)
	require.Equal(t, "club", w.Name)
	_, ok = table.Workspace("")
	require.False(t, ok)
	require.True(t, table.NeedsKey(&Route{}))
	require.False(t, table.NeedsKey(&Route{Anonymous: true}))
	require.False(t, NewTable(Configuration{}).NeedsKey(&Route{}))
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Split: []Share{{"old", 90}, {"new", 10}, {"none", 0}}}
	rng, n := rand.New(rand.NewPCG(1, 2)), map[string]int{}
	for range 10_000 {
		n[r.PickService(rng)]++
	}
	require.InDelta(t, 1000, n["new"], 150)
	require.Zero(t, n["none"])
	require.Empty(t, (&Route{}).PickService(rng))
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"idempotent":       {Route{Kind: Idempotent}, true},
		"not idempotent":   {Route{Kind: NonIdempotent}, false},
		"stream":           {Route{Kind: Stream}, false},
		"resumable stream": {Route{Kind: Stream, Resumable: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.route.Repeatable()) })
	}
}
