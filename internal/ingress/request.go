package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/streamorigin"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// denyMaxAge is the maximum age of the last confirmation of the configuration with which a
	// request may be refused because its key or route doesn't exist. A key that was added since then
	// would be refused permanently, whereas a temporary refusal is correct in both cases.
	denyMaxAge = 1900 * time.Millisecond
	// denyRetryAfter is the Retry-After of an instance without a fresh configuration; it receives a
	// new one within that time unless it is cut off.
	denyRetryAfter = 700 * time.Millisecond
	// outageRetryAfter is the same during a platform outage. Callers wait for at most a third of
	// their timeout.
	outageRetryAfter = 1500 * time.Millisecond
	// defaultExpectedOutput is the number of output tokens expected of a generation without a hint.
	defaultExpectedOutput = 256
	// defaultMaxOutput is the maximum number of output tokens of such a generation.
	defaultMaxOutput = 4096
)

// request is one request of a caller, with its route, service and workspace.
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
	// late is set if the request came once the instance refused connections.
	late bool
	// callerDeadline is when the caller disconnects, startDeadline when a response must have started.
	callerDeadline time.Time
	startDeadline  time.Time
	// promptTokens, expectedOutput and maxOutput are numbers of tokens.
	promptTokens, expectedOutput, maxOutput int
	lastEventID                             int64
	// resumes is the ID of the attempt that brought the first event of the stream that the caller resumes.
	resumes string
	// origin is the server that began the stream; nil before its first event.
	origin atomic.Pointer[streamorigin.Origin]
	// hint and outputLimit are the caller's hint and limit of the output in tokens, 0 for none.
	hint, outputLimit int
	// lengthKey is the key of the learned output length; learned says that expectedOutput is learned.
	lengthKey   outputlength.Key
	learned     bool
	fingerprint uint64
	// parts holds the keys of the parts of the prompt, trials the suspected ones that the request tries.
	parts  []uint64
	trials atomic.Pointer[[]uint64]
	run    run
	sends  sends
	// lastPartCounted says that a crash has counted against the last part; see [crashChecks].
	lastPartCounted bool
}

// isGeneration reports whether the request is for model engines.
func (r *request) isGeneration() bool { return r.service.Engine != nil }

// matchRequest matches a request to its route, service and workspace.
func (s *Server) matchRequest(now time.Time, c *app.RequestContext, b body) (*request, error) {
	table := s.opts.State.Table()
	if table == nil || !s.opts.State.Known() {
		return nil, s.notReady()
	}
	r := &request{
		id: string(c.GetHeader(s.fields.RequestID)), method: string(c.Method()),
		uri: string(c.Request.Header.RequestURI()), host: string(c.Request.Header.Host()), start: now,
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
	if err := s.authenticate(now, c, table, r); err != nil {
		return nil, err
	}
	name := route.PickService(s.rng())
	if r.service, ok = table.Service(name); !ok {
		return nil, s.notReady()
	}
	if s.opts.Rollouts != nil && !s.opts.Rollouts.Joined(now, name) {
		return nil, s.notReady()
	}
	s.readLimits(c, r)
	s.learnExpectedOutput(r)
	r.header = s.forwardedHeader(c)
	r.body = b.bytes
	r.parts = s.promptParts(r)
	digest := xxhash.New()
	_, _ = digest.WriteString(r.workspace + "\n" + r.method + " " + r.uri + "\n")
	_, _ = digest.Write(r.body)
	r.fingerprint = digest.Sum64()
	return r, nil
}

// notReady returns the failure of an instance without a configuration, or without a fresh one.
//
// Callers retry once or twice: with a short Retry-After during an outage, all of them would be
// refused again. An outage lasts for seconds, a start for some tenths of a second.
func (s *Server) notReady() error {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodePlatformDown, "this instance has no configuration yet")
	f.RetryAfter = denyRetryAfter
	if s.opts.State.Outage() {
		f.RetryAfter = outageRetryAfter
	}
	return f
}

// deny returns f, which says that something doesn't exist, only if the configuration is fresh.
func (s *Server) deny(now time.Time, f *answer.Failure) error {
	if s.opts.State.Age(now, platformstate.Configuration) > s.opts.DenyMaxAge {
		return s.notReady()
	}
	return f
}

func (s *Server) authenticate(now time.Time, c *app.RequestContext, table *routes.Table, r *request) error {
	r.priority = r.route.Priority
	if !table.NeedsKey(r.route) {
		return nil
	}
	workspace, ok := table.Workspace(string(c.GetHeader(s.fields.Key)))
	if !ok {
		return s.deny(now, answer.NotRun(http.StatusUnauthorized, answer.CodeUnauthorized, s.fields.Key+": the key of a workspace is required"))
	}
	r.workspace = workspace.Name
	if workspace.Priority != nil {
		r.priority = *workspace.Priority
	}
	return nil
}

// readLimits reads the deadlines and token counts of a request.
func (s *Server) readLimits(c *app.RequestContext, r *request) {
	timeout := defaultTimeout
	if n, err := strconv.ParseFloat(string(c.GetHeader(s.fields.DeadlineMillis)), 64); err == nil && n > 0 {
		timeout = time.Duration(n * float64(time.Millisecond))
	}
	r.callerDeadline = r.start.Add(timeout)
	r.startDeadline = r.callerDeadline
	if r.route.Timeout > 0 && r.route.Timeout < timeout {
		r.startDeadline = r.start.Add(r.route.Timeout)
	}
	r.lastEventID, _ = strconv.ParseInt(string(c.GetHeader(s.fields.LastEventID)), 10, 64)
	r.resumes = string(c.GetHeader(s.fields.Resumes))
	prompt, maxTokens, _ := strings.Cut(string(c.GetHeader(s.fields.TokenCounts)), ",")
	r.promptTokens, _ = strconv.Atoi(strings.TrimSpace(prompt))
	limit, err := strconv.Atoi(strings.TrimSpace(maxTokens))
	r.expectedOutput = defaultExpectedOutput
	if hint, herr := strconv.ParseFloat(string(c.GetHeader(s.fields.LengthHint)), 64); herr == nil && hint > 0 {
		r.expectedOutput = int(hint)
		r.hint = r.expectedOutput
	}
	r.maxOutput = max(r.expectedOutput, defaultMaxOutput)
	if err == nil && limit > 0 {
		r.expectedOutput, r.maxOutput, r.outputLimit = min(r.expectedOutput, limit), limit, limit
	}
}

// forwardedHeader returns the header fields that are forwarded to a backend server. Internal fields
// set by the caller are dropped.
func (s *Server) forwardedHeader(c *app.RequestContext) []service.Header {
	var all []service.Header
	c.Request.Header.VisitAll(func(name, value []byte) {
		all = append(all, service.Header{Name: string(name), Value: string(value)})
	})
	drop := service.ConnectionFields(all)
	return slices.DeleteFunc(all, func(h service.Header) bool {
		name := strings.ToLower(h.Name)
		return drop[name] || s.internalFields[name]
	})
}
