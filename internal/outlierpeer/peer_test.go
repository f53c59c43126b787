package outlierpeer

import (
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
)

// zone starts instances of one availability zone that know each other.
func zone(t *testing.T, ids ...string) []*Peer {
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32))))
	require.NoError(t, err)
	var peers []*Peer
	var records []membership.Record
	for _, id := range ids {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		record := membership.Record{ID: id, Peer: strings.TrimPrefix(server.URL, "http://"), Zone: "a", StartedAt: 1}
		table := membership.NewTable(record)
		table.SetStatus(time.Now(), membership.Status{Ready: true})
		p := New(Options{Self: id, Table: table, Key: key, Log: zerolog.Nop(), Now: time.Now})
		for path, handler := range p.Handlers() {
			mux.Handle(path, handler)
		}
		peers = append(peers, p)
		records = append(records, table.Self())
	}
	for _, p := range peers {
		p.opts.Table.Merge(time.Now(), records)
	}
	return peers
}

func desk(id string) observed.Server {
	return observed.Server{Server: dialect.Server{ID: id, Service: "desk"}}
}

// reportAll has every instance report what it saw.
func reportAll(t *testing.T, peers []*Peer) {
	for _, p := range peers {
		p.reported = time.Time{}
		now := time.Now()
		answers, _ := p.dueReport(now)
		p.report(t.Context(), now, Report{Answers: answers})
	}
}

// Guards against a server that fails requests of a zone whose instances each see too
// few of them to tell.
func TestZoneFindsAFailingServerTogether(t *testing.T) {
	peers := zone(t, "i1", "i2", "i3", "i4")
	for _, p := range peers {
		for range 10 {
			p.Note(desk("sound-1"), "bookings", false)
			p.Note(desk("sound-2"), "bookings", false)
		}
		p.Note(desk("grey"), "bookings", true)
		p.Note(desk("grey"), "bookings", false)
	}
	reportAll(t, peers)
	for _, p := range peers {
		p.Note(desk("sound-1"), "bookings", false)
	}
	reportAll(t, peers)
	now := time.Now()
	for _, p := range peers {
		require.True(t, p.Avoid(now, "grey", true), p.opts.Self)
		require.False(t, p.Avoid(now, "sound-1", false), p.opts.Self)
		require.True(t, p.Avoid(now.Add(5*time.Second), "grey", false), "bookings wait for longer")
		require.False(t, p.Avoid(now.Add(5*time.Second), "grey", true), "reads try it again")
		require.False(t, p.Avoid(now.Add(time.Minute), "grey", false))
	}
}

func TestStrangersReportIsNotTaken(t *testing.T) {
	peers := zone(t, "i1", "i2")
	other, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", 32))))
	require.NoError(t, err)
	for _, p := range peers {
		p.caller.Key = other
		for range 30 {
			p.Note(desk("sound"), "bookings", false)
			p.Note(desk("grey"), "bookings", true)
		}
	}
	owner, _ := peers[0].opts.Table.OwnerIn("a", ownerKey)
	for _, p := range peers {
		if p.opts.Self == owner.ID {
			continue
		}
		reportAll(t, []*Peer{p})
		require.False(t, p.Avoid(time.Now(), "grey", false))
	}
}
