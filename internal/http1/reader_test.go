package http1

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// source is a connection whose bytes arrive in parts.
type source struct {
	text string
	part int
}

func (s *source) receive(p []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	n := copy(p, s.text[:min(s.part, len(s.text))])
	s.text = s.text[n:]
	return n, nil
}

// readAll reads until the end of a source, with a buffer of a size.
func readAll(r *Reader, s *source, size int) (string, error) {
	var b strings.Builder
	p := make([]byte, size)
	for {
		n, err := r.Read(p, s.receive)
		b.Write(p[:n])
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
	}
}

func limit() int { return testLimit }

// Guards against bytes that are lost, repeated or handed out in another order, wherever they are cut.
func TestReader(t *testing.T) {
	const (
		get   = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		post  = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
		begin = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	tests := map[string]struct {
		text, want string
		requests   int
		err        error
	}{
		"one":                  {text: get, want: get, requests: 1},
		"body":                 {text: post, want: post, requests: 1},
		"pipelined":            {text: post + get + post, want: post + get + post, requests: 3},
		"empty lines before":   {text: "\r\n\r\n" + post + "\r\n" + get, want: post + get, requests: 2},
		"chunks":               {text: begin + "3\r\nabc\r\n0\r\n\r\n" + get, want: begin + "3\r\nabc\r\n0\r\n\r\n" + get, requests: 2},
		"extensions dropped":   {text: begin + "3 ;a=\"b\"\r\nabc\r\n0;c\r\n\r\n" + get, want: begin + "3\r\nabc\r\n0\r\n\r\n" + get, requests: 2},
		"trailers dropped":     {text: begin + "3\r\nabc\r\n0\r\na: b\r\nc:\r\n\r\n" + get, want: begin + "3\r\nabc\r\n0\r\n\r\n" + get, requests: 2},
		"many trailers":        {text: begin + "0\r\n" + strings.Repeat("a:\r\n", testLimit), want: begin + "0\r\n", requests: 0, err: ErrTooLarge},
		"long extension":       {text: begin + "0;" + strings.Repeat("a", 2*testLimit), want: begin + "0", err: ErrTooLarge},
		"malformed size":       {text: begin + "x\r\n", want: begin, err: ErrMalformed},
		"endless size":         {text: begin + strings.Repeat("0", 20), want: begin + strings.Repeat("0", maxLengthDigits), err: ErrMalformed},
		"data beyond its size": {text: begin + "1\r\nab\r\n", want: begin + "1\r\na", err: ErrMalformed},
		"cut body":             {text: "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", want: "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"},
		"cut head":             {text: "GET / HTTP/1.1\r\nHost", want: ""},
		"HTTP/2 refused":       {text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", err: ErrMalformed},
		"malformed second":     {text: get + "a\r\n\r\n", want: get, requests: 1, err: ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, part := range []int{1, 3, 50, len(tt.text)} {
				for _, size := range []int{1, 100, 4096} {
					requests := 0
					r := NewReader(Options{MaxHeadBytes: limit, Complete: func() { requests++ }})
					got, err := readAll(r, &source{tt.text, part}, size)
					require.ErrorIs(t, err, tt.err, "parts of %d, buffer of %d", part, size)
					if tt.err == nil {
						require.Equal(t, tt.want, got, "parts of %d, buffer of %d", part, size)
					} else {
						require.True(t, strings.HasPrefix(tt.want, got), "%q, parts of %d, buffer of %d", got, part, size)
					}
					require.Equal(t, tt.requests, requests, "parts of %d, buffer of %d", part, size)
				}
			}
		})
	}
}

// Guards against heads that are handed out without room for them.
func TestReaderAdmits(t *testing.T) {
	full := errors.New("full")
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n"
	parts := 0
	r := NewReader(Options{MaxHeadBytes: limit, Admit: func(h *Head) error { parts = h.Parts; return full }})
	got, err := readAll(r, &source{head, 10}, 4096)
	require.ErrorIs(t, err, full)
	require.Empty(t, got)
	require.Equal(t, 100, parts)

	held := 0
	r = NewReader(Options{MaxHeadBytes: limit, Reserve: func(n int) error {
		if held = n; n > 200 {
			return full
		}
		return nil
	}})
	_, err = readAll(r, &source{head, 10}, 4096)
	require.ErrorIs(t, err, full)
	require.Equal(t, 210, held)
}

// Guards against bytes of another protocol that are taken for requests.
func TestOtherProtocols(t *testing.T) {
	preface := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00"
	for _, part := range []int{1, 20, len(preface)} {
		got, err := readAll(NewReader(Options{MaxHeadBytes: limit, HTTP2: true}), &source{preface, part}, 4096)
		require.NoError(t, err)
		require.Equal(t, preface, got)
	}
	upgrade := "GET / HTTP/1.1\r\nUpgrade: relay\r\n\r\n"
	r := NewReader(Options{MaxHeadBytes: limit})
	p := make([]byte, 4096)
	n, err := r.Read(p, (&source{upgrade, 100}).receive)
	require.NoError(t, err)
	require.Equal(t, upgrade, string(p[:n]))
	r.Switch()
	got, err := readAll(r, &source{"\x00bytes\n", 2}, 4096)
	require.NoError(t, err)
	require.Equal(t, "\x00bytes\n", got)
}

// Guards against bytes after a body that are held without room for them: a codec may offer a large buffer.
func TestBytesAfterBodyStayUnread(t *testing.T) {
	further := strings.Repeat("x", 1<<20)
	tests := map[string]string{
		"length": "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("a", 100),
		"chunks": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("a", 100) + "\r\n0\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			complete := false
			r := NewReader(Options{MaxHeadBytes: limit, Complete: func() { complete = true }})
			end := strings.Index(text, "\r\n\r\n") + 4
			s := &source{text[:end], end}
			p := make([]byte, len(text)+len(further))
			_, err := r.Read(p[:end], s.receive)
			require.NoError(t, err)
			s.text, s.part = text[end:]+further, len(p)
			for !complete {
				_, err := r.Read(p, s.receive)
				require.NoError(t, err)
			}
			require.LessOrEqual(t, r.Buffered(), minRead)
		})
	}
}
