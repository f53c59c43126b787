package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/openai"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// defaultQueueWait and defaultPatientWait limit the queueing of a request whose service sets
	// no limit of its own.
	defaultQueueWait   = 10 * time.Second
	defaultPatientWait = 5 * time.Minute
	// Engines run lower priorities first. The gap leaves values for classes in between.
	priorityInteractive = 0
	priorityPatient     = 10
)

func now() time.Time { return time.Now() }

func (s *Server) chat(ctx context.Context, c *app.RequestContext) error {
	return s.generate(ctx, c, openai.Chat)
}

func (s *Server) completions(ctx context.Context, c *app.RequestContext) error {
	return s.generate(ctx, c, openai.Completion)
}

func (s *Server) generate(ctx context.Context, c *app.RequestContext, e openai.Endpoint) error {
	// The generation ends with the handler, however that returns.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := s.startGeneration(ctx, c, e)
	if err != nil {
		return err
	}
	if b.stream {
		return s.writeStream(newStreamWriter(c, ""), b.generation, b.formatID)
	}
	return s.writeComplete(c, b)
}

// startedGeneration is a generation that the relay has started, with what the response needs. It
// holds neither the request nor its body, which may be large.
type startedGeneration struct {
	generation   *relay.Generation
	formatID     idFunc
	stream       bool
	endpoint     openai.Endpoint
	promptTokens int
}

// startGeneration validates the request and starts its generation. It is separate from the writing
// of the response, which may take minutes: its stack frame would be kept for that time and double
// the stack of each open stream.
func (s *Server) startGeneration(ctx context.Context, c *app.RequestContext, e openai.Endpoint) (*startedGeneration, error) {
	s.awaitResume(ctx)
	ident, err := s.authenticate(c)
	if err != nil {
		return nil, err
	}
	entry := journal.FromContext(ctx)
	entry.SetSubject(journal.Subject{Workspace: ident.workspace.Name})
	req, err := readGeneration(c, e, ident)
	if err != nil {
		return nil, err
	}
	callerconn.Watch(ctx)
	entry.SetSubject(journal.Subject{Workspace: ident.workspace.Name, Model: knownModel(ident, req.Model)})
	job, err := s.job(ident, req)
	if err != nil {
		return nil, err
	}
	g, err := s.relay.Generate(ctx, job)
	if err != nil {
		return nil, err
	}
	return &startedGeneration{
		generation: g, formatID: s.idFunc(ctx, generation.ID{
			Workspace: job.Permit.Workspace, Service: job.Permit.Service,
			Model: job.Permit.Model, Class: job.Permit.Class, Entry: s.opts.Address,
		}),
		stream: req.Stream, endpoint: e, promptTokens: req.PromptTokens,
	}, nil
}

// knownModel returns name if the configuration declares it, and an empty string otherwise: a
// caller could put anything into the field, even a prompt, which must not be recorded.
func knownModel(ident identity, name string) string {
	if _, ok := ident.snapshot.Models[name]; !ok {
		return ""
	}
	return name
}

func readGeneration(c *app.RequestContext, e openai.Endpoint, ident identity) (openai.Request, error) {
	if err := checkJSON(c); err != nil {
		return openai.Request{}, err
	}
	limits := ident.snapshot.Config.Limits
	body, err := readBody(c, limits.MaxBodyBytes)
	if err != nil {
		return openai.Request{}, err
	}
	req, err := openai.Parse(e, body, limits)
	return req, fieldFailure(err)
}

// fieldFailure converts a [openai.FieldError] into a failure.
func fieldFailure(err error) error {
	var field *openai.FieldError
	if errors.As(err, &field) {
		return answer.Invalid(field.Field, field.Problem)
	}
	return err
}

func (s *Server) job(ident identity, req openai.Request) (relay.Job, error) {
	model, ok := ident.snapshot.Models[req.Model]
	if !ok {
		return relay.Job{}, answer.NotRun(http.StatusNotFound, answer.CodeUnknownModel, "model: unknown")
	}
	now := now()
	if !s.isConfirmed(now) {
		return relay.Job{}, notConfirmedRefusal()
	}
	class := classOf(ident.workspace)
	body, err := req.EngineBody(openai.EngineFields{Priority: priorityOf(class), User: ident.workspace.Name})
	if err != nil {
		return relay.Job{}, fieldFailure(err)
	}
	hash := fingerprint(ident.workspace.Name, req.Body)
	return relay.Job{
		Path: string(req.Endpoint), Body: body, Streamed: req.Stream,
		Permit: permit.Request{
			Service: model.Service, Model: model.Name, Workspace: ident.workspace.Name, Class: class,
			PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, PrefixHash: s.prefixes.Shared(req.PrefixHashes, hash),
			Fingerprint: hash,
			Deadline:    now.Add(queueWait(ident.snapshot.Services[model.Service], class)),
		},
	}, nil
}

// notConfirmedRefusal returns the refusal of an instance that reaches neither the platform nor its
// peers: it might send the request to a drained availability zone.
func notConfirmedRefusal() error {
	return &permit.Refusal{Reason: permit.ReasonNotConfirmed, RetryAfter: time.Second}
}

func classOf(w *pollenspindle.Workspace) pollenspindle.Class {
	if w.Class == pollenspindle.ClassPatient {
		return pollenspindle.ClassPatient
	}
	return pollenspindle.ClassInteractive
}

func priorityOf(class pollenspindle.Class) int {
	if class == pollenspindle.ClassPatient {
		return priorityPatient
	}
	return priorityInteractive
}

func queueWait(service *pollenspindle.Service, class pollenspindle.Class) time.Duration {
	wait, seconds := defaultQueueWait, 0
	if class == pollenspindle.ClassPatient {
		wait = defaultPatientWait
	}
	if service != nil {
		seconds = service.QueueSeconds
		if class == pollenspindle.ClassPatient {
			seconds = service.PatientQueueSeconds
		}
	}
	if seconds > 0 {
		wait = time.Duration(seconds) * time.Second
	}
	return wait
}

// fingerprint hashes a request with its workspace, so that repeats of it are recognized.
func fingerprint(workspace string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}
