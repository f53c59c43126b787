// Package placementqueue decides which generations wait for the engines of a group, in which order
// they start, and which are refused. It does no I/O and starts no goroutines; the present time is
// an argument.
//
// It is for bursts in which engine memory is short for seconds while callers could wait: requests
// that can't start now but are expected to start within their slack are queued, fairly between
// workspaces; all others are refused at once with the time after which a retry is worthwhile.
// Without it a full group either refuses requests that it could serve a second later, or overfills
// engines, which then preempt generations whose callers are already reading.
//
// Order and bounds come from package queue, the memory of an engine from package forecast.
//
// # Usage
//
//	q := placementqueue.New(placementqueue.DefaultParams, rng)
//	switch d := q.Request(now, r, group).(type) {
//	case placementqueue.Placed: // start on d.Engine
//	case placementqueue.Waiting: // a later Tick decides
//	case placementqueue.Refused: // answer with d.RetryAfter
//	}
//	for _, o := range q.Tick(now, group) {
//		// o.Decision is Placed or Refused
//	}
//	q.Abandon(id) // the caller has gone
package placementqueue

import (
	"math"
	"math/rand/v2"
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Params configures a [Queue].
type Params struct {
	// MaxRequests and MaxPerWorkspace limit the waiting requests.
	MaxRequests     int
	MaxPerWorkspace int
	// Margin is the number of standard deviations of the predicted memory that stay free on an
	// engine.
	Margin float64
	// TokenTime is the time that an engine takes for one token of each running generation.
	TokenTime time.Duration
}

// DefaultParams fits a group of up to 32 engines.
//
// A group of 24 engines that is short of memory starts some 25 requests a second, and slacks are at
// most a few seconds, so that more than some hundred requests can't start in time.
var DefaultParams = Params{MaxRequests: 256, MaxPerWorkspace: 64, Margin: forecast.DefaultMargin, TokenTime: 9 * time.Millisecond}

const (
	// initialGrantInterval is assumed until starts have been observed.
	initialGrantInterval = 40 * time.Millisecond
	// checkInterval is how often promises are compared with the forecast, which changes with the
	// reports of the instances.
	checkInterval = 100 * time.Millisecond
	// returnAge is the age from which on a request counts as one that returns. A new one is some
	// milliseconds old.
	returnAge = 200 * time.Millisecond
	// maxTokens is the largest plausible number of tokens of a prompt or a limit.
	maxTokens = outputlength.MaxTokens
	// maxSlack limits the wait of a request. A group's load a minute ahead isn't known.
	maxSlack = time.Minute
)

// Request is a request for a place on an engine.
type Request struct {
	// ID is unique among the waiting requests.
	ID string
	// Origin is the same when a caller sends a request again.
	Origin    string
	Workspace string
	// Priority 0 is interactive; others are patient.
	Priority int
	// PromptTokens is the length of the prompt, MaxTokens the limit of the output, 0 for none,
	// RequiredTokens the expected memory demand of the whole generation.
	PromptTokens, MaxTokens, RequiredTokens int
	// Curve is the survival curve of the output length.
	Curve *outputlength.Curve
	// Prefill is the time that an engine takes for the prompt.
	Prefill time.Duration
	// Slack is the time left until the first event is wanted, Age the time since the request
	// arrived.
	Slack, Age time.Duration
	// Excluded holds the IDs of engines that must not be chosen.
	Excluded map[string]bool
}

// sequence returns the request as the generation that it will be.
func (r *Request) sequence() forecast.Sequence {
	return forecast.Sequence{Prompt: r.PromptTokens, MaxTokens: r.MaxTokens, Curve: r.Curve}
}

// Engine is the present state of one engine.
type Engine struct {
	ID string
	// MemoryTokens is the engine's memory, Slots the number of generations that it decodes at the
	// same time, Running the number assigned to it.
	MemoryTokens, Slots, Running int
	// Memory is the forecast of what is assigned to the engine.
	Memory forecast.Memory
	// PrefillWait is the time until the prompts sent to the engine have been processed.
	PrefillWait time.Duration
	// ColdFor is how long the engine still limits the rate of starts. Until then it may be chosen,
	// but no start there is promised.
	ColdFor time.Duration

	// growth is the ratio of the predicted peak to the present use.
	growth float64
}

// Group is the present state of the engines of a group. [Queue.Request] and [Queue.Tick] add the
// requests that they place.
type Group struct {
	Engines []Engine
	// Choose chooses one of the engines on which a request fits, and counts it there. False means
	// that none of them admits it.
	Choose func(r Request, fitting []string) (engine string, ok bool)
}

// Decision is [Placed], [Waiting] or [Refused].
type Decision interface{ decision() }

// Placed starts a request on an engine.
type Placed struct {
	Engine string
	// Waited is how long the request has waited here.
	Waited time.Duration
}

// Waiting means that the request is queued and expected to start within Start.
type Waiting struct {
	Ahead int
	Start time.Duration
}

// Refused refuses a request, which hasn't run.
type Refused struct {
	Reason Reason
	// RetryAfter is the time after which a retry is worthwhile.
	RetryAfter time.Duration
	// Waited is how long the request has waited here.
	Waited time.Duration
}

func (Placed) decision()  {}
func (Waiting) decision() {}
func (Refused) decision() {}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonForecast means that the request isn't expected to start within its slack.
	ReasonForecast Reason = "forecast"
	// ReasonTooLarge means that the request exceeds the memory of every engine.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonTooLate means that its prompt alone takes longer than its slack.
	ReasonTooLate Reason = "tooLate"
	// ReasonQueueFull and ReasonWorkspace mean that too many requests wait, in all or of the
	// workspace.
	ReasonQueueFull Reason = "queueFull"
	ReasonWorkspace Reason = "workspaceLimit"
	// ReasonInvalid means that the request is implausible.
	ReasonInvalid Reason = "invalid"
	// ReasonMissed means that the request was promised a start which the group couldn't keep.
	ReasonMissed Reason = "missed"
)

// Outcome is the decision on a waiting request.
type Outcome struct {
	Request  Request
	Decision Decision
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	Request
	item     *queue.Item
	queuedAt time.Time
}

// Queue is the queue of one group of engines. It is not safe for concurrent use.
type Queue struct {
	params   Params
	rng      *rand.Rand
	queue    *queue.Queue
	waiting  map[string]*waitingRequest
	returns  returns
	arrivals arrivals
	// checkedAt is when the promises were last compared with the forecast.
	checkedAt time.Time
}

// New returns an empty queue.
func New(p Params, rng *rand.Rand) *Queue {
	return &Queue{
		params: p, rng: rng, waiting: map[string]*waitingRequest{}, returns: returns{byOrigin: map[string]returning{}}, arrivals: newArrivals(),
		queue: queue.New(queue.Params{
			MaxItems: p.MaxRequests, PatientEvery: queue.DefaultParams.PatientEvery, ScanWorkspaces: queue.DefaultParams.ScanWorkspaces,
			// One engine is kept for a request that fits on none, see place; the others go on.
			MaxBypass: math.MaxInt, GrantInterval: initialGrantInterval,
		}),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queue.Len() }

// Waiting returns the number of waiting requests of each class.
func (q *Queue) Waiting() (interactive, patient int) {
	for _, w := range q.waiting {
		if w.item.Class == pollenspindle.ClassPatient {
			patient++
		} else {
			interactive++
		}
	}
	return interactive, patient
}

// Request decides on a new request: it is placed at once if nothing waits and it fits, queued if it
// is expected to start within its slack, and otherwise refused.
func (q *Queue) Request(now time.Time, r Request, g Group) Decision {
	if !r.valid() {
		return Refused{Reason: ReasonInvalid, RetryAfter: q.retryAfter(now, r, 0, g)}
	}
	q.prepare(g)
	switch {
	case !anyHolds(g, r.RequiredTokens):
		return Refused{Reason: ReasonTooLarge, RetryAfter: maxRetryAfter}
	case r.Slack < r.Prefill:
		return Refused{Reason: ReasonTooLate, RetryAfter: q.retryAfter(now, r, q.Len(), g)}
	}
	if q.Len() == 0 {
		if engine, ok := q.place(now, r, &g, nil); ok {
			q.queue.RecordGrant(now)
			delete(q.returns.byOrigin, r.Origin)
			return Placed{Engine: engine}
		}
	}
	q.arrivals.record(now, r)
	w := &waitingRequest{Request: r, item: q.newItem(now, r), queuedAt: now}
	ahead := q.queue.Ahead(w.item, q.arrivals.within(now, r.Slack-r.Prefill))
	// A request that was refused before, or has waited at a planner that failed, is accepted on a
	// less certain forecast than a new one. Letting it overtake those that wait was tried: it made
	// the planner miss a fifth of its promises at saturation, and refused as many requests in the end.
	start, ok := q.startOf(r, r.Slack, ahead, q.returns.age(now, r) < returnAge, g)
	if !ok {
		return q.refuse(now, r, ReasonForecast, ahead, g)
	}
	if refusal := q.queue.PushPromised(w.item); refusal != nil {
		return q.refuse(now, r, reasonOf(refusal), q.Len(), g)
	}
	q.waiting[r.ID] = w
	return Waiting{Ahead: ahead, Start: start}
}

// Abandon removes a request whose caller has gone.
func (q *Queue) Abandon(id string) {
	q.queue.Remove(id)
	delete(q.waiting, id)
}

// Tick places the waiting requests that fit now, and refuses those that can't start within their
// slack any more.
func (q *Queue) Tick(now time.Time, g Group) []Outcome {
	var out []Outcome
	if q.Len() == 0 {
		return nil
	}
	q.prepare(g)
	for _, it := range q.queue.Expire(now) {
		out = append(out, q.miss(now, q.waiting[it.ID], 0, g))
	}
	var engine string
	var kept map[string]bool
	for {
		it, ok := q.queue.Next(now, func(it *queue.Item) bool {
			r := q.waiting[it.ID].Request
			var fits bool
			if engine, fits = q.place(now, r, &g, kept); !fits && kept == nil {
				kept = map[string]bool{freest(r, g): true}
			}
			return fits
		})
		if !ok {
			break
		}
		w := q.waiting[it.ID]
		delete(q.waiting, it.ID)
		delete(q.returns.byOrigin, w.Origin)
		out = append(out, Outcome{w.Request, Placed{Engine: engine, Waited: now.Sub(w.queuedAt)}})
	}
	return append(out, q.dropHopeless(now, g)...)
}

// dropHopeless refuses waiting requests that aren't expected to start within their slack any more,
// so that their callers can go elsewhere before it is over.
func (q *Queue) dropHopeless(now time.Time, g Group) []Outcome {
	if now.Sub(q.checkedAt) < checkInterval {
		return nil
	}
	q.checkedAt = now
	var out []Outcome
	for _, w := range q.sorted() {
		ahead := q.queue.Ahead(w.item, nil)
		if _, ok := q.startOf(w.Request, q.slack(now, w.Request), ahead, false, g); ok {
			continue
		}
		q.queue.Remove(w.ID)
		out = append(out, q.miss(now, w, ahead, g))
	}
	return out
}

func (q *Queue) miss(now time.Time, w *waitingRequest, ahead int, g Group) Outcome {
	delete(q.waiting, w.ID)
	refused := q.refuse(now, w.Request, ReasonMissed, ahead, g)
	refused.Waited = now.Sub(w.queuedAt)
	return Outcome{w.Request, refused}
}

func (r *Request) valid() bool {
	return r.ID != "" && r.Curve != nil && r.PromptTokens >= 0 && r.PromptTokens <= maxTokens && r.MaxTokens >= 0 &&
		r.RequiredTokens > 0 && r.RequiredTokens <= 2*maxTokens && r.Slack >= 0 && r.Slack <= maxSlack && r.Age >= 0 && r.Age <= maxSlack && r.Prefill >= 0
}

func (q *Queue) newItem(now time.Time, r Request) *queue.Item {
	return &queue.Item{
		ID: r.ID, Workspace: r.Workspace, Class: classOf(r), Weight: 1, MaxQueued: q.params.MaxPerWorkspace,
		Tokens: float64(r.RequiredTokens), Deadline: now.Add(r.Slack - r.Prefill), Order: now.Add(r.Slack),
	}
}
