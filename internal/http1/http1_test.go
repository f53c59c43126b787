package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLimit = 1 << 10

// Guards against heads that a codec reads in another way than the scanner.
func TestHead(t *testing.T) {
	const begin = "POST /a HTTP/1.1\r\n"
	tests := map[string]struct {
		text string
		want Head
		err  error
	}{
		"no fields":           {text: begin + "\r\n", want: Head{}},
		"length":              {text: begin + "Content-Length: 12\r\n\r\n", want: Head{Parts: 1, Length: 12}},
		"chunks":              {text: begin + "transfer-encoding:  Chunked \r\n\r\n", want: Head{Parts: 1, Chunked: true}},
		"shortest lines":      {text: begin + "a:\r\na:\r\na:\r\n\r\n", want: Head{Parts: 3}},
		"query":               {text: "GET /?a&b&c HTTP/1.1\r\n\r\n", want: Head{Parts: 2}},
		"cookies":             {text: begin + "Cookie: a;b;c\r\n\r\n", want: Head{Parts: 3}},
		"HTTP/1.0":            {text: "GET / HTTP/1.0\r\n\r\n", want: Head{}},
		"HTTP/2":              {text: "PRI * HTTP/2.0\r\n\r\n", want: Head{HTTP2: true}},
		"without name":        {text: begin + ":\r\n\r\n", err: ErrMalformed},
		"without colon":       {text: begin + "a\r\n\r\n", err: ErrMalformed},
		"space before colon":  {text: begin + "a : b\r\n\r\n", err: ErrMalformed},
		"folded":              {text: begin + "a: b\r\n c\r\n\r\n", err: ErrAmbiguous},
		"folded first":        {text: begin + " a: b\r\n\r\n", err: ErrAmbiguous},
		"CR in a value":       {text: begin + "a: b\rc\r\n\r\n", err: ErrMalformed},
		"NUL in a value":      {text: begin + "a: b\x00\r\n\r\n", err: ErrMalformed},
		"LF alone":            {text: begin + "a: b\n\r\n", err: ErrMalformed},
		"two lengths":         {text: begin + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", err: ErrAmbiguous},
		"length and chunks":   {text: begin + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrAmbiguous},
		"chunks of HTTP/1.0":  {text: "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrAmbiguous},
		"signed length":       {text: begin + "Content-Length: +1\r\n\r\n", err: ErrAmbiguous},
		"list of lengths":     {text: begin + "Content-Length: 1, 1\r\n\r\n", err: ErrAmbiguous},
		"endless length":      {text: begin + "Content-Length: 1000000000000000\r\n\r\n", err: ErrAmbiguous},
		"other encoding":      {text: begin + "Transfer-Encoding: gzip, chunked\r\n\r\n", err: ErrAmbiguous},
		"no version":          {text: "GET /\r\n\r\n", err: ErrMalformed},
		"other version":       {text: "GET / HTTP/3.0\r\n\r\n", err: ErrMalformed},
		"long request line":   {text: "GET /" + strings.Repeat("a", testLimit), err: ErrTooLarge},
		"long line":           {text: begin + "a: " + strings.Repeat("a", testLimit), err: ErrTooLarge},
		"many lines":          {text: begin + strings.Repeat("a:\r\n", testLimit/4+1), err: ErrTooLarge},
		"fields at the limit": {text: begin + strings.Repeat("a:\r\n", testLimit/4-1) + "\r\n", want: Head{Parts: testLimit/4 - 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(tt.text)} {
				var h Head
				complete, err := false, error(nil)
				for n := 0; n < len(tt.text) && err == nil; {
					n = min(n+step, len(tt.text))
					complete, err = h.Scan([]byte(tt.text[:n]), testLimit)
				}
				require.ErrorIs(t, err, tt.err)
				require.Equal(t, tt.err == nil, complete)
				if complete {
					got := Head{Parts: h.Parts, Chunked: h.Chunked, Length: h.Length, HTTP2: h.HTTP2}
					require.Equal(t, tt.want, got)
					require.Equal(t, len(tt.text), h.Bytes)
				}
			}
		})
	}
}
