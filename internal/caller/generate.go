package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/openai"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// defaultQueueWait and defaultPatientWait hold when a service sets none.
	defaultQueueWait   = 10 * time.Second
	defaultPatientWait = 5 * time.Minute
	// Engines run lower priorities first; the gap leaves room between.
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
	b, err := s.begin(ctx, c, e)
	if err != nil {
		return err
	}
	if b.stream {
		return s.writeStream(newStreamWriter(c, ""), b.generation, b.name)
	}
	return s.writeWhole(c, b)
}

// begun is a generation that the relay has taken, and what is needed to write
// it. It holds neither the request nor its body, which may be long.
type begun struct {
	generation   *relay.Generation
	name         namer
	stream       bool
	endpoint     openai.Endpoint
	promptTokens int
}

// begin is apart from the writing, which may take minutes: its frame would be
// kept so long, and make the stack of each open stream twice as large.
func (s *Server) begin(ctx context.Context, c *app.RequestContext, e openai.Endpoint) (*begun, error) {
	who, err := s.authenticate(c)
	if err != nil {
		return nil, err
	}
	entry := journal.FromContext(ctx)
	entry.SetSubject(journal.Subject{Workspace: who.workspace.Name})
	req, err := readGeneration(c, e, who)
	if err != nil {
		return nil, err
	}
	entry.SetSubject(journal.Subject{Workspace: who.workspace.Name, Model: knownModel(who, req.Model)})
	job, err := s.job(who, req)
	if err != nil {
		return nil, err
	}
	g, err := s.relay.Generate(ctx, job)
	if err != nil {
		return nil, err
	}
	return &begun{
		generation: g, name: s.namer(ctx, generation.ID{
			Workspace: job.Permit.Workspace, Service: job.Permit.Service,
			Model: job.Permit.Model, Class: job.Permit.Class, Entry: s.opts.Address,
		}),
		stream: req.Stream, endpoint: e, promptTokens: req.PromptTokens,
	}, nil
}

// knownModel returns the name only if it is declared: a caller could write
// anything into the field, also a prompt.
func knownModel(who identity, name string) string {
	if _, ok := who.snapshot.Models[name]; !ok {
		return ""
	}
	return name
}

func readGeneration(c *app.RequestContext, e openai.Endpoint, who identity) (openai.Request, error) {
	if err := checkJSON(c); err != nil {
		return openai.Request{}, err
	}
	limits := who.snapshot.Config.Limits
	body, err := readBody(c, limits.MaxBodyBytes)
	if err != nil {
		return openai.Request{}, err
	}
	req, err := openai.Parse(e, body, limits)
	return req, fieldFailure(err)
}

// fieldFailure turns an error of the openai package into a failure.
func fieldFailure(err error) error {
	var field *openai.FieldError
	if errors.As(err, &field) {
		return answer.Invalid(field.Field, field.Problem)
	}
	return err
}

func (s *Server) job(who identity, req openai.Request) (relay.Job, error) {
	model, ok := who.snapshot.Models[req.Model]
	if !ok {
		return relay.Job{}, answer.NotRun(http.StatusNotFound, answer.CodeUnknownModel, "model: unknown")
	}
	now := now()
	if !s.confirmed(now) {
		return relay.Job{}, notConfirmed()
	}
	class := classOf(who.workspace)
	body, err := req.EngineBody(openai.EngineFields{Priority: priorityOf(class), User: who.workspace.Name})
	if err != nil {
		return relay.Job{}, fieldFailure(err)
	}
	mark := fingerprint(who.workspace.Name, req.Body)
	return relay.Job{
		Path: string(req.Endpoint), Body: body, Streamed: req.Stream,
		Permit: permit.Request{
			Service: model.Service, Model: model.Name, Workspace: who.workspace.Name, Class: class,
			PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, PrefixHash: s.prefixes.Shared(req.PrefixHashes, mark),
			Fingerprint: mark,
			Deadline:    now.Add(queueWait(who.snapshot.Services[model.Service], class)),
		},
	}, nil
}

// notConfirmed is the refusal of an instance that reaches neither platform nor
// peers: it might send to an availability zone that was taken out.
func notConfirmed() error {
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

// fingerprint names a request within its workspace, whoever repeats it.
func fingerprint(workspace string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}
