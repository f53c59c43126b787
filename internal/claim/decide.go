package claim

import (
	"encoding/json"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// phase is the stage of a claim's lifecycle.
type phase string

const (
	phaseOpen      phase = "open"
	phaseDone      phase = "done"
	phaseAbandoned phase = "abandoned"
)

// record is the value of a claim's object.
type record struct {
	Phase       phase     `json:"phase"`
	Attempt     string    `json:"attempt"`
	Fingerprint string    `json:"fingerprint"`
	Holder      string    `json:"holder"`
	CreatedAt   time.Time `json:"beganAt"`
	// ResponseDeadline is when the holder gives the request up at the latest. It
	// only separates InProgress from Unknown, so clocks needn't be synchronized.
	ResponseDeadline time.Time `json:"answerBy"`
	ExpiresAt        time.Time `json:"expiresAt"`
	Result           *Result   `json:"result,omitempty"`
}

// storedClaim is a claim's object as stored in the platform. Version 0 means that
// there is none; readable is false if its value can't be decoded.
type storedClaim struct {
	version  int64
	record   record
	readable bool
}

func decode(o objectapi.Object) storedClaim {
	stored := storedClaim{version: o.Version}
	stored.readable = json.Unmarshal(o.Value, &stored.record) == nil
	return stored
}

// nextStep is what Begin does next: a conditional write, or return a result.
type nextStep struct {
	// version is the object version that the write replaces; 0 creates the object.
	version int64
	// result ends Begin; acquired ends it with the claim at version.
	result   BeginResult
	acquired bool
}

// afterConflict decides how Begin continues for the given attempt when its write
// failed because the object differs from the expected version.
//
// Only the claim's own attempt acquires it, and only a claim under which nothing was sent
// is overwritten.
func afterConflict(now time.Time, stored storedClaim, attempt, fingerprint string) nextStep {
	switch {
	case stored.version == 0:
		return nextStep{version: 0}
	case !stored.readable:
		// A request may have been sent under the claim.
		return nextStep{result: Unknown{}}
	case stored.record.Attempt == attempt && stored.record.Phase == phaseOpen:
		// An earlier write whose response was lost took effect.
		return nextStep{version: stored.version, acquired: true}
	case stored.record.Phase == phaseAbandoned:
		return nextStep{version: stored.version}
	}
	return nextStep{result: resultOfRetry(now, stored.record, fingerprint)}
}

// resultOfRetry returns the result for a retry whose claim another attempt holds.
func resultOfRetry(now time.Time, r record, fingerprint string) BeginResult {
	switch {
	case r.Fingerprint != fingerprint:
		return Mismatch{}
	case r.Phase == phaseDone && r.Result != nil:
		return Stored{Result: *r.Result}
	case r.Phase == phaseOpen && now.Before(r.ResponseDeadline):
		return InProgress{RetryAfter: min(r.ResponseDeadline.Sub(now), maxRetryAfter)}
	}
	return Unknown{}
}

// maxRetryAfter keeps a caller from waiting for the holder's whole timeout, as the
// result is likely to be stored sooner.
const maxRetryAfter = 2 * time.Second

// afterAbandonConflict decides how an attempt under which nothing was sent is
// abandoned: version is the one to overwrite with the abandoned record, done means
// that nothing is left to do.
//
// A lost write may still arrive. Writing the abandoned record, even where no object
// exists, changes the version that the lost write expects, so that it can't take
// effect any more and leave the key blocked.
func afterAbandonConflict(stored storedClaim, w write) (version int64, done bool) {
	switch {
	case stored.version == 0:
		// Swept, unless a lost create may still arrive.
		return 0, w.version != 0
	case !stored.readable:
		return 0, true
	case stored.record.Attempt == w.record.Attempt:
		return stored.version, stored.record.Phase != phaseOpen
	case stored.record.Phase == phaseAbandoned && stored.version == w.lostVersion:
		return stored.version, false
	}
	return 0, true
}

// afterFinishConflict decides the same for the write of a result.
func afterFinishConflict(stored storedClaim, w write) (version int64, done bool, err error) {
	switch {
	case stored.version == 0 || !stored.readable || stored.record.Attempt != w.record.Attempt || stored.record.Phase == phaseAbandoned:
		// Swept after its retention, or abandoned by mistake.
		return 0, true, ErrNotStored
	case stored.record.Phase == phaseDone:
		return 0, true, nil
	}
	return stored.version, false, nil
}

// expired reports whether a claim may be swept.
func expired(now time.Time, r record) bool {
	return now.After(r.ExpiresAt.Add(clockSkewMargin))
}

// clockSkewMargin allows for clock differences between instances.
const clockSkewMargin = 10 * time.Minute
