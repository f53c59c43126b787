package caller

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/service"
)

// The service gets the call as the caller made it, without the headers that are meant for entry
// instances.
func TestServiceCall(t *testing.T) {
	f := startServer(t, testConfig("127.0.0.1:1"))
	r := f.do(t, request{
		path: "/v1/services/desk/bookings/a%20b?x=1", body: "field seven",
		header: map[string]string{"X-Club": "north", "traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
	})
	require.Equal(t, http.StatusCreated, r.status)
	require.Equal(t, "booked", string(r.body))
	require.Equal(t, "/bookings/1", r.header.Get("Location"))
	require.Len(t, f.services.calls(), 1)
	got := f.services.calls()[0]
	require.Equal(t, "/bookings/a%20b", got.Path)
	require.Equal(t, "x=1", got.Query)
	require.Equal(t, "field seven", string(got.Body))
	require.True(t, got.FreshConnection)
	require.Contains(t, got.Header, service.Header{Name: "X-Club", Value: "north"})
	for _, h := range got.Header {
		require.NotEqual(t, "authorization", strings.ToLower(h.Name))
	}
}

// storedClaims has a stored result for every key.
type storedClaims struct{}

func (storedClaims) Begin(context.Context, time.Time, claim.Key, string) claim.BeginResult {
	return claim.Stored{Result: claim.Result{Status: 201, Header: map[string][]string{"Location": {"/bookings/1"}}, Body: []byte("booked")}}
}
func (storedClaims) Finish(context.Context, claim.Claim, claim.Result) error { return nil }
func (storedClaims) Abandon(context.Context, claim.Claim) error              { return nil }

func TestReplayedAnswer(t *testing.T) {
	f := startServer(t, testConfig("127.0.0.1:1"), func(o *Options) { o.Claims = storedClaims{} })
	r := f.do(t, request{path: "/v1/services/desk/bookings", header: map[string]string{headerKey: "k"}})
	require.Equal(t, http.StatusCreated, r.status)
	require.Equal(t, "true", r.header.Get(headerReplayed))
	require.Equal(t, "/bookings/1", r.header.Get("Location"))
	require.Equal(t, "booked", string(r.body))
	require.Empty(t, f.services.calls())
	require.Zero(t, f.permits.issued)
}

func TestBadServiceCalls(t *testing.T) {
	f := startServer(t, testConfig("127.0.0.1:1"))
	tests := map[string]struct {
		request request
		status  int
		code    answer.Code
	}{
		"no token":             {request{path: "/v1/services/desk/bookings", token: "-"}, 401, answer.CodeUnauthorized},
		"unknown service":      {request{path: "/v1/services/x/bookings"}, 404, answer.CodeUnknownService},
		"engine service":       {request{path: "/v1/services/briefing/x"}, 404, answer.CodeUnknownService},
		"unknown route":        {request{path: "/v1/services/desk/fees"}, 404, answer.CodeUnknownRoute},
		"dots":                 {request{path: "/v1/services/desk/bookings/search/%2e%2e"}, 400, answer.CodeInvalidRequest},
		"key with spaces":      {request{path: "/v1/services/desk/bookings", header: map[string]string{headerKey: "a b"}}, 400, answer.CodeInvalidRequest},
		"empty key":            {request{path: "/v1/services/desk/bookings", header: map[string]string{headerKey: ""}}, 400, answer.CodeInvalidRequest},
		"key without platform": {request{path: "/v1/services/desk/bookings", header: map[string]string{headerKey: "k"}}, 503, answer.CodePlatformDown},
		"body too large":       {request{path: "/v1/services/desk/bookings", body: strings.Repeat("x", 4097)}, 413, answer.CodeBodyTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := f.do(t, tt.request)
			d := r.detail(t)
			require.Equal(t, tt.status, r.status, "%s", r.body)
			require.Equal(t, tt.code, d.Code)
			require.Equal(t, answer.OutcomeNotRun, d.Outcome)
		})
	}
	require.Empty(t, f.services.calls())
}
