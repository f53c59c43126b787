package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// cutoverTimeout is how long a stream that was stopped waits for the result of the cutover.
	cutoverTimeout = 1200 * time.Millisecond
	// stopTimeout limits the call to an engine whose stream has ended: the engine has exited and
	// refuses the connection, or must answer before callers notice a pause.
	stopTimeout = 120 * time.Millisecond
	// stopAttempts and stopRetryInterval limit the calls while an earlier migration request blocks
	// the engine: a copy takes at most half a second if nothing else waits.
	stopAttempts      = 8
	stopRetryInterval = 80 * time.Millisecond
	// maxResumes limits how often one stream is resumed after it broke off.
	maxResumes = 6
)

// abortableWriter writes a chunked body that can be left without its terminating chunk, which tells
// the caller that the response is incomplete.
type abortableWriter struct {
	network.ExtWriter
	conn    network.Conn
	aborted bool
}

// Finalize writes the terminating chunk, or closes the connection without it.
func (w *abortableWriter) Finalize() error {
	if w.aborted {
		return w.conn.Close()
	}
	return w.ExtWriter.Finalize()
}

// callerStream is one stream that is relayed to a caller.
type callerStream struct {
	s      *Server
	c      *app.RequestContext
	r      *request
	stream *activeStream
	writer *abortableWriter
	// observedTokens is how much of the output was observed for learning lengths.
	observedTokens int
	// originWait is how long the first event waited until another instance knew the stream's origin.
	originWait time.Duration
	// sentAt is when the request was sent to the current server.
	sentAt time.Time
	// movedOn is how often a request for the rest of the stream was given up to move the stream on.
	movedOn int
}

// stream sends a streaming request to one server and relays its events. The first event must arrive
// within limit.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, r *request, place balancer.Placement, limit time.Duration) result {
	cs := &callerStream{s: s, c: c, r: r, stream: s.streams.add(r, place), sentAt: s.opts.Now()}
	defer cs.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The limit may expire at the moment in which the first event is relayed.
	timer := time.AfterFunc(limit, func() {
		if cs.stream.expireFirstEvent() {
			cancel()
		}
	})
	defer timer.Stop()
	response, err := s.forward(ctx, r, place, repeatAttempt, nil, true)
	if err != nil {
		return classifyError(err)
	}
	for resumes := 0; ; resumes++ {
		var checked <-chan struct{}
		if res := s.classifyResponse(r, response); response.Status != http.StatusOK {
			return res
		} else if lost, ok := res.(failed); ok {
			return cs.abort(lost)
		}
		err = cs.relay(ctx, response)
		unframed := response.IsCloseDelimited()
		response.Close()
		switch {
		case err == nil:
			s.log.Info().Str("request", r.id).Int64("events", cs.stream.eventCount()).Dur("took", s.opts.Now().Sub(r.start)).
				Func(s.logExpected(r)).Msg("stream ended")
			cs.observeLength(false)
			if unframed {
				s.confirmEnd(cs.stream.server(), r)
			} else {
				s.recordAnswered(r)
			}
			return streamDone{}
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			return cs.abort(failed{cause: retry.CauseLost, mayHaveRun: true, err: err})
		case !cs.stream.isCuttingOver() && !cs.stream.hasNextRun() && !cs.stream.silenceConfirmed():
			s.recordBreak(s.opts.Now(), cs.stream)
			server := cs.stream.server()
			s.opts.Balancer.RecordFailure(s.opts.Now(), server.ID)
			checked = s.reportCrash(server, r, err)
			s.endTrials(r, crashsuspect.TrialFailed)
			if known, ok := s.opts.State.Server(server.ID); ok && !known.Leaving {
				s.recordOutcome(server, r, rollout.MetricAnswer, true, 0)
			}
		case cs.stream.silenceConfirmed() && !cs.stream.isCuttingOver() && !cs.stream.hasNextRun():
			// An engine that falls silent may be about to end.
			checked = s.reportCrash(cs.stream.server(), r, err)
			s.endTrials(r, crashsuspect.TrialFailed)
		}
		if resumes >= maxResumes {
			return cs.abort(failed{cause: retry.CauseLost, mayHaveRun: true, err: err})
		}
		next, rerr := cs.resume(ctx, checked)
		if rerr != nil {
			return cs.abort(failed{cause: retry.CauseLost, mayHaveRun: true, err: err})
		}
		response = next
	}
}

// end releases the load on the stream's server and on the target of an unfinished migration.
func (cs *callerStream) end() {
	cs.s.streams.remove(cs.stream)
	cs.s.opts.Balancer.Release(cs.stream.currentPlacement())
	cs.stream.releaseUnclaimed(cs.s.opts.Balancer.Release)
	if point, ok := cs.stream.takeCopy(); ok {
		cs.s.opts.Balancer.Release(point.target)
		cs.s.discardCopy(point)
	}
	if place, ok := cs.stream.nextPlace(); ok {
		cs.s.opts.Balancer.Release(place)
	}
}

// switchTo records the server on which the stream resumes; its load is reserved already.
func (cs *callerStream) switchTo(place balancer.Placement) {
	cs.s.opts.Balancer.Release(cs.stream.currentPlacement())
	cs.stream.resumeAt(place)
	cs.updateLoad()
}

// abort ends a stream that can't be resumed. Before its first event the attempt has failed and can
// be retried; after it, the connection is closed without the terminating chunk.
func (cs *callerStream) abort(lost failed) result {
	if cs.writer == nil {
		return lost
	}
	cs.writer.aborted = true
	cs.c.SetConnectionClose()
	cs.s.log.Warn().Str("request", cs.r.id).Str("server", cs.stream.server().ID).Int64("events", cs.stream.eventCount()).
		Dur("took", cs.s.opts.Now().Sub(cs.r.start)).Err(lost.err).Msg("stream cut")
	cs.s.opts.Scope.Counter("streams_cut").Inc(1)
	cs.observeLength(true)
	return streamDone{errResponseAborted}
}

// The reasons why a stream isn't resumed.
var (
	errFirstEventTimeout = merry.Sentinel("the first event exceeded its time limit")
	errCallerGone        = merry.Sentinel("the caller has disconnected")
	errCutoverRefused    = merry.Sentinel("the engine refused to stop the generation, which has ended")
	errSourceStillRuns   = merry.Sentinel("the source engine of the copy hasn't stopped the generation")
	errNotResumable      = merry.Sentinel("the route isn't resumable, or the retry budget is exhausted")
)

// relay forwards events until the stream ends. Nil means that the stream is complete.
func (cs *callerStream) relay(ctx context.Context, response *upstream.Response) error {
	cs.stream.startRead(cs.s.opts.Now(), response.Abort)
	pace := paceMeter{}
	events := newReadAhead(eventstream.NewSplitter(response.Stream()), cs.s.memory)
	defer events.close(response.Abort)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if cs.stream.isCuttingOver() && !cs.endedDespiteCutover(ctx) {
				return eventstream.ErrTruncated
			}
			if cs.writer == nil && cs.stream.lastEventID() == 0 && response.IsCloseDelimited() {
				// A server that crashes before its first event ends the connection in the same way.
				return merry.Wrap(eventstream.ErrTruncated)
			}
			if !cs.stream.acceptEvent() {
				return errFirstEventTimeout
			}
			if cs.writer == nil {
				cs.writeHead(response)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if !cs.stream.acceptEvent() {
			return errFirstEventTimeout
		}
		if ev.ID > 0 && ev.ID <= cs.stream.lastEventID() {
			continue
		}
		cs.s.recordRunEvent(cs.r)
		if cs.writer == nil {
			cs.recordOrigin(ctx)
			cs.writeHead(response)
		}
		events.beginWrite()
		cs.stream.setWriting(cs.s.opts.Now(), true)
		err = writePiece(cs.writer, ev.Bytes)
		cs.stream.setWriting(cs.s.opts.Now(), false)
		events.endWrite()
		if err != nil {
			return errCallerGone
		}
		now := cs.s.opts.Now()
		if interval, ok := cs.stream.recordEvent(now, ev.ID); ok {
			cs.s.recordPace(now, cs.stream.server(), interval)
		}
		cs.s.firstEvent(cs.stream)
		cs.recordEventAfterSilence()
		if interval, ok := pace.record(now); ok {
			cs.s.recordOutcome(cs.stream.server(), cs.r, rollout.MetricEventGap, false, interval)
		}
		if cs.stream.eventCount()%lengthEvents == 0 {
			cs.trackLength()
		}
	}
}

// endedDespiteCutover reports whether the stream has ended normally after its engine was asked
// to stop it: the engine refused.
func (cs *callerStream) endedDespiteCutover(ctx context.Context) bool {
	point, err := cs.stream.awaitCutover(ctx, cutoverTimeout)
	if err == nil && !point.refused {
		cs.stream.cutover <- point
	}
	return err == nil && point.refused
}

// writeHead writes the head of the response, that of the first server.
func (cs *callerStream) writeHead(response *upstream.Response) {
	cs.s.writeHead(cs.c, response)
	cs.writer = &abortableWriter{ExtWriter: resp.NewChunkedBodyWriter(&cs.c.Response, cs.c.GetWriter()), conn: cs.c.GetConn()}
	cs.c.Response.HijackWriter(cs.writer)
	cs.s.opts.Retries.RecordSuccess(cs.s.opts.Now(), cs.r.start, cs.r.service.Name)
	cs.s.recordOutcome(cs.stream.server(), cs.r, rollout.MetricAnswer, false, cs.s.opts.Now().Sub(cs.sentAt))
	cs.s.log.Info().Str("request", cs.r.id).Str("server", cs.stream.server().ID).Str("version", cs.stream.server().Version).
		Int64("after", cs.r.lastEventID).Str("resumes", cs.r.resumes).Dur("originWait", cs.originWait).Dur("took", cs.s.opts.Now().Sub(cs.r.start)).Msg("stream started")
}

// resume continues a stream that broke off: on the engine that it was migrated to, from a copy of
// its KV cache, or, if the route allows it, by a new request for the events after the last one. Before, it
// waits for the check of a server that it has lost.
func (cs *callerStream) resume(ctx context.Context, checked <-chan struct{}) (*upstream.Response, error) {
	if checked != nil {
		cs.s.awaitCrashCheck(ctx, cs.r, checked)
	}
	if place, ok := cs.stream.nextPlace(); ok {
		response, err := cs.resumeNextRun(ctx, place)
		if err == nil {
			return response, nil
		}
		cs.s.log.Warn().Str("request", cs.r.id).Str("server", place.Server.ID).Err(err).Msg("new run of a stream refused")
	}
	response, err := cs.resumeOnce(ctx)
	for cs.movesOn(ctx, err) {
		response, err = cs.resumeOnce(ctx)
	}
	return response, err
}

func (cs *callerStream) resumeOnce(ctx context.Context) (*upstream.Response, error) {
	if cs.stream.isCuttingOver() {
		response, err := cs.resumeMigrated(ctx)
		if err == nil {
			return response, nil
		}
		cs.s.log.Warn().Str("request", cs.r.id).Err(err).Msg("migrated generation not resumed")
		if errors.Is(err, errMovedOn) {
			return nil, err
		}
	}
	if point, ok := cs.stream.takeCopy(); ok {
		response, err := cs.resumeFromCopy(ctx, point)
		if err == nil {
			return response, nil
		}
		cs.s.log.Warn().Str("request", cs.r.id).Err(err).Msg("generation not resumed from its copy")
		if errors.Is(err, errMovedOn) {
			return nil, err
		}
	}
	if !cs.r.route.Resumable || cs.writer == nil {
		return nil, errNotResumable
	}
	return cs.restartElsewhere(ctx)
}

func (cs *callerStream) resumeMigrated(ctx context.Context) (*upstream.Response, error) {
	point, err := cs.stream.awaitCutover(ctx, cutoverTimeout)
	if err != nil {
		return nil, err
	}
	if point.refused {
		return nil, errCutoverRefused
	}
	if point.unconfirmed {
		return cs.resumeFromCopy(ctx, point)
	}
	return cs.resumeAt(ctx, point)
}

// resumeFromCopy resumes a generation from a copy that was made while it ran.
//
// The target engine lacks only the last tokens and computes them again. The source engine, if it is
// still running, is asked to stop first: the generation must not run on two engines.
func (cs *callerStream) resumeFromCopy(ctx context.Context, point resumePoint) (*upstream.Response, error) {
	if err := cs.awaitRetry(ctx, point); err != nil {
		return nil, err
	}
	if !cs.stopSource(ctx, point) {
		cs.s.opts.Balancer.Release(point.target)
		return nil, errSourceStillRuns
	}
	return cs.resumeAt(ctx, point)
}

// stopSource tells the source engine of a copy to stop the generation. It returns false only if the
// engine is running and hasn't stopped it, which it reports while it executes an earlier request
// for the same generation. An engine that can't be reached has exited.
func (cs *callerStream) stopSource(ctx context.Context, point resumePoint) bool {
	for range stopAttempts {
		stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		status, _, err := cs.s.sendMigration(stopCtx, cs.r.id, point.sourceAddress, point.target.Server.Address, true)
		cancel()
		cs.s.log.Info().Str("request", cs.r.id).Str("from", cs.stream.server().ID).Str("to", point.target.Server.ID).Int("status", status).Err(err).
			Msg("engine of a copied generation told to stop it")
		if status != http.StatusConflict {
			return true
		}
		if objectapi.Sleep(ctx, stopRetryInterval) != nil {
			return false
		}
	}
	return false
}

// resumeAt sends the request to the engine that has the KV cache.
func (cs *callerStream) resumeAt(ctx context.Context, point resumePoint) (*upstream.Response, error) {
	if err := cs.awaitRetry(ctx, point); err != nil {
		return nil, err
	}
	from := service.Header{Name: cs.s.fields.ResumeFrom, Value: cs.s.opts.Dialect.EncodeResumeFrom(point.sourceAddress, point.handle)}
	if cs.s.silence != nil {
		// Silence is detected on the server that the stream is on.
		cs.switchTo(point.target)
	}
	response, err := cs.send(ctx, point.target, repeatCopy, from)
	if cs.s.silence == nil {
		cs.switchTo(point.target)
	}
	cs.s.log.Info().Str("request", cs.r.id).Str("server", point.target.Server.ID).Str("version", point.target.Server.Version).
		Int64("after", cs.stream.lastEventID()).Err(err).Msg("generation goes on")
	return response, err
}

// awaitRetry reserves a retry for the request to a copy, or gives the copy up.
func (cs *callerStream) awaitRetry(ctx context.Context, point resumePoint) error {
	until := cs.s.opts.Now().Add(maxRetryWait)
	err := cs.s.awaitRetry(ctx, cs.r, func(now time.Time) bool { return now.Before(until) })
	if err != nil {
		cs.s.opts.Balancer.Release(point.target)
		cs.s.discardCopy(point)
	}
	return err
}

// restartElsewhere requests a resumable stream from another server, starting after its last event.
func (cs *callerStream) restartElsewhere(ctx context.Context) (*upstream.Response, error) {
	now := cs.s.opts.Now()
	t := &attempts{excluded: map[string]bool{cs.stream.server().ID: true}, resuming: true}
	if _, ok := cs.s.repeat(now, cs.r, repeatRestart, retry.Attempt{Number: 1, Cause: retry.CauseLost}); !ok {
		return nil, errNotResumable
	}
	place, refusal := cs.s.chooseServer(ctx, now, cs.r, t)
	if refusal != nil {
		return nil, refusal
	}
	point, err := cs.stopLost(ctx, place)
	if err != nil {
		cs.s.opts.Balancer.Release(place)
		return nil, err
	}
	if point.handle != "" {
		response, err := cs.resumeAt(ctx, point)
		if err == nil || errors.Is(err, errNoRetryLeft) {
			return response, err
		}
		if _, ok := cs.s.repeat(cs.s.opts.Now(), cs.r, repeatRestart, retry.Attempt{Number: 1, Cause: retry.CauseLost}); !ok {
			return nil, errNotResumable
		}
		return cs.send(ctx, place, repeatRestart)
	}
	cs.switchTo(place)
	return cs.send(ctx, place, repeatRestart)
}

func (cs *callerStream) send(ctx context.Context, place balancer.Placement, kind repeatKind, extra ...service.Header) (*upstream.Response, error) {
	if last := cs.stream.lastEventID(); last > 0 {
		extra = append(extra, service.Header{Name: cs.s.fields.LastEventID, Value: strconv.FormatInt(last, 10)})
	}
	if f := cs.s.refuseSuspect(cs.s.opts.Now(), cs.r); f != nil {
		return nil, f
	}
	if f := cs.s.admitRest(ctx, cs.r, cs.r.run.progress()); f != nil {
		return nil, f
	}
	cs.s.beginRun(cs.r)
	ctx = cs.askRest(ctx)
	response, err := cs.s.forward(ctx, cs.r, place, kind, extra, true)
	if err != nil {
		if classifyError(err).cause == retry.CauseLost && ctx.Err() == nil {
			cs.s.reportCrash(place.Server, cs.r, err)
			cs.s.endTrials(cs.r, crashsuspect.TrialFailed)
		}
		return nil, cs.askError(ctx, err)
	}
	if res, ok := cs.s.classifyResponse(cs.r, response).(failed); ok {
		return nil, res.err
	}
	if response.Status != http.StatusOK {
		response.Close()
		return nil, errServerFailed
	}
	return response, nil
}
