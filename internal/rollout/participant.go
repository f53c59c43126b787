package rollout

import (
	"sync"
	"time"
)

// Lease lets an instance send to the new version for a time. An instance that
// isn't answered by the one that decides sends nothing there when it ends.
type Lease struct {
	Order string `json:"order"`
	Stage Stage  `json:"stage"`
	// AgeMillis is for how long the order has been known to any instance.
	AgeMillis int64 `json:"ageMillis"`
	// Share is the probability with which a request goes to the new version.
	Share float64 `json:"share"`
}

// Report is what one instance has seen of a roll-out.
type Report struct {
	Order string `json:"order"`
	By    string `json:"by"`
	// Started and Sequence order the reports of an instance.
	Started  int64 `json:"started"`
	Sequence int64 `json:"sequence"`
	Stage    Stage `json:"stage"`
	// AgeMillis is for how long the instance knows of the order.
	AgeMillis int64 `json:"ageMillis"`
	// Left is how much still runs on the servers that are to be left.
	Left  int    `json:"left"`
	Cells []Cell `json:"cells,omitempty"`
}

// leaseTime is for how long a lease holds.
const leaseTime = 2500 * time.Millisecond

// Participant is one instance's part in a roll-out. It is safe for concurrent use.
type Participant struct {
	Order Order

	mu    sync.Mutex
	began time.Time
	stage Stage
	// joinBy is until when an instance that starts in the middle of a roll-out
	// waits to be told its stage; zero once it was told.
	joinBy time.Time
	// share holds until leased.
	share  float64
	leased time.Time
	counts *Counts
}

// NewParticipant returns a participant that knows of an order since now.
func NewParticipant(now time.Time, o Order) *Participant {
	return &Participant{Order: o, began: now, stage: StageCanary, counts: NewCounts()}
}

// joinTime is how long an instance that starts waits to be told the stage of a
// roll-out.
const joinTime = time.Second

// JoinParticipant returns a participant of an instance that starts while the
// roll-out goes on: in a shift others may count on it to use the new version.
func JoinParticipant(now time.Time, o Order) *Participant {
	p := NewParticipant(now, o)
	p.joinBy = now.Add(joinTime)
	return p
}

// Joined reports whether the instance may send requests to the service.
func (p *Participant) Joined(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.joinBy)
}

// Track returns where a request goes that draws a number from 0 to 1.
func (p *Participant) Track(now time.Time, draw float64) Track {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage == StageCanary && now.Before(p.leased) && draw < p.share {
		return Canary
	}
	return Stable
}

// Share returns the probability with which a request goes to the new version.
func (p *Participant) Share(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stage == StageCanary && now.Before(p.leased):
		return p.share
	case p.stage.Serves(true):
		return 1
	}
	return 0
}

// Age returns for how long the order is known.
func (p *Participant) Age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.began)
}

// Window returns the part of the roll-out's time that is now.
func (p *Participant) Window(now time.Time) int { return window(p.Age(now), p.Order.Duration) }

// Note counts a sample.
func (p *Participant) Note(now time.Time, s Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Note(window(now.Sub(p.began), p.Order.Duration), s)
}

// Stage returns the stage.
func (p *Participant) Stage() Stage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage
}

// Advance takes over a later stage and reports whether it is one.
func (p *Participant) Advance(s Stage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.stage
	p.stage = p.stage.Later(s)
	if s != StageNone {
		p.joinBy = time.Time{}
	}
	return p.stage != before
}

// Hold takes over a lease and reports whether the stage is a later one.
func (p *Participant) Hold(now time.Time, l Lease) bool {
	if l.Order != p.Order.ID {
		return false
	}
	p.mu.Lock()
	p.leased, p.share = now.Add(leaseTime), l.Share
	if began := now.Add(-time.Duration(l.AgeMillis) * time.Millisecond); began.Before(p.began) {
		p.began = began
	}
	p.mu.Unlock()
	return p.Advance(l.Stage)
}

// Report returns what was seen so far. Left is how much still runs on servers
// that are to be left.
func (p *Participant) Report(now time.Time, by string, started, sequence int64, left int) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Report{
		Order: p.Order.ID, By: by, Started: started, Sequence: sequence, Stage: p.stage,
		AgeMillis: now.Sub(p.began).Milliseconds(), Left: left, Cells: p.counts.Cells(),
	}
}
