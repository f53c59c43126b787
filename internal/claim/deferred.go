package claim

import (
	"context"
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// maxDeferredWrites and maxDeferredBytes limit the writes that wait for the
	// end of a platform outage: the results of the requests that ran when it
	// began. No new ones begin during the outage.
	maxDeferredWrites = 256
	maxDeferredBytes  = 4 << 20
	// minDeferredBackoff and maxDeferredBackoff limit the wait between retries.
	// Jitter spreads the writes of all instances after an outage.
	minDeferredBackoff = 200 * time.Millisecond
	maxDeferredBackoff = 5 * time.Second
)

// write is a conditional write of a claim's record.
type write struct {
	kind, name string
	record     record
	// version is the object version that the write replaces; 0 creates the object.
	version int64
	// lostVersion is the version of a lost write of Begin that may still arrive.
	lostVersion int64
}

func (w write) size() int64 {
	if w.record.Result == nil {
		return 0
	}
	return int64(len(w.record.Result.Body))
}

// tryWrite makes one attempt at a write. It returns done when nothing is left to do,
// with an error if the write has failed for good.
func (s *Store) tryWrite(ctx context.Context, w *write) (done bool, err error) {
	_, err = s.put(ctx, *w)
	var conflict *objectapi.ConflictError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &conflict):
		stored := decode(conflict.Current)
		if w.record.Phase == phaseDone {
			w.version, done, err = afterFinishConflict(stored, *w)
			return done, err
		}
		w.version, done = afterAbandonConflict(stored, *w)
		return done, nil
	case errors.Is(err, objectapi.ErrRefused):
		return true, ErrNotStored
	}
	return false, err
}

// deferWrite queues a write for [Store.Run] and reports whether the queue had capacity.
func (s *Store) deferWrite(w write) bool {
	if s.deferredBytes.Add(w.size()) > maxDeferredBytes {
		s.deferredBytes.Add(-w.size())
		return false
	}
	select {
	case s.deferred <- w:
		return true
	default:
		s.deferredBytes.Add(-w.size())
		return false
	}
}

// Pending returns the number of deferred writes. A shutdown waits a while for it to
// reach zero once all requests have ended.
func (s *Store) Pending() int {
	return len(s.deferred)
}

// Run makes the deferred writes until ctx ends.
func (s *Store) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.deferred:
			s.retryUntilDone(ctx, w)
		}
	}
}

// retryUntilDone retries one write until it is done. The others wait behind it, since
// an outage of the platform that blocks one write blocks all.
func (s *Store) retryUntilDone(ctx context.Context, w write) {
	defer s.deferredBytes.Add(-w.size())
	backoff := objectapi.Backoff{Min: minDeferredBackoff, Max: maxDeferredBackoff}
	for ctx.Err() == nil {
		done, err := s.tryWrite(ctx, &w)
		if done && err != nil {
			s.opts.Log.Warn().Err(err).Str("claim", w.name).Msg("claim write failed, its result is lost")
		}
		if done {
			return
		}
		if s.opts.Sleep(ctx, backoff.Fail()) != nil {
			return
		}
	}
}
