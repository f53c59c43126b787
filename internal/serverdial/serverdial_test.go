package serverdial_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/serverdial"
	"pollenspindle.example/pollenspindle/internal/serverlink"
)

const (
	timeout = 2 * time.Second
	// atOnce is much less than a dial that hangs takes.
	atOnce = timeout / 2
)

func hang(_ context.Context, _ string, timeout time.Duration) (network.Conn, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	<-timer.C
	return nil, os.ErrDeadlineExceeded
}

func refuse(context.Context, string, time.Duration) (network.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

// newInstance returns the dialer of an instance that dials with direct, its links, and its record.
func newInstance(t *testing.T, id string, direct httpclient.DialFunc, others []dialpeer.Instance) (*serverdial.Dialer, *serverlink.Links, dialpeer.Instance) {
	t.Helper()
	key, err := peer.NewKey("cG9sbGVuc3BpbmRsZS1wZWVyLWtleS0zMi1ieXRlcy4=")
	require.NoError(t, err)
	links := serverlink.NewLinks()
	d := serverdial.New(serverdial.Options{Links: links, Direct: direct, Log: zerolog.Nop(), Scope: tally.NoopScope, Now: time.Now})
	p := dialpeer.New(dialpeer.Options{
		Self: id, Key: key, Links: links, Direct: d.DialDirect, Log: zerolog.Nop(), Scope: tally.NoopScope, Now: time.Now,
		Relays: func(_ *rand.Rand, n int, exclude func(string) bool) []dialpeer.Instance {
			kept := slices.DeleteFunc(slices.Clone(others), func(in dialpeer.Instance) bool { return exclude(in.ID) })
			return kept[:min(n, len(kept))]
		},
	})
	t.Cleanup(p.Close)
	d.SetPeers(p)
	mux := http.NewServeMux()
	mux.Handle(dialpeer.Path, p)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return d, links, dialpeer.Instance{ID: id, Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestDial(t *testing.T) {
	lost := func(links *serverlink.Links) {
		for _, address := range []string{"10.0.0.7:8000", "10.0.0.8:8000"} {
			links.RecordDirect(time.Now(), address, false)
		}
	}
	unknown := func(*serverlink.Links) {}
	tests := map[string]struct {
		own    httpclient.DialFunc
		others []httpclient.DialFunc
		before func(*serverlink.Links)
		want   bool
		within time.Duration
	}{
		"own link works":                             {httpclient.DialTCP, nil, unknown, true, atOnce},
		"own link hangs":                             {hang, []httpclient.DialFunc{httpclient.DialTCP}, unknown, true, atOnce},
		"own link refuses":                           {refuse, []httpclient.DialFunc{httpclient.DialTCP}, unknown, true, atOnce},
		"own link and those of two others":           {hang, []httpclient.DialFunc{hang, hang, httpclient.DialTCP}, unknown, true, timeout},
		"server down":                                {refuse, []httpclient.DialFunc{refuse, refuse}, unknown, false, atOnce},
		"all links lost, another instance works":     {hang, []httpclient.DialFunc{httpclient.DialTCP}, lost, true, atOnce},
		"all links lost, and those of others":        {hang, []httpclient.DialFunc{refuse}, lost, false, 2 * timeout},
		"all links lost, own link works now":         {httpclient.DialTCP, []httpclient.DialFunc{refuse}, lost, true, atOnce},
		"no other instance, and own link works":      {httpclient.DialTCP, nil, lost, true, atOnce},
		"no other instance, and own link is refused": {refuse, nil, unknown, false, atOnce},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer server.Close()
			var others []dialpeer.Instance
			for i, direct := range tt.others {
				_, _, other := newInstance(t, string(rune('a'+i)), direct, nil)
				others = append(others, other)
			}
			d, links, _ := newInstance(t, "own", tt.own, others)
			tt.before(links)
			started := time.Now()
			conn, err := d.Dial(t.Context(), server.Addr().String(), timeout)
			require.Less(t, time.Since(started), tt.within+atOnce/2)
			require.Equal(t, tt.want, err == nil)
			if err == nil {
				require.NoError(t, conn.Close())
			}
		})
	}
}

// Guards against callers that wait for dials that fail again and again while no instance reaches servers.
func TestLostLinksFailAtOnce(t *testing.T) {
	d, _, _ := newInstance(t, "own", hang, nil)
	for _, address := range []string{"10.0.0.7:8000", "10.0.0.8:8000"} {
		_, err := d.Dial(t.Context(), address, timeout)
		require.Error(t, err)
	}
	started := time.Now()
	_, err := d.Dial(t.Context(), "10.0.0.8:8000", timeout)
	require.Error(t, err)
	require.Less(t, time.Since(started), atOnce)
}

// Guards against a server that is taken for down because other instances were busy, and is then dialed
// over the failing link alone.
func TestBusyInstancesDontProveServerDown(t *testing.T) {
	tests := map[string]struct {
		other httpclient.DialFunc
		want  serverlink.Route
	}{
		"other instance reaches no server at all": {refuse, serverlink.RelayedFirst{OwnLinkLast: true}},
		"other instance reaches other servers":    {nil, serverlink.DirectOnly{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const address = "10.0.0.7:8000"
			var reached *serverlink.Links
			direct := tt.other
			if direct == nil {
				direct = func(context.Context, string, time.Duration) (network.Conn, error) {
					reached.RecordDirect(time.Now(), "10.0.0.9:8000", true)
					return nil, syscall.ECONNREFUSED
				}
			}
			_, links, other := newInstance(t, "a", direct, nil)
			reached = links
			d, own, _ := newInstance(t, "own", refuse, []dialpeer.Instance{other})
			own.RecordDirect(time.Now(), "10.0.0.9:8000", true)
			_, err := d.Dial(t.Context(), address, timeout)
			require.Error(t, err)
			require.Equal(t, tt.want, own.Route(time.Now(), address))
		})
	}
}
