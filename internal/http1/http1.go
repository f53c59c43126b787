// Package http1 follows the framing of HTTP/1.1 requests on a connection, before a codec parses them. It tells the
// size and the number of parts of a head while its bytes arrive, so that a server knows what a request costs before
// it holds it, and refuses heads whose end or whose body different parsers could see in different places.
//
// A [Reader] hands out a head only once it is complete and admitted. Of chunked bodies it drops chunk extensions and
// trailers, which have no use for a server and no limit of their own.
//
// It also has the rule for heads of answers that all readers of answers share: [IsStatus], [IsFinalStatus],
// [IsFieldName] and [IsFieldValue].
//
// # Usage
//
//	r := http1.NewReader(http1.Options{MaxHeadBytes: limit, Admit: account.admit})
//	n, err := r.Read(p, conn.Read)
package http1

import (
	"bytes"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrMalformed means that a head or the framing of a body isn't HTTP/1.1.
	ErrMalformed = merry.Sentinel("malformed request")
	// ErrAmbiguous means that the length of a body could be taken for another one.
	ErrAmbiguous = merry.Sentinel("length of the body is ambiguous")
	// ErrTooLarge means that a head, or what belongs to the framing of a body, exceeds its limit.
	ErrTooLarge = merry.Sentinel("head of the request is too large")
)

func malformed(problem string) error { return merry.Wrap(ErrMalformed, merry.AppendMessage(problem)) }

// maxLengthDigits is the number of digits of the largest length of a body or chunk.
const maxLengthDigits = 15

// Head is the head of a request of which bytes arrive.
type Head struct {
	// Bytes is the size of what was scanned. Parts is the number of what a codec may hold apart: header fields, and
	// the parts of a line that are separated as in queries and cookies.
	Bytes, Parts int
	// Chunked says that the body is sent in chunks. Otherwise Length is its size.
	Chunked bool
	Length  int64
	// HTTP2 says that the client begins a connection with HTTP/2.
	HTTP2 bool

	// lineStart is where the line begins that isn't complete.
	lineStart int
	// fieldsStart is where the header fields begin; 0 before the request line is complete.
	fieldsStart int
	hasLength   bool
	complete    bool
	// old says that the version is HTTP/1.0, which has no chunks.
	old bool
}

// Scan looks at those bytes of the head that it hasn't seen, and reports whether the head is complete. buf begins with
// the head and may be longer. limit is the maximum size of the request line, and that of all header fields.
func (h *Head) Scan(buf []byte, limit int) (complete bool, err error) {
	for !h.complete {
		end := bytes.IndexByte(buf[h.Bytes:], '\n')
		if end < 0 {
			h.Bytes = len(buf)
			return false, h.checkSize(limit)
		}
		end += h.Bytes
		h.Bytes = end + 1
		if err := h.checkSize(limit); err != nil {
			return false, err
		}
		line := buf[h.lineStart:end]
		h.lineStart = h.Bytes
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return false, malformed("a line ends without CR")
		}
		if err := h.addLine(line[:len(line)-1]); err != nil {
			return false, err
		}
	}
	return true, nil
}

func (h *Head) checkSize(limit int) error {
	if h.Bytes-h.fieldsStart > limit {
		return merry.Wrap(ErrTooLarge)
	}
	return nil
}

// addLine adds a line without its end.
func (h *Head) addLine(line []byte) error {
	h.Parts += bytes.Count(line, querySeparator) + bytes.Count(line, cookieSeparator)
	switch {
	case h.fieldsStart == 0:
		h.fieldsStart = h.Bytes
		return h.addRequestLine(line)
	case len(line) == 0:
		h.complete = true
		return h.checkFraming()
	}
	h.Parts++
	return h.addField(line)
}

var (
	querySeparator  = []byte{'&'}
	cookieSeparator = []byte{';'}
)

func (h *Head) addRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, ok := bytes.Cut(rest, []byte{' '})
	switch {
	case !ok || !isToken(method) || len(target) == 0 || hasControl(line):
		return malformed("request line")
	case string(version) == "HTTP/2.0" && string(method) == "PRI":
		h.HTTP2 = true
	case string(version) == "HTTP/1.0":
		h.old = true
	case string(version) != "HTTP/1.1":
		return malformed("version")
	}
	return nil
}

func (h *Head) addField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return merry.Wrap(ErrAmbiguous, merry.AppendMessage("a line is folded"))
	case !ok:
		return malformed("a field has no colon")
	case !isToken(name):
		return malformed("name of a field")
	case hasControl(value):
		return malformed("value of a field")
	}
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, "content-length"):
		return h.addLength(value)
	case equalFold(name, "transfer-encoding"):
		if h.Chunked || !equalFold(value, "chunked") {
			return merry.Wrap(ErrAmbiguous, merry.AppendMessage("transfer encoding"))
		}
		h.Chunked = true
	}
	return nil
}

func (h *Head) addLength(value []byte) error {
	if h.hasLength || len(value) == 0 || len(value) > maxLengthDigits {
		return merry.Wrap(ErrAmbiguous)
	}
	h.hasLength = true
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return merry.Wrap(ErrAmbiguous)
		}
		h.Length = 10*h.Length + int64(digit-'0')
	}
	return nil
}

func (h *Head) checkFraming() error {
	if h.Chunked && (h.hasLength || h.old) {
		return merry.Wrap(ErrAmbiguous)
	}
	return nil
}

// isToken reports whether text is a name (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}()

// hasControl reports whether text has bytes that some parsers take for the end of a line.
func hasControl(text []byte) bool {
	return bytes.IndexByte(text, '\r') >= 0 || bytes.IndexByte(text, 0) >= 0
}

// equalFold reports whether text is the lower-case name, whatever its case.
func equalFold(text []byte, name string) bool {
	if len(text) != len(name) {
		return false
	}
	for i, c := range text {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != name[i] {
			return false
		}
	}
	return true
}
