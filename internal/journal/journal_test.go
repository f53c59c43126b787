package journal_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/journal"
)

var start = time.Unix(1000, 0)

// recordRequest records a request from start to end.
func recordRequest(j *journal.Journal, id string, state journal.State) {
	e := j.Begin(start, id, "chat")
	e.SetSubject(journal.Subject{Workspace: "club"})
	e.Add(journal.Step{At: start, Kind: journal.Sent, Server: "engine-1"})
	e.End(start, state, "")
}

// Many ordinary requests follow a rejected one. Guards against evicting the rejected request, and
// against memory that grows with the number of requests.
func TestOrdinaryRequestsDontEvictRefusedOne(t *testing.T) {
	j := journal.New(journal.Limits{Ordinary: 16 << 10, Notable: 16 << 10})
	recordRequest(j, "refused", journal.Refused)
	kept := 0
	for i := range 10_000 {
		recordRequest(j, strconv.Itoa(i), journal.Finished)
	}
	for i := range 10_000 {
		kept += len(j.Find(strconv.Itoa(i)))
	}
	require.Len(t, j.Find("refused"), 1)
	require.Equal(t, journal.Refused, j.Find("refused")[0].State)
	require.Greater(t, kept, 8)
	require.LessOrEqual(t, kept, 20)
	require.Len(t, j.Find("9999"), 1)
	for i := range 100 {
		recordRequest(j, "refused-"+strconv.Itoa(i), journal.Refused)
	}
	require.Empty(t, j.Find("refused"), "notable requests are limited too")
}

// A generation that stalls repeatedly has more steps than the limit. Guards against losing its
// first or last steps.
func TestMiddleStepsAreDropped(t *testing.T) {
	j := journal.New(journal.DefaultLimits)
	e := j.Begin(start, "req", "chat")
	e.SetSubject(journal.Subject{Workspace: "club"})
	for i := range 500 {
		e.Add(journal.Step{At: start, Kind: journal.Stalled, Count: int64(i)})
	}
	e.End(start, journal.Failed, "generationStalled")
	r := j.Find("req")[0]
	require.Equal(t, 502, len(r.Steps)+r.Dropped)
	require.LessOrEqual(t, len(r.Steps), 48)
	require.Equal(t, journal.Received, r.Steps[0].Kind)
	require.Equal(t, int64(0), r.Steps[1].Count)
	require.Equal(t, journal.Step{At: start, Kind: journal.Ended, Reason: "generationStalled"}, r.Steps[len(r.Steps)-1])
}

func TestFindGenerationWithTwoRequests(t *testing.T) {
	j := journal.New(journal.DefaultLimits)
	for _, id := range []string{"req-1", "req-2"} {
		e := journal.FromContext(journal.NewContext(context.Background(), j.Begin(start, id, "resume")))
		e.SetSubject(journal.Subject{Workspace: "club"})
		e.AddName("gen-1")
		e.AddName("gen-1")
	}
	require.Len(t, j.Find("gen-1"), 2)
	require.Len(t, j.Find("req-1"), 1)
	require.Empty(t, j.Find("req-3"))
}

func TestUnauthenticatedRequestIsNotRecorded(t *testing.T) {
	j := journal.New(journal.DefaultLimits)
	j.Begin(start, "req", "chat").End(start, journal.Refused, "unauthorized")
	require.Empty(t, j.Find("req"))
	journal.FromContext(context.Background()).Add(journal.Step{Kind: journal.Sent})
}
