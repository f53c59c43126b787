package ingress

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/observed"
)

// runs are the streams at work.
type runs struct {
	mu  sync.Mutex
	all map[*run]struct{}
}

func newRuns() *runs { return &runs{all: map[*run]struct{}{}} }

func (r *runs) begin(req *request, place balancer.Placement) *run {
	one := &run{request: req, place: place, lastID: req.lastEvent, handed: make(chan handover, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[one] = struct{}{}
	return one
}

func (r *runs) end(one *run) {
	one.finish()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, one)
}

func (r *runs) list() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*run, 0, len(r.all))
	for one := range r.all {
		out = append(out, one)
	}
	return out
}

// handover says where a stopped generation goes on.
type handover struct {
	to     balancer.Placement
	source string
	handle string
	// unsure says that the source wasn't heard to have stopped the run.
	unsure bool
	// refused says that the source goes on with the run: it wasn't stopped.
	refused bool
	err     error
}

// run is one stream and the server it runs on. The handler reads it and writes
// it, a carrier moves it.
type run struct {
	request *request
	handed  chan handover

	mu     sync.Mutex
	place  balancer.Placement
	lastID int64
	// lastAt is when the last event came, abort ends the read for the next.
	lastAt   time.Time
	abort    func()
	events   int64
	carrying bool
	stopping bool
	// awaited is set while the end of the move that stops the run is waited for.
	awaited bool
	done    bool
	// copy is where the run's memory was copied to, if it was.
	copy *handover
	// begun is set by the first event, expired by the end of the time for it:
	// whichever comes first.
	begun   bool
	expired bool
}

// expire ends the wait for the first event; false means that it has come.
func (r *run) expire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = !r.begun
	return r.expired
}

// begins notes that an event has come; false means that it came too late.
func (r *run) begins() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = r.begun || !r.expired
	return r.begun
}

func (r *run) advance(now time.Time, id int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	r.lastAt = now
	if id > 0 {
		r.lastID = id
	}
}

// reads notes how the read of the present stream is ended, and that it has
// just begun.
func (r *run) reads(now time.Time, abort func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAt, r.abort = now, abort
}

// stalledFor returns for how long a stream that has begun gave no event.
func (r *run) stalledFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == 0 || r.stopping || r.done {
		return 0
	}
	return now.Sub(r.lastAt)
}

// goOn takes back a stop that the server didn't carry out; leaveStream ends
// the read of a stream that goes on elsewhere.
func (r *run) goOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
	if r.awaited {
		r.awaited = false
		r.handed <- handover{refused: true}
	}
}

func (r *run) leaveStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abort != nil {
		r.abort()
	}
}

func (r *run) last() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastID
}

func (r *run) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// tokens returns how many tokens the run has made.
func (r *run) tokens() int {
	return int(r.position()) * max(1, r.request.service.Engine.TokensPerEvent)
}

func (r *run) server() observed.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place.Server
}

func (r *run) where() balancer.Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place
}

// unclaimed gives the load of a move that nobody waited for to release.
func (r *run) unclaimed(release func(balancer.Placement)) {
	select {
	case h := <-r.handed:
		if h.err == nil {
			release(h.to)
		}
	default:
	}
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
}

func (r *run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// claim makes the caller the run's only carrier; release ends that.
func (r *run) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.carrying || r.done || r.stopping {
		return false
	}
	r.carrying = true
	return true
}

func (r *run) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carrying = false
}

// isAt reports whether the run still goes on at a server.
func (r *run) isAt(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.done && r.place.Server.ID == server
}

// keep notes a copy of the run's memory, and with it the load that is counted
// for it; false means that the run has ended.
func (r *run) keep(copy handover) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.copy != nil {
		return false
	}
	r.copy = &copy
	return true
}

func (r *run) copied() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copy != nil
}

// takeCopy hands the copy over, which can be used once, with its load.
func (r *run) takeCopy() (handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copy == nil {
		return handover{}, false
	}
	h := *r.copy
	r.copy = nil
	return h, true
}

// stop notes that the server is told to stop the run: from now on the end of
// its stream isn't the end of the generation.
func (r *run) stop(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.stopping || r.place.Server.ID != server {
		return false
	}
	r.stopping = true
	return true
}

func (r *run) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// await waits for the end of the move that stopped the run.
func (r *run) await(ctx context.Context, limit time.Duration) (handover, error) {
	r.mu.Lock()
	if !r.stopping {
		r.mu.Unlock()
		return handover{refused: true}, nil
	}
	r.awaited = true
	r.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case h := <-r.handed:
		return h, h.err
	case <-timer.C:
		r.giveUp()
		return handover{}, errMoveLost
	case <-ctx.Done():
		r.giveUp()
		return handover{}, ctx.Err()
	}
}

// giveUp notes that nobody waits for the end of the move any more.
func (r *run) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited = false
}

// moveTo notes where the run goes on; it may be carried again from there.
func (r *run) moveTo(place balancer.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place, r.stopping, r.awaited = place, false, false
}
