package httpclient

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// exchange sends a request and reads its answer to the end, as the options of the call say.
func exchange(t *testing.T, c *Client, address, method string, call Call) (status int, body string, err error) {
	r := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(r)
	r.SetMethod(method)
	r.Header.SetHost(address)
	r.SetRequestURI("/")
	resp, err := c.Do(t.Context(), address, r, call)
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	if !resp.Streamed() {
		return resp.StatusCode(), string(resp.Bytes()), nil
	}
	read, err := io.ReadAll(resp.Body())
	return resp.StatusCode(), string(read), err
}

// calls are the ways to read an answer.
var calls = map[string]Call{
	"held": {SingleUse: true}, "pooled": {}, "streamed": {SingleUse: true, Stream: true}, "held if short": {SingleUse: true, MaxBuffered: 4},
}

// Guards against answers that were cut anywhere, also in their heads, and look whole.
func TestOnlyWholeAnswersSucceed(t *testing.T) {
	const body = "twelve bytes"
	answers := cutanswer.Answers("X-Field: value\r\n", body)
	const long = "length, long field"
	answers[long] = cutanswer.Answers("X-Long: "+strings.Repeat("x", 4<<10)+"\r\n", body)["length last"]
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := cutanswer.New(answer, "X-Id")
			h := httptest.NewServer(server)
			defer h.Close()
			for callName, call := range calls {
				for end, endName := range map[cutanswer.End]string{cutanswer.Close: "closed", cutanswer.Reset: "reset", cutanswer.Late: "goes on"} {
					for n := range answer.Len("") + 1 {
						if name == long && n%64 > 0 && n < answer.Len("")-64 {
							continue
						}
						server.Cut(n, end)
						sent := n
						if end == cutanswer.Late {
							sent = answer.Len("")
						}
						c := New(Options{})
						status, got, err := exchange(t, c, strings.TrimPrefix(h.URL, "http://"), answer.Method, call)
						c.Close()
						switch {
						case answer.Whole(sent, "") && end != cutanswer.Reset:
							require.NoError(t, err, "%s, %s after %d bytes", callName, endName, n)
							require.Equal(t, answer.Status, status)
							require.Equal(t, answer.Body(sent, "", body), got, "%s, %s after %d bytes", callName, endName, n)
						case n < answer.Len("") || answer.Unframed:
							require.ErrorIs(t, err, ErrUnknownOutcome, "%s, %s after %d bytes: status %d, body %q", callName, endName, n, status, got)
						}
					}
				}
			}
		})
	}
}

// Guards against bytes after an answer that are taken for a part of it, or for the answer to the next request.
func TestBytesAfterAnswerAreDropped(t *testing.T) {
	for bodyName, body := range map[string]string{"short": "twelve bytes", "long": strings.Repeat("x", 40<<10)} {
		for name, answer := range cutanswer.Answers("X-Field: value\r\n", body) {
			if answer.Unframed {
				continue
			}
			t.Run(bodyName+", "+name, func(t *testing.T) {
				t.Parallel()
				want := answer.Body(0, "", body)
				answer.Framed += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
				h := httptest.NewServer(cutanswer.New(answer, "X-Id"))
				defer h.Close()
				c := New(Options{})
				defer c.Close()
				for callName, call := range calls {
					if callName == "pooled" && bodyName == "long" {
						// Bytes that arrive later are found by nobody.
						continue
					}
					for range 2 {
						status, got, err := exchange(t, c, strings.TrimPrefix(h.URL, "http://"), answer.Method, call)
						require.NoError(t, err, callName)
						require.Equal(t, answer.Status, status, callName)
						require.True(t, got == want, "%s: %d bytes, %d wanted", callName, len(got), len(want))
					}
				}
			})
		}
	}
}

// Guards against heads whose framing is in doubt and is guessed.
func TestAmbiguousHeadsFail(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\n",
		"list of lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n\r\n",
		"negative length":          "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"length is no number":      "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"length with a sign":       "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\n",
		"length over 64 bits":      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"empty length":             "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
		"space in a name":          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
		"unknown coding":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"coding broken off":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chu\r\n\r\n",
		"line without a colon":     "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\n",
		"line of a return":         "HTTP/1.1 200 OK\r\n\r\r\nContent-Length: 2\r\n\r\n",
		"two codings":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"list of codings":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"folded lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 2\r\n\r\n",
		"no name":                  "HTTP/1.1 200 OK\r\n: 2\r\n\r\n",
		"status line without code": "HTTP/1.1\r\n\r\n",
		"status of two digits":     "HTTP/1.1 20\r\n\r\n",
		"status is no number":      "HTTP/1.1 2xx OK\r\n\r\n",
		"other protocol":           "ICY 200 OK\r\n\r\n",
		"version broken off":       "HTTP/1. 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := httptest.NewServer(cutanswer.New(cutanswer.Answer{Head: head, Framed: "body"}, "X-Id"))
			defer h.Close()
			c := New(Options{})
			defer c.Close()
			for callName, call := range calls {
				status, got, err := exchange(t, c, strings.TrimPrefix(h.URL, "http://"), "POST", call)
				require.ErrorIs(t, err, ErrUnknownOutcome, "%s: status %d, body %q", callName, status, got)
			}
		})
	}
}
