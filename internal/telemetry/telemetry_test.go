package telemetry_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

func TestLogsMetricsAndSpansAreWritten(t *testing.T) {
	var out, errOut bytes.Buffer
	s := settings.Settings{Instance: "i1", Trace: settings.Trace{Exporter: "stdout", SampleRatio: 1}}
	tel, err := telemetry.New(telemetry.Options{Settings: s, Out: &out, ErrOut: &errOut})
	require.NoError(t, err)

	log := telemetry.ComponentLogger(tel.Log, "owner")
	log.Info().Msg("server acquired")
	log.Warn().Err(merry.Wrap(telemetry.ErrSetup, merry.WithCause(errors.New("address in use")))).Msg("failed")
	tel.Metrics.Counter("refusals").Inc(3)
	_, span := tel.Tracer.Start(context.Background(), "hop")
	span.End()
	require.NoError(t, tel.Close(context.Background()))

	require.Contains(t, errOut.String(), `"part":"owner"`)
	require.Contains(t, errOut.String(), `"instance":"i1"`)
	require.Contains(t, errOut.String(), `"error":"telemetry could not be set up: address in use"`)
	require.Contains(t, out.String(), `"Name":"hop"`)
	w := httptest.NewRecorder()
	tel.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, w.Body.String(), "pollenspindle_refusals 3")
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	tests := map[string]settings.Settings{
		"unknown level":      {Log: settings.Log{Level: "loud"}},
		"unknown exporter":   {Trace: settings.Trace{Exporter: "pigeon"}},
		"file not creatable": {Trace: settings.Trace{Exporter: "file", Endpoint: "/nonexistent/spans"}},
	}
	t.Cleanup(func() { zerolog.SetGlobalLevel(zerolog.InfoLevel) })
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := telemetry.New(telemetry.Options{Settings: s, Out: &bytes.Buffer{}, ErrOut: &bytes.Buffer{}})
			require.ErrorIs(t, err, telemetry.ErrSetup)
		})
	}
}
