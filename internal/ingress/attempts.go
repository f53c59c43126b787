package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// maxDials limits how many unreachable servers one request tries.
	maxDials = 4
	// firstAttemptShare is the share of the remaining time that the first attempt of a repeatable
	// request gets: a response that hasn't arrived by then seldom does, and the rest is enough for
	// another server.
	firstAttemptShare = 0.45
	// fullRetryAfter is the Retry-After when all servers are full. A request takes some hundred
	// milliseconds to a few seconds, so slots become free in the meantime. A random part of
	// fullRetryJitter is added, so that callers don't retry at the same time.
	fullRetryAfter  = 400 * time.Millisecond
	fullRetryJitter = 800 * time.Millisecond
	// noServerRetryAfter is the Retry-After when there is no server: new servers take some seconds
	// to start.
	noServerRetryAfter = time.Second
	// minDeadline is the smallest deadline that is sent to a server.
	minDeadline = time.Millisecond
	maxUrgency  = 9
)

// errResponseAborted means that the response had started and its connection was closed.
var errResponseAborted = merry.Sentinel("response aborted")

// errBodyLost is its cause if the connection to the server was lost.
var errBodyLost = merry.Sentinel("the rest of the body was lost")

// result is the outcome of one attempt: [responded], [failed] or [streamDone].
type result interface{ result() }

// responded is a complete response of a backend server.
type responded struct{ response *upstream.Response }

// failed is an attempt without a response for the caller.
type failed struct {
	cause retry.Cause
	// mayHaveRun says that the server may have run the request.
	mayHaveRun bool
	err        error
}

// streamDone is a stream that was relayed, completely or until it was aborted.
type streamDone struct{ err error }

func (responded) result()  {}
func (failed) result()     {}
func (streamDone) result() {}

// attempts is the state of the attempts of one request.
type attempts struct {
	excluded map[string]bool
	// sends counts attempts that reached a server, failedDials those that didn't.
	sends, failedDials int
	// possibleRuns counts the servers that may have run the request.
	possibleRuns int
	// sentAt is when the current attempt began.
	sentAt time.Time
	// roomUntil is until when the request waits for room on brittle servers.
	roomUntil time.Time
	// resuming is set when a stream is resumed, by this instance or by its caller.
	resuming bool
	// lastResponse is the last failure response of a server, used if no attempt succeeds.
	lastResponse *upstream.Response
}

// serve sends a request to backend servers until one responds.
func (s *Server) serve(ctx context.Context, c *app.RequestContext, r *request) error {
	if r.route.Kind == routes.NonIdempotent {
		// Once sent, the request runs whether or not its caller waits.
		ctx = context.WithoutCancel(ctx)
	}
	r.late = s.refusesConnections.Load()
	if f := s.refuseWhileDraining(s.opts.Now(), r); f != nil {
		return f
	}
	if f := s.findOrigin(ctx, r); f != nil {
		return f
	}
	t := &attempts{excluded: map[string]bool{}, resuming: r.resumesStream()}
	defer t.dropResponse()
	defer func() { r.sends.end(s.opts.Now(), s.opts.Retries, r.service.Name) }()
	for {
		now := s.opts.Now()
		if !now.Before(r.startDeadline) {
			return s.giveUp(c, r, t, timeoutFailure(t))
		}
		s.awaitNews(ctx, r)
		if f := s.refuseSuspect(s.opts.Now(), r); f != nil {
			return s.giveUp(c, r, t, f)
		}
		if f := s.admitParts(ctx, r); f != nil {
			return s.giveUp(c, r, t, f)
		}
		place, refusal := s.chooseServer(ctx, now, r, t)
		if refusal != nil {
			s.endTrials(r, crashsuspect.TrialNotRun)
			return s.giveUp(c, r, t, refusal)
		}
		s.awaitNews(ctx, r)
		if !s.partsAllowed(r, crashsuspect.Progress{}) {
			s.opts.Balancer.Release(place)
			s.endTrials(r, crashsuspect.TrialNotRun)
			continue
		}
		if f := s.refuseWhileDraining(s.opts.Now(), r); f != nil && t.possibleRuns == 0 {
			s.opts.Balancer.Release(place)
			s.endTrials(r, crashsuspect.TrialNotRun)
			return s.giveUp(c, r, t, f)
		}
		t.sentAt = s.opts.Now()
		s.beginRun(r)
		res := s.attempt(ctx, c, r, place, t)
		again, err := s.handleResult(ctx, c, r, place, t, res)
		s.endTrialsWith(r, res)
		if !again {
			return err
		}
	}
}

// attempt sends the request to one backend server.
func (s *Server) attempt(ctx context.Context, c *app.RequestContext, r *request, place balancer.Placement, t *attempts) result {
	now := s.opts.Now()
	deadline := r.startDeadline
	if r.route.Repeatable() && t.possibleRuns+1 < r.route.MaxAttempts {
		deadline = now.Add(time.Duration(float64(r.startDeadline.Sub(now)) * firstAttemptShare))
	}
	if r.route.Kind == routes.Stream {
		return s.stream(ctx, c, r, place, deadline.Sub(now))
	}
	defer s.opts.Balancer.Release(place)
	ctx, cancel := context.WithCancel(attemptContext{ctx, deadline})
	timer := time.AfterFunc(deadline.Sub(now), cancel)
	response, err := s.forward(ctx, r, place, repeatAttempt, nil, false)
	if err == nil && response.Partial && timer.Stop() {
		// The rest of the body is relayed, until the caller's deadline.
		timer.Reset(r.callerDeadline.Sub(s.opts.Now()))
		response.OnClose(func() { timer.Stop(); cancel() })
		return s.classifyResponse(r, response)
	}
	timer.Stop()
	cancel()
	if err != nil {
		return classifyError(err)
	}
	return s.classifyResponse(r, response)
}

// attemptContext is the context of one attempt. It isn't canceled at its deadline: the rest of a long
// response may take longer.
type attemptContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements [context.Context].
func (a attemptContext) Deadline() (time.Time, bool) { return a.deadline, true }

// upstreamRequest returns the request that is sent to the server, with additional header fields.
func (s *Server) upstreamRequest(now time.Time, r *request, place balancer.Placement, extra []service.Header) upstream.Request {
	deadline := r.callerDeadline
	if r.route.Kind != routes.Stream {
		deadline = r.startDeadline
	}
	remaining := max(minDeadline, deadline.Sub(now))
	header := append([]service.Header(nil), r.header...)
	set := func(name, value string) {
		if value != "" {
			header = append(header, service.Header{Name: name, Value: value})
		}
	}
	set(s.fields.DeadlineMillis, strconv.FormatInt(remaining.Milliseconds(), 10))
	set(s.fields.ExpectInstance, place.Server.ID)
	set(s.fields.Workspace, r.workspace)
	if r.isGeneration() {
		set(s.fields.Urgency, strconv.Itoa(min(maxUrgency, max(0, r.priority))))
	}
	for _, h := range extra {
		header = removeField(header, h.Name)
		header = append(header, h)
	}
	return upstream.Request{Method: r.method, URI: r.uri, Host: r.host, Header: header, Body: r.body}
}

func removeField(header []service.Header, name string) []service.Header {
	kept := header[:0]
	for _, h := range header {
		if !strings.EqualFold(h.Name, name) {
			kept = append(kept, h)
		}
	}
	return kept
}

func classifyError(err error) failed {
	switch {
	case errors.Is(err, errNoRetryLeft):
		return failed{cause: retry.CauseOverload, err: err}
	case errors.Is(err, httpclient.ErrNotSent):
		return failed{cause: retry.CauseNotSent, err: err}
	case errors.Is(err, errOtherVersion):
		return failed{cause: retry.CauseRefused, err: err}
	}
	return failed{cause: retry.CauseLost, mayHaveRun: true, err: err}
}

// classifyResponse returns the result for a response. The request ID reveals a response to another
// request, a missing seal one that isn't the server's own.
func (s *Server) classifyResponse(r *request, response *upstream.Response) result {
	switch {
	case response.Get(s.fields.NotExecuted) != "", response.Status == http.StatusMisdirectedRequest:
		response.Close()
		return failed{cause: retry.CauseRefused, err: errRefused}
	case response.Get(s.fields.RequestID) != r.id, response.Get(s.fields.Seal) == "":
		response.Close()
		return failed{cause: retry.CauseLost, mayHaveRun: true, err: errForeignResponse}
	}
	return responded{response}
}

// The reasons why an attempt has no response for the caller.
var (
	errRefused         = merry.Sentinel("backend server refused the request")
	errForeignResponse = merry.Sentinel("response is not the server's response to this request")
	errOtherVersion    = merry.Sentinel("backend server has another version than the one that began the stream")
	errServerFailed    = merry.Sentinel("backend server failed the request")
)

// handleResult reports whether to make another attempt, or responds to the caller.
func (s *Server) handleResult(ctx context.Context, c *app.RequestContext, r *request, place balancer.Placement, t *attempts, res result) (bool, error) {
	now := s.opts.Now()
	id := place.Server.ID
	switch res := res.(type) {
	case streamDone:
		return false, res.err
	case responded:
		if res.response.Status < http.StatusMultipleChoices && len(res.response.Body) > 0 {
			s.recordRunEvent(r)
		}
		t.sends++
		t.possibleRuns++
		s.recordOutcome(place.Server, r, rollout.MetricAnswer, res.response.Status >= http.StatusInternalServerError, now.Sub(t.sentAt))
		if res.response.Status < http.StatusInternalServerError {
			s.opts.Retries.RecordSuccess(now, r.start, r.service.Name)
			if !res.response.Partial {
				s.recordAnswered(r)
				return false, s.writeResponse(c, r, res.response)
			}
			err := s.writeResponse(c, r, res.response)
			switch {
			case err == nil:
				s.recordAnswered(r)
			case errors.Is(err, errBodyLost):
				s.reportCrash(place.Server, r, err)
			}
			return false, err
		}
		t.keepResponse(res.response)
		return s.retryElsewhere(ctx, c, r, t, id, failed{cause: retry.CauseLost, mayHaveRun: true, err: errServerFailed})
	case failed:
		s.log.Info().Str("request", r.id).Str("server", id).Str("cause", string(res.cause)).Bool("mayHaveRun", res.mayHaveRun).
			Dur("took", now.Sub(r.start)).Err(res.err).Msg("attempt failed")
		if ctx.Err() != nil {
			if res.cause == retry.CauseLost && s.opts.Suspects != nil && s.opts.Suspects.hasCrashed(r.fingerprint, r.parts) {
				s.reportCrash(place.Server, r, res.err)
			}
			return false, s.callerGone(c)
		}
		if res.cause == retry.CauseLost {
			s.recordOutcome(place.Server, r, rollout.MetricAnswer, true, 0)
			s.awaitCrashCheck(ctx, r, s.reportCrash(place.Server, r, res.err))
		}
		if res.cause != retry.CauseRefused && res.cause != retry.CauseOverload && !s.opts.LinksLost() {
			s.opts.Balancer.RecordFailure(now, id)
		}
		switch res.cause {
		case retry.CauseNotSent:
			t.failedDials++
		case retry.CauseOverload:
		default:
			t.sends++
		}
		if res.mayHaveRun {
			t.possibleRuns++
		}
		return s.retryElsewhere(ctx, c, r, t, id, res)
	}
	return false, nil
}

func (t *attempts) keepResponse(response *upstream.Response) {
	t.dropResponse()
	t.lastResponse = response
}

// dropResponse closes the response that was kept, which releases its memory.
func (t *attempts) dropResponse() {
	if t.lastResponse != nil {
		t.lastResponse.Close()
		t.lastResponse = nil
	}
}

// retryElsewhere reports whether the request is sent to another server, after the backoff.
func (s *Server) retryElsewhere(ctx context.Context, c *app.RequestContext, r *request, t *attempts, id string, f failed) (bool, error) {
	t.excluded[id] = true
	now := s.opts.Now()
	switch {
	case !now.Before(r.startDeadline):
		return false, s.giveUp(c, r, t, timeoutFailure(t))
	case f.cause == retry.CauseNotSent && t.failedDials < maxDials:
		return true, nil
	case f.mayHaveRun && (!r.route.Repeatable() || t.possibleRuns >= r.route.MaxAttempts):
		return false, s.giveUp(c, r, t, lostFailure())
	}
	// Each dial beyond maxDials counts as an attempt.
	decision, ok := s.repeat(now, r, repeatAttempt, retry.Attempt{Number: max(1, t.sends, t.failedDials+1-maxDials), Cause: f.cause})
	if !ok || now.Add(decision.Delay).After(r.startDeadline) {
		return false, s.giveUp(c, r, t, refusedFailure(s.rng().Int64N(int64(fullRetryJitter))))
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return false, s.callerGone(c)
	}
}

// giveUp responds with the last failure response of a server if there is one, or with f, which says
// "not run" only if no server may have run the request.
func (s *Server) giveUp(c *app.RequestContext, r *request, t *attempts, f *answer.Failure) error {
	if response := t.lastResponse; response != nil {
		t.lastResponse = nil
		return s.writeResponse(c, r, response)
	}
	if t.possibleRuns > 0 && f.Outcome == answer.OutcomeNotRun {
		return lostFailure()
	}
	return f
}

func (s *Server) callerGone(c *app.RequestContext) error {
	c.SetConnectionClose()
	return &answer.Failure{Status: http.StatusBadGateway, Code: answer.CodeSlowCaller, Outcome: answer.OutcomeUnknown, Message: "the caller has disconnected"}
}

// writeResponse forwards a response. A short one is written by the codec after its memory has been
// released; a longer one is written here, in pieces.
func (s *Server) writeResponse(c *app.RequestContext, r *request, response *upstream.Response) error {
	defer response.Close()
	s.writeHead(c, response)
	if response.Partial || len(response.Body) > upstream.ShortBody {
		return s.relayBody(c, r, response)
	}
	c.Response.SetBody(response.Body)
	s.log.Info().Str("request", r.id).Int("status", response.Status).Dur("took", s.opts.Now().Sub(r.start)).Msg("response sent")
	return nil
}

// pieceBytes is the size of the pieces in which a body is written: each may take writeTimeout.
const pieceBytes = 16 << 10

// relayBody writes a body in pieces. If it breaks off, the connection is closed without the
// terminating chunk.
func (s *Server) relayBody(c *app.RequestContext, r *request, response *upstream.Response) error {
	writer := &abortableWriter{ExtWriter: resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()), conn: c.GetConn()}
	c.Response.HijackWriter(writer)
	body := io.Reader(bytes.NewReader(response.Body))
	if response.Partial {
		s.opts.Scope.Counter("responses_not_held").Inc(1)
		body = io.MultiReader(body, response.Stream())
	}
	piece := make([]byte, pieceBytes)
	for {
		n, readErr := body.Read(piece)
		err := readErr
		if n > 0 {
			err = errors.Join(writePiece(writer, piece[:n]), ignoreEOF(readErr))
		}
		if errors.Is(err, io.EOF) {
			s.log.Info().Str("request", r.id).Int("status", response.Status).Dur("took", s.opts.Now().Sub(r.start)).Msg("response sent")
			return nil
		}
		if err != nil {
			writer.aborted = true
			c.SetConnectionClose()
			s.opts.Scope.Counter("responses_cut").Inc(1)
			s.log.Warn().Str("request", r.id).Int("status", response.Status).Dur("took", s.opts.Now().Sub(r.start)).Err(err).Msg("response cut")
			if ignoreEOF(readErr) != nil {
				return merry.Wrap(errResponseAborted, merry.WithCause(errBodyLost))
			}
			return errResponseAborted
		}
	}
}

func writePiece(w network.ExtWriter, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return w.Flush()
}

// ignoreEOF returns err, but nil for the end of the input, which the next read returns again.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// writeHead forwards the status and the header fields of a response.
func (s *Server) writeHead(c *app.RequestContext, response *upstream.Response) {
	c.SetStatusCode(response.Status)
	for _, h := range response.Header {
		if strings.EqualFold(h.Name, "Content-Type") {
			c.Response.Header.SetContentType(h.Value)
			continue
		}
		c.Response.Header.Add(h.Name, h.Value)
	}
}
