package callerconn

import "time"

// endedBy says who ended a connection.
type endedBy string

const (
	// endedByCaller: the caller has closed its end, or the connection was reset.
	endedByCaller endedBy = "caller"
	// endedByInstance: this instance closed the connection after a response or an error.
	endedByInstance endedBy = "instance"
	// endedAsIdle: this instance leaves and closed a connection without a request.
	endedAsIdle endedBy = "idle"
	// endedAsEvicted: this instance needed room for other connections.
	endedAsEvicted endedBy = "evicted"
	// endedByAbort: this instance cut what was in progress.
	endedByAbort endedBy = "abort"
)

// contents is what a connection held as it ended.
type contents string

const (
	heldNothing contents = "nothing"
	// heldPart is the beginning of a request.
	heldPart contents = "partOfRequest"
	// heldRequest is a request without a response.
	heldRequest contents = "request"
	// heldResponse is a response that was written.
	heldResponse contents = "response"
)

// holds returns what the connection holds; mu is held.
func (c *Conn) holds() contents {
	switch {
	case c.state == handling:
		return heldRequest
	case c.state == answered:
		return heldResponse
	case c.began || len(c.ahead) > 0:
		return heldPart
	}
	return heldNothing
}

// end returns who ended the connection; mu is held.
func (c *Conn) end() endedBy {
	switch {
	case c.evicted:
		return endedAsEvicted
	case c.aborted:
		return endedByAbort
	case c.idleClosed:
		return endedAsIdle
	case c.gone:
		return endedByCaller
	}
	return endedByInstance
}

// recordEnd logs and counts the end of a connection, before its socket is closed.
func (l *Listener) recordEnd(c *Conn) {
	s := c.socket.State()
	c.mu.Lock()
	by, held, request, answeredAt := c.end(), c.held, c.request, c.answeredAt
	c.mu.Unlock()
	result := "unknown"
	switch {
	case s.Failed:
		result = "failed"
	case s.Confirms && s.Unconfirmed == 0:
		result = "confirmed"
	case s.Confirms:
		result = "unconfirmed"
	}
	l.opts.Scope.Tagged(map[string]string{"reason": string(by), "kind": string(held), "result": result}).Counter("connections_ended").Inc(1)
	if !l.draining.Load() {
		return
	}
	line := l.opts.Log.Info().Stringer("caller", c.RemoteAddr()).Str("request", request).Str("endedBy", string(by)).Str("held", string(held)).
		Bool("callerClosed", s.Closed).Bool("failed", s.Failed).Bool("unread", s.Unread)
	if s.Confirms {
		line = line.Int("unconfirmedBytes", s.Unconfirmed)
	}
	if !answeredAt.IsZero() {
		line = line.Dur("sinceResponse", l.opts.Now().Sub(answeredAt).Round(time.Microsecond))
	}
	line.Msg("connection ended")
}

// recordUnwritten logs and counts a response that isn't written, or not to its end.
func (l *Listener) recordUnwritten(c *Conn, err error) {
	c.mu.Lock()
	held, request, aborted, gone := c.holds(), c.request, c.aborted, c.gone
	if c.ending {
		held = c.held
	}
	c.mu.Unlock()
	if held != heldRequest && held != heldResponse {
		request = ""
	}
	l.opts.Scope.Counter("responses_not_written").Inc(1)
	l.opts.Log.Warn().Stringer("caller", c.RemoteAddr()).Str("request", request).Str("held", string(held)).Bool("cut", aborted).Bool("callerGone", gone).
		Err(err).Msg("response not written")
}
