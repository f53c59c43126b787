package failure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestCutOffFromAll: an instance loses the platform and its peers while streams
// run through it, and operators change the configuration meanwhile. Its callers
// read their streams to the end; three seconds later it refuses new work as not
// run, because it can't know whether its configuration is still in force. When
// the links are back it takes work again, with the newest version, and its own
// version never falls.
func TestCutOffFromAll(t *testing.T) {
	// Streams of some hundred tokens last for some ten seconds.
	s := start(t, system.Options{TimeScale: 0.5, EngineArgs: []string{"--cold-millis", "0"}})
	d := deployments["inyange"]
	v := watchVersions(t, s)
	odd, hears := s.Instances[0], s.Instances[1]
	var streams []*system.Stream
	for prompt := 501; prompt <= 504; prompt++ {
		streams = append(streams, begin(t, s.Caller(d.workspace), odd, prompt, 2))
	}
	isolate(s, odd)
	cut := time.Now()
	version := changeWeight(t, s, hears, 77)
	lasts(t, cut, promised)
	requireRefusing(t, s, d, odd)
	refused := time.Now()

	later := 0
	for _, st := range streams {
		require.NoError(t, st.Read(0))
		require.Nil(t, st.Failure)
		system.RequireCompleteStream(t, st.Tokens)
		if st.Tokens[len(st.Tokens)-1].At.After(refused) {
			later++
		}
	}
	t.Logf("%d of %d streams ended after the refusals", later, len(streams))
	require.Positive(t, later)

	odd.PlatformProxy.SetMode(faultproxy.Pass)
	for _, in := range s.Instances {
		in.PeerProxy.SetMode(faultproxy.Pass)
	}
	require.Eventually(t, func() bool {
		return generate(d, 5)(t.Context(), t, s.Caller(d.workspace), odd, "back").served()
	}, patience, pollEach, "it takes no work again")
	require.GreaterOrEqual(t, s.ConfigVersion(t.Context(), t, odd), version, "it takes work on an old configuration")
	v.requireNoneFell(t)
}

// changeWeight has a change accepted through an instance.
func changeWeight(t *testing.T, s *system.System, in *system.Instance, weight int) int64 {
	t.Helper()
	var got operatorapi.Accepted
	ops := s.OperatorClient(t, in)
	require.Eventually(t, func() bool {
		base, err := ops.Configuration(t.Context())
		if err != nil {
			return false
		}
		got, err = ops.Apply(t.Context(), operatorapi.ApplyRequest{
			BaseVersion: base.Version, Author: "umutoni", Config: weighted(base.Config, 0, weight),
		})
		return err == nil
	}, patience, pollEach, "change is not accepted")
	return got.Version
}
