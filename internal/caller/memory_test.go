package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkOpenStreams measures the memory of one open stream in an entry instance. Caller and
// engine are plain connections in the same process, which makes the result a little too high.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	f := startServer(b, testConfig(oneTokenEngine(b)))
	// Fills pools and caches, which are not counted.
	closeAll(openStreams(b, f, streams))
	for b.Loop() {
		before := memoryInUse()
		conns := openStreams(b, f, streams)
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		closeAll(conns)
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func openStreams(b *testing.B, f *fixture, n int) []net.Conn {
	body := withStream(chatBody)
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", clubToken, len(body))
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		require.NoError(b, err)
		_, err = io.WriteString(conn, head+body)
		require.NoError(b, err)
		conns[i] = conn
	}
	for _, conn := range conns {
		// Wait for the first token.
		_, err := io.ReadAtLeast(conn, make([]byte, 512), 300)
		require.NoError(b, err)
	}
	return conns
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// oneTokenEngine sends one token on each connection and then nothing.
func oneTokenEngine(b *testing.B) string {
	const event = "id: 1\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"calm\"},\"finish_reason\":null}]}\n\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.Cleanup(func() { conn.Close() })
			go serveOneToken(conn, event)
		}
	}()
	return ln.Addr().String()
}

func serveOneToken(conn net.Conn, event string) {
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Engine-Incarnation: e1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
	_, _ = conn.Read(make([]byte, 1))
}
