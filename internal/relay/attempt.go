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

// attempt is one run of a generation on one start of one backend server.
type attempt struct {
	life        *life
	permit      permit.Permit
	request     string
	address     string
	incarnation string
	progress    progress
	conn        *connection
	// known says that the engine has shown that it has the generation.
	known bool
	// finished says that the event with the finish reason was delivered.
	finished bool
	// starting says that the engine hasn't answered the first connection.
	starting bool
	// resumed says that another handler started the generation and holds its
	// permit; this one never cancels it.
	resumed bool
	// cuts counts connections that broke since the last event, unreached
	// those that broke or stayed without an answer since the engine last gave
	// one.
	cuts      int
	unreached int
	// retryAt is when a broken connection is replaced; zero while one is open.
	retryAt time.Time
	// probeAt is when a silent stream is probed.
	probeAt    time.Time
	sent       time.Time
	firstToken time.Duration
	tokens     int
	// gone says that the caller has gone; until is when the generation is
	// then cancelled, zero for never.
	gone  bool
	until time.Time
}

func newAttempt(l *life, p permit.Permit, request string) *attempt {
	return &attempt{life: l, permit: p, request: request, address: p.Address, starting: true}
}

func (a *attempt) outcome(e permit.Ending) permit.Outcome {
	o := permit.Outcome{Ending: e, OutputTokens: a.tokens, FirstToken: a.firstToken}
	if !a.sent.IsZero() {
		o.Duration = time.Since(a.sent)
	}
	return o
}

// run starts the generation and drives it to its end.
func (a *attempt) run() result {
	now := time.Now()
	a.sent, a.progress.since = now, now
	if err := a.open(a.start); err != nil {
		return *a.startFailed(err)
	}
	return a.drive()
}

// drive handles what happens until the generation has ended.
func (a *attempt) drive() result {
	defer func() { a.conn.close() }()
	a.probeAt = a.progress.since.Add(a.life.relay.opts.Stall)
	timer := time.NewTimer(a.life.relay.opts.Stall)
	defer timer.Stop()
	gone := a.life.caller.Done()
	for {
		var res *result
		select {
		case s := <-a.conn.signals:
			res = a.onSignal(time.Now(), s)
		case <-timer.C:
			res = a.onTimer(time.Now())
		case <-gone:
			gone = nil
			res = a.onCallerGone(time.Now())
		case <-a.life.relay.evicted.Done():
			return *a.onEvicted()
		}
		if res != nil {
			return *res
		}
		timer.Reset(a.untilTimer(time.Now()))
	}
}

func (a *attempt) step(now time.Time, what journal.StepKind, count int64) {
	a.life.steps.Add(journal.Step{At: now, Kind: what, Server: a.permit.Server, Count: count})
}

func (a *attempt) open(d dial) error {
	c, err := connect(a.life.ctx, a.life.relay.pumps, d)
	if err != nil {
		return err
	}
	if a.conn != nil {
		a.conn.close()
	}
	a.conn = c
	return nil
}

// start sends the request. Just before the first byte it checks the permit
// and the configuration: a process that was paused in between would send
// although its place has gone to another, or to a zone taken out meanwhile.
func (a *attempt) start(ctx context.Context) (Stream, error) {
	l := a.life
	_, span := l.span("engine.start", attribute.String("server", a.permit.Server), attribute.String("engine.request", a.request))
	defer span.End()
	now := time.Now()
	if !l.relay.opts.Permits.MaySend(now, a.permit) || l.caller.Err() != nil || !l.relay.opts.Confirmed(now) {
		return nil, errPermitExpired
	}
	l.steps.Add(journal.Step{At: now, Kind: journal.Sent, Server: a.permit.Server})
	return l.relay.opts.Engine.Start(withSpan(ctx, span), a.address, EngineRequest{
		ID: a.request, Path: l.job.Path, Body: l.job.Body,
	})
}

// resume returns a dial that goes on after the present position.
func (a *attempt) resume() dial {
	after := a.progress.last
	return func(ctx context.Context) (Stream, error) {
		_, span := a.life.span("engine.resume",
			attribute.String("server", a.permit.Server), attribute.String("engine.request", a.request),
			attribute.Int64("after", after))
		defer span.End()
		return a.life.relay.opts.Engine.Resume(withSpan(ctx, span), a.address, a.request, after)
	}
}

func (a *attempt) onSignal(now time.Time, s signal) *result {
	switch s := s.(type) {
	case attached:
		return a.onAttached(s)
	case arrived:
		return a.onEvent(now, s.event)
	case broken:
		return a.onBroken(now, s.err)
	}
	return nil
}

// onAttached checks that the connection leads to the same start of the engine.
//
// An engine that was replaced at its address may know another generation
// under any id; its tokens would be spliced into this one's.
func (a *attempt) onAttached(s attached) *result {
	if a.incarnation == "" {
		a.incarnation = s.incarnation
	}
	if s.incarnation != a.incarnation {
		return a.lost(permit.EndingCrashed)
	}
	a.known, a.starting = true, false
	a.unreached, a.conn.answered = 0, true
	return nil
}

func (a *attempt) onEvent(now time.Time, e *Event) *result {
	silent := a.progress.silent(now)
	switch a.progress.accept(now, e.Position) {
	case duplicate:
		return nil
	case gap:
		return a.onGap(now)
	case deliver:
	}
	a.measure(now, silent)
	a.cuts = 0
	a.probeAt = now.Add(a.life.relay.opts.Stall)
	if e.FinishReason != "" {
		a.finished = true
	} else {
		a.tokens++
		a.life.steps.SetOutputTokens(e.Position)
	}
	return a.deliver(now, e)
}

func (a *attempt) measure(now time.Time, silent time.Duration) {
	m := &a.life.relay.metrics
	if a.firstToken == 0 {
		a.firstToken = now.Sub(a.sent)
		m.firstToken.RecordDuration(a.firstToken)
		a.step(now, journal.FirstToken, a.firstToken.Milliseconds())
		return
	}
	m.betweenTokens.RecordDuration(silent)
	if stall := a.life.relay.opts.Stall; silent > stall {
		m.stall.RecordDuration(silent)
		a.step(now, journal.Stalled, silent.Milliseconds())
	}
}

func (a *attempt) deliver(now time.Time, e *Event) *result {
	l := a.life
	if !l.begun || (!l.job.Streamed && e.Position == 1) {
		l.push(Begun{Permit: a.permit, Request: a.request, Incarnation: a.incarnation})
		l.begun = true
	}
	if !l.push(Token{e}) && !a.gone {
		return a.onCallerGone(now)
	}
	return nil
}

// onBroken handles the end of a connection.
func (a *attempt) onBroken(now time.Time, err error) *result {
	if a.whole(err) {
		return &result{ending: permit.EndingFinished}
	}
	if a.starting {
		a.starting = false
		if res := a.startFailed(err); res != nil {
			return res
		}
	}
	a.life.relay.opts.Permits.ReportBroken(now, a.permit)
	if errors.Is(err, ErrUnknownStream) {
		// It restarted, most likely; its owner waits for a report to know.
		return a.lost(permit.EndingCrashed)
	}
	a.cuts++
	a.unreached++
	if !a.life.begun && a.unreached > 1 {
		return a.unreachable()
	}
	a.retryAt = now.Add(reconnectDelay(a.cuts))
	return nil
}

// whole reports whether all events were delivered when a connection ended. An
// engine may forget a generation after its last event, so not knowing it any
// more is then no loss.
func (a *attempt) whole(err error) bool {
	ended := errors.Is(err, io.EOF) || errors.Is(err, ErrUnknownStream)
	nothingLeft := a.resumed && a.tokens == 0 && errors.Is(err, io.EOF)
	return (ended && a.finished) || nothingLeft
}

// onGap leaves a connection that skipped positions and resumes where it did.
func (a *attempt) onGap(now time.Time) *result {
	a.progress.gaps++
	a.life.relay.metrics.gaps.Inc(1)
	a.step(now, journal.Reconnected, a.progress.last)
	if a.progress.gaps > maxGaps {
		return a.gapFailure()
	}
	a.reconnect(now)
	return nil
}

// onCallerGone decides about a generation that nobody reads: what has begun
// streaming may be come back for, anything else is cancelled at once.
func (a *attempt) onCallerGone(now time.Time) *result {
	if a.gone {
		return nil
	}
	a.gone = true
	a.step(now, journal.CallerGone, a.progress.last)
	a.life.detach()
	if a.resumed || !a.life.job.Streamed || !a.life.begun {
		return a.cancel(callerGoneFailure())
	}
	a.until = now.Add(a.life.relay.opts.Grace)
	return nil
}

// onGraceOver cancels a generation whose caller didn't come back. When
// another handler has taken it over, this one goes on reading, so that the
// permit is held until the engine has finished, but never cancels. The limit
// on the output bounds how long that can be.
func (a *attempt) onGraceOver() *result {
	a.until = time.Time{}
	if a.life.takenOver.Load() {
		return nil
	}
	return a.cancel(callerGoneFailure())
}

// startFailed returns the result of a start that surely didn't run, or nil.
func (a *attempt) startFailed(err error) *result {
	var refused *RefusedError
	switch {
	case errors.Is(err, errPermitExpired):
		return &result{ending: permit.EndingNotSent, failure: errExpiredFailure}
	case errors.Is(err, ErrNotSent):
		return &result{ending: permit.EndingNotSent, failure: notSentFailure(), again: true, cause: retry.CauseNotSent}
	case errors.As(err, &refused):
		return refusedResult(refused)
	}
	return nil
}
