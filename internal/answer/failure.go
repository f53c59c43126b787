// Package answer defines the failure responses that callers get: one JSON form, one meaning of "not
// run" and one rule for Retry-After.
//
// # Usage
//
//	f := answer.NotRun(http.StatusNotFound, answer.CodeUnknownModel, "model: unknown")
//	w.Write(f.JSON())
package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// Outcome says whether the request of a failure was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun is used only when no byte of the request left for a backend server, or the
	// backend server itself refused the request before running it.
	OutcomeNotRun  Outcome = "notRun"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Code is the machine-readable code of a failure.
type Code string

// The codes in addition to those of [permit.Reason].
const (
	CodeInvalidRequest      Code = "invalidRequest"
	CodeUnauthorized        Code = "unauthorized"
	CodeNotFound            Code = "notFound"
	CodeMethodNotAllowed    Code = "methodNotAllowed"
	CodeUnknownModel        Code = "unknownModel"
	CodeUnknownService      Code = "unknownService"
	CodeUnknownRoute        Code = "unknownRoute"
	CodeBodyTooLarge        Code = "bodyTooLarge"
	CodeContentType         Code = "unsupportedContentType"
	CodeTooManyStreams      Code = "tooManyStreams"
	CodeBackendRefused      Code = "backendRefused"
	CodeBackendLost         Code = "backendLost"
	CodeBackendTimeout      Code = "backendTimeout"
	CodeGenerationLost      Code = "generationLost"
	CodeGenerationStalled   Code = "generationStalled"
	CodeGenerationGap       Code = "generationGap"
	CodeGenerationCancelled Code = "generationCancelled"
	CodeAnswerTooLarge      Code = "answerTooLarge"
	CodeSlowCaller          Code = "slowCaller"
	CodeOverloaded          Code = "overloaded"
	CodeResumeElsewhere     Code = "resumeElsewhere"
	CodeKeyMismatch         Code = "idempotencyKeyMismatch"
	CodeKeyInProgress       Code = "idempotencyKeyInProgress"
	CodeKeyUnknown          Code = "idempotentOutcomeUnknown"
	CodePlatformDown        Code = "platformUnavailable"
	CodeInternal            Code = "internal"
)

// Failure is the response to a request that failed.
type Failure struct {
	// Status is the HTTP status.
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is the time after which a retry makes sense; zero if it doesn't.
	RetryAfter time.Duration
	// Position is the last position of a stream that was sent to the caller.
	Position int64
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s (%s)", f.Code, f.Message, f.Outcome)
}

// NotRun returns the failure of a request that wasn't run.
func NotRun(status int, code Code, message string) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun}
}

// Invalid returns the failure for an invalid request; field names the invalid part.
func Invalid(field, problem string) *Failure {
	return NotRun(http.StatusBadRequest, CodeInvalidRequest, field+": "+problem)
}

// WithEarlierOutcome returns f adjusted for earlier attempts of the same request.
//
// A request whose first attempt was lost and whose second one was refused may have run; with "not
// run" its caller would send it again elsewhere.
func (f *Failure) WithEarlierOutcome(earlier Outcome) *Failure {
	if f.Outcome != OutcomeNotRun || earlier == "" || earlier == OutcomeNotRun {
		return f
	}
	after := *f
	after.Outcome = earlier
	return &after
}

// FromError returns the failure in err. Any other error becomes an internal failure, so that no
// detail of a lower layer leaks to a caller; its outcome is unknown.
func FromError(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	var refusal *permit.Refusal
	if errors.As(err, &refusal) {
		return fromRefusal(refusal)
	}
	return &Failure{
		Status: http.StatusInternalServerError, Code: CodeInternal,
		Message: "internal failure", Outcome: OutcomeUnknown,
	}
}

func fromRefusal(r *permit.Refusal) *Failure {
	f := NotRun(http.StatusServiceUnavailable, Code(r.Reason), "the request was refused and not run")
	f.RetryAfter = r.RetryAfter
	switch r.Reason {
	case permit.ReasonOverloaded, permit.ReasonQueueFull, permit.ReasonDeadline, permit.ReasonWorkspace:
		f.Status = http.StatusTooManyRequests
	case permit.ReasonSuspect:
		f.Status = http.StatusUnprocessableEntity
		f.Message = "the request was running when backend servers crashed; it is refused for a while"
	case permit.ReasonUnknownModel:
		f.Status = http.StatusNotFound
	case permit.ReasonNoServer, permit.ReasonNotConfirmed, permit.ReasonShuttingDown, permit.ReasonOwnerNotFound:
	}
	return f
}

// Body is the JSON form of a failure.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the inner object of [Body]. Type and Code follow the format of the OpenAI API, so that
// its clients display them.
type Detail struct {
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Position     int64   `json:"position,omitempty"`
}

// JSON returns the encoded [Body] of f.
func (f *Failure) JSON() []byte {
	// Encoding strings and integers can't fail.
	b, _ := json.Marshal(Body{Error: Detail{
		Code: f.Code, Message: f.Message, Type: f.errorType(), Outcome: f.Outcome,
		RetryAfterMs: f.RetryAfter.Milliseconds(), Position: f.Position,
	}})
	return b
}

// RetryAfterSeconds is the value of the Retry-After header field. It is rounded up, because a
// caller that retries slightly too early is refused again.
func (f *Failure) RetryAfterSeconds() int64 {
	return int64((f.RetryAfter + time.Second - 1) / time.Second)
}

func (f *Failure) errorType() string {
	switch {
	case f.Status == http.StatusUnauthorized:
		return "authentication_error"
	case f.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case f.Status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
