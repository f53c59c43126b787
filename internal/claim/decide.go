package claim

import (
	"encoding/json"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// phase is how far a claim has come.
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
	BeganAt     time.Time `json:"beganAt"`
	// AnswerBy is when the holder gives the request up at the latest. It
	// only tells InProgress from Unknown, so clocks needn't agree.
	AnswerBy  time.Time `json:"answerBy"`
	ExpiresAt time.Time `json:"expiresAt"`
	Result    *Result   `json:"result,omitempty"`
}

// found is the claim's object as it is in the platform. There is none if
// version is 0.
type found struct {
	version  int64
	record   record
	readable bool
}

func decode(o objectapi.Object) found {
	f := found{version: o.Version}
	f.readable = json.Unmarshal(o.Value, &f.record) == nil
	return f
}

// step is what Begin does next: write under a condition, or answer.
type step struct {
	// at is the version that the write is for; 0 creates.
	at int64
	// answer ends Begin; won ends it with the claim at version at.
	answer Answer
	won    bool
}

// afterConflict decides what a holder with the given attempt does when its
// write failed because of the object that is there.
//
// Only an own attempt wins, and only a claim under which nothing was sent is
// written over.
func afterConflict(now time.Time, f found, attempt, fingerprint string) step {
	switch {
	case f.version == 0:
		return step{at: 0}
	case !f.readable:
		// Nothing is known of what was sent under it.
		return step{answer: Unknown{}}
	case f.record.Attempt == attempt && f.record.Phase == phaseOpen:
		// An earlier try, whose answer was lost, took effect.
		return step{at: f.version, won: true}
	case f.record.Phase == phaseAbandoned:
		return step{at: f.version}
	}
	return step{answer: judge(now, f.record, fingerprint)}
}

// judge answers a repeat of a request whose claim somebody else holds.
func judge(now time.Time, r record, fingerprint string) Answer {
	switch {
	case r.Fingerprint != fingerprint:
		return Mismatch{}
	case r.Phase == phaseDone && r.Result != nil:
		return Stored{Result: *r.Result}
	case r.Phase == phaseOpen && now.Before(r.AnswerBy):
		return InProgress{RetryAfter: min(r.AnswerBy.Sub(now), maxRetryAfter)}
	}
	return Unknown{}
}

// maxRetryAfter keeps a caller from waiting for the holder's whole timeout
// when the answer is likely to come sooner.
const maxRetryAfter = 2 * time.Second

// afterAbandonConflict decides how an attempt under which nothing was sent is
// given up: at is the version to write the abandoned record over, done means
// that nothing is left to do.
//
// A lost write may still arrive. The abandoned record, also where there was
// nothing, raises the version that the lost write is conditional on, so that
// it can't take effect any more and leave the key blocked.
func afterAbandonConflict(f found, w write) (at int64, done bool) {
	switch {
	case f.version == 0:
		// Swept, unless a create is under way.
		return 0, w.at != 0
	case !f.readable:
		return 0, true
	case f.record.Attempt == w.record.Attempt:
		return f.version, f.record.Phase != phaseOpen
	case f.record.Phase == phaseAbandoned && f.version == w.lostAt:
		return f.version, false
	}
	return 0, true
}

// afterFinishConflict decides the same for a result.
func afterFinishConflict(f found, w write) (at int64, done bool, err error) {
	switch {
	case f.version == 0 || !f.readable || f.record.Attempt != w.record.Attempt || f.record.Phase == phaseAbandoned:
		// Swept after its retention, or abandoned by mistake.
		return 0, true, ErrNotStored
	case f.record.Phase == phaseDone:
		return 0, true, nil
	}
	return f.version, false, nil
}

// expired reports whether a claim may be swept.
func expired(now time.Time, r record) bool {
	return now.After(r.ExpiresAt.Add(sweepMargin))
}

// sweepMargin allows for clocks of instances that differ.
const sweepMargin = 10 * time.Minute
