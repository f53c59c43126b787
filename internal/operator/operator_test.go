package operator_test

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

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operator/operatortest"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// fakeInstances counts calls of Leave and panics in List.
type fakeInstances struct{ leaveCalls int }

func (f *fakeInstances) List(context.Context) ([]operatorapi.Instance, error) {
	panic("list of instances is broken")
}

func (f *fakeInstances) Leave(context.Context) error {
	f.leaveCalls++
	return nil
}

func call(t *testing.T, method, url, token, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", token)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	instances := &fakeInstances{}
	nextToken := "token-of-tomorrow"
	h := operatortest.Start(t, operator.Options{Instances: instances, AcceptedSHA256: []string{pollenspindle.Token(nextToken)}})
	base := "http://" + h.Address + operatorapi.Prefix
	authorization := "Bearer " + operatortest.Token
	tests := map[string]struct {
		method, path, token, body string
		status                    int
		want                      string
	}{
		"accepted token":       {"GET", "/config", "Bearer " + nextToken, "", 200, `"version"`},
		"no token":             {"GET", "/config", "", "", 401, `"code":"unauthorized"`},
		"wrong token":          {"GET", "/config", authorization + "x", "", 401, `"code":"unauthorized"`},
		"token without scheme": {"GET", "/config", operatortest.Token, "", 401, `"code":"unauthorized"`},
		"unknown name":         {"PUT", "/config", authorization, `{"baseVersion":0,"writer":"a"}`, 400, "writer: is not a known name"},
		"no author":            {"POST", "/zones/a/drain", authorization, `{}`, 400, "author: is missing"},
		"summary too long":     {"POST", "/zones/a/drain", authorization, `{"author":"a","summary":"` + strings.Repeat("x", 201) + `"}`, 400, "summary: must be at most 200 bytes"},
		"terminal control":     {"POST", "/zones/a/drain", authorization, `{"author":"a","summary":"\u001b[2J"}`, 400, "summary: must be at most 200 bytes of printable"},
		"no such zone":         {"POST", "/zones/a/drain", authorization, `{"author":"a"}`, 404, `"code":"notFound"`},
		"invalid":              {"PUT", "/config", authorization, `{"baseVersion":0,"author":"a","config":{}}`, 422, `"path":"zones"`},
		"limit out of range":   {"GET", "/config/history?limit=0", authorization, "", 400, "limit: must be from 1 to 500"},
		"version not a number": {"GET", "/config/inForce?version=x", authorization, "", 400, "version: must be a version"},
		"another instance":     {"POST", "/instances/entry-2/leave", authorization, `{}`, 409, "this is instance"},
		"dependency not set":   {"GET", "/generations/g1", authorization, "", 501, `"code":"unsupported"`},
		"panic":                {"GET", "/instances", authorization, "", 500, `"code":"internal"`},
		"log level":            {"PUT", "/logLevel", authorization, `{"level":"trace"}`, 400, "level: must be one of"},
		"method not declared":  {"DELETE", "/config", authorization, "", 405, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, body := call(t, tt.method, base+tt.path, tt.token, tt.body)
			require.Equal(t, tt.status, status, body)
			require.Contains(t, body, tt.want)
		})
	}
	require.Zero(t, instances.leaveCalls)
	status, _ := call(t, "POST", base+"/instances/entry-1/leave", authorization, `{}`)
	require.Equal(t, 204, status)
	require.Equal(t, 1, instances.leaveCalls)
}

// Only the header of a request with a too large body is sent. Guards against a server that waits
// for the body before it rejects the request.
func TestTooLargeBodyIsRejected(t *testing.T) {
	h := operatortest.Start(t, operator.Options{})
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", h.Address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "PUT %s/config HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		operatorapi.Prefix, h.Address, operatortest.Token, 9<<20)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 413, resp.StatusCode)
}

func TestReadinessReportsReason(t *testing.T) {
	var notReady error
	h := operatortest.Start(t, operator.Options{Ready: func() error { return notReady }})
	status, _ := call(t, "GET", "http://"+h.Address+"/readiness", "", "")
	require.Equal(t, 200, status)
	notReady = errors.New("leaving")
	status, body := call(t, "GET", "http://"+h.Address+"/readiness", "", "")
	require.Equal(t, 503, status)
	require.Equal(t, "leaving\n", body)
}

func TestLogLevelChangesWhileRunning(t *testing.T) {
	before := zerolog.GlobalLevel()
	t.Cleanup(func() { zerolog.SetGlobalLevel(before) })
	h := operatortest.Start(t, operator.Options{})
	client := operatorapi.NewClient(h.Address, operatortest.Token)
	defer client.Close()
	require.NoError(t, client.SetLogLevel(t.Context(), operatorapi.LogLevel{Level: "error"}))
	got, err := client.LogLevel(t.Context())
	require.NoError(t, err)
	require.Equal(t, "error", got.Level)
}

// Guards against a shutdown that fails because the server has ended first, as it does once its listener is closed.
func TestShutdownAfterTheEnd(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s, err := operator.New(operator.Options{Listener: listener, Config: &operatortest.Config{}, TokenSHA256: pollenspindle.Token(operatortest.Token)})
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Run() }()
	status, _ := call(t, "GET", "http://"+listener.Addr().String()+"/health", "", "")
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, listener.Close())
	<-ended
	require.NoError(t, s.Shutdown(t.Context()))
}
