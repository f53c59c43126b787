package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// newSuspectsPair returns the suspects of two instances that tell each other at once.
func newSuspectsPair() (a, b *Suspects) {
	a, b = NewSuspects(), NewSuspects()
	a.Broadcast = func(entries []crashsuspect.Entry) { b.MergeReceived(time.Now(), entries) }
	b.Broadcast = func(entries []crashsuspect.Entry) { a.MergeReceived(time.Now(), entries) }
	return a, b
}

func engineNumber(n int) platformstate.Server {
	return platformstate.Server{Server: dialect.Server{ID: fmt.Sprint("engine-", n), Zone: fmt.Sprint("zone-", n%3), StartedAtMillis: 1}}
}

// Guards against sound parts that stay suspect although another instance has seen them answered, and
// against a bad part that an old answer clears again and again.
func TestOtherInstanceVouchesForParts(t *testing.T) {
	const sound, bad, turnedBad = 1, 2, 3
	a, b := newSuspectsPair()
	b.recordPartsAnswered(time.Now(), []uint64{sound, turnedBad}, "event")
	for n := range 4 {
		a.recordPartsCrash(time.Now(), engineNumber(n), []uint64{sound, bad, turnedBad}, 0)
		b.recordPartsAnswered(time.Now(), []uint64{sound}, "event")
		if n < 3 {
			// The answer seen by b vouches once, after the second crash.
			require.Eventually(t, func() bool { return a.checkParts(time.Now(), []uint64{turnedBad}).verdict == crashsuspect.Clear }, testTimeout, time.Millisecond)
		}
	}
	for _, s := range []*Suspects{a, b} {
		require.Eventually(t, func() bool { return s.checkParts(time.Now(), []uint64{sound}).verdict == crashsuspect.Clear }, testTimeout, time.Millisecond)
		v := s.checkParts(time.Now(), []uint64{sound, bad, turnedBad})
		require.Equal(t, []uint64{bad, turnedBad}, v.suspected)
	}
}

// Guards against sound requests that are refused after an outage of many servers at once, and against a bad
// part that never is.
func TestPartsAreRefusedAfterTrials(t *testing.T) {
	s, now := NewSuspects(), time.Now()
	for n := range 30 {
		s.recordPartsCrash(now, engineNumber(n), []uint64{1, 2}, 0)
	}
	require.Equal(t, crashsuspect.Suspected, s.checkParts(now, []uint64{1}).verdict, "may be tried")
	require.Equal(t, crashsuspect.Refused, s.checkParts(now, []uint64{1, 2}).verdict, "a trial wouldn't tell which")
	s.recordPartsAnswered(now, []uint64{1}, "event")
	require.Equal(t, crashsuspect.Clear, s.checkParts(now, []uint64{1}).verdict)
	for n := range 2 {
		require.Equal(t, []uint64{2}, s.checkParts(now, []uint64{1, 2}).suspected)
		s.recordPartsCrash(now, engineNumber(100+n), []uint64{1, 2}, 2)
	}
	require.Equal(t, crashsuspect.Refused, s.checkParts(now, []uint64{1, 2}).verdict)
	require.True(t, s.PartRefused(now, 2))
	started := NewSuspects()
	started.Merge(now, s.Newest(now))
	require.True(t, started.PartRefused(now, 2), "an instance that starts")
}

// Guards against requests with several suspected parts that crash the servers which have just returned,
// before requests with one of the parts could tell which one it is.
func TestUnclearPartsWaitForAnsweringServers(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		since    time.Duration
		answered string
		unclear  bool
	}{
		"crashed just now":                    {time.Second, "llm", true},
		"servers answer":                      {unclearInterval, "llm", false},
		"no server answers":                   {maxUnclearTime - 1, "", true},
		"servers of another service answer":   {maxUnclearTime - 1, "desk", true},
		"no server has answered for too long": {maxUnclearTime, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSuspects()
			crash := now.Add(-tt.since)
			s.recordServiceAnswered(crash.Add(-time.Second), "llm")
			if tt.answered != "" {
				s.recordServiceAnswered(crash.Add(time.Millisecond), tt.answered)
			}
			require.Equal(t, tt.unclear, s.unclear(now, "llm", crash))
		})
	}
}
