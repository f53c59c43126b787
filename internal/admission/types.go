// Package admission decides which requests start on one backend server, which
// are queued, and which are refused. It does no I/O and starts no goroutines.
//
// It is for engines that run generations of unknown length in limited memory. It
// prevents memory exhaustion while sequences decode, after which the engine preempts
// and streams stall; batches so large that every stream is slow; overload of a cold
// server, which crashes; and a queue inside the engine, where requests can't be
// refused in time.
//
// # Usage
//
//	s := admission.New(cfg, admission.Predicted{}, lengths)
//	s.Open(now)                       // the instance owns the server from now on
//	s.ApplyReport(now, report)        // each load report
//	switch d := s.Acquire(now, req).(type) {
//	case admission.Granted:           // send a permit
//	case admission.Queued:            // answer later, from Tick
//	case admission.Refused:           // final, with a Retry-After
//	case admission.Unavailable:       // try another backend server
//	}
//	for _, d := range s.Tick(now) {}  // grants and refusals of queued requests
//	s.Release(now, permitID, outcome)
package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// Config is the declared configuration of a backend server and the timing of permits.
type Config struct {
	Name string
	// ColdLimit and WarmLimit are numbers of requests.
	ColdLimit, WarmLimit int
	// MemoryTokens is the engine's memory in tokens; 0 for a plain service.
	MemoryTokens int
	// TokenInterval is the target time between tokens; 0 for a plain service.
	TokenInterval time.Duration
	// PermitLifetime is how long a permit may be used, from the receipt of the
	// request for it.
	PermitLifetime time.Duration
	// QueueTimeout is how long a queued request keeps its place in the queue without
	// being polled.
	QueueTimeout time.Duration
	// MaxQueued limits the queue; 0 means the default of package queue.
	MaxQueued int
}

// Policy selects how requests are admitted. It is sealed: [Predicted], or one of
// the baselines [FixedLimit] and [Unlimited].
type Policy interface{ policy() }

// Predicted admits by the predicted memory use and time between tokens.
type Predicted struct{}

// FixedLimit admits a fixed number of requests, first come first served.
type FixedLimit struct {
	// Limit is the number of requests; 0 means the declared warm limit.
	Limit int
}

// Unlimited admits everything and leaves queueing to the engine.
type Unlimited struct{}

func (Predicted) policy()  {}
func (FixedLimit) policy() {}
func (Unlimited) policy()  {}

// AcquireRequest is a request for a permit.
type AcquireRequest struct {
	Request permit.Request
	// PermitID is the ID of the permit if one is granted.
	PermitID string
	// Weight, MaxRunning and MaxQueued are those of the workspace.
	Weight, MaxRunning, MaxQueued int
	// MayQueue allows the request to be queued. Without it the answer is a
	// permit, a refusal, or [Unavailable].
	MayQueue bool
	// Suspect marks a crash suspect; see package crashsuspect.
	Suspect bool
}

// Decision is the answer to an [AcquireRequest]. It is sealed: [Granted], [Queued],
// [Refused] or [Unavailable].
type Decision interface{ decision() }

// Granted grants a permit.
type Granted struct {
	RequestID         string
	PermitID          string
	ServerIncarnation string
	// ExpiresAt is when the permit expires by the owner's clock.
	ExpiresAt time.Time
	// LoadPermille is the utilization of the server including this request.
	LoadPermille int
}

// Queued means that the request is queued; Tick returns the final decision. Ahead
// is the number of other requests in the queue.
type Queued struct {
	RequestID string
	Ahead     int
}

// Refused is the final refusal of the request.
type Refused struct {
	RequestID string
	Refusal   permit.Refusal
}

// Unavailable means that this server can't take the request now and another may be
// better. LoadPermille is the utilization of this server; 1000 or more is full.
type Unavailable struct {
	RequestID    string
	LoadPermille int
	RetryAfter   time.Duration
}

func (Granted) decision()     {}
func (Queued) decision()      {}
func (Refused) decision()     {}
func (Unavailable) decision() {}

// Sequence is one running request as reported by the engine. Prompt and Output are
// in tokens.
type Sequence struct {
	ID             string
	Prompt, Output int
}

// Report is a load report.
type Report struct {
	Incarnation string
	// MeasuredAt is when the report was measured, by the owner's clock: the time
	// of receipt minus the age given in the report.
	MeasuredAt time.Time
	// Cold and Leaving are the server's own state.
	Cold, Leaving bool
	// Running is the number of requests that run or wait in the server.
	Running int
	// Sequences lists the requests; nil if the server reports only their number.
	Sequences []Sequence
	// UsedTokens is the memory of the decoding sequences, in tokens; 0 if the server
	// doesn't report it.
	UsedTokens int
	// Batch is the number of decoding sequences, TokenInterval the time between
	// tokens.
	Batch         int
	TokenInterval time.Duration
	// MaxPerSecond is the number of requests per second that the server takes from all instances; 0
	// for no limit.
	MaxPerSecond float64
	// Preemptions is the number of preemptions since the incarnation started.
	Preemptions int
}

// Restart means that an incarnation of the server ended. Running are the requests
// that were running on it.
type Restart struct {
	OldIncarnation string
	Running        []permit.Request
}
