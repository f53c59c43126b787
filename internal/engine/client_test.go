package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/engine"
	standin "pollenspindle.example/pollenspindle/internal/standin/engine"
)

const requestBody = `{"model":"glide-7b","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"briefing for the club at Gahanga"}]}`

// startEngine runs an engine stand-in until the test ends.
func startEngine(t *testing.T, change func(*standin.Options)) string {
	t.Helper()
	opts := standin.DefaultOptions()
	opts.ColdTime = 0
	opts.TimeScale = 20
	if change != nil {
		change(&opts)
	}
	address := make(chan string, 1)
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

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	c := engine.NewClient(engine.Options{})
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// readAll reads until the end of the stream or an error.
func readAll(s *engine.Stream) (string, int64, error) {
	var text strings.Builder
	for {
		ev, err := s.Next()
		if err != nil {
			return text.String(), s.LastPosition(), err
		}
		text.WriteString(ev.Text)
	}
}

func TestGenerationIsCompleteAndResumable(t *testing.T) {
	address := startEngine(t, nil)
	c, ctx := newClient(t), testContext(t)
	s, err := c.Start(ctx, address, engine.Request{ID: "r1", Body: []byte(requestBody)})
	require.NoError(t, err)
	text, last, err := readAll(s)
	require.ErrorIs(t, err, io.EOF)
	s.Close()
	words := strings.Fields(text)
	require.Equal(t, int64(len(words)+1), last)
	tag := words[0][strings.IndexByte(words[0], '-'):]
	for i, word := range words {
		require.Equal(t, fmt.Sprintf("w%d%s", i+1, tag), word)
	}

	resumed, err := c.Resume(ctx, address, "r1", 3, true)
	require.NoError(t, err)
	defer resumed.Close()
	rest, _, err := readAll(resumed)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, strings.Join(words[3:], " ")+" ", rest)
	require.Equal(t, s.Incarnation(), resumed.Incarnation())
}

// The engine crashes after some tokens and restarts. Its connection closes without the end marker,
// and the restarted engine doesn't know the generation. Nothing may be appended to what the caller
// has, so both cases must differ from a complete response.
func TestEngineRestartLosesGenerations(t *testing.T) {
	address := startEngine(t, func(o *standin.Options) { o.TimeScale = 1 })
	c, ctx := newClient(t), testContext(t)
	s, err := c.Start(ctx, address, engine.Request{ID: "r1", Body: []byte(requestBody)})
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	resp, err := http.Post("http://"+address+"/control/crash", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	_, _, err = readAll(s)
	require.ErrorIs(t, err, engine.ErrStreamInterrupted)
	_, err = c.Resume(ctx, address, "r1", 1, true)
	require.ErrorIs(t, err, engine.ErrUnknownStream)
	report, err := c.Load(ctx, address)
	require.NoError(t, err)
	require.NotEqual(t, s.Incarnation(), report.Incarnation)
}

func TestCancelFreesMemory(t *testing.T) {
	address := startEngine(t, func(o *standin.Options) { o.TimeScale = 1; o.ReportLag = 0 })
	c, ctx := newClient(t), testContext(t)
	s, err := c.Start(ctx, address, engine.Request{ID: "r1", Body: []byte(requestBody)})
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, c.Cancel(ctx, address, "r1"))
	require.NoError(t, c.Cancel(ctx, address, "never started"))
	_, _, err = readAll(s)
	require.ErrorIs(t, err, engine.ErrStreamInterrupted)
	require.Eventually(t, func() bool {
		report, err := c.Load(ctx, address)
		return err == nil && report.UsedTokens == 0 && report.AcceptedTotal == 1
	}, 20*time.Second, 10*time.Millisecond)
}

func TestCommandWithStaleFencingToken(t *testing.T) {
	tests := map[string]struct {
		checks bool
		err    error
		model  string
	}{
		"checked": {checks: true, err: engine.ErrStaleFencing, model: "2"},
		"ignored": {checks: false, model: "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := startEngine(t, func(o *standin.Options) { o.CheckFencing = tt.checks; o.LoadTime = 0 })
			c, ctx := newClient(t), testContext(t)
			_, err := c.SendCommand(ctx, address, engine.Command{FencingToken: 7, Kind: engine.CommandLoadModel, Name: "glide-7b", Version: "2"})
			require.NoError(t, err)
			_, err = c.SendCommand(ctx, address, engine.Command{FencingToken: 6, Kind: engine.CommandLoadModel, Name: "glide-7b", Version: "1"})
			require.ErrorIs(t, err, tt.err)
			state, err := c.State(ctx, address)
			require.NoError(t, err)
			require.Equal(t, []engine.ModelVersion{{Name: "glide-7b", Version: tt.model}}, state.Models)
			require.Equal(t, int64(7), state.HighestFencingToken)
		})
	}
}

// serveResponse accepts one connection at a time, sends a fixed response and closes it.
func serveResponse(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, text)
			}
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

func TestStartErrors(t *testing.T) {
	head := func(status string, headers ...string) string {
		return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
	}
	tests := map[string]struct {
		response string
		kind     error
		refusal  *engine.Refusal
	}{
		"full":                        {response: head("429 Too Many Requests", "Retry-After: 3"), kind: engine.ErrRefused, refusal: &engine.Refusal{Status: 429, Overload: true, RetryAfter: 3 * time.Second}},
		"cold":                        {response: head("503 Service Unavailable", "X-Not-Run: true"), kind: engine.ErrRefused, refusal: &engine.Refusal{Status: 503}},
		"503 without X-Not-Run":       {response: head("503 Service Unavailable"), kind: engine.ErrUnknownOutcome},
		"500":                         {response: head("500 Internal Server Error"), kind: engine.ErrUnknownOutcome},
		"bad request":                 {response: head("400 Bad Request"), kind: engine.ErrBadRequest},
		"unknown model":               {response: head("404 Not Found"), kind: engine.ErrUnknownModel},
		"closed without response":     {response: "", kind: engine.ErrUnknownOutcome},
		"truncated header":            {response: "HTTP/1.1 200 OK\r\nContent-Ty", kind: engine.ErrUnknownOutcome},
		"response to another request": {response: head("200 OK", "X-Request-Id: r0"), kind: engine.ErrUnknownOutcome},
		"not HTTP":                    {response: "hello\r\n\r\n", kind: engine.ErrUnknownOutcome},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, ctx := newClient(t), testContext(t)
			_, err := c.Start(ctx, serveResponse(t, tt.response), engine.Request{ID: "r1", Body: []byte(requestBody)})
			require.ErrorIs(t, err, tt.kind)
			var refusal *engine.Refusal
			if errors.As(err, &refusal) {
				require.Equal(t, tt.refusal, refusal)
			} else {
				require.Nil(t, tt.refusal)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := ln.Addr().String()
		ln.Close()
		_, err = newClient(t).Start(testContext(t), address, engine.Request{ID: "r1", Body: []byte(requestBody)})
		require.ErrorIs(t, err, engine.ErrNotSent)
		require.NotErrorIs(t, err, engine.ErrUnknownOutcome)
	})
}

// The engine accepts the connection and never responds, as on a link that went silent; then the
// caller cancels. The call must return and report an unknown outcome, since the engine may run the
// request.
func TestCancelWhileEngineIsSilent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		// The first byte has arrived, so the request has been sent.
		_, _ = conn.Read(make([]byte, 1))
		cancel()
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, err = newClient(t).Start(ctx, ln.Addr().String(), engine.Request{ID: "r1", Body: []byte(requestBody)})
	require.ErrorIs(t, err, engine.ErrUnknownOutcome)
	require.ErrorIs(t, err, context.Canceled)
}
