package ingress

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// slowWrite is the duration of a write after which the gap to the next event isn't the engine's: the
// caller didn't read. A write to a caller that reads takes less than a millisecond.
const slowWrite = 10 * time.Millisecond

// activeStreams holds the streams that are being relayed.
type activeStreams struct {
	mu  sync.Mutex
	all map[*activeStream]struct{}
}

func newActiveStreams() *activeStreams { return &activeStreams{all: map[*activeStream]struct{}{}} }

func (a *activeStreams) add(req *request, place balancer.Placement) *activeStream {
	st := &activeStream{request: req, placement: place, lastID: req.lastEventID, cutover: make(chan resumePoint, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[st] = struct{}{}
	return st
}

func (a *activeStreams) remove(st *activeStream) {
	st.finish()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, st)
}

func (a *activeStreams) list() []*activeStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*activeStream, 0, len(a.all))
	for st := range a.all {
		out = append(out, st)
	}
	return out
}

// resumePoint says where a generation that was stopped or copied can resume.
type resumePoint struct {
	target        balancer.Placement
	sourceAddress string
	handle        string
	// unconfirmed says that the source engine hasn't confirmed that it stopped the generation.
	unconfirmed bool
	// refused says that the source engine didn't stop the generation, which continues there.
	refused bool
	err     error
}

// activeStream is one stream and the server that it runs on. The request handler reads and updates
// it; a migration changes its server.
type activeStream struct {
	request *request
	cutover chan resumePoint

	mu        sync.Mutex
	placement balancer.Placement
	lastID    int64
	// lastEventAt is when the last event arrived; abort interrupts the read of the next one.
	lastEventAt time.Time
	abort       func()
	events      int64
	// meter measures the interval between events on the present server; interval is the median of
	// its last window, 0 before the first one ends.
	meter       pace.Meter
	interval    time.Duration
	migrating   bool
	cuttingOver bool
	// cutoverAwaited is set while the handler waits for the result of the cutover.
	cutoverAwaited bool
	done           bool
	// promised says that a copy to another server is expected to end in time. nextRun is where the
	// stream continues by a new run because none would.
	promised bool
	nextRun  *balancer.Placement
	// noNewRun says that no place was found for a new run.
	noNewRun bool
	// kvCopy is the copy of the generation's KV cache, if there is one.
	kvCopy *resumePoint
	// writing is set while an event is written to the caller, who may not be reading.
	writing        bool
	writeStartedAt time.Time
	// started is set by the first event, expired by the time limit for it, whichever comes first.
	started bool
	expired bool
	// movedForPace is set when a migration for pace starts; there is at most one.
	movedForPace bool
	silent       silentState
}

// expireFirstEvent ends the wait for the first event; false means that it has arrived.
func (a *activeStream) expireFirstEvent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expired = !a.started
	return a.expired
}

// acceptEvent records that an event has arrived; false means that the first one came too late.
func (a *activeStream) acceptEvent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = a.started || !a.expired
	return a.started
}

// recordEvent records an event. At the end of a window it returns the interval between events without
// the prefill of other prompts.
func (a *activeStream) recordEvent(now time.Time, id int64) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events++
	a.lastEventAt = now
	interval, ok := a.meter.Record(now)
	if ok {
		a.interval = interval
	}
	if id > 0 {
		a.lastID = id
	}
	return a.meter.Decode(), ok
}

// eventInterval returns the median interval between the last events; 0 if too few have arrived on
// the present server.
func (a *activeStream) eventInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

func (a *activeStream) setWriting(now time.Time, writing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = writing
	if writing {
		a.writeStartedAt = now
	} else if now.Sub(a.writeStartedAt) > slowWrite {
		a.meter.Interrupt()
	}
}

// startRead records the start of a read and the function that interrupts it.
func (a *activeStream) startRead(now time.Time, abort func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastEventAt, a.abort = now, abort
}

// stalledFor returns how long a started stream has been without events. Those of the time before the process
// resumed may wait in its sockets.
func (a *activeStream) stalledFor(now, resumed time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events == 0 || a.cuttingOver || a.done || a.writing {
		return 0
	}
	if resumed.After(a.lastEventAt) {
		return now.Sub(resumed)
	}
	return now.Sub(a.lastEventAt)
}

// cancelCutover reverts a cutover that the server didn't carry out.
func (a *activeStream) cancelCutover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cuttingOver = false
	if a.cutoverAwaited {
		a.cutoverAwaited = false
		a.cutover <- resumePoint{refused: true}
	}
}

func (a *activeStream) abortRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abort != nil {
		a.abort()
	}
}

func (a *activeStream) lastEventID() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastID
}

func (a *activeStream) eventCount() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.events
}

// generatedTokens returns how many tokens the generation has produced.
func (a *activeStream) generatedTokens() int {
	return int(a.eventCount()) * max(1, a.request.service.Engine.TokensPerEvent)
}

func (a *activeStream) server() platformstate.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.placement.Server
}

func (a *activeStream) currentPlacement() balancer.Placement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.placement
}

// releaseUnclaimed releases the load of a cutover result that no handler waited for.
func (a *activeStream) releaseUnclaimed(release func(balancer.Placement)) {
	select {
	case point := <-a.cutover:
		if point.err == nil {
			release(point.target)
		}
	default:
	}
}

func (a *activeStream) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
}

func (a *activeStream) finished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// claimMigration reports whether the caller may migrate the stream, and excludes others until
// releaseMigration.
func (a *activeStream) claimMigration() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.migrating || a.done || a.cuttingOver || a.nextRun != nil {
		return false
	}
	a.migrating = true
	return true
}

func (a *activeStream) releaseMigration() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.migrating = false
}

// runsOn reports whether the stream is still running on a server.
func (a *activeStream) runsOn(server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.done && a.nextRun == nil && a.placement.Server.ID == server
}

// setCopy records the copy of the KV cache together with its reserved load; false means that the
// stream has ended or has a copy already.
func (a *activeStream) setCopy(point resumePoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.kvCopy != nil {
		return false
	}
	a.kvCopy = &point
	return true
}

func (a *activeStream) hasCopy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.kvCopy != nil
}

// takeCopy returns the copy together with its reserved load and removes it; a copy can be used only
// once.
func (a *activeStream) takeCopy() (resumePoint, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kvCopy == nil {
		return resumePoint{}, false
	}
	point := *a.kvCopy
	a.kvCopy = nil
	return point, true
}

// beginCutover records that the server is asked to stop the generation: from now on the end of its
// response isn't the end of the generation.
func (a *activeStream) beginCutover(server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.cuttingOver || a.placement.Server.ID != server {
		return false
	}
	a.cuttingOver = true
	return true
}

func (a *activeStream) isCuttingOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cuttingOver
}

// awaitCutover waits for the result of the cutover.
func (a *activeStream) awaitCutover(ctx context.Context, timeout time.Duration) (resumePoint, error) {
	a.mu.Lock()
	if !a.cuttingOver {
		a.mu.Unlock()
		return resumePoint{refused: true}, nil
	}
	a.cutoverAwaited = true
	a.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case point := <-a.cutover:
		return point, point.err
	case <-timer.C:
		a.stopAwaiting()
		return resumePoint{}, errCutoverTimeout
	case <-ctx.Done():
		a.stopAwaiting()
		return resumePoint{}, ctx.Err()
	}
}

// stopAwaiting records that no handler waits for the result of the cutover any more.
func (a *activeStream) stopAwaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cutoverAwaited = false
}

// resumeAt records the server on which the stream resumes; it may be migrated again from there.
func (a *activeStream) resumeAt(place balancer.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placement, a.cuttingOver, a.cutoverAwaited = place, false, false
	a.meter.Reset()
	a.interval = 0
	a.promised, a.nextRun, a.noNewRun = false, nil, false
	a.resumeSilent()
}
