package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// sweepPageSize is the maximum number of claims that one step of the sweep reads and
// deletes. With one step a second and each shard swept by its own instance, the
// fleet reads 16 pages and deletes up to 256 claims a second, more than the
// platform lets it create. A page is at most about 6 MB and mostly a few KB.
const sweepPageSize = 16

// sweepInterval is the time between two steps of the sweep.
const sweepInterval = time.Second

// RunSweep sweeps expired claims until ctx ends. It takes the present time from clock.
func (s *Store) RunSweep(ctx context.Context, clock func() time.Time, owns func(shard string) bool) {
	backoff := objectapi.Backoff{Min: sweepInterval, Max: time.Minute}
	wait := sweepInterval
	for s.opts.Sleep(ctx, wait) == nil {
		wait = sweepInterval
		if _, err := s.Sweep(ctx, clock(), owns); err != nil {
			s.opts.Log.Debug().Err(err).Msg("claims not swept")
			wait = max(sweepInterval, backoff.Fail())
			continue
		}
		backoff.Reset()
	}
}

// sweeper holds the list cursor of each shard and the next shard to sweep.
type sweeper struct {
	mu      sync.Mutex
	next    int
	cursors map[string]string
}

func newSweeper() sweeper {
	return sweeper{cursors: map[string]string{}}
}

// nextShard returns the next shard, after the last one, that this instance owns.
func (w *sweeper) nextShard(owns func(shard string) bool) (shard string, ok bool) {
	for range shardNames {
		shard = shardNames[w.next : w.next+1]
		w.next = (w.next + 1) % len(shardNames)
		if owns(shard) {
			return shard, true
		}
	}
	return "", false
}

// Sweep reads one page of claims of a shard that this instance owns, deletes the
// expired ones and returns their number. Owners follow from the roster by rendezvous
// hashing; two owners of a shard for a while do no harm, as the deletes are conditional.
//
// The number of claims kept is at most their rate times the retention.
func (s *Store) Sweep(ctx context.Context, now time.Time, owns func(shard string) bool) (int, error) {
	w := &s.sweeper
	w.mu.Lock()
	defer w.mu.Unlock()
	shard, ok := w.nextShard(owns)
	if !ok {
		return 0, nil
	}
	page, err := s.opts.Objects.ListPage(ctx, kindPrefix+shard, w.cursors[shard], sweepPageSize)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	w.cursors[shard] = page.Cursor
	swept := 0
	for _, o := range page.Objects {
		stored := decode(o)
		if !stored.readable || !expired(now, stored.record) {
			continue
		}
		err := s.opts.Objects.Delete(ctx, o.Kind, o.Name, o.Version)
		var conflict *objectapi.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return swept, merry.Wrap(err)
		}
		swept++
	}
	return swept, nil
}
