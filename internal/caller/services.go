package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/forward"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	servicesPrefix   = "/v1/services/"
	headerKey        = "Idempotency-Key"
	headerReplayed   = "Idempotent-Replayed"
	maxKeyCharacters = 255
)

// notForwarded holds the request headers that are meant for entry instances only: a service must
// not see a caller's token, and the trace continues with the span of this hop.
var notForwarded = map[string]bool{
	"authorization": true, "traceparent": true, "tracestate": true,
}

// service forwards a call to a plain service.
func (s *Server) service(ctx context.Context, c *app.RequestContext) error {
	s.awaitResume(ctx)
	ident, err := s.authenticate(c)
	if err != nil {
		return err
	}
	entry := journal.FromContext(ctx)
	entry.SetSubject(journal.Subject{Workspace: ident.workspace.Name})
	call, err := s.parseCall(c, ident)
	if err != nil {
		return err
	}
	callerconn.Watch(ctx)
	entry.SetSubject(journal.Subject{Workspace: ident.workspace.Name, Service: call.Service.Name})
	a, err := s.forward.Do(ctx, call)
	if err != nil {
		return err
	}
	entry.End(now(), journal.Finished, "")
	writeAnswer(c, a)
	return nil
}

// parseCall builds the call to forward from the request.
func (s *Server) parseCall(c *app.RequestContext, ident identity) (forward.Call, error) {
	name, path, query, err := splitTarget(string(c.Request.Header.RequestURI()))
	if err != nil {
		return forward.Call{}, err
	}
	declared, ok := ident.snapshot.Services[name]
	if !ok || declared.Kind != pollenspindle.ServicePlain {
		return forward.Call{}, answer.NotRun(http.StatusNotFound, answer.CodeUnknownService, "service: unknown")
	}
	method := string(c.Request.Header.Method())
	route, err := forward.Match(declared, method, path)
	if err != nil {
		return forward.Call{}, err
	}
	header, key, err := readHeader(c)
	if err != nil {
		return forward.Call{}, err
	}
	body, err := readBody(c, ident.snapshot.Config.Limits.MaxBodyBytes)
	if err != nil {
		return forward.Call{}, err
	}
	class := classOf(ident.workspace)
	return forward.Call{
		Service: declared, Route: route, Workspace: ident.workspace.Name, Class: class,
		Fingerprint: fingerprint(ident.workspace.Name, append([]byte(method+" "+path+"?"+query+"\n"), body...)),
		Deadline:    now().Add(queueWait(declared, class)),
		Method:      method, Path: path, Query: query, Header: header, Body: body, IdempotencyKey: key,
	}, nil
}

// splitTarget splits the raw request target. The path is forwarded unchanged, so it isn't taken
// from a parsed URL, which resolves dot segments.
func splitTarget(uri string) (name, path, query string, err error) {
	rest, ok := strings.CutPrefix(uri, servicesPrefix)
	if !ok {
		return "", "", "", answer.Invalid("path", "must begin with "+servicesPrefix)
	}
	rest, query, _ = strings.Cut(rest, "?")
	name, path, found := strings.Cut(rest, "/")
	if !found {
		return name, "/", query, nil
	}
	return name, "/" + path, query, nil
}

// readHeader returns the headers to forward and the idempotency key.
func readHeader(c *app.RequestContext) ([]service.Header, string, error) {
	var header []service.Header
	var keys []string
	c.Request.Header.VisitAll(func(name, value []byte) {
		field := service.Header{Name: string(name), Value: string(value)}
		if notForwarded[strings.ToLower(field.Name)] {
			return
		}
		if strings.EqualFold(field.Name, headerKey) {
			keys = append(keys, field.Value)
		}
		header = append(header, field)
	})
	switch {
	case len(keys) == 0:
		return header, "", nil
	case len(keys) > 1:
		return nil, "", answer.Invalid(headerKey, "is given twice")
	}
	return header, keys[0], checkKey(keys[0])
}

// checkKey validates an idempotency key. An empty one is rejected too, since its caller expects
// protection against duplicates.
func checkKey(key string) error {
	printable := strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
	if key == "" || len(key) > maxKeyCharacters || !printable {
		return answer.Invalid(headerKey, "must be 1 to 255 printable ASCII characters without spaces")
	}
	return nil
}

func writeAnswer(c *app.RequestContext, a forward.Answer) {
	contentType := ""
	for _, h := range a.Response.Header {
		if strings.EqualFold(h.Name, "Content-Type") {
			contentType = h.Value
			continue
		}
		if strings.EqualFold(h.Name, headerRequest) {
			// The service's own request ID replaces that of this instance.
			c.Response.Header.Del(headerRequest)
		}
		c.Response.Header.Add(h.Name, h.Value)
	}
	if a.Replayed {
		c.Response.Header.Set(headerReplayed, "true")
	}
	c.Data(a.Response.Status, contentType, a.Response.Body)
}
