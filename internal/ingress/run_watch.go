package ingress

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/silence"
)

// runWatch is a [silence.Watch] for several goroutines.
type runWatch struct {
	mu    sync.Mutex
	watch silence.Watch
}

// resumed notes that the process runs, and returns when it last continued after a gap.
func (w *runWatch) resumed(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, _ := w.watch.Observe(now)
	return at
}
