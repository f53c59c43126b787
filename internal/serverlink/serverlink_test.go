package serverlink_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/serverlink"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

const server = "10.0.0.7:8000"

// dial is one recorded dial, some time after the start.
type dial struct {
	after   time.Duration
	address string
	relayed bool
	ok      bool
}

func record(links *serverlink.Links, dials []dial) {
	for _, d := range dials {
		if d.relayed {
			links.RecordRelayed(start.Add(d.after), d.address, d.ok)
		} else {
			links.RecordDirect(start.Add(d.after), d.address, d.ok)
		}
	}
}

func TestRoute(t *testing.T) {
	allFailed := []dial{
		{0, server, false, true}, {2 * time.Second, "10.0.0.8:8000", false, false}, {2 * time.Second, "10.0.0.9:8000", false, false},
	}
	tests := map[string]struct {
		dials []dial
		after time.Duration
		want  serverlink.Route
	}{
		"nothing known":                       {nil, 0, serverlink.DirectFirst{}},
		"own link works":                      {[]dial{{0, server, false, true}}, time.Second, serverlink.DirectFirst{}},
		"own link failed a moment ago":        {[]dial{{0, server, false, false}, {0, server, true, true}}, 100 * time.Millisecond, serverlink.RelayedFirst{OwnLinkLast: true}},
		"own link failed some time ago":       {[]dial{{0, server, false, false}, {0, server, true, true}}, time.Second, serverlink.RelayedFirst{Probe: true, OwnLinkLast: true}},
		"own link works again":                {[]dial{{0, server, false, false}, {time.Second, server, false, true}}, time.Second, serverlink.DirectFirst{}},
		"server down":                         {[]dial{{0, server, false, false}, {0, server, true, false}}, 500 * time.Millisecond, serverlink.DirectOnly{}},
		"server down for long":                {[]dial{{0, server, false, false}, {0, server, true, false}}, 2 * time.Second, serverlink.RelayedFirst{Probe: true, OwnLinkLast: true}},
		"all links lost a moment ago":         {append(allFailed, dial{2050 * time.Millisecond, server, false, false}), 2100 * time.Millisecond, serverlink.RelayedFirst{}},
		"all other links lost":                {allFailed, 2100 * time.Millisecond, serverlink.RelayedFirst{Probe: true}},
		"another link failed":                 {allFailed[:2], 2100 * time.Millisecond, serverlink.DirectFirst{}},
		"all other links lost, one works now": {append(allFailed, dial{2050 * time.Millisecond, "10.0.0.9:8000", false, true}), 2100 * time.Millisecond, serverlink.DirectFirst{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			links := serverlink.NewLinks()
			record(links, tt.dials)
			require.Equal(t, tt.want, links.Route(start.Add(tt.after), server))
		})
	}
}

// Guards against an instance that takes all its links for lost while those to one service work.
func TestLinksToOneServiceAreNotAllLinks(t *testing.T) {
	links := serverlink.NewLinks()
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		links.RecordDirect(now, fmt.Sprintf("10.0.0.%d:8000", i%10), false)
		if i%9 == 0 {
			links.RecordDirect(now, server, true)
		}
		require.False(t, links.Status().Lost)
	}
}

// Guards against links that stay unused after the network is repaired.
func TestOneConnectionRestoresAllLinks(t *testing.T) {
	links := serverlink.NewLinks()
	addresses := []string{server, "10.0.0.8:8000", "10.0.0.9:8000"}
	for _, address := range addresses {
		links.RecordDirect(start, address, false)
	}
	require.True(t, links.Status().Lost)
	require.Equal(t, serverlink.Restored, links.RecordDirect(start.Add(time.Second), server, true))
	for _, address := range addresses {
		require.Equal(t, serverlink.DirectFirst{}, links.Route(start.Add(time.Second), address))
	}
}
