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
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// newZone starts the instances of one availability zone.
func newZone(t *testing.T, ids ...string) []*Peer {
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

func deskServer(id string) platformstate.Server {
	return platformstate.Server{Server: dialect.Server{ID: id, Service: "desk"}}
}

// reportAll makes every instance send its report.
func reportAll(t *testing.T, peers []*Peer) {
	for _, p := range peers {
		p.lastReport = time.Time{}
		now := time.Now()
		answers, _ := p.dueReport(now)
		p.report(t.Context(), now, Report{Answers: answers})
	}
}

// Guards against missing a failing server because each instance of the zone sees too
// few of its answers.
func TestInstancesOfAZoneDetectAFailingServer(t *testing.T) {
	peers := newZone(t, "i1", "i2", "i3", "i4")
	for _, p := range peers {
		for range 10 {
			p.RecordAnswer(deskServer("healthy-1"), "bookings", false)
			p.RecordAnswer(deskServer("healthy-2"), "bookings", false)
		}
		p.RecordAnswer(deskServer("faulty"), "bookings", true)
		p.RecordAnswer(deskServer("faulty"), "bookings", false)
	}
	reportAll(t, peers)
	for _, p := range peers {
		p.RecordAnswer(deskServer("healthy-1"), "bookings", false)
	}
	reportAll(t, peers)
	now := time.Now()
	for _, p := range peers {
		require.True(t, p.ShouldAvoid(now, "faulty", true), p.opts.Self)
		require.False(t, p.ShouldAvoid(now, "healthy-1", false), p.opts.Self)
		require.True(t, p.ShouldAvoid(now.Add(5*time.Second), "faulty", false), "not repeatable")
		require.False(t, p.ShouldAvoid(now.Add(5*time.Second), "faulty", true), "repeatable")
		require.False(t, p.ShouldAvoid(now.Add(time.Minute), "faulty", false))
	}
}

func TestReportWithWrongKeyIsRejected(t *testing.T) {
	peers := newZone(t, "i1", "i2")
	other, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", 32))))
	require.NoError(t, err)
	for _, p := range peers {
		p.client.Key = other
		for range 30 {
			p.RecordAnswer(deskServer("healthy"), "bookings", false)
			p.RecordAnswer(deskServer("faulty"), "bookings", true)
		}
	}
	aggregator, _ := peers[0].opts.Table.OwnerIn("a", aggregatorKey)
	for _, p := range peers {
		if p.opts.Self == aggregator.ID {
			continue
		}
		reportAll(t, []*Peer{p})
		require.False(t, p.ShouldAvoid(time.Now(), "faulty", false))
	}
}
