package fleet_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
	"pollenspindle.example/pollenspindle/internal/roster"
)

var start = time.UnixMicro(1_000_000)

type members struct{ roster *roster.Roster }

func (m *members) Roster() *roster.Roster { return m.roster }

// instance is an entry instance that only answers queries.
type instance struct {
	fleet   *fleet.Fleet
	journal *journal.Journal
	entry   roster.Instance
	stop    context.CancelFunc
}

// cluster starts instances i1, i2, ... that know each other.
func cluster(t *testing.T, n int) ([]instance, *generation.Codec, *members) {
	t.Helper()
	key, err := peer.NewKey(base64.StdEncoding.EncodeToString(make([]byte, 32)))
	require.NoError(t, err)
	codec, err := generation.NewCodec(bytes.Repeat([]byte{1}, 32))
	require.NoError(t, err)
	known := &members{}
	var list []instance
	var entries []roster.Instance
	for i := range n {
		name := "i" + string(rune('1'+i))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		in := instance{journal: journal.New(journal.DefaultLimits), entry: roster.Instance{
			ID: name, CallerAddress: name + ":8080", PeerAddress: listener.Addr().String(),
		}}
		pool := peer.NewPool(name, key, tally.NoopScope)
		in.fleet = fleet.New(fleet.Options{Self: name, Members: known, Peers: pool, Journal: in.journal, Codec: codec})
		server := peer.NewServer(peerv1connect.UnimplementedPeerServiceHandler{}, key, tally.NoopScope)
		server.HandleQueries(in.fleet.Handler())
		ctx, stop := context.WithCancel(context.Background())
		in.stop = stop
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ctx, listener) }()
		t.Cleanup(func() {
			stop()
			require.NoError(t, <-ended)
			pool.Close()
		})
		list, entries = append(list, in), append(entries, in.entry)
	}
	known.roster = roster.New(1, roster.Object{Number: 1, Instances: entries})
	return list, codec, known
}

// refuse records a request that the instance received and refused, and returns its id.
func (in instance) refuse(t *testing.T, codec *generation.Codec) string {
	t.Helper()
	id, err := codec.FormatRequest(generation.RequestID{Entry: in.entry.CallerAddress, Unique: "u"})
	require.NoError(t, err)
	e := in.journal.Begin(start, id, "chat")
	e.SetSubject(journal.Subject{Workspace: "club", Model: "briefing"})
	e.Add(journal.Step{At: start, Kind: journal.PermitRequested, Server: "engine-1", Peer: "i3", Reason: "overloaded", Count: 1000})
	e.End(start, journal.Refused, "queueFull")
	return id
}

// The first instance is queried for a request that the second one refused.
func TestFindRequestAtAnotherInstance(t *testing.T) {
	in, codec, _ := cluster(t, 3)
	id := in[1].refuse(t, codec)
	found, err := in[0].fleet.FindRequest(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, []fleet.InstanceRecord{{Instance: "i2", Record: in[1].journal.Find(id)[0]}}, found)
}

// The caller's connection broke and it reconnected through the third instance. A query on any instance
// must return the records of both.
func TestFindGenerationResumedOnAnotherInstance(t *testing.T) {
	in, codec, known := cluster(t, 3)
	id, err := codec.Format(generation.ID{Entry: in[1].entry.CallerAddress, Request: "r"})
	require.NoError(t, err)
	first := in[1].journal.Begin(start, "req-1", "chat")
	first.SetSubject(journal.Subject{Workspace: "club"})
	first.AddName(id)
	first.Add(journal.Step{At: start, Kind: journal.CallerGone, Count: 5})
	second := in[2].journal.Begin(start, "req-2", "resume")
	second.SetSubject(journal.Subject{Workspace: "club"})
	second.AddName(id)
	second.End(start, journal.Finished, "")

	found, err := in[0].fleet.FindRequest(t.Context(), id)
	require.NoError(t, err)
	require.Len(t, found, 2)
	require.Equal(t, "i2", found[0].Instance)
	require.Equal(t, "i3", found[1].Instance)

	// The second instance has left; the record of the third is still returned.
	known.roster = roster.New(2, roster.Object{Number: 2, Instances: []roster.Instance{in[0].entry, in[2].entry}})
	found, err = in[0].fleet.FindRequest(t.Context(), id)
	require.NoError(t, err)
	require.Len(t, found, 1)
	require.Equal(t, journal.Finished, found[0].State)
}

func TestFindRequestReportsReason(t *testing.T) {
	in, codec, known := cluster(t, 2)
	_, err := in[0].fleet.FindRequest(t.Context(), "req-madeup")
	require.ErrorIs(t, err, fleet.ErrNotFound)

	old, err := codec.FormatRequest(generation.RequestID{Entry: in[1].entry.CallerAddress, Unique: "forgotten"})
	require.NoError(t, err)
	_, err = in[0].fleet.FindRequest(t.Context(), old)
	require.ErrorIs(t, err, fleet.ErrNotFound)
	require.ErrorContains(t, err, "older than what the instances keep")

	id := in[1].refuse(t, codec)
	in[1].stop()
	require.Eventually(t, func() bool {
		_, err = in[0].fleet.FindRequest(t.Context(), id)
		return err != nil
	}, 20*time.Second, 10*time.Millisecond)
	require.ErrorIs(t, err, fleet.ErrUnreachable, "the unreachable instance may have a record of the request")

	known.roster = roster.New(2, roster.Object{Number: 2, Instances: []roster.Instance{in[0].entry}})
	_, err = in[0].fleet.FindRequest(t.Context(), id)
	require.ErrorIs(t, err, fleet.ErrNotFound)
	require.ErrorContains(t, err, "its memory went with it")
}
