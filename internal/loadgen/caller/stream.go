package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/uuid"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// generationStream receives one generation, over one or more connections.
type generationStream struct {
	caller  *Caller
	request workload.Request
	arrival time.Time

	result  measure.Stream
	checker tokenChecker
	// id is the generation ID, needed to resume.
	id string
	// lastTokenAt is when the last token arrived.
	lastTokenAt time.Time
	// attempt selects the instance; it increases when an instance fails.
	attempt int
}

// chatBody is the request body of a chat completion.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// run receives the generation until it ends and returns its result.
func (s *generationStream) run(ctx context.Context) measure.Stream {
	s.result = measure.Stream{Kind: s.request.Kind, Workspace: s.request.Workspace}
	resp := s.start(ctx)
	for resp != nil {
		done := s.read(ctx, resp)
		resp.Close()
		if done {
			break
		}
		resp = s.resume(ctx)
	}
	s.result.Tokens = s.checker.tokens
	s.result.Faults = s.checker.faults
	s.result.Duration = time.Since(s.arrival)
	return s.result
}

func (s *generationStream) setOutcome(outcome measure.Outcome, code string) {
	s.result.Outcome, s.result.Code = outcome, code
}

// start sends the request until an instance accepts it or the retry timeout passes.
func (s *generationStream) start(ctx context.Context) *httpclient.Response {
	g := s.request.Generation
	body, err := json.Marshal(chatBody{
		Model: g.Model, Stream: true, MaxTokens: g.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: g.Prompt}},
	})
	if err != nil {
		s.setOutcome(measure.Failed, "badBody")
		return nil
	}
	deadline := s.arrival.Add(s.caller.retryTimeout(s.request))
	for {
		resp, f := s.sendRequest(ctx, body)
		if resp != nil {
			return resp
		}
		s.result.Refusals++
		delay := f.retryDelay()
		switch {
		case ctx.Err() != nil:
			s.setOutcome(measure.Failed, "runEnded")
			return nil
		case !f.isNotRun() && f.Error.Code != codeConnectionLost:
			s.setOutcome(measure.Failed, f.Error.Code)
			return nil
		case time.Now().Add(delay).After(deadline):
			s.setOutcome(measure.Refused, f.Error.Code)
			return nil
		}
		// If ctx ended meanwhile, the next attempt fails and the loop returns.
		sleep(ctx, delay)
	}
}

// codeConnectionLost is the error code that the caller itself assigns to a failed connection.
const codeConnectionLost = "connectionLost"

func connectionLostFailure() failure {
	var f failure
	f.Error.Code = codeConnectionLost
	return f
}

// sendRequest makes one attempt to start the generation.
func (s *generationStream) sendRequest(ctx context.Context, body []byte) (*httpclient.Response, failure) {
	address, err := s.nextAddress(ctx)
	if err != nil {
		return nil, connectionLostFailure()
	}
	r := newRequest(http.MethodPost, address, "/v1/chat/completions", s.request.Token)
	defer protocol.ReleaseRequest(r)
	r.Header.SetContentTypeBytes([]byte("application/json"))
	if s.caller.opts.Direct {
		r.Header.Set("X-Request-Id", uuid.NewString())
	}
	r.SetBody(body)
	resp, err := s.caller.http.Do(ctx, address, r, httpclient.Call{Stream: true})
	if err != nil {
		s.attempt++
		return nil, connectionLostFailure()
	}
	if resp.StatusCode() == http.StatusOK {
		s.id = string(resp.Header.Peek("X-Generation-Id"))
		return resp, failure{}
	}
	return nil, s.readRefusal(resp)
}

// readRefusal parses the failure that was returned instead of a stream.
func (s *generationStream) readRefusal(resp *httpclient.Response) failure {
	defer resp.Close()
	body, err := resp.ReadAll()
	if err != nil {
		return connectionLostFailure()
	}
	f := parseFailure(body)
	if resp.Header.Get("X-Not-Run") == "true" || resp.StatusCode() == http.StatusTooManyRequests {
		f.Error.Outcome = string(ReportedNotRun)
	}
	return f
}

func (s *generationStream) nextAddress(ctx context.Context) (string, error) {
	list, err := s.caller.addresses(ctx, s.request.Token)
	if err != nil {
		return "", err
	}
	return list[s.attempt%len(list)], nil
}

// resume reconnects to the generation through the next instance.
func (s *generationStream) resume(ctx context.Context) *httpclient.Response {
	if s.id == "" || s.caller.opts.Direct {
		s.setOutcome(measure.Failed, "cut")
		return nil
	}
	for ; s.result.Resumes < maxResumes; sleep(ctx, minBackoff) {
		s.result.Resumes++
		s.attempt++
		if ctx.Err() != nil {
			s.setOutcome(measure.Failed, "runEnded")
			return nil
		}
		address, err := s.nextAddress(ctx)
		if err != nil {
			continue
		}
		r := newRequest(http.MethodGet, address, "/v1/generations/"+s.id, s.request.Token)
		r.Header.Set("Last-Event-ID", strconv.FormatInt(s.checker.lastID, 10))
		resp, err := s.caller.http.Do(ctx, address, r, httpclient.Call{Stream: true, FreshConnection: true})
		protocol.ReleaseRequest(r)
		if err != nil {
			continue
		}
		if resp.StatusCode() == http.StatusOK {
			return resp
		}
		notFound := resp.StatusCode() == http.StatusNotFound
		if f := s.readRefusal(resp); notFound || (!f.isNotRun() && f.Error.Code != codeConnectionLost) {
			s.setOutcome(measure.Failed, f.Error.Code)
			return nil
		}
	}
	s.setOutcome(measure.Failed, "resumedTooOften")
	return nil
}

// read reads events from one connection and reports whether the generation has ended.
func (s *generationStream) read(ctx context.Context, resp *httpclient.Response) bool {
	idleTimeout := s.caller.opts.IdleTimeout
	// An idle connection is aborted, which makes the pending read return an error.
	watchdog := time.AfterFunc(idleTimeout, resp.Abort)
	defer watchdog.Stop()
	events := eventstream.NewReader(resp.Body())
	for {
		ev, err := events.Next()
		if err != nil {
			if ctx.Err() != nil {
				s.setOutcome(measure.Failed, "runEnded")
				return true
			}
			if errors.Is(err, eventstream.ErrMalformed) {
				s.setOutcome(measure.Failed, "malformed")
				return true
			}
			return false
		}
		watchdog.Reset(idleTimeout)
		if s.handleEvent(ev, resp) {
			return true
		}
	}
}

// handleEvent processes one event and reports whether it was the last.
func (s *generationStream) handleEvent(ev eventstream.Event, resp *httpclient.Response) bool {
	switch {
	case ev.Name == "error":
		f := parseFailure(ev.Data)
		if f.Error.Code == "resumeElsewhere" || f.Error.Code == "slowCaller" {
			resp.Abort()
			return false
		}
		s.setOutcome(measure.Failed, f.Error.Code)
		return true
	case string(ev.Data) == "[DONE]":
		resp.Drain()
		s.checker.checkEnd()
		s.setOutcome(measure.Completed, "")
		return true
	}
	if s.checker.accept(ev) {
		s.recordToken(time.Now())
	}
	return false
}

func (s *generationStream) recordToken(now time.Time) {
	if s.lastTokenAt.IsZero() {
		s.result.FirstToken = now.Sub(s.arrival)
		s.caller.recorder.RecordFirstToken(now, s.result.FirstToken)
	} else if gap := now.Sub(s.lastTokenAt); s.caller.recorder.RecordGap(now, gap) {
		s.result.Stall += gap
	}
	s.lastTokenAt = now
}
