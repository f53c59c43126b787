package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/service"
)

const (
	// beginTimeout bounds a claim: an unavailable platform is said soon. The
	// end of the caller doesn't end it, or the claim could stay behind.
	beginTimeout = 3 * time.Second
	// storeTimeout bounds the storing of a result while its caller waits, so
	// that one who repeats at once finds it. The claims keep what the platform
	// didn't take by then and store it later.
	storeTimeout = time.Second
	// unavailableRetryAfter is said while the platform is down; it spreads the
	// repeats of callers that are refused at once.
	unavailableRetryAfter = time.Second
)

// Claims makes sure that one key runs once; *claim.Store does.
type Claims interface {
	Begin(ctx context.Context, now time.Time, key claim.Key, fingerprint string) claim.BeginResult
	Finish(ctx context.Context, c claim.Claim, r claim.Result) error
	Abandon(ctx context.Context, c claim.Claim) error
}

// doOnce runs a non-idempotent call under its key.
//
// The claim comes before the permit: a repeat gets its stored answer without
// waiting for a place. A refusal then costs a second write, to abandon.
func (f *Forwarder) doOnce(caller context.Context, call Call) (Answer, error) {
	if f.opts.Claims == nil {
		return Answer{}, platformDown()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), beginTimeout)
	defer cancel()
	key := claim.Key{Workspace: call.Workspace, Key: call.Key}
	switch a := f.opts.Claims.Begin(ctx, time.Now(), key, claimFingerprint(call)).(type) {
	case claim.Acquired:
		return f.runWon(caller, call, a.Claim)
	case claim.Stored:
		return replay(a.Result)
	case claim.InProgress:
		return Answer{}, &answer.Failure{
			Status: http.StatusConflict, Code: answer.CodeKeyInProgress, Outcome: answer.OutcomeUnknown,
			Message: "Idempotency-Key: a request with this key is running", RetryAfter: a.RetryAfter,
		}
	case claim.Mismatch:
		return Answer{}, answer.NotRun(http.StatusUnprocessableEntity, answer.CodeKeyMismatch,
			"Idempotency-Key: was used for another request")
	case claim.Unavailable:
		f.opts.Logger.Debug().Err(a.Err).Msg("key could not be claimed")
		return Answer{}, platformDown()
	case claim.Unknown:
	}
	return Answer{}, &answer.Failure{
		Status: http.StatusConflict, Code: answer.CodeKeyUnknown, Outcome: answer.OutcomeUnknown,
		Message: "Idempotency-Key: the request with this key may have run; it is not run again",
	}
}

// runWon runs the call that won its claim. Only a call that surely wasn't run
// gives its claim up; otherwise a repeat finds the key taken.
func (f *Forwarder) runWon(caller context.Context, call Call, c claim.Claim) (Answer, error) {
	if c.SendDeadline.Before(call.Deadline) {
		call.Deadline = c.SendDeadline
	}
	response, err := f.run(caller, call, c.MaySend)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), storeTimeout)
	defer cancel()
	if err == nil {
		f.stored(f.opts.Claims.Finish(ctx, c, resultOf(response)))
		return Answer{Response: response}, nil
	}
	if answer.FromError(err).Outcome == answer.OutcomeNotRun {
		f.stored(f.opts.Claims.Abandon(ctx, c))
	}
	return Answer{}, err
}

// stored counts what the platform didn't take at once. The caller's answer is
// true either way.
func (f *Forwarder) stored(err error) {
	if err != nil {
		f.metrics.unstored.Inc(1)
		f.opts.Logger.Info().Err(err).Msg("end of a claim not stored yet")
	}
}

func platformDown() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodePlatformDown,
		"Idempotency-Key: can't be claimed while the platform is unavailable")
	f.RetryAfter = unavailableRetryAfter
	return f
}

func resultOf(r service.Response) claim.Result {
	header := map[string][]string{}
	for _, h := range r.Header {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	return claim.Result{Status: r.Status, Header: header, Body: r.Body}
}

// replay answers again what the service answered when the key was first used.
func replay(r claim.Result) (Answer, error) {
	if r.Omitted {
		return Answer{}, &answer.Failure{
			Status: http.StatusConflict, Code: answer.CodeAnswerTooLarge, Outcome: answer.OutcomeRan,
			Message: "Idempotency-Key: the request with this key ran; its answer was too large to be kept",
		}
	}
	response := service.Response{Status: r.Status, Body: r.Body}
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		for _, value := range r.Header[name] {
			response.Header = append(response.Header, service.Header{Name: name, Value: value})
		}
	}
	return Answer{Response: response, Replayed: true}, nil
}

// claimFingerprint tells two requests with one key apart.
func claimFingerprint(call Call) string {
	h := sha256.New()
	for _, part := range []string{call.Service.Name, call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil))
}
