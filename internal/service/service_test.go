package service_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/service"
	standin "pollenspindle.example/pollenspindle/internal/standin/service"
)

func startService(t *testing.T, opts standin.Options) string {
	t.Helper()
	address := make(chan string, 1)
	opts.Address = "127.0.0.1:0"
	opts.Ready = func(a string) { address <- a }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.Run(ctx, opts) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return <-address
}

func newClient(t *testing.T, opts service.Options) *service.Client {
	t.Helper()
	c := service.NewClient(opts)
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func setFaults(t *testing.T, address string, faults standin.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/control/faults", bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

func readLedger(t *testing.T, address string) standin.Ledger {
	t.Helper()
	resp, err := http.Get("http://" + address + "/control/ledger")
	require.NoError(t, err)
	defer resp.Body.Close()
	var ledger standin.Ledger
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ledger))
	return ledger
}

// The client's error must agree with the service's ledger: "not run" only without an effect, and
// only "lost" when the response is missing.
func TestErrorsAgreeWithLedger(t *testing.T) {
	tests := map[string]struct {
		faults  standin.Faults
		err     error
		status  int
		effects int
	}{
		"runs":           {status: 200, effects: 1},
		"refused":        {faults: standin.Faults{Refuse: 1}, err: service.ErrRefused},
		"fails before":   {faults: standin.Faults{FailBefore: 1}, status: 500},
		"fails after":    {faults: standin.Faults{FailAfter: 1}, status: 500, effects: 1},
		"loses answer":   {faults: standin.Faults{LoseAnswers: 1}, err: service.ErrUnknownOutcome, effects: 1},
		"answers slowly": {faults: standin.Faults{AnswerDelayMillis: 30}, status: 200, effects: 1},
	}
	for name, tt := range tests {
		for _, method := range []string{"POST", "PUT", "DELETE"} {
			t.Run(name+" "+method, func(t *testing.T) {
				address := startService(t, standin.Options{})
				c, ctx := newClient(t, service.Options{}), testContext(t)
				// Leaves an idle connection in the pool.
				_, err := c.Load(ctx, address)
				require.NoError(t, err)
				setFaults(t, address, tt.faults)
				resp, err := c.Do(ctx, address, service.Request{
					Method: method, Path: "/bookings/a%2Fb/../c", Query: "x=1", Body: []byte("field 3"),
					Header: []service.Header{{Name: "Idempotency-Key", Value: "k1"}},
				})
				require.ErrorIs(t, err, tt.err)
				require.Equal(t, tt.status, resp.Status)
				ledger := readLedger(t, address)
				require.Len(t, ledger.Effects, tt.effects)
				if tt.effects > 0 {
					effect := ledger.Effects[0]
					require.Equal(t, []string{method, "/bookings/a%2Fb/../c", "x=1", "k1"},
						[]string{effect.Method, effect.Path, effect.Query, effect.IdempotencyKey})
				}
			})
		}
	}
}

// Guards against booking twice: the service closes an idle connection that the client takes for the
// next request. The client must report that request as lost and not repeat it, as the service may
// have run it.
func TestRequestOnClosedIdleConnectionIsNotRepeated(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	accepted := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				defer conn.Close()
				buf := make([]byte, 4096)
				if _, err := conn.Read(buf); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				// The second request on the connection arrives and is not answered.
				_, _ = conn.Read(buf)
			}()
		}
	}()
	c, ctx := newClient(t, service.Options{}), testContext(t)
	request := service.Request{Method: "PUT", Path: "/bookings/1"}
	_, err = c.Do(ctx, ln.Addr().String(), request)
	require.NoError(t, err)
	_, err = c.Do(ctx, ln.Addr().String(), request)
	require.ErrorIs(t, err, service.ErrUnknownOutcome)
	require.Len(t, accepted, 1)

	request.FreshConnection = true
	_, err = c.Do(ctx, ln.Addr().String(), request)
	require.NoError(t, err)
}

func TestConnectionHeaderFieldsAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Add("X-Kept", "a")
		w.Header().Add("X-Kept", "b")
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	resp, err := newClient(t, service.Options{}).Do(testContext(t), ln.Addr().String(), service.Request{
		Method: "POST", Path: "/", Body: []byte("b"),
		Header: []service.Header{
			{Name: "connection", Value: "close, X-Hop"}, {Name: "X-Hop", Value: "1"}, {Name: "Te", Value: "trailers"},
			{Name: "Upgrade", Value: "h2c"}, {Name: "X-Kept", Value: "1"}, {Name: "Content-Length", Value: "900"},
		},
	})
	require.NoError(t, err)
	got := <-seen
	require.Equal(t, "1", got.Get("X-Kept"))
	for _, name := range []string{"X-Hop", "Te", "Upgrade"} {
		require.Empty(t, got.Get(name), name)
	}
	var kept []string
	for _, h := range resp.Header {
		require.NotEqual(t, "X-Private", h.Name)
		if h.Name == "X-Kept" {
			kept = append(kept, h.Value)
		}
	}
	require.Equal(t, []string{"a", "b"}, kept)
}

func TestLimits(t *testing.T) {
	address := startService(t, standin.Options{})
	c := newClient(t, service.Options{HTTP: httpclient.Options{MaxResponseBytes: 16}})
	_, err := c.Do(testContext(t), address, service.Request{Method: "POST", Path: "/x"})
	require.ErrorIs(t, err, service.ErrTooLarge)
	for _, path := range []string{"", "x", "/a b", "/a\r\nHost: b"} {
		_, err := c.Do(testContext(t), address, service.Request{Method: "POST", Path: path})
		require.ErrorIs(t, err, service.ErrBadRequest, path)
	}
	require.Len(t, readLedger(t, address).Effects, 1)
}

func TestColdServiceCrashes(t *testing.T) {
	address := startService(t, standin.Options{ColdLimit: 1, ColdTime: time.Hour, Delay: time.Second})
	c, ctx := newClient(t, service.Options{}), testContext(t)
	first := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, address, service.Request{Method: "POST", Path: "/a"})
		first <- err
	}()
	require.Eventually(t, func() bool {
		report, err := c.Load(ctx, address)
		return err == nil && report.Running == 1
	}, 30*time.Second, time.Millisecond)
	_, err := c.Do(ctx, address, service.Request{Method: "POST", Path: "/b"})
	require.ErrorIs(t, err, service.ErrUnknownOutcome)
	require.ErrorIs(t, <-first, service.ErrUnknownOutcome)
	require.Empty(t, readLedger(t, address).Effects)
}
