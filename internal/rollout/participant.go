package rollout

import (
	"sync"
	"time"
)

// Lease allows an instance to send requests to the new version until it expires. An
// instance that the coordinator doesn't answer stops sending them then.
type Lease struct {
	RolloutID string `json:"order"`
	Stage     Stage  `json:"stage"`
	// AgeMillis is the time since any instance first learned of the rollout.
	AgeMillis int64 `json:"ageMillis"`
	// Share is the probability with which a request goes to the new version.
	Share float64 `json:"share"`
}

// Report holds one instance's counts of a rollout.
type Report struct {
	RolloutID string `json:"order"`
	Instance  string `json:"by"`
	// Incarnation and Sequence order the reports of an instance.
	Incarnation int64 `json:"started"`
	Sequence    int64 `json:"sequence"`
	Stage       Stage `json:"stage"`
	// AgeMillis is the time since the instance learned of the rollout.
	AgeMillis int64 `json:"ageMillis"`
	// Remaining is the number of requests still on servers that are being drained.
	Remaining int    `json:"left"`
	Cells     []Cell `json:"cells,omitempty"`
}

// leaseDuration is how long a lease is valid.
const leaseDuration = 2500 * time.Millisecond

// Participant is one instance's part in a rollout. It is safe for concurrent use.
type Participant struct {
	Spec Spec

	mu        sync.Mutex
	startedAt time.Time
	stage     Stage
	// joinDeadline is until when an instance that starts during a rollout waits for its stage;
	// zero once it has it.
	joinDeadline time.Time
	// share is valid until leaseUntil.
	share      float64
	leaseUntil time.Time
	counts     *Counts
}

// NewParticipant returns a participant of a rollout that the instance learned of at now.
func NewParticipant(now time.Time, spec Spec) *Participant {
	return &Participant{Spec: spec, startedAt: now, stage: StageCanary, counts: NewCounts()}
}

// joinTimeout is how long an instance that starts waits for the stage of a rollout.
const joinTimeout = time.Second

// JoinParticipant returns a participant of an instance that starts during the rollout:
// after the promotion, others may rely on it to use the new version.
func JoinParticipant(now time.Time, spec Spec) *Participant {
	p := NewParticipant(now, spec)
	p.joinDeadline = now.Add(joinTimeout)
	return p
}

// Joined reports whether the instance may send requests to the service.
func (p *Participant) Joined(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.joinDeadline)
}

// Track returns the track of a request; draw is a random number from 0 to 1.
func (p *Participant) Track(now time.Time, draw float64) Track {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage == StageCanary && now.Before(p.leaseUntil) && draw < p.share {
		return Canary
	}
	return Stable
}

// Share returns the probability with which a request goes to the new version.
func (p *Participant) Share(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stage == StageCanary && now.Before(p.leaseUntil):
		return p.share
	case p.stage.Serves(true):
		return 1
	}
	return 0
}

// Age returns the time since any instance learned of the rollout.
func (p *Participant) Age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.startedAt)
}

// Window returns the window that the rollout is in.
func (p *Participant) Window(now time.Time) int { return window(p.Age(now), p.Spec.Duration) }

// Record counts a sample.
func (p *Participant) Record(now time.Time, s Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Record(window(now.Sub(p.startedAt), p.Spec.Duration), s)
}

// Stage returns the rollout's stage.
func (p *Participant) Stage() Stage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage
}

// Advance applies a stage and reports whether the rollout's stage changed.
func (p *Participant) Advance(s Stage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.stage
	p.stage = p.stage.Later(s)
	if s != StageNone {
		p.joinDeadline = time.Time{}
	}
	return p.stage != before
}

// ApplyLease applies a lease and reports whether the rollout's stage changed.
func (p *Participant) ApplyLease(now time.Time, l Lease) bool {
	if l.RolloutID != p.Spec.ID {
		return false
	}
	p.mu.Lock()
	p.leaseUntil, p.share = now.Add(leaseDuration), l.Share
	if startedAt := now.Add(-time.Duration(l.AgeMillis) * time.Millisecond); startedAt.Before(p.startedAt) {
		p.startedAt = startedAt
	}
	p.mu.Unlock()
	return p.Advance(l.Stage)
}

// Report returns the report for the coordinator. Remaining is the number of requests on
// servers that are being drained.
func (p *Participant) Report(now time.Time, instance string, incarnation, sequence int64, remaining int) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Report{
		RolloutID: p.Spec.ID, Instance: instance, Incarnation: incarnation, Sequence: sequence, Stage: p.stage,
		AgeMillis: now.Sub(p.startedAt).Milliseconds(), Remaining: remaining, Cells: p.counts.Cells(),
	}
}
