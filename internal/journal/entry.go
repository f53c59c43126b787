package journal

import (
	"context"
	"slices"
	"sync"
	"time"
)

// State is the state of a request.
type State string

// States of a request.
const (
	Queued   State = "queued"
	Running  State = "running"
	Finished State = "finished"
	// Refused means that the request was not executed.
	Refused State = "refused"
	Failed  State = "failed"
)

// StepKind is the kind of a step.
type StepKind string

// Kinds of steps.
const (
	Received StepKind = "received"
	// PermitRequested is a permit request: Server and its owner or deputy Peer, the response in
	// Reason, and the load that the owner reported in Count, in permille.
	PermitRequested StepKind = "asked"
	// Enqueued means that the request was added to the queue of Server.
	Enqueued      StepKind = "queued"
	PermitGranted StepKind = "permit"
	Sent          StepKind = "sent"
	// FirstToken has the time since Sent in Count, in milliseconds.
	FirstToken StepKind = "firstToken"
	// Stalled is a token after Count milliseconds without one.
	Stalled StepKind = "stalled"
	// Probed is a new connection for a stalled stream, Reconnected one for a broken stream; Count
	// is the position.
	Probed      StepKind = "probed"
	Reconnected StepKind = "reconnected"
	// Resumed means that the caller reconnected; Count is the position after which it continues.
	Resumed StepKind = "resumed"
	// Restarted is another attempt at a different backend server.
	Restarted  StepKind = "restarted"
	CallerGone StepKind = "callerGone"
	// TakenOver means that the caller reconnected, possibly through another instance, which records
	// the steps from then on.
	TakenOver StepKind = "takenOver"
	Cancelled StepKind = "cancelled"
	// Ended has the failure code, if any, in Reason.
	Ended StepKind = "ended"
)

// Step is an event in the history of a request. The meaning of the fields depends on Kind.
type Step struct {
	At     time.Time
	Kind   StepKind
	Server string
	Peer   string
	Reason string
	Count  int64
}

// Subject identifies the workspace and the model or service of a request.
type Subject struct {
	Workspace string
	// Model or Service is set.
	Model   string
	Service string
}

// Record is the recorded history of a request.
type Record struct {
	ID    string
	Route string
	Subject
	State        State
	Server       string
	OutputTokens int64
	Steps        []Step
	// Dropped is the number of steps that were dropped after the first ones.
	Dropped int
}

// Entry is a request in the journal. All methods may be called on nil, which records nothing, and
// after the request has ended, since a generation continues for a while without its caller.
type Entry struct {
	journal *Journal

	mu      sync.Mutex
	record  Record
	names   []string
	notable bool
	ended   bool
	evicted bool
}

// SetSubject sets the subject of the request and adds the request to the journal under its ID.
func (e *Entry) SetSubject(s Subject) {
	if e == nil {
		return
	}
	e.mu.Lock()
	e.record.Subject = s
	id := e.record.ID
	e.mu.Unlock()
	e.AddName(id)
}

// AddName adds the request to the journal under another name, the ID of its generation.
func (e *Entry) AddName(name string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	skip := e.evicted || slices.Contains(e.names, name)
	if !skip {
		e.names = append(e.names, name)
	}
	e.mu.Unlock()
	if !skip {
		e.journal.index(e, name)
	}
}

// Add adds a step.
func (e *Entry) Add(s Step) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(s)
}

func (e *Entry) add(s Step) {
	r := &e.record
	switch s.Kind {
	case Sent:
		r.State, r.Server = Running, s.Server
	case Stalled, Probed, Reconnected, Resumed, Restarted, CallerGone, TakenOver, Cancelled:
		e.notable = true
	}
	if len(r.Steps) == maxSteps {
		r.Steps = slices.Delete(r.Steps, keptFirstSteps, keptFirstSteps+1)
		r.Dropped++
	}
	r.Steps = append(r.Steps, s)
}

// SetOutputTokens sets the number of output tokens; it never decreases.
func (e *Entry) SetOutputTokens(n int64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.OutputTokens = max(e.record.OutputTokens, n)
}

// End records how the request ended. Only the first call has an effect: it comes from the layer
// closest to the backend server, which knows the outcome best.
func (e *Entry) End(now time.Time, state State, reason string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.ended = true
	e.record.State = state
	e.add(Step{At: now, Kind: Ended, Reason: reason})
	isDescribed := len(e.names) > 0
	notable := e.notable || state != Finished
	// Steps may still be added, so a notable entry counts with its maximum size.
	size := recordBytes + stepBytes*len(e.record.Steps)
	if notable {
		size = recordBytes + stepBytes*maxSteps
	}
	e.mu.Unlock()
	if isDescribed {
		e.journal.finish(e, notable, size)
	}
}

func (e *Entry) snapshot() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Steps = slices.Clone(r.Steps)
	return r
}

// markEvicted marks the entry as removed from the journal and returns its names.
func (e *Entry) markEvicted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evicted = true
	return e.names
}

type entryKey struct{}

// NewContext returns a context that carries e.
func NewContext(ctx context.Context, e *Entry) context.Context {
	return context.WithValue(ctx, entryKey{}, e)
}

// FromContext returns the entry that ctx carries, or nil.
func FromContext(ctx context.Context) *Entry {
	e, _ := ctx.Value(entryKey{}).(*Entry)
	return e
}
