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
	// maxWholeBytes bounds an answer that is collected.
	maxWholeBytes = 8 << 20
)

// namer gives the id of a generation when it is known where it runs.
type namer func(relay.Started) (string, error)

// namer fills in where the generation of an id runs.
func (s *Server) namer(ctx context.Context, of generation.ID) namer {
	return func(b relay.Started) (string, error) {
		of.Server, of.Incarnation, of.Request = b.Permit.Server, b.Incarnation, b.RequestID
		id, err := s.codec.Format(of)
		if err != nil {
			return "", err
		}
		journal.From(ctx).Name(id)
		trace.SpanFromContext(ctx).SetAttributes(attribute.String("generation.id", id))
		return id, nil
	}
}

// streamWriter writes one generation as server-sent events. Until the first
// event nothing is written, so that a failure still has its own status.
type streamWriter struct {
	c    *app.RequestContext
	sse  *sse.Writer
	id   string
	ids  *openai.IDWriter
	last int64
}

// newStreamWriter returns a writer. A resumed stream has its id already and
// gets no [relay.Started]; for another one the id is empty until then.
func newStreamWriter(c *app.RequestContext, id string) *streamWriter {
	return &streamWriter{c: c, id: id, ids: openai.NewIDWriter(id)}
}

func (s *Server) writeStream(w *streamWriter, g *relay.Generation, name namer) error {
	c := w.c
	for m := range g.Messages() {
		switch m := m.(type) {
		case relay.Started:
			id, err := name(m)
			if err != nil {
				return answer.Of(err)
			}
			w.id, w.ids = id, openai.NewIDWriter(id)
		case relay.Token:
			if err := w.token(m.Event); err != nil {
				return s.broken(c, err)
			}
		case relay.Finished:
			w.begin()
			return s.broken(c, w.sse.WriteEvent("", "", []byte(doneMarker)))
		case relay.Failed:
			return s.broken(c, w.fail(m.Failure))
		}
	}
	return s.broken(c, w.fail(&answer.Failure{
		Status: http.StatusServiceUnavailable, Code: answer.CodeSlowCaller, Outcome: answer.OutcomeRan,
		Message: "events were read too slowly; resume after the last one",
	}))
}

// broken ends a connection that can't be written to: the caller has gone.
func (s *Server) broken(c *app.RequestContext, err error) error {
	if err == nil || c.Response.GetHijackWriter() == nil {
		return err
	}
	s.log.Debug().Err(err).Msg("caller has gone")
	c.SetConnectionClose()
	return nil
}

func (w *streamWriter) begin() {
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
			Message: "the backend server's answer isn't understood",
		})
	}
	w.begin()
	w.last = e.Position
	return w.sse.WriteEvent(strconv.FormatInt(e.Position, 10), "", data)
}

// fail ends the stream with an event, or returns the failure when nothing was
// written yet.
func (w *streamWriter) fail(f *answer.Failure) error {
	if w.sse == nil {
		return f
	}
	last := *f
	last.Position = w.last
	return w.sse.WriteEvent("", eventError, last.JSON())
}

func (s *Server) writeWhole(c *app.RequestContext, b *begun) error {
	collector, size, id := openai.NewCollector(b.endpoint), 0, ""
	for m := range b.generation.Messages() {
		switch m := m.(type) {
		case relay.Started:
			// A restart: what came before isn't part of this generation.
			collector, size = openai.NewCollector(b.endpoint), 0
			var err error
			if id, err = b.name(m); err != nil {
				return answer.Of(err)
			}
		case relay.Token:
			size += len(m.Event.Data)
			if size > maxWholeBytes {
				return wholeFailure(answer.CodeAnswerTooLarge, "the answer is too large; ask for a stream")
			}
			if err := collector.Add(m.Event.Data); err != nil {
				return wholeFailure(answer.CodeGenerationLost, "the backend server's answer isn't understood")
			}
		case relay.Finished:
			body, err := collector.Whole(id, b.promptTokens)
			if err != nil {
				return answer.Of(err)
			}
			c.Response.Header.Set(headerGeneration, id)
			c.Data(http.StatusOK, "application/json", body)
			return nil
		case relay.Failed:
			return m.Failure
		}
	}
	return answer.Of(nil)
}

func wholeFailure(code answer.Code, message string) error {
	return &answer.Failure{Status: http.StatusBadGateway, Code: code, Message: message, Outcome: answer.OutcomeRan}
}
