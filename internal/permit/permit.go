// Package permit defines the permits that entry instances need to send requests to
// backend servers.
//
// Every backend server has one owner among the entry instances. The owner grants the
// permits, which enforces the limit of the backend server across all entry instances
// although each of them may send to it.
//
// # Usage
//
// A caller-facing handler acquires a permit, sends the request while
// [Permit.Valid] holds, and releases the permit with its [Outcome]:
//
//	p, err := acquirer.Acquire(ctx, now, permit.Request{Service: "briefing", Model: "glide-7b"})
//	if err != nil {
//		// *Refusal has the reason and when to retry.
//	}
//	defer acquirer.Release(p, outcome)
package permit

import (
	"context"
	"fmt"
	"time"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Request is a request for a permit for some backend server of a service.
type Request struct {
	// ID is the ID of the request on the backend server (its X-Request-Id), by
	// which the owner recognizes it in the server's load report.
	ID        string
	Service   string
	Model     string
	Workspace string
	Class     pollenspindle.Class
	// PromptTokens is an estimate; MaxTokens is the caller's limit, or 0.
	PromptTokens int
	MaxTokens    int
	// PrefixHash is the same for requests with a common prompt prefix.
	PrefixHash uint64
	// Fingerprint identifies the request body within its workspace, to find
	// requests that crash backend servers.
	Fingerprint uint64
	// Deadline is when the request is refused if it hasn't started.
	Deadline time.Time
	// ExcludeServers and AvoidZones are those of earlier attempts.
	ExcludeServers []string
	AvoidZones     []string
}

// Permit allows one request to be sent to one backend server.
type Permit struct {
	ID      string
	Server  string
	Address string
	Zone    string
	// Epoch is the epoch of the roster under which the permit was granted.
	Epoch int64
	// Owner and OwnerIncarnation identify the instance that granted it.
	Owner            string
	OwnerIncarnation string
	// ServerIncarnation is the incarnation of the backend server that the permit
	// is for; empty if unknown.
	ServerIncarnation string
	// ExpiresAt is the time until which the request may be sent. It is derived
	// from time.Now, so it has a monotonic clock reading.
	ExpiresAt time.Time
}

// Valid reports whether a request may still be sent under p.
//
// A process that is paused between receiving and using a permit could otherwise send
// although the owner has granted the slot to another request, and overload the server.
// It must be called immediately before the first byte is sent.
func (p Permit) Valid(now time.Time) bool {
	return now.Before(p.ExpiresAt)
}

// Ending is how a request under a permit ended.
type Ending string

// The endings of a request.
const (
	EndingFinished  Ending = "finished"
	EndingCancelled Ending = "cancelled"
	// EndingNotSent means that nothing was sent to the backend server.
	EndingNotSent Ending = "notSent"
	// EndingRefused means that the backend server refused the request before running it.
	EndingRefused Ending = "refused"
	// EndingLost means that the connection failed; the request may still be running.
	EndingLost Ending = "lost"
	// EndingCrashed means that the backend server crashed or was replaced.
	EndingCrashed Ending = "crashed"
	// ConnectionBroken isn't final: the connection of a request broke, and the
	// request keeps its permit while it is looked up over a new connection.
	ConnectionBroken Ending = "connectionBroken"
)

// Outcome is the result of a request, as reported to the owner of its permit.
type Outcome struct {
	Ending Ending
	// OutputTokens is the number of received tokens.
	OutputTokens int
	// FirstToken is the time from sending to the first token; zero if none.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Pause is for how long the backend server, in its refusal, wants no further request from this
	// instance; 0 for none.
	Pause time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonOverloaded    Reason = "overloaded"
	ReasonQueueFull     Reason = "queueFull"
	ReasonDeadline      Reason = "deadlineTooClose"
	ReasonNoServer      Reason = "noServer"
	ReasonWorkspace     Reason = "workspaceLimit"
	ReasonSuspect       Reason = "requestCrashesServers"
	ReasonNotConfirmed  Reason = "configurationNotConfirmed"
	ReasonShuttingDown  Reason = "shuttingDown"
	ReasonUnknownModel  Reason = "unknownModel"
	ReasonOwnerNotFound Reason = "ownerUnreachable"
)

// Refusal is the error for a request that was refused. Nothing of it was sent to a
// backend server.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry is worthwhile.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Acquirer acquires and releases permits. Acquire waits while the request is queued,
// at most until req.Deadline, and returns a *Refusal if the request is refused.
//
// MaySend must be called immediately before the first byte is sent. ReportBroken
// reports that the connection of a request broke, which may be the first sign that the
// backend server has restarted: permits requested before can't be used any more, and
// the owner grants no more until a load report measured afterwards.
type Acquirer interface {
	Acquire(ctx context.Context, now time.Time, req Request) (Permit, error)
	MaySend(now time.Time, p Permit) bool
	ReportBroken(now time.Time, p Permit)
	Release(p Permit, o Outcome)
	// ReleaseLost releases the permit of a request that was sent and lost. It returns when all
	// instances know whether the request crashed its server, or after a time limit. Until then a
	// repetition could crash another server.
	ReleaseLost(ctx context.Context, p Permit, o Outcome)
}
