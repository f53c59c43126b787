package trialpeer

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
)

// startInstances starts n instances. Each knows the same entries.
func startInstances(t *testing.T, n int, refused func(part uint64) bool) (all []*Peer, servers []*httptest.Server) {
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32))))
	require.NoError(t, err)
	var records []membership.Record
	for i := range n {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		record := membership.Record{
			ID: fmt.Sprintf("i-%d", i), Peer: strings.TrimPrefix(server.URL, "http://"), Zone: fmt.Sprintf("zone-%d", i%3), StartedAt: 1, Change: 1,
			Status: membership.Status{Ready: true},
		}
		p, err := New(Options{
			Self: record.ID, Table: membership.NewTable(record), Key: key, Log: zerolog.Nop(), Now: time.Now,
			Entry:   func(uint64) (crashsuspect.Entry, bool) { return crashsuspect.Entry{}, false },
			Merge:   func(time.Time, []crashsuspect.Entry) {},
			Refused: func(_ time.Time, part uint64) bool { return refused(part) },
		})
		require.NoError(t, err)
		t.Cleanup(p.Close)
		for path, handler := range p.Handlers() {
			mux.Handle(path, handler)
		}
		all, servers, records = append(all, p), append(servers, server), append(records, record)
	}
	for _, p := range all {
		p.opts.Table.Merge(time.Now(), records)
	}
	return all, servers
}

// Guards against two instances that try a part at the same time, and against one that tries a part that
// its keeper knows to crash servers.
func TestOneTrialAtATime(t *testing.T) {
	all, _ := startInstances(t, 7, func(part uint64) bool { return part == 13 })
	for part := range uint64(20) {
		var granted atomic.Int64
		var asking sync.WaitGroup
		for i, p := range all {
			asking.Go(func() {
				if p.Begin(t.Context(), part, fmt.Sprint("request-", i)) {
					granted.Add(1)
				}
			})
		}
		asking.Wait()
		if part == 13 {
			require.Zero(t, granted.Load())
			continue
		}
		require.EqualValues(t, 1, granted.Load(), "part %d", part)
	}
}

// Guards against an instance that is cut off from the others and tries parts on its own, and against parts
// that nobody can try after the loss of one instance.
func TestTrialNeedsAKeeper(t *testing.T) {
	all, servers := startInstances(t, 7, func(uint64) bool { return false })
	const part = 5
	keepers := all[0].opts.Table.Holders(part, keeperCount)
	closeKeeper := func(id string) {
		for i, p := range all {
			if p.opts.Self == id {
				servers[i].Close()
			}
		}
	}
	var other *Peer
	for _, p := range all {
		if p.opts.Self != keepers[0].ID && p.opts.Self != keepers[1].ID {
			other = p
		}
	}
	closeKeeper(keepers[0].ID)
	require.True(t, other.Begin(t.Context(), part, "a"))
	other.End(part, "a", crashsuspect.TrialAnswered)
	require.Eventually(t, func() bool { return other.Begin(t.Context(), part, "b") }, time.Second, time.Millisecond)
	closeKeeper(keepers[1].ID)
	require.False(t, other.Begin(t.Context(), part, "c"))
}

// Guards against a trial whose caller doesn't read and that keeps all other requests with its part waiting.
func TestTrialIsNotRenewedForEver(t *testing.T) {
	all, _ := startInstances(t, 1, func(uint64) bool { return false })
	require.True(t, all[0].Begin(t.Context(), 5, "a"))
	trial := heldTrial{5, "a"}
	for range maxRenewals {
		require.True(t, all[0].countRenewal(trial))
	}
	require.False(t, all[0].countRenewal(trial))
	require.Empty(t, all[0].held)
	all[0].End(5, "a", crashsuspect.TrialUnclear)
}
