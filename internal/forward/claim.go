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
	// claimTimeout limits a claim, so that callers soon learn that the platform is unavailable. A
	// claim isn't cancelled when the caller disconnects, since it could then be left behind.
	claimTimeout = 3 * time.Second
	// storeTimeout limits the storing of a result while its caller waits. Storing it first lets a
	// caller that repeats the request at once find it. Claims stores later what the platform didn't
	// accept by then.
	storeTimeout = time.Second
	// unavailableRetryAfter is the Retry-After while the platform is down. It spreads the retries
	// of callers, which are refused immediately.
	unavailableRetryAfter = time.Second
)

// Claims ensures that a request with an idempotency key runs once. It is implemented by
// *claim.Store.
type Claims interface {
	Begin(ctx context.Context, now time.Time, key claim.Key, fingerprint string) claim.BeginResult
	Finish(ctx context.Context, c claim.Claim, r claim.Result) error
	Abandon(ctx context.Context, c claim.Claim) error
}

// doOnce runs a non-idempotent call under its idempotency key.
//
// The key is claimed before a permit is acquired, so that a repeated request gets its stored answer
// without waiting for a backend server. The drawback is that a refused call needs a second write,
// to abandon the claim.
func (f *Forwarder) doOnce(caller context.Context, call Call) (Answer, error) {
	if f.opts.Claims == nil {
		return Answer{}, platformDownFailure()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), claimTimeout)
	defer cancel()
	key := claim.Key{Workspace: call.Workspace, Key: call.IdempotencyKey}
	switch a := f.opts.Claims.Begin(ctx, time.Now(), key, claimFingerprint(call)).(type) {
	case claim.Acquired:
		return f.runClaimed(caller, call, a.Claim)
	case claim.Stored:
		return replay(a.Result)
	case claim.InProgress:
		return Answer{}, &answer.Failure{
			Status: http.StatusConflict, Code: answer.CodeKeyInProgress, Outcome: answer.OutcomeUnknown,
			Message: "Idempotency-Key: a request with this key is still running", RetryAfter: a.RetryAfter,
		}
	case claim.Mismatch:
		return Answer{}, answer.NotRun(http.StatusUnprocessableEntity, answer.CodeKeyMismatch,
			"Idempotency-Key: was used for another request")
	case claim.Unavailable:
		f.opts.Logger.Debug().Err(a.Err).Msg("idempotency key could not be claimed")
		return Answer{}, platformDownFailure()
	case claim.Unknown:
	}
	return Answer{}, &answer.Failure{
		Status: http.StatusConflict, Code: answer.CodeKeyUnknown, Outcome: answer.OutcomeUnknown,
		Message: "Idempotency-Key: the request with this key may have run; it will not be run again",
	}
}

// runClaimed runs a call whose key it has claimed. The claim is abandoned only if the call
// certainly wasn't run; otherwise a repeated request finds the key in use.
func (f *Forwarder) runClaimed(caller context.Context, call Call, c claim.Claim) (Answer, error) {
	if c.SendDeadline.Before(call.Deadline) {
		call.Deadline = c.SendDeadline
	}
	response, err := f.run(caller, call, c.MaySend)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), storeTimeout)
	defer cancel()
	if err == nil {
		f.recordStoreError(f.opts.Claims.Finish(ctx, c, toClaimResult(response)))
		return Answer{Response: response}, nil
	}
	if answer.FromError(err).Outcome == answer.OutcomeNotRun {
		f.recordStoreError(f.opts.Claims.Abandon(ctx, c))
	}
	return Answer{}, err
}

// recordStoreError counts and logs a claim whose end the platform didn't store at once. It doesn't
// change the caller's answer.
func (f *Forwarder) recordStoreError(err error) {
	if err != nil {
		f.metrics.unstored.Inc(1)
		f.opts.Logger.Info().Err(err).Msg("result of a claim not stored yet")
	}
}

func platformDownFailure() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodePlatformDown,
		"Idempotency-Key: the key can't be claimed while the platform is unavailable")
	f.RetryAfter = unavailableRetryAfter
	return f
}

func toClaimResult(r service.Response) claim.Result {
	header := map[string][]string{}
	for _, h := range r.Header {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	return claim.Result{Status: r.Status, Header: header, Body: r.Body}
}

// replay returns the stored answer of the request that first used the key.
func replay(r claim.Result) (Answer, error) {
	if r.Omitted {
		return Answer{}, &answer.Failure{
			Status: http.StatusConflict, Code: answer.CodeAnswerTooLarge, Outcome: answer.OutcomeRan,
			Message: "Idempotency-Key: the request with this key has run, but its answer was too large to be stored",
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

// claimFingerprint distinguishes different requests with the same key.
func claimFingerprint(call Call) string {
	h := sha256.New()
	for _, part := range []string{call.Service.Name, call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil))
}
