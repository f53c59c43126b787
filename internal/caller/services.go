package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
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

// notForwarded are the fields that are for entry instances: a service never
// sees a caller's token, and the trace goes on with the span of this hop.
var notForwarded = map[string]bool{
	"authorization": true, "traceparent": true, "tracestate": true,
}

// service passes a call on to a plain service.
func (s *Server) service(ctx context.Context, c *app.RequestContext) error {
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	entry := journal.From(ctx)
	entry.Describe(journal.Subject{Workspace: who.workspace.Name})
	call, err := s.call(c, who)
	if err != nil {
		return err
	}
	entry.Describe(journal.Subject{Workspace: who.workspace.Name, Service: call.Service.Name})
	a, err := s.forward.Do(ctx, call)
	if err != nil {
		return err
	}
	entry.End(now(), journal.Finished, "")
	writeAnswer(c, a)
	return nil
}

// call reads a call from the request.
func (s *Server) call(c *app.RequestContext, who identity) (forward.Call, error) {
	name, path, query, err := target(string(c.Request.Header.RequestURI()))
	if err != nil {
		return forward.Call{}, err
	}
	declared, ok := who.snapshot.Services[name]
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
	body, err := readBody(c, who.snapshot.Config.Limits.MaxBodyBytes)
	if err != nil {
		return forward.Call{}, err
	}
	class := classOf(who.workspace)
	return forward.Call{
		Service: declared, Route: route, Workspace: who.workspace.Name, Class: class,
		Fingerprint: fingerprint(who.workspace.Name, append([]byte(method+" "+path+"?"+query+"\n"), body...)),
		Deadline:    now().Add(queueWait(declared, class)),
		Method:      method, Path: path, Query: query, Header: header, Body: body, IdempotencyKey: key,
	}, nil
}

// target splits the request target as it came: the path goes to the service
// unchanged, so it isn't taken from a parsed URL, which resolves dots.
func target(uri string) (name, path, query string, err error) {
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

// readHeader returns the fields to pass on and the idempotency key.
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
		return nil, "", answer.Invalid(headerKey, "stands twice")
	}
	return header, keys[0], checkKey(keys[0])
}

// checkKey refuses an empty key too: its caller believes to be protected.
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
			// The service names the request itself, and that is its answer.
			c.Response.Header.Del(headerRequest)
		}
		c.Response.Header.Add(h.Name, h.Value)
	}
	if a.Replayed {
		c.Response.Header.Set(headerReplayed, "true")
	}
	c.Data(a.Response.Status, contentType, a.Response.Body)
}
