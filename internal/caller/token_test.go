package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const tokenData = "\ndata: {\"id\":\"8036dfc9\",\"object\":\"chat.completion.chunk\",\"created\":1796254948,\"model\":\"glide-7b\"," +
	"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"gusty \"},\"finish_reason\":null}]}\n\n"

// BenchmarkRelayedToken measures the relaying of one token from an engine's socket to a caller's.
// The engine sends a token after the caller has read the previous one, so that no two are read
// together. Both are plain connections that allocate nothing.
func BenchmarkRelayedToken(b *testing.B) {
	s := startTokens(b)
	defer s.close()
	for range 100 {
		s.relay(b)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.relay(b)
	}
}

// maxTokenAllocations is above the allocations of one token, since background work of the process
// is counted too and the race detector drops pooled buffers.
const maxTokenAllocations = 10

// Allocations per token make an instance with some dozens of open streams spend its processor time
// on garbage collection and hold several times its live memory.
func TestTokenAllocations(t *testing.T) {
	s := startTokens(t)
	defer s.close()
	allocations := testing.AllocsPerRun(2000, func() { s.relay(t) })
	t.Logf("%.0f allocations for each token", allocations)
	require.Less(t, allocations, float64(maxTokenAllocations))
}

// tokens is one stream between a plain engine connection and a plain caller connection.
type tokens struct {
	*fixture
	caller net.Conn
	engine net.Conn
	last   int64
	out    []byte
	in     []byte
}

func startTokens(t testing.TB, change ...func(*Options)) *tokens {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := startServer(t, testConfig(ln.Addr().String()), change...)
	s := &tokens{fixture: f, out: make([]byte, 0, 1024), in: make([]byte, 4096)}
	s.caller, err = net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	body := withStream(chatBody)
	_, err = fmt.Fprintf(s.caller, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", clubToken, len(body), body)
	require.NoError(t, err)
	s.engine, err = ln.Accept()
	require.NoError(t, err)
	req, err := http.ReadRequest(bufio.NewReader(s.engine))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, req.Body)
	require.NoError(t, err)
	_, err = io.WriteString(s.engine, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+
		"X-Engine-Incarnation: e1\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(t, err)
	return s
}

// relay sends the next token and reads until the caller has it.
func (s *tokens) relay(t testing.TB) {
	s.check(t, s.send())
	for got := 0; ; {
		n, err := s.caller.Read(s.in[got:])
		s.check(t, err)
		got += n
		if bytes.HasSuffix(s.in[:got], []byte("\n\n\r\n")) {
			return
		}
	}
}

// send sends the next token.
func (s *tokens) send() error {
	s.last++
	event := strconv.AppendInt(append(s.in[:0], "id: "...), s.last, 10)
	event = append(event, tokenData...)
	s.out = strconv.AppendInt(s.out[:0], int64(len(event)), 16)
	s.out = append(s.out, "\r\n"...)
	s.out = append(append(s.out, event...), "\r\n"...)
	_, err := s.engine.Write(s.out)
	return err
}

// check calls require only for an error, to avoid its allocations for each token.
func (s *tokens) check(t testing.TB, err error) {
	if err != nil {
		require.NoError(t, err)
	}
}

func (s *tokens) close() {
	s.caller.Close()
	s.engine.Close()
}
