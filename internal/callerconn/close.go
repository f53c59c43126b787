package callerconn

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/tcpclose"
)

// isEnding reports whether nothing more is read.
func (c *Conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// beginEnd ends the reading of requests; mu is held.
func (c *Conn) beginEnd() {
	if !c.ending {
		c.ending, c.held = true, c.holds()
	}
}

// linger waits until the caller has received what was sent.
func (c *Conn) linger() {
	c.mu.Lock()
	discard := !c.idleClosed && (c.state != idle || c.began)
	c.mu.Unlock()
	c.socket.Linger(tcpclose.Options{Now: c.listener.opts.Now, DeliveryTimeout: c.listener.opts.WriteTimeout, Discard: discard})
}

// Close implements [net.Conn]. It returns once the caller has received what was sent, or doesn't read.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.beginEnd()
	ended, aborted := c.ended, c.aborted
	c.ended = true
	c.mu.Unlock()
	if ended {
		return nil
	}
	c.lease.Shrink()
	if !aborted && c.listener.beginLinger() {
		c.lease.Wait()
		c.linger()
		defer c.listener.endLinger()
	}
	c.recordEnd.Do(func() { c.listener.recordEnd(c) })
	err := c.Conn.Close()
	c.listener.remove(c)
	c.lease.Close()
	return err
}

// abort cuts the connection. The library ends it once the handler of its request has returned.
func (c *Conn) abort() {
	c.mu.Lock()
	c.beginEnd()
	c.aborted = true
	c.mu.Unlock()
	c.recordEnd.Do(func() { c.listener.recordEnd(c) })
	_ = c.Conn.Close()
}

// closeIdle ends the connection unless it holds a request.
func (c *Conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdsRequest(now) || c.ending {
		return
	}
	c.beginEnd()
	c.idleClosed = true
	// The library waits in a read, and closes the connection once that has ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
