package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// defaultMaxAttempts limits the attempts at one write while a caller waits,
	// when responses are lost. With the backoff between them they span about
	// a second.
	defaultMaxAttempts = 4
	minBackoff         = 20 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
	// defaultRequestTimeout is how long the request of a holder may run.
	defaultRequestTimeout = 2 * time.Minute
	defaultRetention      = 24 * time.Hour
)

// Objects is the part of the object API that claims use; *objectapi.Client
// implements it.
type Objects interface {
	Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error)
	Update(ctx context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error)
	Delete(ctx context.Context, kind, name string, version int64) error
	ListPage(ctx context.Context, kind, cursor string, limit int) (objectapi.Page, error)
}

// StoreOptions configures a [Store]. Zero fields except Objects take defaults.
type StoreOptions struct {
	Objects Objects
	Log     zerolog.Logger
	// Holder is the name of this instance, for operators.
	Holder string
	// RequestTimeout is how long a request may run.
	RequestTimeout time.Duration
	// Retention returns how long a claim that is created now is kept, according
	// to the current configuration. The minimum is MinRetention.
	Retention func() time.Duration
	// MaxAttempts limits the attempts at one write while a caller waits.
	MaxAttempts int
	// Sleep waits between attempts; the default is objectapi.Sleep.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Store creates and finishes claims. It is safe for concurrent use.
type Store struct {
	opts StoreOptions
	// deferred holds the writes that the platform didn't accept. When it is full
	// or holds too many bytes, a write is dropped: retries with its key get
	// Unknown until the claim is swept, which is safe.
	deferred      chan write
	deferredBytes atomic.Int64
	sweeper       sweeper
}

// NewStore returns a store. Its deferred writes need a running [Store.Run].
func NewStore(opts StoreOptions) *Store {
	if opts.RequestTimeout == 0 {
		opts.RequestTimeout = defaultRequestTimeout
	}
	if opts.Retention == nil {
		opts.Retention = func() time.Duration { return defaultRetention }
	}
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = defaultMaxAttempts
	}
	if opts.Sleep == nil {
		opts.Sleep = objectapi.Sleep
	}
	return &Store{opts: opts, deferred: make(chan write, maxDeferredWrites), sweeper: newSweeper()}
}

// Begin claims a key before its request is sent. The fingerprint identifies the
// request, so that one key isn't used for two requests.
//
// During a platform outage it returns Unavailable at once. After a lost response it
// repeats the same conditional write, which either succeeds or returns the existing
// claim, whose attempt identifies its holder.
func (s *Store) Begin(ctx context.Context, now time.Time, key Key, fingerprint string) BeginResult {
	kind, name := key.objectName()
	c := Claim{
		Kind:         kind,
		Name:         name,
		Attempt:      rand.Text(),
		Fingerprint:  fingerprint,
		SendDeadline: now.Add(maxSendDelay),
		CreatedAt:    now,
		ExpiresAt:    now.Add(max(s.opts.Retention(), MinRetention)),
	}
	w := write{kind: kind, name: name, record: s.record(c, phaseOpen)}
	backoff := objectapi.Backoff{Min: minBackoff, Max: maxBackoff}
	uncertain := false
	var err error
	for range s.opts.MaxAttempts {
		var o objectapi.Object
		o, err = s.put(ctx, w)
		var conflict *objectapi.ConflictError
		switch {
		case err == nil:
			c.Version = o.Version
			return Acquired{Claim: c}
		case errors.As(err, &conflict):
			next := afterConflict(now, decode(conflict.Current), c.Attempt, fingerprint)
			if next.acquired {
				c.Version = next.version
				return Acquired{Claim: c}
			}
			if next.result != nil {
				return next.result
			}
			w.version = next.version
			continue
		case errors.Is(err, objectapi.ErrUnknownOutcome):
			uncertain = true
			w.lostVersion = w.version
		case !uncertain:
			return Unavailable{Err: merry.Wrap(err)}
		}
		if s.opts.Sleep(ctx, backoff.Fail()) != nil {
			break
		}
	}
	if uncertain {
		// The claim may exist or may still arrive. Nothing is sent under this
		// attempt any more, so the key is freed as soon as possible.
		w.record.Phase = phaseAbandoned
		w.version = 0
		s.deferWrite(w)
	}
	return Unavailable{Err: merry.Wrap(err)}
}

func (s *Store) record(c Claim, p phase) record {
	return record{
		Phase:            p,
		Attempt:          c.Attempt,
		Fingerprint:      c.Fingerprint,
		Holder:           s.opts.Holder,
		CreatedAt:        c.CreatedAt.UTC(),
		ResponseDeadline: c.CreatedAt.Add(s.opts.RequestTimeout).UTC(),
		ExpiresAt:        c.ExpiresAt.UTC(),
	}
}

// Finish stores the result of a claimed request. It may be called at any time: a
// claim is never taken over, so its holder may store its result late.
//
// It returns ErrStoreDeferred when the platform hasn't accepted the result yet, and
// ErrNotStored when it never will. The response to the caller is valid in both cases.
func (s *Store) Finish(ctx context.Context, c Claim, r Result) error {
	w := write{kind: c.Kind, name: c.Name, version: c.Version, record: s.record(c, phaseDone)}
	bounded := r.limitSize()
	w.record.Result = &bounded
	return s.writeOrDefer(ctx, w)
}

// Abandon gives up a claim under which nothing was sent, so that the key may be used
// again. The holder must not send afterwards, whatever Abandon returns.
func (s *Store) Abandon(ctx context.Context, c Claim) error {
	return s.writeOrDefer(ctx, write{kind: c.Kind, name: c.Name, version: c.Version, record: s.record(c, phaseAbandoned)})
}

func (s *Store) writeOrDefer(ctx context.Context, w write) error {
	backoff := objectapi.Backoff{Min: minBackoff, Max: maxBackoff}
	for range s.opts.MaxAttempts {
		done, err := s.tryWrite(ctx, &w)
		if done {
			return err
		}
		if errors.Is(err, objectapi.ErrUnavailable) || s.opts.Sleep(ctx, backoff.Fail()) != nil {
			break
		}
	}
	if !s.deferWrite(w) {
		return merry.Wrap(ErrNotStored)
	}
	return merry.Wrap(ErrStoreDeferred)
}

// put makes one conditional write.
func (s *Store) put(ctx context.Context, w write) (objectapi.Object, error) {
	value, err := json.Marshal(w.record)
	if err != nil {
		return objectapi.Object{}, merry.Wrap(objectapi.ErrRefused, merry.WithCause(err))
	}
	if w.version == 0 {
		return s.opts.Objects.Create(ctx, w.kind, w.name, value)
	}
	return s.opts.Objects.Update(ctx, w.kind, w.name, w.version, value)
}
