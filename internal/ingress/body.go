package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
)

// firstBodyBytes is the memory that a body of unknown length gets at first. It is doubled up to
// smallBodyBytes; a larger body gets that of the largest one, so that it isn't refused after most of it
// has been read.
const (
	firstBodyBytes = 4 << 10
	smallBodyBytes = 64 << 10
)

var (
	// errNoMemory means that the memory budget has no room for a body, errShortBody that it ended early.
	errNoMemory  = errors.New("no memory for the body")
	errShortBody = errors.New("body is incomplete")
)

// body is the body of a request. Its memory is taken from the budget before it is read.
type body struct {
	bytes []byte
	// reserved is the number of bytes that it takes from the budget.
	reserved int
}

// readBody reads the complete body of a request, up to the limit of the configuration, because it may
// have to be sent again. A body that isn't kept is read to its end at once: the connection can't be used
// for another request before, and what isn't read fills the memory of the network library.
func (s *Server) readBody(c *app.RequestContext) (body, error) {
	stream := c.RequestBodyStream()
	if !c.Request.IsBodyStream() || stream == nil {
		return s.holdBody(c.Request.Body())
	}
	limit := maxBodyBytes
	if n := s.limits().MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	b, err := s.readStream(stream, c.Request.Header.ContentLength(), limit)
	if err == nil {
		return b, nil
	}
	s.memory.Release(b.reserved)
	if !errors.Is(err, errShortBody) {
		if _, skipErr := io.Copy(io.Discard, stream); skipErr != nil {
			err = errShortBody
		}
	}
	switch {
	case errors.Is(err, errShortBody):
		c.SetConnectionClose()
		return body{}, answer.Invalid("body", "is shorter than its Content-Length")
	case errors.Is(err, errNoMemory):
		return body{}, s.memoryFailure()
	}
	return body{}, err
}

// holdBody returns a body that the codec has read already.
func (s *Server) holdBody(read []byte) (body, error) {
	b := body{reserved: len(read)}
	if !s.memory.ReserveForNewWork(b.reserved) {
		return body{}, s.memoryFailure()
	}
	b.bytes = append([]byte(nil), read...)
	return b, nil
}

// readStream reads a body with a length, or one of unknown length if it is negative. What the result
// has reserved has to be released after an error, too.
func (s *Server) readStream(stream io.Reader, length, limit int) (body, error) {
	var b body
	size := length
	switch {
	case length > limit:
		return b, bodyTooLarge(limit)
	case length < 0:
		size = min(firstBodyBytes, limit+1)
	}
	for {
		if !s.grow(&b, size) {
			return b, errNoMemory
		}
		end, err := b.fill(stream)
		switch {
		case err != nil:
			return b, err
		case length >= 0 && len(b.bytes) == length, length < 0 && end && len(b.bytes) <= limit:
			s.settle(&b)
			return b, nil
		case length >= 0:
			return b, errShortBody
		case len(b.bytes) > limit:
			return b, bodyTooLarge(limit)
		}
		if size *= 2; size > smallBodyBytes {
			size = limit + 1
		}
	}
}

// fill reads until the buffer is full or the body ends.
func (b *body) fill(stream io.Reader) (end bool, err error) {
	n, err := io.ReadFull(stream, b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	switch {
	case err == nil:
		return false, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true, nil
	}
	return false, errShortBody
}

// grow moves a body to a larger buffer, or reports that the budget has no room for it. The old buffer is
// counted until the body is complete.
func (s *Server) grow(b *body, size int) bool {
	if !s.memory.ReserveForNewWork(size) {
		return false
	}
	b.reserved += size
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// settle releases what a complete body doesn't need.
func (s *Server) settle(b *body) {
	if len(b.bytes) < cap(b.bytes)/2 {
		b.bytes = bytes.Clone(b.bytes)
	}
	s.memory.Release(b.reserved - cap(b.bytes))
	b.reserved = cap(b.bytes)
}

func bodyTooLarge(limit int) *answer.Failure {
	return answer.NotRun(http.StatusRequestEntityTooLarge, answer.CodeBodyTooLarge, "body: larger than "+strconv.Itoa(limit)+" bytes")
}
