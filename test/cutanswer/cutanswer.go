// Package cutanswer has a server that ends its connections, or pauses, after some bytes of an answer, and answers
// with malformed heads. It is used by tests only.
//
// # Usage
//
//	for name, answer := range cutanswer.Answers("X-Id: $ID\r\n", "body") {
//		server := cutanswer.New(answer, "X-Id")
//		h := httptest.NewServer(server)
//		for n := range answer.Len(id) {
//			server.Cut(n, cutanswer.Close)
//			...
//			require.Equal(t, answer.Whole(n, id), err == nil)
//		}
//	}
package cutanswer

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// delay is the time in which what was sent is read before the connection is reset, or the rest is sent.
const delay = time.Millisecond

// End is how a connection ends.
type End int

// The ends.
const (
	// Close ends the connection normally.
	Close End = iota
	// Reset aborts it.
	Reset
	// Late closes it after the rest of the answer was sent, a moment later.
	Late
)

// Answer is an answer on the wire, in which $ID is replaced by the ID of the request.
type Answer struct {
	// Head is all before the body, with interim answers; Framed is the body as it is sent, with chunks and
	// trailers.
	Head, Framed string
	// Unframed means that the end of the connection is the end of the body.
	Unframed bool
	// Empty means that the answer has no body, or one without content.
	Empty bool
	// Method is that of the request; POST if it is empty.
	Method string
	// Status is that of the answer.
	Status int
}

func (a Answer) text(id string) string { return strings.ReplaceAll(a.Head+a.Framed, "$ID", id) }

// Len returns the length of the answer to a request.
func (a Answer) Len(id string) int { return len(a.text(id)) }

// Whole reports whether the first n bytes of the answer to a request are an answer, if the connection ends
// normally then.
func (a Answer) Whole(n int, id string) bool {
	if a.Unframed {
		return n >= len(strings.ReplaceAll(a.Head, "$ID", id))
	}
	return n >= a.Len(id)
}

// Body returns the body of an answer that is cut after n bytes; whole is that of whole answers with one.
func (a Answer) Body(n int, id, whole string) string {
	switch {
	case a.Unframed:
		return a.text(id)[a.Len(id)-len(a.Framed) : n]
	case a.Empty:
		return ""
	}
	return whole
}

// Server answers every request with the beginning of an answer. It is safe for concurrent use.
type Server struct {
	answer  Answer
	idField string

	mu       sync.Mutex
	n        int
	end      End
	requests map[string]int
}

// New returns a server that sends whole answers. The ID of a request is its header field idField.
func New(answer Answer, idField string) *Server {
	return &Server{answer: answer, idField: idField, n: -1, requests: map[string]int{}}
}

// Cut makes the server send the first n bytes of its answers, all of them if n is negative.
func (s *Server) Cut(n int, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n, s.end = n, end
}

// Requests returns how many requests with an ID have arrived.
func (s *Server) Requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(s.idField)
	s.mu.Lock()
	n, end := s.n, s.end
	s.requests[id]++
	s.mu.Unlock()
	s.answer.Serve(w, id, n, end)
}

// Serve sends the first n bytes of the answer to a request, all of it if n is negative, and ends its connection.
func (a Answer) Serve(w http.ResponseWriter, id string, n int, end End) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := a.text(id)
	if n < 0 || n > len(text) {
		n = len(text)
	}
	_, _ = io.WriteString(conn, text[:n])
	switch end {
	case Close:
	case Reset:
		time.Sleep(delay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	case Late:
		time.Sleep(delay)
		_, _ = io.WriteString(conn, text[n:])
	}
}

// Answers returns answers of all forms with a body of at least two bytes, by name. fields are further fields of
// their heads.
func Answers(fields, body string) map[string]Answer {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := lengthOf(body)
	const chunked = "Transfer-Encoding: chunked\r\n"
	chunks := chunk(body[:1], "") + chunk(body[1:], "")
	hints := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n"
	answers := map[string]Answer{
		"length":                     {Head: ok + length + fields + "\r\n", Framed: body},
		"length last":                {Head: ok + fields + length + "\r\n", Framed: body},
		"length twice":               {Head: ok + length + fields + length + "\r\n", Framed: body},
		"length, connection closes":  {Head: ok + fields + "Connection: close\r\n" + length + "\r\n", Framed: body},
		"length, HTTP/1.0":           {Head: "HTTP/1.0 200 OK\r\n" + fields + length + "\r\n", Framed: body},
		"length, no reason":          {Head: "HTTP/1.1 200 \r\n" + fields + length + "\r\n", Framed: body},
		"length, line feeds":         {Head: strings.ReplaceAll(ok+fields+length+"\r\n", "\r\n", "\n"), Framed: body},
		"length, small letters":      {Head: ok + fields + strings.ToLower(length) + "\r\n", Framed: body},
		"length, after 100":          {Head: "HTTP/1.1 100 Continue\r\n\r\n" + ok + fields + length + "\r\n", Framed: body},
		"length, after 103":          {Head: hints + hints + ok + fields + length + "\r\n", Framed: body},
		"length, folded field":       {Head: ok + fields + "X-Folded: a\r\n  b\r\n\tc\r\n" + length + "\r\n", Framed: body},
		"length, folded last":        {Head: ok + fields + length + "X-Folded: a\r\n b\r\n\r\n", Framed: body},
		"length, empty fields":       {Head: ok + "X-Empty:\r\n" + fields + length + "X-Blank: \t \r\n\r\n", Framed: body},
		"no content":                 {Head: "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", Status: http.StatusNoContent},
		"not modified":               {Head: "HTTP/1.1 304 Not Modified\r\n" + fields + length + "\r\n", Status: http.StatusNotModified},
		"no content, after 103":      {Head: hints + "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", Status: http.StatusNoContent},
		"empty":                      {Head: ok + fields + "Content-Length: 0\r\n\r\n"},
		"HEAD":                       {Head: ok + fields + length + "\r\n", Method: http.MethodHead},
		"HEAD, chunked":              {Head: ok + fields + chunked + "\r\n", Method: http.MethodHead},
		"chunked":                    {Head: ok + chunked + fields + "\r\n", Framed: chunks + "0\r\n\r\n"},
		"chunked last":               {Head: ok + fields + chunked + "\r\n", Framed: chunks + "0\r\n\r\n"},
		"chunked, empty":             {Head: ok + fields + chunked + "\r\n", Framed: "0\r\n\r\n"},
		"chunked, extension":         {Head: ok + fields + chunked + "\r\n", Framed: chunk(body, ";a=b") + "0;c\r\n\r\n"},
		"chunked, trailers":          {Head: ok + fields + chunked + "Trailer: X-Sum\r\n\r\n", Framed: chunks + "0\r\nX-Sum: 1\r\nX-Two: 2\r\n\r\n"},
		"chunked, after 100":         {Head: "HTTP/1.1 100 Continue\r\n\r\n" + ok + fields + chunked + "\r\n", Framed: chunks + "0\r\n\r\n"},
		"chunked, with a length":     {Head: ok + "Content-Length: 1\r\n" + fields + chunked + "\r\n", Framed: chunks + "0\r\n\r\n"},
		"unframed":                   {Head: ok + fields + "\r\n", Framed: body, Unframed: true},
		"unframed, HTTP/1.0":         {Head: "HTTP/1.0 200 OK\r\n" + fields + "\r\n", Framed: body, Unframed: true},
		"unframed, after 100":        {Head: "HTTP/1.1 100 Continue\r\n\r\n" + ok + fields + "\r\n", Framed: body, Unframed: true},
		"unframed, after 103":        {Head: hints + ok + fields + "\r\n", Framed: body, Unframed: true},
		"unframed, connection close": {Head: ok + fields + "Connection: close\r\n\r\n", Framed: body, Unframed: true},
	}
	for name, a := range answers {
		if a.Status == 0 {
			a.Status = http.StatusOK
		}
		a.Empty = a.Framed == "" || a.Framed == "0\r\n\r\n"
		if a.Method == "" {
			a.Method = http.MethodPost
		}
		answers[name] = a
	}
	return answers
}

func chunk(data, extension string) string {
	return strconv.FormatInt(int64(len(data)), 16) + extension + "\r\n" + data + "\r\n"
}
