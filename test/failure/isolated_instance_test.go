package failure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestIsolatedInstance cuts an instance off from the platform and its peers while streams run
// through it and the configuration changes. The streams must run to their end. After three seconds
// the instance must refuse new requests as not run, because it can't know whether its
// configuration is still in force. Once reconnected it accepts requests with the newest version,
// and its version never decreases.
func TestIsolatedInstance(t *testing.T) {
	// At this time scale, streams of a few hundred tokens take about ten seconds.
	s := start(t, system.Options{TimeScale: 0.5, EngineArgs: []string{"--cold-millis", "0"}})
	d := deployments["inyange"]
	v := watchVersions(t, s)
	isolated, connected := s.Instances[0], s.Instances[1]
	var streams []*system.Stream
	for prompt := 501; prompt <= 504; prompt++ {
		streams = append(streams, startStream(t, s.Caller(d.workspace), isolated, prompt, 2))
	}
	isolate(s, isolated)
	cut := time.Now()
	version := applyWeight(t, s, connected, 77)
	waitElapsed(t, cut, propagationLimit)
	requireRefusesNewWork(t, s, d, isolated)
	refused := time.Now()

	endedAfter := 0
	for _, st := range streams {
		require.NoError(t, st.Read(0))
		require.Nil(t, st.Failure)
		system.RequireCompleteStream(t, st.Tokens)
		if st.Tokens[len(st.Tokens)-1].At.After(refused) {
			endedAfter++
		}
	}
	t.Logf("%d of %d streams ended after the refusals began", endedAfter, len(streams))
	require.Positive(t, endedAfter)

	isolated.PlatformProxy.SetMode(faultproxy.Pass)
	for _, in := range s.Instances {
		in.PeerProxy.SetMode(faultproxy.Pass)
	}
	require.Eventually(t, func() bool {
		return generate(d, 5)(t.Context(), t, s.Caller(d.workspace), isolated, "back").served()
	}, waitTimeout, pollInterval, "it accepts no requests after reconnecting")
	require.GreaterOrEqual(t, s.ConfigVersion(t.Context(), t, isolated), version, "it accepts requests with an old configuration")
	v.requireNoDecrease(t)
}

// applyWeight applies a weight change through an instance and returns the accepted version.
func applyWeight(t *testing.T, s *system.System, in *system.Instance, weight int) int64 {
	t.Helper()
	var got operatorapi.ChangeResult
	ops := s.OperatorClient(t, in)
	require.Eventually(t, func() bool {
		base, err := ops.Configuration(t.Context())
		if err != nil {
			return false
		}
		got, err = ops.Apply(t.Context(), operatorapi.ApplyRequest{
			BaseVersion: base.Version, Author: "umutoni", Config: withWeight(base.Config, 0, weight),
		})
		return err == nil
	}, waitTimeout, pollInterval, "change is not accepted")
	return got.Version
}
