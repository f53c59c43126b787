package ingress

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/service"
)

const (
	// defaultTimeout holds where neither the caller nor the route sets a time.
	defaultTimeout = 30 * time.Second
	// denyFresh is how long ago the configuration may have been confirmed for
	// a request to be told that its key or route doesn't exist. A key that was
	// added since then would be refused for good; "not now" is true of both.
	denyFresh = 1900 * time.Millisecond
	// denyRetryAfter is when an instance without a fresh configuration is
	// asked again; it hears of a new one within that unless it is cut off.
	denyRetryAfter = 700 * time.Millisecond
	// outageRetryAfter is the same while the platform doesn't answer. Callers
	// wait for a third of their time at most.
	outageRetryAfter = 1500 * time.Millisecond
	// defaultOutput is the number of tokens expected of a generation that says
	// nothing of itself.
	defaultOutput = 256
	// defaultMost is what such a one may come to.
	defaultMost = 4096
)

// request is one request of a caller, with what it was matched to.
type request struct {
	id        string
	method    string
	uri       string
	host      string
	header    []service.Header
	body      []byte
	route     *routes.Route
	service   *routes.Service
	workspace string
	priority  int
	start     time.Time
	// deadline is when the caller leaves, limit when an answer has to begin.
	deadline time.Time
	limit    time.Time
	// prompt, output and most are tokens, output as expected and most at most.
	prompt, output, most int
	lastEvent            int64
	fingerprint          uint64
}

// generation reports whether the request is one for model engines.
func (r *request) generation() bool { return r.service.Engine != nil }

// read matches a request to its route and workspace.
func (s *Server) read(now time.Time, c *app.RequestContext) (*request, error) {
	table := s.opts.State.Table()
	if table == nil || !s.opts.State.Known() {
		return nil, s.unready()
	}
	r := &request{
		id: string(c.GetHeader(s.fields.RequestID)), method: string(c.Method()),
		uri: string(c.Request.Header.RequestURI()), host: string(c.Request.Header.Host()), start: now,
	}
	if err := framed(c); err != nil {
		return nil, err
	}
	if r.id == "" || !strings.HasPrefix(r.uri, "/") {
		return nil, answer.Invalid(s.fields.RequestID, "is missing, or the path isn't absolute")
	}
	path, _, _ := strings.Cut(r.uri, "?")
	route, ok := table.Route(r.host, path)
	if !ok {
		return nil, s.deny(now, answer.NotRun(http.StatusNotFound, answer.CodeUnknownRoute, "path: no route"))
	}
	r.route = route
	if err := s.identify(now, c, table, r); err != nil {
		return nil, err
	}
	name := route.Pick(s.rng())
	if r.service, ok = table.Service(name); !ok {
		return nil, s.unready()
	}
	if s.opts.Rollouts != nil && !s.opts.Rollouts.Joined(now, name) {
		return nil, s.unready()
	}
	s.bound(c, r)
	r.header = s.passedOn(c)
	body, err := readBody(c, table.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	r.body = body
	r.fingerprint = xxhash.Sum64(append([]byte(r.workspace+"\n"+r.method+" "+r.uri+"\n"), body...))
	return r, nil
}

// framed refuses requests whose length can be read in two ways: what one side
// takes for the body, another could take for a further request. It looks at the
// header as it came, as the codec keeps only what it goes by.
func framed(c *app.RequestContext) error {
	lengths, encodings, folded := 0, 0, false
	for line := range bytes.Lines(c.Request.Header.RawHeaders()) {
		folded = folded || line[0] == ' ' || line[0] == '\t'
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch strings.ToLower(string(bytes.TrimSpace(name))) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
		}
	}
	if folded || lengths+encodings > 1 {
		c.SetConnectionClose()
		return answer.Invalid("Content-Length", "the body's length can be read in two ways")
	}
	return nil
}

// unready refuses for want of a configuration, or of one that is fresh.
//
// Callers come again once or twice: told to come back soon during an outage, all
// would be refused a second time. An outage lasts for seconds, a start for some
// tenths.
func (s *Server) unready() error {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodePlatformDown, "this instance knows no configuration yet")
	f.RetryAfter = denyRetryAfter
	if s.opts.State.Outage() {
		f.RetryAfter = outageRetryAfter
	}
	return f
}

// deny says that something doesn't exist only as of a fresh configuration.
func (s *Server) deny(now time.Time, f *answer.Failure) error {
	if s.opts.State.Age(now, observed.Configuration) > s.opts.DenyFresh {
		return s.unready()
	}
	return f
}

func (s *Server) identify(now time.Time, c *app.RequestContext, table *routes.Table, r *request) error {
	r.priority = r.route.Priority
	if !table.NeedsKey(r.route) {
		return nil
	}
	workspace, ok := table.Workspace(string(c.GetHeader(s.fields.Key)))
	if !ok {
		return s.deny(now, answer.NotRun(http.StatusUnauthorized, answer.CodeUnauthorized, s.fields.Key+": a workspace's key is needed"))
	}
	r.workspace = workspace.Name
	if workspace.Priority != nil {
		r.priority = *workspace.Priority
	}
	return nil
}

// bound reads the times and sizes of a request.
func (s *Server) bound(c *app.RequestContext, r *request) {
	wait := defaultTimeout
	if n, err := strconv.ParseFloat(string(c.GetHeader(s.fields.DeadlineMillis)), 64); err == nil && n > 0 {
		wait = time.Duration(n * float64(time.Millisecond))
	}
	r.deadline = r.start.Add(wait)
	r.limit = r.deadline
	if r.route.Timeout > 0 && r.route.Timeout < wait {
		r.limit = r.start.Add(r.route.Timeout)
	}
	r.lastEvent, _ = strconv.ParseInt(string(c.GetHeader(s.fields.LastEventID)), 10, 64)
	prompt, most, _ := strings.Cut(string(c.GetHeader(s.fields.TokenCounts)), ",")
	r.prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	limit, err := strconv.Atoi(strings.TrimSpace(most))
	r.output = defaultOutput
	if hint, herr := strconv.ParseFloat(string(c.GetHeader(s.fields.LengthHint)), 64); herr == nil && hint > 0 {
		r.output = int(hint)
	}
	r.most = max(r.output, defaultMost)
	if err == nil && limit > 0 {
		r.output, r.most = min(r.output, limit), limit
	}
}

// passedOn copies the fields that a backend server gets. Fields of ours are set
// anew, whatever the caller put there.
func (s *Server) passedOn(c *app.RequestContext) []service.Header {
	var all []service.Header
	c.Request.Header.VisitAll(func(name, value []byte) {
		all = append(all, service.Header{Name: string(name), Value: string(value)})
	})
	drop := service.ConnectionFields(all)
	return slices.DeleteFunc(all, func(h service.Header) bool {
		name := strings.ToLower(h.Name)
		return drop[name] || s.internal[name]
	})
}

// readBody reads the whole body up to the limit: it may have to be sent again.
func readBody(c *app.RequestContext, limit int) ([]byte, error) {
	body, err := c.Body()
	if err != nil {
		c.SetConnectionClose()
		return nil, answer.Invalid("body", "ended before its length")
	}
	if limit > 0 && len(body) > limit {
		return nil, answer.NotRun(http.StatusRequestEntityTooLarge, answer.CodeBodyTooLarge, "body: larger than "+strconv.Itoa(limit)+" bytes")
	}
	return append([]byte(nil), body...), nil
}
