package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// located is a generation of the caller and where it runs.
type located struct {
	id     generation.ID
	text   string
	server *pollenspindle.Server
}

// locate reads the id in the path. A generation of another workspace is not
// found, like one that never was, so that ids can't be tried out.
func (s *Server) locate(c *app.RequestContext) (located, error) {
	who, err := s.authenticate(c)
	if err != nil {
		return located{}, err
	}
	text := c.Param("id")
	id, err := s.codec.Parse(text)
	if err != nil || id.Workspace != who.workspace.Name {
		return located{}, answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: not found")
	}
	server, ok := who.snapshot.Servers[id.Server]
	if !ok {
		return located{}, &answer.Failure{
			Status: http.StatusGone, Code: answer.CodeGenerationLost, Outcome: answer.OutcomeRan,
			Message: "the generation's backend server is no longer configured",
		}
	}
	return located{id, text, server}, nil
}

// resume goes on with a stream that another connection began, perhaps through
// another instance. It is not new work: it takes no permit.
func (s *Server) resume(ctx context.Context, c *app.RequestContext) error {
	at, err := s.locate(c)
	if err != nil {
		return err
	}
	after, err := lastEventID(c)
	if err != nil {
		return err
	}
	entry := journal.From(ctx)
	entry.Describe(journal.Subject{Workspace: at.id.Workspace, Model: at.id.Model})
	entry.Name(at.text)
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("generation.id", at.text))
	entry.Add(journal.Step{At: now(), What: journal.Resumed, Server: at.server.Name, Count: after})
	s.tellHolder(c, at)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, err := s.relay.Attach(ctx, relay.Attachment{
		Server: at.server.Name, Address: at.server.Address, Incarnation: at.id.Incarnation,
		RequestID: at.id.Request, Class: at.id.Class, AfterPosition: after,
	})
	if err != nil {
		return err
	}
	return s.writeStream(newStreamWriter(c, at.text), g, nil)
}

func lastEventID(c *app.RequestContext) (int64, error) {
	text := string(c.GetHeader("Last-Event-ID"))
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil || after < 0 {
		return 0, answer.Invalid("Last-Event-ID", "must be the position of the last event, a whole number")
	}
	return after, nil
}

func (s *Server) cancel(ctx context.Context, c *app.RequestContext) error {
	at, err := s.locate(c)
	if err != nil {
		return err
	}
	if err := s.relay.Cancel(ctx, at.server.Address, at.id.Request); err != nil {
		return err
	}
	c.SetStatusCode(http.StatusNoContent)
	return nil
}

// CancelGeneration ends a generation of any workspace, for operators. The
// error is an *answer.Failure.
func (s *Server) CancelGeneration(ctx context.Context, text string) error {
	id, err := s.codec.Parse(text)
	if err != nil {
		return answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: not found")
	}
	server, ok := s.opts.Config.Snapshot().Servers[id.Server]
	if !ok {
		return answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: its backend server is no longer configured")
	}
	return s.relay.Cancel(ctx, server.Address, id.Request)
}

// takeOver is asked by another instance, on behalf of the caller that came
// there.
func (s *Server) takeOver(_ context.Context, c *app.RequestContext) error {
	at, err := s.locate(c)
	if err != nil {
		return err
	}
	s.scope.Counter("takeovers").Inc(1)
	if !s.relay.TakeOver(at.id.Request) {
		return answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: not held here")
	}
	c.SetStatusCode(http.StatusNoContent)
	return nil
}
