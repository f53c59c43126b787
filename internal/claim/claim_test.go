package claim_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

const testTimeout = 20 * time.Second

var (
	now = time.Unix(1_000_000, 0)
	key = claim.Key{Workspace: "club", Key: "booking-1"}
)

func newStore(t *testing.T) (*claim.Store, *httptest.Server) {
	server := httptest.NewServer(platform.NewHandler(platform.Options{}))
	t.Cleanup(server.Close)
	client := objectapi.NewClient(server.URL, objectapi.Options{Timeout: testTimeout, ReadsPerSecond: 1e6, ReadBurst: 1e6})
	t.Cleanup(client.Close)
	return claim.NewStore(claim.StoreOptions{Objects: client, RequestTimeout: time.Minute}), server
}

func setFaults(t *testing.T, server *httptest.Server, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/control/faults", strings.NewReader(body))
	require.NoError(t, err)
	resp, err := server.Client().Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func acquire(t *testing.T, s *claim.Store) claim.Claim {
	t.Helper()
	a := s.Begin(t.Context(), now, key, "print")
	require.IsType(t, claim.Acquired{}, a)
	return a.(claim.Acquired).Claim
}

func TestBeginOfRetry(t *testing.T) {
	result := claim.Result{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: []byte(`{"slot":7}`)}
	tests := map[string]struct {
		prepare func(t *testing.T, s *claim.Store, c claim.Claim)
		at      time.Duration
		print   string
		want    claim.BeginResult
	}{
		"holder in progress": {want: claim.InProgress{RetryAfter: 2 * time.Second}},
		"holder timed out": {
			at:   2 * time.Minute,
			want: claim.Unknown{},
		},
		"other request with the key": {print: "other", want: claim.Mismatch{}},
		"result stored": {
			prepare: func(t *testing.T, s *claim.Store, c claim.Claim) {
				require.NoError(t, s.Finish(t.Context(), c, result))
			},
			want: claim.Stored{Result: result},
		},
		"other request with the key of a stored result": {
			prepare: func(t *testing.T, s *claim.Store, c claim.Claim) {
				require.NoError(t, s.Finish(t.Context(), c, result))
			},
			print: "other",
			want:  claim.Mismatch{},
		},
		"result too large to store": {
			prepare: func(t *testing.T, s *claim.Store, c claim.Claim) {
				large := claim.Result{Status: 200, Body: bytes.Repeat([]byte("a"), claim.MaxBodyBytes+1)}
				require.NoError(t, s.Finish(t.Context(), c, large))
			},
			want: claim.Stored{Result: claim.Result{Status: 200, Omitted: true}},
		},
		"largest result that is stored": {
			prepare: func(t *testing.T, s *claim.Store, c claim.Claim) {
				large := claim.Result{Status: 200, Body: bytes.Repeat([]byte("a"), claim.MaxBodyBytes)}
				require.NoError(t, s.Finish(t.Context(), c, large))
			},
			want: claim.Stored{Result: claim.Result{Status: 200, Body: bytes.Repeat([]byte("a"), claim.MaxBodyBytes)}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newStore(t)
			c := acquire(t, s)
			if test.prepare != nil {
				test.prepare(t, s, c)
			}
			fingerprint := "print"
			if test.print != "" {
				fingerprint = test.print
			}
			require.Equal(t, test.want, s.Begin(t.Context(), now.Add(test.at), key, fingerprint))
		})
	}
}

// During a platform outage Begin fails at once and nothing is claimed. After the
// outage a request with the same key runs.
func TestPlatformOutageIsNotRun(t *testing.T) {
	s, server := newStore(t)
	setFaults(t, server, `{"down":true}`)
	require.IsType(t, claim.Unavailable{}, s.Begin(t.Context(), now, key, "print"))
	require.Zero(t, s.Pending(), "no claim can exist")
	setFaults(t, server, `{}`)
	acquire(t, s)
}

// The platform fails after a request ran and before its result is stored. A retry
// must not run the request again, and gets the result after the outage.
func TestResultIsStoredAfterPlatformOutage(t *testing.T) {
	s, server := newStore(t)
	c := acquire(t, s)
	setFaults(t, server, `{"down":true}`)
	require.ErrorIs(t, s.Finish(t.Context(), c, claim.Result{Status: 201}), claim.ErrStoreDeferred)
	require.IsType(t, claim.Unavailable{}, s.Begin(t.Context(), now, key, "print"))
	setFaults(t, server, `{}`)
	require.IsType(t, claim.InProgress{}, s.Begin(t.Context(), now, key, "print"))

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	require.Eventually(t, func() bool {
		a, ok := s.Begin(t.Context(), now, key, "print").(claim.Stored)
		return ok && a.Result.Status == 201
	}, testTimeout, 5*time.Millisecond)
	cancel()
	<-done
}

// A holder is paused between its claim and the first byte for longer than the
// retention. The sweep deletes its claim, and a retry runs the request. The paused
// holder must not send any more, and its late result must not replace the other's.
func TestHolderPausedPastRetentionSendsNothing(t *testing.T) {
	s, _ := newStore(t)
	paused := acquire(t, s)
	require.True(t, paused.MaySend(now))
	all := func(string) bool { return true }
	sweep := func(at time.Time) int {
		swept := 0
		for range 16 {
			n, err := s.Sweep(t.Context(), at, all)
			require.NoError(t, err)
			swept += n
		}
		return swept
	}
	require.Zero(t, sweep(now.Add(24*time.Hour)))
	resumedAt := now.Add(25 * time.Hour)
	require.Equal(t, 1, sweep(resumedAt))

	a := s.Begin(t.Context(), resumedAt, key, "print")
	require.IsType(t, claim.Acquired{}, a)
	require.False(t, paused.MaySend(resumedAt))
	require.ErrorIs(t, s.Finish(t.Context(), paused, claim.Result{Status: 500}), claim.ErrNotStored)
	require.NoError(t, s.Finish(t.Context(), a.(claim.Acquired).Claim, claim.Result{Status: 201}))
	require.Equal(t, claim.Stored{Result: claim.Result{Status: 201}}, s.Begin(t.Context(), resumedAt, key, "print"))
}

func TestWorkspacesDoNotShareKeys(t *testing.T) {
	s, _ := newStore(t)
	acquire(t, s)
	other := claim.Key{Workspace: "other", Key: key.Key}
	require.IsType(t, claim.Acquired{}, s.Begin(t.Context(), now, other, "print"))
}
