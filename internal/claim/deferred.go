package claim

import (
	"context"
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// laterWrites and maxLaterBytes bound what waits for the platform to come
	// back: the results of the requests that ran when it went down. No new
	// ones begin while it is down.
	laterWrites   = 256
	maxLaterBytes = 4 << 20
	// laterFirst and laterMost bound the wait between tries. The jitter spreads
	// the writes of all instances after an outage.
	laterFirst = 200 * time.Millisecond
	laterMost  = 5 * time.Second
)

// write is the abandoned or final record of a claim on its way.
type write struct {
	kind, name string
	record     record
	// at is the version that the write is for; 0 creates.
	at int64
	// lostAt is the version for which a begin was lost that may yet arrive.
	lostAt int64
}

func (w write) bytes() int64 {
	if w.record.Result == nil {
		return 0
	}
	return int64(len(w.record.Result.Body))
}

// try makes one write. It reports done when there is nothing left to do, and
// answers why if that is a failure.
func (s *Store) try(ctx context.Context, w *write) (done bool, err error) {
	_, err = s.put(ctx, *w)
	var conflict *objectapi.ConflictError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &conflict):
		f := decode(conflict.Current)
		if w.record.Phase == phaseDone {
			w.at, done, err = afterFinishConflict(f, *w)
			return done, err
		}
		w.at, done = afterAbandonConflict(f, *w)
		return done, nil
	case errors.Is(err, objectapi.ErrRefused):
		return true, ErrNotStored
	}
	return false, err
}

// keep puts a write aside for [Store.Run] and reports whether there was room.
func (s *Store) keep(w write) bool {
	if s.laterBytes.Add(w.bytes()) > maxLaterBytes {
		s.laterBytes.Add(-w.bytes())
		return false
	}
	select {
	case s.later <- w:
		return true
	default:
		s.laterBytes.Add(-w.bytes())
		return false
	}
}

// Pending answers how many writes wait for the platform. A shutdown that has
// ended its requests waits a while for none.
func (s *Store) Pending() int {
	return len(s.later)
}

// Run makes the writes that were put aside, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.later:
			s.settle(ctx, w)
		}
	}
}

// settle tries one write until it is made. Others wait behind it: what stops
// one is the platform, which stops all.
func (s *Store) settle(ctx context.Context, w write) {
	defer s.laterBytes.Add(-w.bytes())
	backoff := objectapi.Backoff{Min: laterFirst, Max: laterMost}
	for ctx.Err() == nil {
		done, err := s.try(ctx, &w)
		if done && err != nil {
			s.opts.Log.Warn().Err(err).Str("claim", w.name).Msg("result of a claim is lost")
		}
		if done {
			return
		}
		if s.opts.Pause(ctx, backoff.Fail()) != nil {
			return
		}
	}
}
