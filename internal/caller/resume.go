package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// generationRef refers to a generation of the caller and the backend server that runs it.
type generationRef struct {
	id     generation.ID
	text   string
	server *pollenspindle.Server
}

// locate finds the generation whose ID is in the path. A generation of another workspace gives
// the same "not found" as an unknown one, so that IDs can't be probed.
func (s *Server) locate(c *app.RequestContext) (generationRef, error) {
	ident, err := s.authenticate(c)
	if err != nil {
		return generationRef{}, err
	}
	text := c.Param("id")
	id, err := s.codec.Parse(text)
	if err != nil || id.Workspace != ident.workspace.Name {
		return generationRef{}, answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: not found")
	}
	server, ok := ident.snapshot.Servers[id.Server]
	if !ok {
		return generationRef{}, &answer.Failure{
			Status: http.StatusGone, Code: answer.CodeGenerationLost, Outcome: answer.OutcomeRan,
			Message: "the generation's backend server is no longer configured",
		}
	}
	return generationRef{id, text, server}, nil
}

// resume continues a stream that another connection started, perhaps through another instance.
// The generation already runs, so no permit is needed.
func (s *Server) resume(ctx context.Context, c *app.RequestContext) error {
	ref, err := s.locate(c)
	if err != nil {
		return err
	}
	after, err := lastEventID(c)
	if err != nil {
		return err
	}
	entry := journal.FromContext(ctx)
	entry.SetSubject(journal.Subject{Workspace: ref.id.Workspace, Model: ref.id.Model})
	entry.AddName(ref.text)
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("generation.id", ref.text))
	entry.Add(journal.Step{At: now(), Kind: journal.Resumed, Server: ref.server.Name, Count: after})
	s.notifyEntry(c, ref)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callerconn.Watch(ctx)
	g, err := s.relay.Attach(ctx, relay.Attachment{
		Server: ref.server.Name, Address: ref.server.Address, Incarnation: ref.id.Incarnation,
		RequestID: ref.id.Request, Class: ref.id.Class, AfterPosition: after,
	})
	if err != nil {
		return err
	}
	return s.writeStream(newStreamWriter(c, ref.text), g, nil)
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
	ref, err := s.locate(c)
	if err != nil {
		return err
	}
	if err := s.relay.Cancel(ctx, ref.server.Address, ref.id.Request); err != nil {
		return err
	}
	c.SetStatusCode(http.StatusNoContent)
	return nil
}

// CancelGeneration cancels a generation of any workspace, for operators. The error is an
// [*answer.Failure].
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

// serveResumeNotice handles the notice of another instance that a caller resumed its generation
// there.
func (s *Server) serveResumeNotice(_ context.Context, c *app.RequestContext) error {
	ref, err := s.locate(c)
	if err != nil {
		return err
	}
	s.scope.Counter("takeovers").Inc(1)
	if !s.relay.TakeOver(ref.id.Request) {
		return answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "generation: not held here")
	}
	c.SetStatusCode(http.StatusNoContent)
	return nil
}
