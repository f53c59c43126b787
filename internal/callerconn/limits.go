package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/http1"
)

// fullRetryAfter is the Retry-After of an instance without room for a head.
const fullRetryAfter = time.Second

// reservePart reserves the memory of the first n bytes of a head.
func (c *Conn) reservePart(n int) error { return c.lease.Reserve(connlimit.PartialHeadCost(n)) }

// admit reserves the memory of a complete head.
func (c *Conn) admit(h *http1.Head) error {
	return c.lease.Reserve(connlimit.HeadCost(h.Bytes, h.Parts))
}

// completeRequest records that no more of the request is awaited.
func (c *Conn) completeRequest() {
	c.mu.Lock()
	c.complete = true
	c.mu.Unlock()
	c.lease.Work()
}

// evict closes the connection if it waits for its caller, and reports whether it has.
func (c *Conn) evict() bool {
	c.mu.Lock()
	lingers := c.ended && !c.aborted
	waits := !c.ending && c.state != answered && !c.complete
	if !lingers && !waits {
		c.mu.Unlock()
		return false
	}
	c.beginEnd()
	c.evicted = true
	c.mu.Unlock()
	c.abort()
	return true
}

// isRefusal reports whether an error means that a request isn't accepted.
func isRefusal(err error) bool {
	for _, refusal := range []error{http1.ErrMalformed, http1.ErrAmbiguous, http1.ErrTooLarge, connlimit.ErrFull} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// refusal returns the response to a request that isn't accepted.
func refusal(err error) (kind string, f *answer.Failure) {
	switch {
	case errors.Is(err, connlimit.ErrFull):
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeOverloaded, "this instance holds too much for its callers")
		f.RetryAfter = fullRetryAfter
		return "full", f
	case errors.Is(err, http1.ErrTooLarge):
		return "tooLarge", answer.NotRun(http.StatusRequestHeaderFieldsTooLarge, answer.CodeInvalidRequest, "header: too large")
	case errors.Is(err, http1.ErrAmbiguous):
		return "ambiguous", answer.Invalid("Content-Length", "the length of the body is ambiguous")
	}
	return "malformed", answer.Invalid("header", "isn't well-formed")
}

// refuse responds to a request that isn't accepted, unless it is handled already, and ends the connection.
func (c *Conn) refuse(err error) error {
	kind, f := refusal(err)
	c.listener.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter("heads_refused").Inc(1)
	c.listener.refusals.Warn().Stringer("caller", c.RemoteAddr()).Str("kind", kind).Err(err).Msg("request refused before it was read")
	c.mu.Lock()
	handled := c.state == handling
	c.mu.Unlock()
	if handled {
		return err
	}
	_, err = c.Write(response(f))
	c.mu.Lock()
	c.refused = true
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return io.EOF
}

// response encodes a failure as the last response of a connection.
func response(f *answer.Failure) []byte {
	var b bytes.Buffer
	body := f.JSON()
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", f.Status, http.StatusText(f.Status), len(body))
	if f.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", f.RetryAfterSeconds())
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
