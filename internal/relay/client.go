package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/engine"
)

// NewEngine returns an [Engine] that calls engines through c.
func NewEngine(c *engine.Client) Engine { return clientEngine{c} }

type clientEngine struct{ client *engine.Client }

func (e clientEngine) Start(ctx context.Context, address string, req EngineRequest) (Stream, error) {
	s, err := e.client.Start(ctx, address, engine.Request{
		ID: req.ID, Path: engine.Path(req.Path), Body: req.Body,
	})
	if err != nil {
		return nil, engineError(err)
	}
	return clientStream{s}, nil
}

func (e clientEngine) Resume(ctx context.Context, address, requestID string, after int64) (Stream, error) {
	s, err := e.client.Resume(ctx, address, requestID, after, true)
	if err != nil {
		return nil, engineError(err)
	}
	return clientStream{s}, nil
}

func (e clientEngine) Cancel(ctx context.Context, address, requestID string) error {
	if err := e.client.Cancel(ctx, address, requestID); err != nil {
		return engineError(err)
	}
	return nil
}

type clientStream struct{ *engine.Stream }

func (s clientStream) Next() (Event, error) {
	event, err := s.Stream.Next()
	if errors.Is(err, io.EOF) {
		return Event{}, io.EOF
	}
	if err != nil {
		return Event{}, engineError(err)
	}
	return Event{Position: event.Position, Data: event.Data, FinishReason: event.FinishReason}, nil
}

// engineError converts an error of the client into one of this package. Any other error becomes
// ErrConnectionLost, which leaves open whether the request ran.
func engineError(err error) error {
	var refusal *engine.Refusal
	switch {
	case errors.As(err, &refusal):
		return &RefusedError{Status: refusal.Status, Overload: refusal.Overload, RetryAfter: refusal.RetryAfter}
	case errors.Is(err, engine.ErrBadRequest):
		return &RefusedError{Status: http.StatusBadRequest}
	case errors.Is(err, engine.ErrUnknownModel):
		return &RefusedError{Status: http.StatusNotFound}
	case errors.Is(err, engine.ErrNotSent):
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	case errors.Is(err, engine.ErrUnknownStream):
		return merry.Wrap(ErrUnknownStream, merry.WithCause(err))
	}
	return merry.Wrap(ErrConnectionLost, merry.WithCause(err))
}
