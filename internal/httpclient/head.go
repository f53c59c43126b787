package httpclient

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	respcodec "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"pollenspindle.example/pollenspindle/internal/http1"
)

// maxHeadBytes limits the head of a response, and its trailers.
const maxHeadBytes = 64 << 10

// statusLine is the beginning of a status line.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})( |$)`)

// isStatusLine reports whether line is the status line of an answer.
func isStatusLine(line []byte) bool {
	parts := statusLine.FindSubmatch(line)
	if parts == nil {
		return false
	}
	status, err := strconv.Atoi(string(parts[1]))
	return err == nil && http1.IsStatus(status)
}

// readHead reads the head of the answer, and skips interim ones. It fails on an upgrade, which no request asks for.
func (r *Response) readHead() error {
	for range http1.MaxAnswerHeads {
		if err := ReadHead(r.Response, r.conn); err != nil {
			return err
		}
		switch status := r.StatusCode(); {
		case http1.IsFinalStatus(status):
			return nil
		case status == http.StatusSwitchingProtocols:
			return merry.Wrap(ErrMalformed)
		}
		r.Reset()
	}
	return merry.Wrap(ErrTooLarge)
}

// ReadHead reads one head of at most 64 KiB, an interim one too. The codec gets a copy of a complete head: it
// takes the beginning of one with folded lines for all of it, and changes the bytes that it has read.
func ReadHead(resp *protocol.Response, conn network.Reader) error {
	head, err := peekHead(conn)
	if err != nil {
		return err
	}
	unread := &headReader{rest: unfold(head)}
	if err := checkHead(unread.rest); err != nil {
		return err
	}
	if err := conn.Skip(len(head)); err != nil {
		return err
	}
	if err := conn.Release(); err != nil {
		return err
	}
	if err := respcodec.ReadHeader(&resp.Header, unread); err != nil {
		return err
	}
	if unread.Len() > 0 {
		return merry.Wrap(ErrMalformed)
	}
	return nil
}

// peekHead returns the bytes up to the empty line that ends a head, without consuming them. They are valid until
// the next read.
func peekHead(conn network.Reader) ([]byte, error) {
	line, begun := 0, false
	for size := 1; size <= maxHeadBytes; size = max(size+1, min(conn.Len(), maxHeadBytes)) {
		held, err := conn.Peek(size)
		if errors.Is(err, io.EOF) && size > 1 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		for n := bytes.IndexByte(held[line:], '\n'); n >= 0; n = bytes.IndexByte(held[line:], '\n') {
			empty := len(bytes.TrimSuffix(held[line:line+n], []byte{'\r'})) == 0
			line += n + 1
			if empty && begun {
				return held[:line], nil
			}
			begun = begun || !empty
		}
	}
	return nil, merry.Wrap(ErrTooLarge)
}

// unfold returns a copy of a head in which lines that continue a field are part of its line (RFC 9112, 5.2). A line
// that would continue the status line stays one of its own.
func unfold(head []byte) []byte {
	lines := bytes.Clone(head)
	start := len(lines) - len(bytes.TrimLeft(lines, "\r\n"))
	fields := start + bytes.IndexByte(lines[start:], '\n') + 1
	for i := fields; i+1 < len(lines); i++ {
		if lines[i] != '\n' || lines[i+1] != ' ' && lines[i+1] != '\t' {
			continue
		}
		lines[i] = ' '
		if lines[i-1] == '\r' {
			lines[i-1] = ' '
		}
	}
	return lines
}

// checkHead fails if fields that say where an answer ends can be read in several ways: the codec takes the last of
// two lengths, and drops a field whose name isn't a token.
func checkHead(head []byte) error {
	length, coding, begun := "", "", false
	for line := range bytes.Lines(head) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		switch {
		case len(line) == 0:
			continue
		case !http1.IsFieldValue(line):
			return merry.Wrap(ErrMalformed)
		case !begun && !isStatusLine(line):
			return merry.Wrap(ErrMalformed)
		case !begun:
			begun = true
			continue
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		text := string(bytes.Trim(value, " \t"))
		switch {
		case !ok || !http1.IsFieldName(name):
			return merry.Wrap(ErrMalformed)
		case bytes.EqualFold(name, []byte("Content-Length")):
			if strings.Trim(text, "0123456789") != "" || length != "" && length != text {
				return merry.Wrap(ErrMalformed)
			}
			length = text
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !strings.EqualFold(text, "chunked") || coding != "" {
				return merry.Wrap(ErrMalformed)
			}
			coding = text
		}
	}
	return nil
}

// headReader has the rest of a head for the codec.
type headReader struct{ rest []byte }

// Len implements [network.Reader].
func (r *headReader) Len() int { return len(r.rest) }

// Peek implements [network.Reader].
func (r *headReader) Peek(n int) ([]byte, error) {
	if n > len(r.rest) {
		return r.rest, io.ErrUnexpectedEOF
	}
	return r.rest[:n], nil
}

// Skip implements [network.Reader].
func (r *headReader) Skip(n int) error {
	if n > len(r.rest) {
		return io.ErrUnexpectedEOF
	}
	r.rest = r.rest[n:]
	return nil
}

// ReadByte implements [network.Reader].
func (r *headReader) ReadByte() (byte, error) {
	b, err := r.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary implements [network.Reader].
func (r *headReader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	return b, r.Skip(n)
}

// Release implements [network.Reader].
func (r *headReader) Release() error { return nil }
