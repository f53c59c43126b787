package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
)

// attempt is one try of a request on one incarnation of one backend server.
type attempt struct {
	session     *session
	permit      permit.Permit
	request     string
	address     string
	incarnation string
	progress    progress
	conn        *connection
	// acknowledged is set once the engine has confirmed that it has the generation.
	acknowledged bool
	// finished is set once the event with the finish reason was delivered.
	finished bool
	// starting is set until the engine has answered the first connection.
	starting bool
	// resumed is set if another handler started the generation and holds its permit. Such an
	// attempt never cancels the generation.
	resumed bool
	// disconnects counts the connections that broke since the last event, unanswered those that
	// broke or got no answer since the engine last answered.
	disconnects int
	unanswered  int
	// reconnectAt is when a broken connection is replaced; zero while one is open.
	reconnectAt time.Time
	// probeAt is when a silent stream is probed.
	probeAt    time.Time
	sentAt     time.Time
	firstToken time.Duration
	tokens     int
	// callerGone is set once the caller has disconnected; cancelAt is when the generation is then
	// cancelled, zero for never.
	callerGone bool
	cancelAt   time.Time
}

func newAttempt(s *session, p permit.Permit, request string) *attempt {
	return &attempt{session: s, permit: p, request: request, address: p.Address, starting: true}
}

func (a *attempt) outcome(res *result) permit.Outcome {
	o := permit.Outcome{Ending: res.ending, OutputTokens: a.tokens, FirstToken: a.firstToken, Pause: res.pause}
	if !a.sentAt.IsZero() {
		o.Duration = time.Since(a.sentAt)
	}
	return o
}

// run starts the generation and relays it until it ends.
func (a *attempt) run() result {
	now := time.Now()
	a.sentAt, a.progress.lastEventAt = now, now
	if err := a.open(a.start); err != nil {
		return *a.startFailureResult(err)
	}
	return a.eventLoop()
}

// eventLoop handles signals, timeouts and cancellation until the generation has ended.
func (a *attempt) eventLoop() result {
	defer func() { a.conn.close() }()
	a.probeAt = a.progress.lastEventAt.Add(a.session.relay.opts.StallTimeout)
	timer := time.NewTimer(a.session.relay.opts.StallTimeout)
	defer timer.Stop()
	callerGone := a.session.callerCtx.Done()
	for {
		var res *result
		select {
		case s := <-a.conn.signals:
			res = a.onSignal(time.Now(), s)
		case <-timer.C:
			res = a.onTimer(time.Now())
		case <-callerGone:
			callerGone = nil
			res = a.onCallerGone(time.Now())
		case <-a.session.relay.evicted.Done():
			return *a.onEvicted()
		}
		if res != nil {
			return *res
		}
		timer.Reset(a.nextTimeout(time.Now()))
	}
}

func (a *attempt) recordStep(now time.Time, what journal.StepKind, count int64) {
	a.session.entry.Add(journal.Step{At: now, Kind: what, Server: a.permit.Server, Count: count})
}

func (a *attempt) open(d dial) error {
	c, err := connect(a.session.ctx, a.session.relay.readers, d)
	if err != nil {
		return err
	}
	if a.conn != nil {
		a.conn.close()
	}
	a.conn = c
	return nil
}

// start sends the request. Just before the first byte it checks the permit and the configuration
// again: after a pause of the process, the slot may have been given to another request or the
// availability zone may have been drained.
func (a *attempt) start(ctx context.Context) (Stream, error) {
	s := a.session
	_, span := s.span("engine.start", attribute.String("server", a.permit.Server), attribute.String("engine.request", a.request))
	defer span.End()
	now := time.Now()
	if !s.relay.opts.Permits.MaySend(now, a.permit) || s.callerCtx.Err() != nil || !s.relay.opts.Confirmed(now) {
		return nil, errPermitExpired
	}
	s.entry.Add(journal.Step{At: now, Kind: journal.Sent, Server: a.permit.Server})
	return s.relay.opts.Engine.Start(withSpan(ctx, span), a.address, EngineRequest{
		ID: a.request, Path: s.job.Path, Body: s.job.Body,
	})
}

// resume returns a dial that continues after the last accepted position.
func (a *attempt) resume() dial {
	after := a.progress.lastPosition
	return func(ctx context.Context) (Stream, error) {
		_, span := a.session.span("engine.resume",
			attribute.String("server", a.permit.Server), attribute.String("engine.request", a.request),
			attribute.Int64("after", after))
		defer span.End()
		return a.session.relay.opts.Engine.Resume(withSpan(ctx, span), a.address, a.request, after)
	}
}

func (a *attempt) onSignal(now time.Time, s signal) *result {
	switch s := s.(type) {
	case connected:
		return a.onConnected(s)
	case eventReceived:
		return a.onEvent(now, s.event)
	case disconnected:
		return a.onDisconnected(now, s.err)
	}
	return nil
}

// onConnected checks that the connection leads to the same incarnation of the engine.
//
// An engine that replaced another one at the same address may have a different generation under
// the same ID, whose tokens must not be mixed into this one.
func (a *attempt) onConnected(s connected) *result {
	if a.incarnation == "" {
		a.incarnation = s.incarnation
	}
	if s.incarnation != a.incarnation {
		return a.failLost(permit.EndingCrashed)
	}
	a.acknowledged, a.starting = true, false
	a.unanswered, a.conn.answered = 0, true
	return nil
}

func (a *attempt) onEvent(now time.Time, e *Event) *result {
	silence := a.progress.silentFor(now)
	switch a.progress.accept(now, e.Position) {
	case duplicate:
		return nil
	case gap:
		return a.onGap(now)
	case deliver:
	}
	a.recordLatency(now, silence)
	a.disconnects = 0
	a.probeAt = now.Add(a.session.relay.opts.StallTimeout)
	if e.FinishReason != "" {
		a.finished = true
	} else {
		a.tokens++
		a.session.entry.SetOutputTokens(e.Position)
	}
	return a.deliver(now, e)
}

func (a *attempt) recordLatency(now time.Time, silence time.Duration) {
	m := &a.session.relay.metrics
	if a.firstToken == 0 {
		a.firstToken = now.Sub(a.sentAt)
		m.firstToken.RecordDuration(a.firstToken)
		a.recordStep(now, journal.FirstToken, a.firstToken.Milliseconds())
		return
	}
	m.betweenTokens.RecordDuration(silence)
	if stall := a.session.relay.opts.StallTimeout; silence > stall {
		m.stall.RecordDuration(silence)
		a.recordStep(now, journal.Stalled, silence.Milliseconds())
	}
}

func (a *attempt) deliver(now time.Time, e *Event) *result {
	s := a.session
	if !s.started || (!s.job.Streamed && e.Position == 1) {
		s.push(Started{Permit: a.permit, RequestID: a.request, Incarnation: a.incarnation})
		s.started = true
	}
	if !s.push(Token{e}) && !a.callerGone {
		return a.onCallerGone(now)
	}
	return nil
}

// onDisconnected handles the end of a connection.
func (a *attempt) onDisconnected(now time.Time, err error) *result {
	if a.deliveredAll(err) {
		return &result{ending: permit.EndingFinished}
	}
	if a.starting {
		a.starting = false
		if res := a.startFailureResult(err); res != nil {
			return res
		}
	}
	a.session.relay.opts.Permits.ReportBroken(now, a.permit)
	if errors.Is(err, ErrUnknownStream) {
		// The engine most likely restarted; the server's owner learns that only from the next load
		// report.
		return a.failLost(permit.EndingCrashed)
	}
	a.disconnects++
	a.unanswered++
	if !a.session.started && a.unanswered > 1 {
		return a.failUnreachable()
	}
	a.reconnectAt = now.Add(reconnectDelay(a.disconnects))
	return nil
}

// deliveredAll reports whether all events were delivered when a connection ended. An engine may
// drop a generation after its last event, so ErrUnknownStream is then not a failure.
func (a *attempt) deliveredAll(err error) bool {
	ended := errors.Is(err, io.EOF) || errors.Is(err, ErrUnknownStream)
	nothingLeft := a.resumed && a.tokens == 0 && errors.Is(err, io.EOF)
	return (ended && a.finished) || nothingLeft
}

// onGap replaces a connection that skipped positions and resumes before the gap.
func (a *attempt) onGap(now time.Time) *result {
	a.progress.gaps++
	a.session.relay.metrics.gaps.Inc(1)
	a.recordStep(now, journal.Reconnected, a.progress.lastPosition)
	if a.progress.gaps > maxGaps {
		return a.failGap()
	}
	a.reconnect(now)
	return nil
}

// onCallerGone handles a generation whose caller has disconnected. A stream that has started is
// kept for the grace period, so that the caller can resume it; anything else is cancelled at once.
func (a *attempt) onCallerGone(now time.Time) *result {
	if a.callerGone {
		return nil
	}
	a.callerGone = true
	a.recordStep(now, journal.CallerGone, a.progress.lastPosition)
	a.session.detach()
	if a.resumed || !a.session.job.Streamed || !a.session.started {
		return a.cancel(callerGoneFailure())
	}
	a.cancelAt = now.Add(a.session.relay.opts.GracePeriod)
	return nil
}

// onGraceExpired cancels a generation whose caller didn't reconnect. If another handler has taken
// it over, this one keeps reading, so that the permit is held until the engine has finished, and
// never cancels. The output limit bounds how long that takes.
func (a *attempt) onGraceExpired() *result {
	a.cancelAt = time.Time{}
	if a.session.takenOver.Load() {
		return nil
	}
	return a.cancel(callerGoneFailure())
}

// startFailureResult returns the result of a start that certainly didn't run, or nil.
func (a *attempt) startFailureResult(err error) *result {
	var refused *RefusedError
	switch {
	case errors.Is(err, errPermitExpired):
		return &result{ending: permit.EndingNotSent, failure: permitExpiredFailure}
	case errors.Is(err, ErrNotSent):
		return &result{ending: permit.EndingNotSent, failure: notSentFailure(), retryable: true, cause: retry.CauseNotSent}
	case errors.As(err, &refused):
		return refusedResult(refused)
	}
	return nil
}
