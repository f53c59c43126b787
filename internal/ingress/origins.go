package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/originpeer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/streamorigin"
)

const (
	// originMargin is how long after the deadline of its caller the origin of a stream is held.
	originMargin = 5 * time.Second
	// originRetryAfter is the Retry-After when holders of a stream's origin can't be reached.
	originRetryAfter = 500 * time.Millisecond
)

// resumesStream reports whether the caller resumes a stream that has begun in an earlier attempt.
func (r *request) resumesStream() bool {
	return r.route.Kind == routes.Stream && (r.lastEventID > 0 || r.resumes != "")
}

// findOrigin finds which server began the stream that a caller resumes. A stream of unknown origin is
// refused: its servers don't check the version, and the caller would get the outputs of two. What is listed
// doesn't tell, as servers of the version may have left or may not be listed yet.
func (s *Server) findOrigin(ctx context.Context, r *request) *answer.Failure {
	if !r.resumesStream() {
		return nil
	}
	origin, err := streamorigin.Origin{}, originpeer.ErrUnknown
	if r.resumes != "" {
		origin, err = s.opts.Origins.Find(ctx, streamorigin.Key(r.workspace, r.resumes))
	}
	if err != nil {
		s.opts.Scope.Counter("resumptions_unknown").Inc(1)
		s.log.Info().Str("request", r.id).Str("resumes", r.resumes).Err(err).Msg("stream of unknown origin not resumed")
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "this instance doesn't know which version of the backend server began the stream")
		if errors.Is(err, originpeer.ErrUnreachable) {
			f.RetryAfter = originRetryAfter
		}
		return f
	}
	r.origin.Store(&origin)
	if f := s.routeToOrigin(r, &origin); f != nil {
		return f
	}
	if len(s.candidates(r)) > 0 {
		return nil
	}
	s.opts.Scope.Counter("resumptions_version_gone").Inc(1)
	s.log.Info().Str("request", r.id).Str("resumes", r.resumes).Str("version", origin.Version).Msg("no server of the version that began the stream")
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server of the version that began the stream is available")
	if s.versionMayReturn(&origin) {
		f.RetryAfter = noServerRetryAfter
	}
	return f
}

// routeToOrigin sends the request to the service that began the stream, if its route still may.
func (s *Server) routeToOrigin(r *request, origin *streamorigin.Origin) *answer.Failure {
	if origin.Service == r.service.Name {
		return nil
	}
	if table := s.opts.State.Table(); table != nil && r.route.SendsTo(origin.Service) {
		if service, ok := table.Service(origin.Service); ok {
			r.service = service
			r.parts = s.promptParts(r)
			return nil
		}
	}
	return answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "the service that began the stream doesn't serve this path any more")
}

// recordOrigin fixes the version that a stream goes on at, when its first event has arrived. Other
// instances know it before the caller gets the event.
func (cs *callerStream) recordOrigin(ctx context.Context) {
	s, r := cs.s, cs.r
	if r.origin.Load() != nil {
		return
	}
	now, server := s.opts.Now(), cs.stream.server()
	origin := streamorigin.Of(now, &server.Server)
	r.origin.Store(&origin)
	if !r.route.Resumable {
		return
	}
	if !s.opts.Origins.Record(ctx, streamorigin.Key(r.workspace, r.id), origin, r.callerDeadline.Sub(now)+originMargin) {
		s.log.Info().Str("request", r.id).Str("version", origin.Version).Msg("no other instance has confirmed the origin of a stream")
	}
	cs.originWait = s.opts.Now().Sub(now)
}

// versionConstraint is what the beginning of a stream demands of every server that it goes on at.
type versionConstraint struct {
	origin *streamorigin.Origin
	// unknown is set if the server that wrote the first event has restarted with another version, and it
	// can't be told which one wrote the event.
	unknown bool
}

func (v versionConstraint) allows(server *platformstate.Server) bool {
	return v.origin == nil || !v.unknown && v.origin.Allows(&server.Server)
}

// constraint returns the constraint of a request; that of a stream that hasn't begun allows all servers.
func (s *Server) constraint(r *request) versionConstraint {
	origin := r.origin.Load()
	if origin == nil {
		return versionConstraint{}
	}
	listed, ok := s.opts.State.Server(origin.Server)
	if !ok {
		return versionConstraint{origin: origin}
	}
	confirmed, ok := origin.Confirm(&listed.Server)
	return versionConstraint{origin: &confirmed, unknown: !ok}
}

// mayRunOn reports whether a request may be sent to a server that was chosen before: the server may have
// restarted with another version since.
func (s *Server) mayRunOn(r *request, server *platformstate.Server) bool {
	v := s.constraint(r)
	if v.origin == nil || !v.allows(server) {
		return v.origin == nil
	}
	listed, ok := s.opts.State.Server(server.ID)
	return !ok || v.allows(&listed)
}

// incarnationTimeout limits the load report that confirms an engine's incarnation.
const incarnationTimeout = 300 * time.Millisecond

// confirmIncarnation asks the engine that a begun stream is sent to whether it has restarted, perhaps with
// another version: the list of servers tells that late. An engine that has restarted holds no copy of a KV
// cache, so that one that is sent to the copy is asked only while the list may be outdated.
func (s *Server) confirmIncarnation(ctx context.Context, r *request, server platformstate.Server, hasCopy bool) error {
	if r.origin.Load() == nil || server.Version == "" {
		return nil
	}
	_, listed := s.opts.State.Server(server.ID)
	if hasCopy && listed && !s.serversOutdated(s.opts.Now()) {
		return nil
	}
	if !r.isGeneration() || server.StartedAtMillis == 0 {
		if listed {
			return nil
		}
		return merry.Wrap(errOtherVersion)
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	_, body, err := s.upstream.Call(ctx, server.Address, http.MethodGet, s.opts.Dialect.Paths.Report, nil)
	if err != nil {
		return merry.Wrap(errOtherVersion, merry.WithCause(err))
	}
	report, err := s.opts.Dialect.DecodeReport(body)
	if err != nil || report.StartedAtMillis != 0 && report.StartedAtMillis != server.StartedAtMillis {
		s.log.Info().Str("request", r.id).Str("server", server.ID).Err(err).Msg("engine of a begun stream may have restarted")
		return merry.Wrap(errOtherVersion, merry.WithCause(err))
	}
	return nil
}

// candidates returns the servers that a request may be sent to. Every choice that this instance makes is
// made among them; see assigned for those of planners.
func (s *Server) candidates(r *request) []*platformstate.Server {
	all := s.opts.State.Servers(r.service.Name)
	v := s.constraint(r)
	if v.origin == nil {
		return all
	}
	var out []*platformstate.Server
	for _, list := range [][]*platformstate.Server{all, s.opts.State.Canaries(r.service.Name)} {
		for _, server := range list {
			if v.allows(server) {
				out = append(out, server)
			}
		}
	}
	return out
}

// assigned returns a server that a planner has assigned, if this instance knows no reason against it: the
// planner's list of servers may be older.
func (s *Server) assigned(now time.Time, r *request, id string) (platformstate.Server, bool) {
	if s.opts.Balancer.Failures(now, id) >= maxRecentFailures || !s.opts.Balancer.Admits(now, id) {
		return platformstate.Server{}, false
	}
	server, ok := s.opts.State.Eligible(r.service.Name, id)
	if !ok && r.origin.Load() != nil {
		canaries := s.opts.State.Canaries(r.service.Name)
		if at := slices.IndexFunc(canaries, func(c *platformstate.Server) bool { return c.ID == id }); at >= 0 {
			server, ok = canaries[at], true
		}
	}
	if !ok || !s.mayRunOn(r, server) {
		return platformstate.Server{}, false
	}
	return *server, true
}

// requiredVersion returns the version that planners are asked for; empty for any.
func (s *Server) requiredVersion(r *request) string {
	if v := s.constraint(r); v.origin != nil {
		return v.origin.Version
	}
	return ""
}

// versionMayReturn reports whether a server of a stream's version is listed that takes no requests now
// without leaving, or may be listed without this instance knowing it yet.
func (s *Server) versionMayReturn(origin *streamorigin.Origin) bool {
	listed, ok := s.opts.State.Server(origin.Server)
	switch {
	case !ok:
		return s.serversOutdated(s.opts.Now())
	case origin.OutdatesList(&listed.Server):
		return true
	}
	return !listed.Leaving && !s.opts.State.Draining(origin.Server) && origin.Allows(&listed.Server)
}
