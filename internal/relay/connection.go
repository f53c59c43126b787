package relay

import (
	"context"

	"github.com/panjf2000/ants/v2"
)

// signalCapacity is how many signals a reader may be ahead of the session. When the channel is
// full, the reader stops reading from the engine's connection; engines keep what they couldn't
// send.
const signalCapacity = 16

// signal is what a reader sends to the session: connected, eventReceived or disconnected.
type signal interface{ signal() }

type connected struct{ incarnation string }

// eventReceived holds a pointer, as [Token] does: an event by value would be allocated again for
// each channel that it passes through.
type eventReceived struct{ event *Event }

// disconnected is a connection's last signal; err is io.EOF if the generation was complete.
type disconnected struct{ err error }

func (connected) signal()     {}
func (eventReceived) signal() {}
func (disconnected) signal()  {}

// dial opens one connection to the engine.
type dial func(ctx context.Context) (Stream, error)

// connection is one connection to the engine with the goroutine that reads it. Each has its own
// channel, so a late event on a replaced connection can't be mistaken for one of the current
// connection.
type connection struct {
	signals chan signal
	close   context.CancelFunc
	// answered is set once the engine has answered; only the session uses it.
	answered bool
}

func connect(ctx context.Context, readers *ants.Pool, d dial) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{signals: make(chan signal, signalCapacity), close: cancel}
	if err := readers.Submit(func() { c.read(ctx, d) }); err != nil {
		cancel()
		return nil, ErrNotSent
	}
	return c, nil
}

func (c *connection) read(ctx context.Context, d dial) {
	stream, err := d(ctx)
	if err != nil {
		c.send(ctx, disconnected{err})
		return
	}
	defer stream.Close()
	if !c.send(ctx, connected{stream.Incarnation()}) {
		return
	}
	for {
		event, err := stream.Next()
		if err != nil {
			c.send(ctx, disconnected{err})
			return
		}
		if !c.send(ctx, eventReceived{&event}) {
			return
		}
	}
}

func (c *connection) send(ctx context.Context, s signal) bool {
	select {
	case c.signals <- s:
		return true
	case <-ctx.Done():
		return false
	}
}
