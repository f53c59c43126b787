package planner

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// one is an instance's planner, with the address where others reach it.
type one struct {
	*Planner
	table   *membership.Table
	address string
}

func ready(id, address string) membership.Record {
	return membership.Record{ID: id, Peer: address, Zone: "zone-0", StartedAt: 1, Status: membership.Status{Ready: true}}
}

func engineList(n int) []dialect.Server {
	out := make([]dialect.Server, n)
	for i := range out {
		out[i] = dialect.Server{ID: fmt.Sprintf("e%d", i), Service: "llm", Zone: fmt.Sprintf("zone-%d", i%3), Slots: 24}
	}
	return out
}

func startOne(t *testing.T, id, secret string, engines []dialect.Server) one {
	t.Helper()
	return startFailing(t, id, secret, engines, func(time.Time, string) float64 { return 0 })
}

func startFailing(t *testing.T, id, secret string, engines []dialect.Server, failures func(time.Time, string) float64) one {
	t.Helper()
	return startWith(t, id, secret, engines, func(o *Options) { o.Failures = failures })
}

func startWith(t *testing.T, id, secret string, engines []dialect.Server, change func(*Options)) one {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(strings.Repeat(secret, 32))))
	require.NoError(t, err)
	state, address := observed.NewState(), l.Addr().String()
	state.Configure(time.Now(), routes.Configuration{Version: 1, Services: []routes.Service{{
		Name: "llm", Engine: &routes.Engine{Slots: 24, MemoryTokens: 34000, TokenBytes: 163840, LinkMbps: 24000, Moves: true, TokensPerEvent: 4},
	}}}, nil)
	state.ReplaceServers(time.Now(), 1, engines)
	table := membership.NewTable(ready(id, address))
	opts := Options{
		Self: id, Table: table, Key: key, State: state, Bounds: balancer.Bounds{ColdOverage: 1.5, ColdSlack: 5},
		Own: func() map[string]balancer.Load { return nil }, Failures: func(time.Time, string) float64 { return 0 },
		Log: zerolog.Nop(), Now: time.Now,
	}
	change(&opts)
	p := New(opts)
	mux := http.NewServeMux()
	for path, handler := range p.Handlers() {
		mux.Handle(path, handler)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { p.caller.CloseIdleConnections(); _ = server.Close() })
	return one{p, table, address}
}

// Two instances place generations in turn, each knowing nothing of the other's.
// Whichever plans, no engine gets a second prompt before each has one.
func TestInstancesShareOnePlan(t *testing.T) {
	a, b := startOne(t, "a", "k", engineList(12)), startOne(t, "b", "k", engineList(12))
	now := time.Now()
	a.table.Merge(now, b.table.All(now))
	b.table.Merge(now, a.table.All(now))
	per := map[string]int{}
	for i := range 12 {
		asker := []one{a, b}[i%2]
		id, err := asker.Place(t.Context(), Placing{Request: fmt.Sprint(i), Service: "llm", Zone: fmt.Sprintf("zone-%d", i%3), Prompt: 3000, Need: 4000})
		require.NoError(t, err)
		per[id]++
	}
	require.Len(t, per, 12)
}

// An engine has crashed, and the streams of the instance that plans broke off:
// it plans nothing there while the platform still lists it.
func TestCrashedEngineIsNotPlannedFor(t *testing.T) {
	a := startFailing(t, "a", "k", engineList(3), func(_ time.Time, id string) float64 {
		return map[string]float64{"e0": 2}[id]
	})
	for i := range 6 {
		id, err := a.Place(t.Context(), Placing{Request: fmt.Sprint(i), Service: "llm", Zone: "zone-0", Prompt: 3000, Need: 400})
		require.NoError(t, err)
		require.NotEqual(t, "e0", id)
		turn, err := a.Ask(t.Context(), Leaving{Run: fmt.Sprint(i), Service: "llm", Engine: "e1", Zone: "zone-1", Tokens: 3000, Need: 400})
		require.NoError(t, err)
		require.Equal(t, "e2", turn.To)
	}
}

// Eight generations of an engine that leaves, from two instances: each gets a
// turn of its own at the link, to engines of its zone, none to the one that
// leaves.
func TestInstancesShareALink(t *testing.T) {
	a, b := startOne(t, "a", "k", engineList(12)), startOne(t, "b", "k", engineList(12))
	now := time.Now()
	a.table.Merge(now, b.table.All(now))
	b.table.Merge(now, a.table.All(now))
	turns := make(chan Turn, 8)
	for i := range 8 {
		go func() {
			turn, err := []one{a, b}[i%2].Ask(context.Background(), Leaving{
				Run: fmt.Sprint(i), Service: "llm", Engine: "e0", Zone: "zone-0", Tokens: 3000, Need: 4000,
			})
			if err != nil {
				turn.To = err.Error()
			}
			turns <- turn
		}()
	}
	waits, targets := map[int64]bool{}, map[string]int{}
	for range 8 {
		turn := <-turns
		require.Contains(t, []string{"e3", "e6", "e9"}, turn.To)
		targets[turn.To]++
		// A copy of 3,000 tokens takes 176 ms here.
		waits[(turn.WaitMillis+88)/176] = true
	}
	require.Len(t, waits, 8)
	require.Len(t, targets, 3)
}

// The instance that plans is dead, or doesn't believe the asker: the asker
// learns so at once and decides by itself, and doesn't ask again for a while.
func TestPlannerThatCannotBeAsked(t *testing.T) {
	tests := map[string]func(t *testing.T) string{
		"dead":     func(*testing.T) string { return "127.0.0.1:1" },
		"stranger": func(t *testing.T) string { return startOne(t, "x", "s", engineList(3)).address },
	}
	for name, address := range tests {
		t.Run(name, func(t *testing.T) {
			a := startOne(t, "a", "k", engineList(3))
			a.table.SetStatus(time.Now(), membership.Status{})
			a.table.Merge(time.Now(), []membership.Record{ready("x", address(t))})
			for range 3 {
				_, err := a.Place(t.Context(), Placing{Request: "1", Service: "llm", Prompt: 3000, Need: 4000})
				require.ErrorIs(t, err, ErrUnavailable)
			}
			require.Len(t, a.backoff, 1)
		})
	}
}

func TestPlaceWithoutRoom(t *testing.T) {
	tests := map[string]struct {
		engines  int
		excluded []string
		service  string
		need     int
	}{
		"no engine":             {service: "llm"},
		"all excluded":          {engines: 1, excluded: []string{"e0"}, service: "llm"},
		"larger than an engine": {engines: 2, service: "llm", need: 50000},
		"unknown service":       {engines: 2, service: "desk"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := startOne(t, "a", "k", engineList(tt.engines))
			_, err := a.Place(t.Context(), Placing{Request: "1", Service: tt.service, Need: tt.need, Excluded: tt.excluded})
			require.ErrorIs(t, err, ErrUnavailable)
			_, err = a.Ask(t.Context(), Leaving{Run: "1", Service: tt.service, Engine: "e0", Need: tt.need})
			if tt.engines < 2 || tt.service != "llm" || tt.need > 34000 {
				require.ErrorIs(t, err, ErrUnavailable)
			}
		})
	}
}
