package ingress

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// maxRoomWait is how long a request waits here for a brittle server with room: no longer than its
	// caller would be told to wait.
	maxRoomWait      = fullRetryAfter
	roomPollInterval = 10 * time.Millisecond
	// maxRoomWaiters limits the requests that wait for room.
	maxRoomWaiters = 256
)

// recordBrittleness records whether a server is brittle, and gives one that has rejected a request a
// pause. Only a response with a seal shows that a server isn't brittle.
func (s *Server) recordBrittleness(server platformstate.Server, response *upstream.Response) {
	value := response.Get(s.fields.Brittleness)
	n, ok := pushback.ParseBrittleness(value)
	switch {
	case !ok:
		s.log.Warn().Str("server", server.ID).Str("value", value[:min(len(value), maxLoggedValue)]).Msg("backend server states an invalid brittleness")
		return
	case value == "" && response.Get(s.fields.Seal) == "":
		return
	}
	now := s.opts.Now()
	if s.opts.Brittle.Observe(now, server.ID, n) {
		s.log.Info().Str("server", server.ID).Int("rejections", n).Msg("brittleness of a backend server")
	}
	if response.Get(s.fields.NotExecuted) == "" {
		return
	}
	if pause := s.opts.Brittle.RejectionPause(now, server.ID, s.opts.Instances()); pause > 0 {
		s.opts.Scope.Counter("brittle_rejections").Inc(1)
		if s.opts.Pauses.Record(now, server.ID, pause) {
			s.log.Info().Str("server", server.ID).Dur("pause", pause).Msg("brittle backend server has rejected a request, gets a pause")
		}
	}
}

// awaitRoom waits a moment for room on the brittle servers of a service, which hold fewer requests
// than other servers would, and reports whether to choose again.
func (s *Server) awaitRoom(ctx context.Context, r *request, t *attempts) bool {
	now := s.opts.Now()
	if !s.opts.Balancer.AnyBrittle(now, s.candidates(r)) {
		return false
	}
	if t.roomUntil.IsZero() {
		t.roomUntil = now.Add(min(maxRoomWait, r.patience(now)))
	}
	waiters := s.roomWaiters.Add(1)
	defer s.roomWaiters.Add(-1)
	if waiters > maxRoomWaiters || !now.Add(roomPollInterval).Before(t.roomUntil) {
		return false
	}
	return objectapi.Sleep(ctx, roomPollInterval) == nil
}
