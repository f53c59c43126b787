package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// maxDials bounds the servers that can't be reached, in one request.
	maxDials = 4
	// firstShare is the part of the time left that the first attempt of a
	// request gets that may be repeated: an answer that hasn't come by then
	// is seldom to come, and the rest is enough for another server.
	firstShare = 0.45
	// fullRetryAfter is said when all servers are full. A request takes some
	// hundred milliseconds to a few seconds, so that places get free meanwhile;
	// it is spread by fullSpread, so that callers don't return together.
	fullRetryAfter = 400 * time.Millisecond
	fullSpread     = 800 * time.Millisecond
	// noneRetryAfter is said when no server is there: others take some seconds
	// to come.
	noneRetryAfter = time.Second
	// leastDeadline is what a server is told at least.
	leastDeadline = time.Millisecond
	maxUrgency    = 9
)

// errBroken means that the answer had begun; its connection is closed.
var errBroken = merry.Sentinel("answer broken off")

// result is how one attempt ended: [answered], [failed] or [ended].
type result interface{ result() }

// answered is a whole answer of a backend server.
type answered struct{ answer *upstream.Answer }

// failed is an attempt without an answer for the caller.
type failed struct {
	cause retry.Cause
	// ran says that the server may have run the request.
	ran bool
	err error
}

// ended is a stream that the caller has had, or has left.
type ended struct{ err error }

func (answered) result() {}
func (failed) result()   {}
func (ended) result()    {}

// attempts counts what was done for one request.
type attempts struct {
	excluded map[string]bool
	// number counts sends, dials those that didn't get that far.
	number, dials int
	// runs counts the servers that may have run the request.
	runs int
	// sent is when the present attempt began.
	sent time.Time
	// resumes is set for a stream that goes on.
	resumes bool
	// last is a failure that a server answered, for want of something better.
	last *upstream.Answer
}

// serve sends a request to backend servers until one has an answer.
func (s *Server) serve(ctx context.Context, c *app.RequestContext, r *request) error {
	if r.route.Kind == routes.NonIdempotent {
		// Once sent it runs, whether its caller waits or not.
		ctx = context.WithoutCancel(ctx)
	}
	if f := s.tooLate(s.opts.Now(), r); f != nil {
		return f
	}
	if f := s.suspected(s.opts.Now(), r); f != nil {
		return f
	}
	t := &attempts{excluded: map[string]bool{}}
	for {
		now := s.opts.Now()
		if !now.Before(r.limit) {
			return s.giveUp(c, r, t, lateFailure(t))
		}
		place, refusal := s.place(ctx, now, r, t)
		if refusal != nil {
			return s.giveUp(c, r, t, refusal)
		}
		t.sent = s.opts.Now()
		res := s.attempt(ctx, c, r, place, t)
		again, err := s.judge(ctx, c, r, place, t, res)
		if !again {
			return err
		}
	}
}

// attempt sends the request to one backend server.
func (s *Server) attempt(ctx context.Context, c *app.RequestContext, r *request, place balancer.Place, t *attempts) result {
	now := s.opts.Now()
	limit := r.limit
	if r.route.Repeatable() && t.runs+1 < r.route.MaxAttempts {
		limit = now.Add(time.Duration(float64(r.limit.Sub(now)) * firstShare))
	}
	if r.route.Kind == routes.Stream {
		return s.stream(ctx, c, r, place, limit.Sub(now))
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Sub(now))
	defer cancel()
	defer s.opts.Balancer.Done(place)
	a, err := s.upstream.Do(ctx, place.Server.Address, s.outgoing(now, r, place, nil), false)
	if err != nil {
		return lostOf(err)
	}
	return s.checked(r, a)
}

// outgoing is the request as the server gets it.
func (s *Server) outgoing(now time.Time, r *request, place balancer.Place, more []service.Header) upstream.Request {
	until := r.deadline
	if r.route.Kind != routes.Stream {
		until = r.limit
	}
	left := max(leastDeadline, until.Sub(now))
	header := append([]service.Header(nil), r.header...)
	set := func(name, value string) {
		if value != "" {
			header = append(header, service.Header{Name: name, Value: value})
		}
	}
	set(s.fields.DeadlineMillis, strconv.FormatInt(left.Milliseconds(), 10))
	set(s.fields.ExpectInstance, place.Server.ID)
	set(s.fields.Workspace, r.workspace)
	if r.generation() {
		set(s.fields.Urgency, strconv.Itoa(min(maxUrgency, max(0, r.priority))))
	}
	for _, h := range more {
		header = without(header, h.Name)
		header = append(header, h)
	}
	return upstream.Request{Method: r.method, URI: r.uri, Host: r.host, Header: header, Body: r.body}
}

func without(header []service.Header, name string) []service.Header {
	kept := header[:0]
	for _, h := range header {
		if !strings.EqualFold(h.Name, name) {
			kept = append(kept, h)
		}
	}
	return kept
}

func lostOf(err error) failed {
	if errors.Is(err, httpclient.ErrNotSent) {
		return failed{cause: retry.CauseNotSent, err: err}
	}
	return failed{cause: retry.CauseLost, ran: true, err: err}
}

// checked says what an answer is worth. The id tells an answer to another
// request; the seal, one that isn't the server's.
func (s *Server) checked(r *request, a *upstream.Answer) result {
	switch {
	case a.Get(s.fields.NotExecuted) != "", a.Status == http.StatusMisdirectedRequest:
		a.Close()
		return failed{cause: retry.CauseRefused, err: errRefused}
	case a.Get(s.fields.RequestID) != r.id, a.Get(s.fields.Seal) == "":
		a.Close()
		return failed{cause: retry.CauseLost, ran: true, err: errNotItsAnswer}
	}
	return answered{a}
}

// Why an attempt has no answer for the caller.
var (
	errRefused      = merry.Sentinel("backend server refused the request")
	errNotItsAnswer = merry.Sentinel("answer is not the server's answer to this request")
	errServerFailed = merry.Sentinel("backend server failed the request")
)

// judge says whether another attempt is made, or answers the caller.
func (s *Server) judge(ctx context.Context, c *app.RequestContext, r *request, place balancer.Place, t *attempts, res result) (bool, error) {
	now := s.opts.Now()
	id := place.Server.ID
	switch res := res.(type) {
	case ended:
		return false, res.err
	case answered:
		t.number++
		t.runs++
		s.note(place.Server, r, rollout.MetricAnswer, res.answer.Status >= http.StatusInternalServerError, now.Sub(t.sent))
		if res.answer.Status < http.StatusInternalServerError {
			s.opts.Retries.RecordSuccess(now, r.service.Name)
			s.clearSuspect(now, r)
			return false, s.write(c, r, res.answer)
		}
		t.keep(res.answer)
		return s.retryElsewhere(ctx, c, r, t, id, failed{cause: retry.CauseLost, ran: true, err: errServerFailed})
	case failed:
		s.log.Info().Str("request", r.id).Str("server", id).Str("cause", string(res.cause)).Bool("mayHaveRun", res.ran).
			Dur("took", now.Sub(r.start)).Err(res.err).Msg("attempt failed")
		if ctx.Err() != nil {
			return false, s.gone(c)
		}
		if res.cause == retry.CauseLost {
			s.note(place.Server, r, rollout.MetricAnswer, true, 0)
			s.reportCrash(place.Server, r)
		}
		if res.cause != retry.CauseRefused {
			s.opts.Balancer.Failed(now, id)
		}
		if res.cause == retry.CauseNotSent {
			t.dials++
		} else {
			t.number++
		}
		if res.ran {
			t.runs++
		}
		return s.retryElsewhere(ctx, c, r, t, id, res)
	}
	return false, nil
}

func (t *attempts) keep(a *upstream.Answer) {
	if t.last != nil {
		t.last.Close()
	}
	t.last = a
}

// retryElsewhere decides whether a request is sent once more.
func (s *Server) retryElsewhere(ctx context.Context, c *app.RequestContext, r *request, t *attempts, id string, f failed) (bool, error) {
	t.excluded[id] = true
	now := s.opts.Now()
	switch {
	case !now.Before(r.limit):
		return false, s.giveUp(c, r, t, lateFailure(t))
	case f.cause == retry.CauseNotSent && t.dials < maxDials:
		return true, nil
	case f.ran && (!r.route.Repeatable() || t.runs >= r.route.MaxAttempts):
		return false, s.giveUp(c, r, t, lostFailure())
	}
	decision, ok := s.opts.Retries.Decide(now, r.service.Name, retry.Attempt{Number: max(1, t.number), Cause: f.cause}).(retry.Again)
	if !ok || now.Add(decision.Delay).After(r.limit) {
		return false, s.giveUp(c, r, t, refusedFailure(s.rng().Int64N(int64(fullSpread))))
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return false, s.gone(c)
	}
}

// giveUp answers with the best there is: a failure that a server answered, or
// that of this instance, which says "not run" only where that is true.
func (s *Server) giveUp(c *app.RequestContext, r *request, t *attempts, f *answer.Failure) error {
	if t.last != nil {
		return s.write(c, r, t.last)
	}
	if t.runs > 0 && f.Outcome == answer.OutcomeNotRun {
		return lostFailure()
	}
	return f
}

func (s *Server) gone(c *app.RequestContext) error {
	c.SetConnectionClose()
	return &answer.Failure{Status: http.StatusBadGateway, Code: answer.CodeSlowCaller, Outcome: answer.OutcomeUnknown, Message: "the caller has left"}
}

// write passes a whole answer on.
func (s *Server) write(c *app.RequestContext, r *request, a *upstream.Answer) error {
	defer a.Close()
	s.head(c, a)
	c.Response.SetBody(a.Body)
	s.log.Info().Str("request", r.id).Int("status", a.Status).Dur("took", s.opts.Now().Sub(r.start)).Msg("request answered")
	return nil
}

// head passes the status and the header fields of an answer on.
func (s *Server) head(c *app.RequestContext, a *upstream.Answer) {
	c.SetStatusCode(a.Status)
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, "Content-Type") {
			c.Response.Header.SetContentType(h.Value)
			continue
		}
		c.Response.Header.Add(h.Name, h.Value)
	}
}
