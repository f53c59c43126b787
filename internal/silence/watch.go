package silence

import "time"

// maxLoopGap is the maximum time between two calls of [Watch.Observe] in a process that runs. The
// streams are checked every 150 ms.
const maxLoopGap = 450 * time.Millisecond

// Watch notices when the process itself didn't run. The streams' events then wait in its sockets,
// and no engine is to blame for the silence. Its zero value is ready to use. It is not safe for
// concurrent use.
type Watch struct{ last, resumed time.Time }

// Observe is called at each check of the streams. It returns when the process last continued after
// a gap, and whether that is now.
func (w *Watch) Observe(now time.Time) (resumed time.Time, continued bool) {
	if w.last.IsZero() || now.Sub(w.last) > maxLoopGap {
		w.resumed, continued = now, !w.last.IsZero()
	}
	w.last = now
	return w.resumed, continued
}
