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
	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// handoverWait is how long a stream that was stopped for a move waits for
	// the move to end.
	handoverWait = 1200 * time.Millisecond
	// stopTimeout bounds the call to an engine whose stream has ended: it is
	// gone, and refuses, or has to answer before callers notice a pause.
	stopTimeout = 120 * time.Millisecond
	// stopTries and stopEvery bound the calls while an earlier order holds the
	// engine up: a copy takes half a second at most where nothing else waits.
	stopTries = 8
	stopEvery = 80 * time.Millisecond
	// maxResumes bounds how often one stream goes on after it was cut.
	maxResumes = 6
)

// breakable writes a chunked body that can be left without its end, which is
// how a caller learns that the answer isn't whole.
type breakable struct {
	network.ExtWriter
	conn   network.Conn
	broken bool
}

// Finalize writes the end of the body, or closes the connection without it.
func (b *breakable) Finalize() error {
	if b.broken {
		return b.conn.Close()
	}
	return b.ExtWriter.Finalize()
}

// flow is one stream towards a caller.
type flow struct {
	s      *Server
	c      *app.RequestContext
	r      *request
	run    *run
	writer *breakable
	// sent is when the present server was sent the request.
	sent time.Time
}

// stream sends a request for a stream to one server and relays what comes. The
// first event may take limit.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, r *request, place balancer.Place, limit time.Duration) result {
	f := &flow{s: s, c: c, r: r, run: s.runs.begin(r, place), sent: s.opts.Now()}
	defer f.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The time may end in the moment in which the first event is passed on.
	timer := time.AfterFunc(limit, func() {
		if f.run.expire() {
			cancel()
		}
	})
	defer timer.Stop()
	a, err := s.upstream.Do(ctx, place.Server.Address, s.outgoing(s.opts.Now(), r, place, nil), true)
	if err != nil {
		return lostOf(err)
	}
	for resumes := 0; ; resumes++ {
		if res := s.checked(r, a); a.Status != http.StatusOK {
			return res
		} else if lost, ok := res.(failed); ok {
			return f.cut(lost)
		}
		err = f.relay(ctx, a)
		a.Close()
		switch {
		case err == nil:
			s.log.Info().Str("request", r.id).Int64("events", f.run.position()).Dur("took", s.opts.Now().Sub(r.start)).Msg("stream ended")
			s.opts.Retries.RecordSuccess(s.opts.Now(), r.service.Name)
			s.clearSuspect(s.opts.Now(), r)
			return ended{}
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			return f.cut(failed{cause: retry.CauseLost, ran: true, err: err})
		case !f.run.stopped():
			server := f.run.server()
			s.opts.Balancer.Failed(s.opts.Now(), server.ID)
			s.reportCrash(server, r)
			if known, ok := s.opts.State.Server(server.ID); ok && !known.Leaving {
				s.note(server, r, rollout.MetricAnswer, true, 0)
			}
		}
		if resumes >= maxResumes {
			return f.cut(failed{cause: retry.CauseLost, ran: true, err: err})
		}
		next, rerr := f.resume(ctx)
		if rerr != nil {
			return f.cut(failed{cause: retry.CauseLost, ran: true, err: err})
		}
		a = next
	}
}

// end takes the stream's load off its server, and off the one that it was
// about to be moved to.
func (f *flow) end() {
	f.s.runs.end(f.run)
	f.s.opts.Balancer.Done(f.run.where())
	f.run.unclaimed(f.s.opts.Balancer.Done)
	if h, ok := f.run.takeCopy(); ok {
		f.s.opts.Balancer.Done(h.to)
		f.s.discard(h)
	}
}

// switchTo notes where the stream goes on; its load is counted there already.
func (f *flow) switchTo(place balancer.Place) {
	f.s.opts.Balancer.Done(f.run.where())
	f.run.moveTo(place)
}

// cut ends a stream that can't go on. Before its first event it is an attempt
// that failed; after it, the connection is closed without the body's end.
func (f *flow) cut(lost failed) result {
	if f.writer == nil {
		return lost
	}
	f.writer.broken = true
	f.c.SetConnectionClose()
	f.s.log.Warn().Str("request", f.r.id).Str("server", f.run.server().ID).Int64("events", f.run.position()).
		Dur("took", f.s.opts.Now().Sub(f.r.start)).Err(lost.err).Msg("stream cut")
	f.s.opts.Scope.Counter("streams_cut").Inc(1)
	return ended{errBroken}
}

// Why a stream doesn't go on.
var (
	errTooLate      = merry.Sentinel("the first event came too late")
	errCallerGone   = merry.Sentinel("the caller has left")
	errNotStopped   = merry.Sentinel("the engine refused to stop the generation, which ended")
	errStillRuns    = merry.Sentinel("the engine that the generation was copied from hasn't stopped it")
	errNotResumable = merry.Sentinel("the route doesn't allow it to go on elsewhere, or the retry budget is spent")
)

// relay passes events on until the stream ends. Nil means that it is whole.
func (f *flow) relay(ctx context.Context, a *upstream.Answer) error {
	f.run.reads(f.s.opts.Now(), a.Abort)
	pace := paceMeter{}
	events := eventstream.NewSplitter(a.Stream())
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			if f.run.stopped() && !f.wholeAfterAll(ctx) {
				return eventstream.ErrCut
			}
			if !f.run.begins() {
				return errTooLate
			}
			if f.writer == nil {
				f.begin(a)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if !f.run.begins() {
			return errTooLate
		}
		if ev.ID > 0 && ev.ID <= f.run.last() {
			continue
		}
		if f.writer == nil {
			f.begin(a)
		}
		if _, err := f.writer.Write(ev.Bytes); err != nil {
			return errCallerGone
		}
		if err := f.writer.Flush(); err != nil {
			return errCallerGone
		}
		now := f.s.opts.Now()
		f.run.advance(now, ev.ID)
		if took, ok := pace.event(now); ok {
			f.s.note(f.run.server(), f.r, rollout.MetricEventGap, false, took)
		}
	}
}

// wholeAfterAll reports whether a stream has ended by itself although its engine
// was told to stop it: the engine refused.
func (f *flow) wholeAfterAll(ctx context.Context) bool {
	h, err := f.run.await(ctx, handoverWait)
	if err == nil && !h.refused {
		f.run.handed <- h
	}
	return err == nil && h.refused
}

// begin writes the head of the answer, that of the first server.
func (f *flow) begin(a *upstream.Answer) {
	f.s.head(f.c, a)
	f.writer = &breakable{ExtWriter: resp.NewChunkedBodyWriter(&f.c.Response, f.c.GetWriter()), conn: f.c.GetConn()}
	f.c.Response.HijackWriter(f.writer)
	f.s.note(f.run.server(), f.r, rollout.MetricAnswer, false, f.s.opts.Now().Sub(f.sent))
	f.s.log.Info().Str("request", f.r.id).Str("server", f.run.server().ID).Dur("took", f.s.opts.Now().Sub(f.r.start)).Msg("stream begins")
}

// resume goes on with a stream that was cut: where its memory was moved to,
// from a copy of it, or anew after its last event where the route allows it.
func (f *flow) resume(ctx context.Context) (*upstream.Answer, error) {
	if f.run.stopped() {
		a, err := f.resumeMoved(ctx)
		if err == nil {
			return a, nil
		}
		f.s.log.Warn().Str("request", f.r.id).Err(err).Msg("moved generation didn't go on")
	}
	if h, ok := f.run.takeCopy(); ok {
		a, err := f.resumeCopied(ctx, h)
		if err == nil {
			return a, nil
		}
		f.s.log.Warn().Str("request", f.r.id).Err(err).Msg("copied generation didn't go on")
	}
	if !f.r.route.Resumable || f.writer == nil {
		return nil, errNotResumable
	}
	return f.resumeAnew(ctx)
}

func (f *flow) resumeMoved(ctx context.Context) (*upstream.Answer, error) {
	moved, err := f.run.await(ctx, handoverWait)
	if err != nil {
		return nil, err
	}
	if moved.refused {
		return nil, errNotStopped
	}
	if moved.unsure {
		return f.resumeCopied(ctx, moved)
	}
	return f.goOnAt(ctx, moved)
}

// resumeCopied goes on from a copy that was made while the generation ran.
//
// The other engine has all but the last tokens and reads those anew. Should the
// first engine still be there, it is told to stop: the generation must not go on
// at two.
func (f *flow) resumeCopied(ctx context.Context, h handover) (*upstream.Answer, error) {
	if !f.stopAt(ctx, h) {
		f.s.opts.Balancer.Done(h.to)
		return nil, errStillRuns
	}
	return f.goOnAt(ctx, h)
}

// stopAt tells the engine that a copy was made from to stop the generation. It
// reports false only where the engine is there and hasn't stopped it: it says
// so while it is at work on an earlier order for the same generation. One that
// can't be reached is gone.
func (f *flow) stopAt(ctx context.Context, h handover) bool {
	for range stopTries {
		stop, cancel := context.WithTimeout(ctx, stopTimeout)
		status, _, err := f.s.order(stop, f.r.id, h.source, h.to.Server.Address, true)
		cancel()
		f.s.log.Info().Str("request", f.r.id).Str("from", f.run.server().ID).Str("to", h.to.Server.ID).Int("status", status).Err(err).
			Msg("engine lost, told to stop the generation that was copied")
		if status != http.StatusConflict {
			return true
		}
		if objectapi.Pause(ctx, stopEvery) != nil {
			return false
		}
	}
	return false
}

// goOnAt sends the request to the engine that has its memory.
func (f *flow) goOnAt(ctx context.Context, h handover) (*upstream.Answer, error) {
	from := service.Header{Name: f.s.fields.CarryFrom, Value: f.s.opts.Dialect.CarryFrom(h.source, h.handle)}
	a, err := f.send(ctx, h.to, from)
	f.switchTo(h.to)
	f.s.log.Info().Str("request", f.r.id).Str("server", h.to.Server.ID).Int64("after", f.run.last()).Err(err).Msg("generation goes on")
	return a, err
}

// resumeAnew starts a resumable stream at another server, after its last event.
func (f *flow) resumeAnew(ctx context.Context) (*upstream.Answer, error) {
	now := f.s.opts.Now()
	t := &attempts{excluded: map[string]bool{f.run.server().ID: true}, resumes: true}
	if _, ok := f.s.opts.Retries.Decide(now, f.r.service.Name, retry.Attempt{Number: 1, Cause: retry.CauseLost}).(retry.Again); !ok {
		return nil, errNotResumable
	}
	place, refusal := f.s.place(ctx, now, f.r, t)
	if refusal != nil {
		return nil, refusal
	}
	f.switchTo(place)
	return f.send(ctx, place)
}

func (f *flow) send(ctx context.Context, to balancer.Place, more ...service.Header) (*upstream.Answer, error) {
	if last := f.run.last(); last > 0 {
		more = append(more, service.Header{Name: f.s.fields.LastEventID, Value: strconv.FormatInt(last, 10)})
	}
	a, err := f.s.upstream.Do(ctx, to.Server.Address, f.s.outgoing(f.s.opts.Now(), f.r, to, more), true)
	if err != nil {
		return nil, err
	}
	if res, ok := f.s.checked(f.r, a).(failed); ok {
		return nil, res.err
	}
	if a.Status != http.StatusOK {
		a.Close()
		return nil, errServerFailed
	}
	return a, nil
}
