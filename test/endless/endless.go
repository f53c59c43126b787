// Package endless has a server whose answers never end: after a beginning, it sends the same bytes until its
// caller closes the connection. It is used by tests only.
//
// # Usage
//
//	server := &endless.Server{Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-Field: value\r\n"}
//	h := httptest.NewServer(server)
//	...
//	server.Wait()
//	require.Less(t, server.Most(), limit)
package endless

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Timeout is how long a server goes on sending: more than a caller that bounds what it reads takes to fail.
const Timeout = 10 * time.Second

const blockBytes = 32 << 10

// Server sends answers without end. It is safe for concurrent use.
type Server struct {
	// Begin is sent once, with $ID replaced by the value of the request's header field IDField.
	Begin, IDField string
	// Repeat is sent again and again.
	Repeat string

	most atomic.Int64

	mu      sync.Mutex
	serving int
	// ended is closed once no connection is served; nil if there is none.
	ended chan struct{}
}

// Most returns the largest number of bytes that were sent on one connection after the beginning.
func (s *Server) Most() int64 { return s.most.Load() }

// Wait waits until all connections are closed. Requests may begin meanwhile.
func (s *Server) Wait() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// begin counts a connection until end is called.
func (s *Server) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving == 0 {
		s.ended = make(chan struct{})
	}
	s.serving++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.serving--; s.serving == 0 {
			close(s.ended)
			s.ended = nil
		}
	}
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.begin()()
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(Timeout))
	_ = conn.(*net.TCPConn).SetWriteBuffer(2 * blockBytes)
	sent := int64(0)
	_, err = io.WriteString(conn, strings.ReplaceAll(s.Begin, "$ID", r.Header.Get(s.IDField)))
	block := bytes.Repeat([]byte(s.Repeat), max(1, blockBytes/len(s.Repeat)))
	for err == nil {
		var n int
		n, err = conn.Write(block)
		sent += int64(n)
	}
	for {
		most := s.most.Load()
		if sent <= most || s.most.CompareAndSwap(most, sent) {
			return
		}
	}
}

// Heads returns beginnings of answers whose heads, chunks or trailers don't end, by name. status is the status line,
// fields are the fields of answers that get so far.
func Heads(fields string) map[string]*Server {
	const status = "HTTP/1.1 200 OK\r\n"
	chunked := status + fields + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]*Server{
		"no answer":                   {Repeat: "\x00\x01 no answer "},
		"no answer, lines":            {Repeat: "no answer\n"},
		"empty lines":                 {Repeat: "\r\n"},
		"status line":                 {Begin: "HTTP/1.1 200 ", Repeat: "O"},
		"name of a field":             {Begin: status, Repeat: "x"},
		"one field":                   {Begin: status + fields + "X-Long: ", Repeat: "x"},
		"fields":                      {Begin: status + fields, Repeat: "X-Field: value\r\n"},
		"folded field":                {Begin: status + fields + "X-Long: a\r\n", Repeat: " folded\r\n"},
		"interim answers":             {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim answers with fields": {Repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"fields of an interim answer": {Begin: "HTTP/1.1 100 Continue\r\n", Repeat: "X-Field: value\r\n"},
		"trailers":                    {Begin: chunked + "4\r\nbody\r\n0\r\n", Repeat: "X-Trailer: value\r\n"},
		"one trailer":                 {Begin: chunked + "4\r\nbody\r\n0\r\nX-Trailer: ", Repeat: "x"},
		"chunk extension":             {Begin: chunked + "4;", Repeat: "x"},
		"chunk size":                  {Begin: chunked, Repeat: "0"},
	}
}
