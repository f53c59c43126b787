package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/openai"
	"pollenspindle.example/pollenspindle/internal/relay"
)

const (
	headerGeneration = "X-Generation-Id"
	headerRequest    = "X-Request-Id"
	eventError       = "error"
	doneMarker       = "[DONE]"
	// maxCompleteBytes limits the events that are collected for a response without streaming.
	maxCompleteBytes = 8 << 20
)

// idFunc returns the ID of a generation once the backend server that runs it is known.
type idFunc func(relay.Started) (string, error)

// idFunc returns a function that completes id with the backend server that runs the generation.
func (s *Server) idFunc(ctx context.Context, id generation.ID) idFunc {
	return func(b relay.Started) (string, error) {
		id.Server, id.Incarnation, id.Request = b.Permit.Server, b.Incarnation, b.RequestID
		text, err := s.codec.Format(id)
		if err != nil {
			return "", err
		}
		journal.FromContext(ctx).AddName(text)
		trace.SpanFromContext(ctx).SetAttributes(attribute.String("generation.id", text))
		return text, nil
	}
}

// streamWriter writes one generation as server-sent events. It writes nothing before the first
// event, so that a failure until then still sets the HTTP status.
type streamWriter struct {
	c    *app.RequestContext
	sse  *sse.Writer
	id   string
	ids  *openai.IDWriter
	last int64
}

// newStreamWriter returns a writer. The ID of a resumed stream is known, since that gets no
// [relay.Started]; for a new stream it is empty until then.
func newStreamWriter(c *app.RequestContext, id string) *streamWriter {
	return &streamWriter{c: c, id: id, ids: openai.NewIDWriter(id)}
}

func (s *Server) writeStream(w *streamWriter, g *relay.Generation, formatID idFunc) error {
	c := w.c
	for m := range g.Messages() {
		switch m := m.(type) {
		case relay.Started:
			id, err := formatID(m)
			if err != nil {
				return answer.FromError(err)
			}
			w.id, w.ids = id, openai.NewIDWriter(id)
		case relay.Token:
			if err := w.token(m.Event); err != nil {
				return s.closeOnError(c, err)
			}
		case relay.Finished:
			w.writeHeader()
			return s.closeOnError(c, w.sse.WriteEvent("", "", []byte(doneMarker)))
		case relay.Failed:
			return s.closeOnError(c, w.fail(m.Failure))
		}
	}
	return s.closeOnError(c, w.fail(&answer.Failure{
		Status: http.StatusServiceUnavailable, Code: answer.CodeSlowCaller, Outcome: answer.OutcomeRan,
		Message: "events were read too slowly; resume after the last one",
	}))
}

// closeOnError closes the connection if a write to it failed, since the caller has disconnected.
// It returns errors from before the first write unchanged.
func (s *Server) closeOnError(c *app.RequestContext, err error) error {
	if err == nil || c.Response.GetHijackWriter() == nil {
		return err
	}
	s.log.Debug().Err(err).Msg("caller has gone")
	c.SetConnectionClose()
	return nil
}

func (w *streamWriter) writeHeader() {
	if w.sse != nil {
		return
	}
	w.c.Response.Header.Set(headerGeneration, w.id)
	w.c.SetStatusCode(http.StatusOK)
	w.sse = sse.NewWriter(w.c)
}

func (w *streamWriter) token(e *relay.Event) error {
	data, err := w.ids.Rewrite(e.Data)
	if err != nil {
		return w.fail(&answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeGenerationLost, Outcome: answer.OutcomeRan,
			Message: "the backend server's response could not be parsed",
		})
	}
	w.writeHeader()
	w.last = e.Position
	return w.sse.WriteEvent(strconv.FormatInt(e.Position, 10), "", data)
}

// fail ends the stream with an error event, or returns the failure if nothing was written yet.
func (w *streamWriter) fail(f *answer.Failure) error {
	if w.sse == nil {
		return f
	}
	last := *f
	last.Position = w.last
	return w.sse.WriteEvent("", eventError, last.JSON())
}

// writeComplete collects the events of a generation and writes them as one response.
func (s *Server) writeComplete(c *app.RequestContext, b *startedGeneration) error {
	collector, size, id := openai.NewCollector(b.endpoint), 0, ""
	for m := range b.generation.Messages() {
		switch m := m.(type) {
		case relay.Started:
			// The generation was restarted: earlier events are not part of it.
			collector, size = openai.NewCollector(b.endpoint), 0
			var err error
			if id, err = b.formatID(m); err != nil {
				return answer.FromError(err)
			}
		case relay.Token:
			size += len(m.Event.Data)
			if size > maxCompleteBytes {
				return badGateway(answer.CodeAnswerTooLarge, "the response is too large; request a stream")
			}
			if err := collector.Add(m.Event.Data); err != nil {
				return badGateway(answer.CodeGenerationLost, "the backend server's response could not be parsed")
			}
		case relay.Finished:
			body, err := collector.Response(id, b.promptTokens)
			if err != nil {
				return answer.FromError(err)
			}
			c.Response.Header.Set(headerGeneration, id)
			c.Data(http.StatusOK, "application/json", body)
			return nil
		case relay.Failed:
			return m.Failure
		}
	}
	return answer.FromError(nil)
}

func badGateway(code answer.Code, message string) error {
	return &answer.Failure{Status: http.StatusBadGateway, Code: code, Message: message, Outcome: answer.OutcomeRan}
}
