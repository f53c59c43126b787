// Package claim runs non-idempotent requests with an idempotency key at most
// once, across all entry instances, despite lost responses, paused holders and
// callers that retry through another instance.
//
// A claim is one object in the platform for each workspace and key. It is
// created before any byte of the request is sent to a backend server, and is
// never taken over: an instance that finds an open claim doesn't run the request.
// So a holder that was paused past every deadline may still send the request and
// store its result, as no other instance has sent it.
//
// # Usage
//
//	switch a := store.Begin(ctx, time.Now(), claim.Key{Workspace: "club", Key: key}, fingerprint).(type) {
//	case claim.Acquired:
//		if !a.Claim.MaySend(time.Now()) {
//			_ = store.Abandon(ctx, a.Claim) // and respond that it didn't run
//		}
//		// Send the request, then:
//		err := store.Finish(ctx, a.Claim, result)
//	case claim.Stored:
//		// Return a.Result again.
//	case claim.InProgress, claim.Unknown:
//		// Don't run the request; its outcome is unknown.
//	case claim.Mismatch:
//		// The key belongs to another request: 422.
//	case claim.Unavailable:
//		// The request didn't run.
//	}
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// MaxBodyBytes is the largest body that is stored. A larger one is omitted,
	// and a retry learns only that the request ran. Encoded in base64 it stays
	// well below the platform's object limit of 1 MB.
	MaxBodyBytes = 256 << 10
	// maxHeaderBytes limits the stored header in the same way.
	maxHeaderBytes = 16 << 10
	// maxSendDelay is how long after Begin a request may be sent. It must be
	// far below the shortest retention: a holder that was paused until its
	// claim was swept would otherwise send a request that a retry, which
	// claimed the key again, has sent already.
	maxSendDelay = time.Minute
	// MinRetention is the shortest time for which claims are kept.
	MinRetention = time.Hour
	// kindPrefix and a shard name form the object kind of a claim. Sharding
	// distributes the sweep among the instances.
	kindPrefix = "claim"
	shardNames = "0123456789abcdef"
)

// Errors of [Store.Finish] and [Store.Abandon].
var (
	// ErrStoreDeferred means that the platform didn't accept a write. It is
	// queued and retried while this instance runs.
	ErrStoreDeferred = merry.Sentinel("claim write is deferred")
	// ErrNotStored means that a write has failed for good. A retry gets Unknown.
	ErrNotStored = merry.Sentinel("claim not written")
)

// Key identifies a non-idempotent request.
type Key struct {
	Workspace string
	// Key is the caller's idempotency key.
	Key string
}

// objectName returns the kind and name of the claim's object. Both come from a hash, so
// that any key fits and no key can be read from the platform.
func (k Key) objectName() (kind, name string) {
	workspace := sha256.Sum256([]byte(k.Workspace))
	sum := sha256.Sum256(append(workspace[:], k.Key...))
	name = hex.EncodeToString(sum[:])
	return kindPrefix + name[:1], name
}

// Claim is the permission to send one request once.
type Claim struct {
	Kind string
	Name string
	// Attempt is the random token of this holder.
	Attempt     string
	Fingerprint string
	// Version is the version of the claim's object.
	Version int64
	// SendDeadline is the deadline for sending the request. It carries a
	// monotonic clock reading.
	SendDeadline time.Time
	// CreatedAt and ExpiresAt limit the lifetime of the claim's object.
	CreatedAt time.Time
	ExpiresAt time.Time
}

// MaySend reports whether the request may still be sent. Holders check it
// immediately before they send the first byte.
func (c Claim) MaySend(now time.Time) bool {
	return now.Before(c.SendDeadline)
}

// Result is the response of the backend server.
type Result struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Omitted means that header or body was too large to be stored: a retry
	// learns that the request ran, and its status.
	Omitted bool `json:"omitted,omitempty"`
}

// limitSize omits header and body if either is too large to be stored.
func (r Result) limitSize() Result {
	size := 0
	for name, values := range r.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	if len(r.Body) > MaxBodyBytes || size > maxHeaderBytes {
		return Result{Status: r.Status, Omitted: true}
	}
	return r
}

// BeginResult is the result of [Store.Begin]: [Acquired], [Stored], [InProgress],
// [Unknown], [Mismatch] or [Unavailable].
type BeginResult interface{ isBeginResult() }

// Acquired means that this attempt, and no other, may send the request.
type Acquired struct{ Claim Claim }

// Stored means that the request ran before; Result is its response.
type Stored struct{ Result Result }

// InProgress means that another holder has the claim and may still finish.
type InProgress struct {
	// RetryAfter is the suggested wait before the next retry.
	RetryAfter time.Duration
}

// Unknown means that the holder of the claim didn't store a result in time.
// The request may have run, so it is never run again. If the holder stores its
// result later, a retry gets it.
type Unknown struct{}

// Mismatch means that the key was used for a request with another fingerprint.
type Mismatch struct{}

// Unavailable means that the claim could not be created, so nothing may be sent.
type Unavailable struct{ Err error }

func (Acquired) isBeginResult()    {}
func (Stored) isBeginResult()      {}
func (InProgress) isBeginResult()  {}
func (Unknown) isBeginResult()     {}
func (Mismatch) isBeginResult()    {}
func (Unavailable) isBeginResult() {}
