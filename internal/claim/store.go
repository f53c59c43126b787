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
	// defaultAttempts bounds the tries of one write whose answer is lost,
	// while a caller waits. With the waits between them they span about a
	// second.
	defaultAttempts = 4
	firstWait       = 20 * time.Millisecond
	maxWait         = 500 * time.Millisecond
	// defaultAnswerWithin is how long a holder may take for its answer.
	defaultAnswerWithin = 2 * time.Minute
	defaultRetention    = 24 * time.Hour
)

// Objects is the part of the object API that claims need; it is
// *objectapi.Client but in tests.
type Objects interface {
	Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error)
	Update(ctx context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error)
	Delete(ctx context.Context, kind, name string, version int64) error
	ListPage(ctx context.Context, kind, cursor string, limit int) (objectapi.Page, error)
}

// StoreOptions is what a store needs. Zero fields but Objects take defaults.
type StoreOptions struct {
	Objects Objects
	Log     zerolog.Logger
	// Holder is the name of this instance, for operators.
	Holder string
	// AnswerWithin is the longest that a request may run.
	AnswerWithin time.Duration
	// Retention answers how long a claim that begins now is kept, as the
	// configuration in force says. Less than MinRetention counts as that.
	Retention func() time.Duration
	// Attempts bounds the tries of one write while a caller waits.
	Attempts int
	// Pause waits between tries; it is objectapi.Pause but in tests.
	Pause func(ctx context.Context, d time.Duration) error
}

// Store makes claims. It is safe for concurrent use.
type Store struct {
	opts StoreOptions
	// later holds the writes that the platform didn't take. When it is full
	// or holds too many bytes, a write is dropped: its key answers Unknown
	// until it is swept, which is safe.
	later      chan write
	laterBytes atomic.Int64
	sweeper    sweeper
}

// NewStore makes a store. [Store.Run] must run beside it.
func NewStore(opts StoreOptions) *Store {
	if opts.AnswerWithin == 0 {
		opts.AnswerWithin = defaultAnswerWithin
	}
	if opts.Retention == nil {
		opts.Retention = func() time.Duration { return defaultRetention }
	}
	if opts.Attempts == 0 {
		opts.Attempts = defaultAttempts
	}
	if opts.Pause == nil {
		opts.Pause = objectapi.Sleep
	}
	return &Store{opts: opts, later: make(chan write, laterWrites), sweeper: newSweeper()}
}

// Begin claims a key before its request is sent. The fingerprint identifies
// the request, so that a key isn't used for two.
//
// Platform down: Unavailable at once, and nothing was sent. An answer lost on
// the way is cleared up by repeating the same conditional write: it either
// succeeds or shows the claim that is there, whose attempt tells whose it is.
func (s *Store) Begin(ctx context.Context, now time.Time, key Key, fingerprint string) Answer {
	kind, name := key.object()
	c := Claim{
		Kind:        kind,
		Name:        name,
		Attempt:     rand.Text(),
		Fingerprint: fingerprint,
		SendBy:      now.Add(sendWithin),
		BeganAt:     now,
		ExpiresAt:   now.Add(max(s.opts.Retention(), MinRetention)),
	}
	w := write{kind: kind, name: name, record: s.record(c, phaseOpen)}
	backoff := objectapi.Backoff{Min: firstWait, Max: maxWait}
	uncertain := false
	var err error
	for range s.opts.Attempts {
		var o objectapi.Object
		o, err = s.put(ctx, w)
		var conflict *objectapi.ConflictError
		switch {
		case err == nil:
			c.Version = o.Version
			return Won{Claim: c}
		case errors.As(err, &conflict):
			next := afterConflict(now, decode(conflict.Current), c.Attempt, fingerprint)
			if next.won {
				c.Version = next.at
				return Won{Claim: c}
			}
			if next.answer != nil {
				return next.answer
			}
			w.at = next.at
			continue
		case errors.Is(err, objectapi.ErrUnknownOutcome):
			uncertain = true
			w.lostAt = w.at
		case !uncertain:
			return Unavailable{Err: merry.Wrap(err)}
		}
		if s.opts.Pause(ctx, backoff.Fail()) != nil {
			break
		}
	}
	if uncertain {
		// The claim may be there, or may still arrive. Nothing is sent under
		// this attempt any more, so the key is freed as soon as possible.
		w.record.Phase = phaseAbandoned
		w.at = 0
		s.keep(w)
	}
	return Unavailable{Err: merry.Wrap(err)}
}

func (s *Store) record(c Claim, p phase) record {
	return record{
		Phase:       p,
		Attempt:     c.Attempt,
		Fingerprint: c.Fingerprint,
		Holder:      s.opts.Holder,
		BeganAt:     c.BeganAt.UTC(),
		AnswerBy:    c.BeganAt.Add(s.opts.AnswerWithin).UTC(),
		ExpiresAt:   c.ExpiresAt.UTC(),
	}
}

// Finish stores the result of a claimed request. It may come at any time: a
// claim is never taken over, so its holder may store its result late.
//
// It answers ErrStoreLater when the platform didn't take the result yet, and
// ErrNotStored when it never will. Both leave the answer to the caller true.
func (s *Store) Finish(ctx context.Context, c Claim, r Result) error {
	w := write{kind: c.Kind, name: c.Name, at: c.Version, record: s.record(c, phaseDone)}
	bounded := r.bounded()
	w.record.Result = &bounded
	return s.finishOrKeep(ctx, w)
}

// Abandon gives up a claim under which nothing was sent, so that the key may
// be used again. The holder must not send afterwards, whatever Abandon
// answers.
func (s *Store) Abandon(ctx context.Context, c Claim) error {
	return s.finishOrKeep(ctx, write{kind: c.Kind, name: c.Name, at: c.Version, record: s.record(c, phaseAbandoned)})
}

func (s *Store) finishOrKeep(ctx context.Context, w write) error {
	backoff := objectapi.Backoff{Min: firstWait, Max: maxWait}
	for range s.opts.Attempts {
		done, err := s.try(ctx, &w)
		if done {
			return err
		}
		if errors.Is(err, objectapi.ErrUnavailable) || s.opts.Pause(ctx, backoff.Fail()) != nil {
			break
		}
	}
	if !s.keep(w) {
		return merry.Wrap(ErrNotStored)
	}
	return merry.Wrap(ErrStoreLater)
}

// put writes a record under its condition.
func (s *Store) put(ctx context.Context, w write) (objectapi.Object, error) {
	value, err := json.Marshal(w.record)
	if err != nil {
		return objectapi.Object{}, merry.Wrap(objectapi.ErrRefused, merry.WithCause(err))
	}
	if w.at == 0 {
		return s.opts.Objects.Create(ctx, w.kind, w.name, value)
	}
	return s.opts.Objects.Update(ctx, w.kind, w.name, w.at, value)
}
