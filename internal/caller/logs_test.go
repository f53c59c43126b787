package caller

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

// Requests fail in different ways at log level debug, with causes of errors logged. Parsers quote
// input that they can't read, which may be a caller's prompt or its response. Neither of them nor
// the caller's token may be logged.
func TestLogsHoldNoRequestContent(t *testing.T) {
	const secret = "gusting-to-forty"
	ok := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Engine-Incarnation: e1\r\n\r\n"
	prompt := strings.Replace(chatBody, `"content":"`, `"content":"`+secret, 1)
	require.Contains(t, prompt, secret)
	tests := map[string]struct{ body, answer string }{
		"caller's JSON is broken":    {prompt[:len(prompt)-1], ""},
		"caller's field is wrong":    {`{"model":{"` + secret + `":1},"messages":"` + secret + `"}`, ""},
		"engine's header is invalid": {prompt, secret + " " + secret + "\r\n\r\n"},
		"engine's field is broken":   {prompt, "HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n" + secret},
		"engine's chunk is broken":   {prompt, ok + "id: 1\ndata: {" + secret + "\n\n"},
		"engine's event is broken":   {prompt, ok + "id: " + secret + "\ndata: " + secret + "\n\n"},
		"engine refuses":             {prompt, "HTTP/1.1 400 Bad Request\r\nContent-Length: 16\r\n\r\n" + secret},
	}
	t.Cleanup(func() { zerolog.SetGlobalLevel(zerolog.InfoLevel) })
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var logs bytes.Buffer
			tel, err := telemetry.New(telemetry.Options{
				Settings: settings.Settings{Instance: "i1", Log: settings.Log{Level: "debug"}}, ErrOut: zerolog.SyncWriter(&logs),
			})
			require.NoError(t, err)
			f := startServer(t, testConfig(startFixedServer(t, tt.answer)), func(o *Options) { o.Logger = tel.Log })
			for _, body := range []string{tt.body, strings.Replace(tt.body, "{", `{"stream":true,`, 1)} {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(body))
				require.NoError(t, err)
				req.Header.Set("Authorization", "Bearer "+clubToken)
				req.Header.Set("Content-Type", "application/json")
				resp, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				require.NoError(t, resp.Body.Close())
			}
			f.stop()
			require.Contains(t, logs.String(), "request failed")
			require.NotContains(t, logs.String(), secret)
			require.NotContains(t, logs.String(), clubToken)
		})
	}
}

// startFixedServer sends the same bytes on each connection and closes it.
func startFixedServer(t *testing.T, answer string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
	return ln.Addr().String()
}
