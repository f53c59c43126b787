package controlcost_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/controlcost"
)

func count(scope tally.TestScope, name string) int64 {
	return scope.Snapshot().Counters()[name].Value()
}

const claimsTime = "processor_nanoseconds+role=claims"

// burn uses CPU time until stop returns true.
func burn(stop func() bool) {
	sum := 0
	for !stop() {
		for i := range 100_000 {
			sum += i
		}
	}
	_ = sum
}

func TestRunCountsTimeByRole(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	costs := controlcost.New(scope)
	costs.Meter(controlcost.RoleClaims).Run(func() {
		rounds := 0
		burn(func() bool { rounds++; return rounds > 10 })
	})
	require.Positive(t, count(scope, claimsTime))
	require.Zero(t, count(scope, "processor_nanoseconds+role=config"))
}

func TestLoopIsMeasuredWhileItRuns(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	costs := controlcost.New(scope)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		costs.RunLoop(controlcost.RoleClaims, func() {
			burn(func() bool {
				select {
				case <-stop:
					return true
				default:
					return false
				}
			})
		})
	}()
	require.Eventually(t, func() bool {
		costs.Measure()
		return count(scope, claimsTime) > 0
	}, time.Minute, time.Millisecond)
	close(stop)
	<-done
	ended := count(scope, claimsTime)
	costs.Measure()
	require.Equal(t, ended, count(scope, claimsTime))
}

func TestNilCostsRunWithoutCounting(t *testing.T) {
	var costs *controlcost.Meters
	ran := 0
	costs.Meter(controlcost.RoleClaims).Run(func() { ran++ })
	costs.Meter(controlcost.RoleClaims).AddBytes(1, 1)
	costs.RunLoop(controlcost.RoleClaims, func() { ran++ })
	costs.Measure()
	require.Equal(t, 2, ran)
}

// Two exchanges share a connection. Each must count exactly the bytes that were written and read
// for it, with and without TLS.
func TestExchangeCountsItsOwnBytes(t *testing.T) {
	tests := map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer}
	for name, newServer := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
			}))
			defer s.Close()
			transport := &http.Transport{DialContext: controlcost.Dial, TLSClientConfig: s.Client().Transport.(*http.Transport).TLSClientConfig}
			defer transport.CloseIdleConnections()
			exchange := func(body string) (sent, received int64, reused bool) {
				var e controlcost.Exchange
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
					reused = info.Reused
					e.Begin(info.Conn, info.Reused)
				}})
				req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.URL, strings.NewReader(body))
				require.NoError(t, err)
				resp, err := transport.RoundTrip(req)
				require.NoError(t, err)
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				sent, received = e.Bytes()
				return sent, received, reused
			}
			_, _, _ = exchange("")
			sent, received, reused := exchange(strings.Repeat("x", 1000))
			require.True(t, reused)
			require.Greater(t, sent, int64(1000))
			require.Less(t, sent, int64(1500))
			require.Greater(t, received, int64(1000))
			require.Less(t, received, int64(1500))
		})
	}
}

// The transport sends on a connection that the platform has closed, then retries on a new one,
// which has carried fewer bytes. The sum must not be negative: decreasing a counter ends the
// process.
func TestExchangeOnTwoConnections(t *testing.T) {
	first, other := net.Pipe()
	defer other.Close()
	go func() { _, _ = io.Copy(io.Discard, other) }()
	old := &controlcost.Conn{Conn: first}
	write := func(c *controlcost.Conn, n int) {
		_, err := c.Write(make([]byte, n))
		require.NoError(t, err)
	}
	write(old, 100)
	var e controlcost.Exchange
	e.Begin(old, true)
	write(old, 10)
	next := &controlcost.Conn{Conn: first}
	e.Begin(next, false)
	write(next, 20)
	sent, received := e.Bytes()
	require.Equal(t, int64(30), sent)
	require.Zero(t, received)
}
