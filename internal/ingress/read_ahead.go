package ingress

import (
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/eventstream"
)

const (
	// readAheadDelay is how long a write to a caller may block until the stream is read ahead.
	readAheadDelay = 100 * time.Millisecond
	// maxReadAheadBytes limits the events that are held for one caller.
	maxReadAheadBytes = 256 << 10
	// roomInterval is how often a stream that is full asks again for room in the budget of all.
	roomInterval = 50 * time.Millisecond
	// eventOverhead is what an event that is held takes besides its bytes.
	eventOverhead = 64
)

// readAhead returns the events of one response in order. While the caller doesn't read, it goes on
// reading, up to a limit: a server cuts a response that isn't read.
//
// Until the caller blocks for the first time, next reads directly; from then on a goroutine reads.
type readAhead struct {
	events *eventstream.Splitter
	budget *memoryBudget
	timer  *time.Timer

	mu      sync.Mutex
	writing bool
	// ahead is set once a goroutine reads; done is closed when it has ended.
	ahead bool
	done  chan struct{}
	queue []readEvent
	held  int
	// changed signals a change of the queue, closed the end of the reader.
	changed chan struct{}
	closed  chan struct{}
}

// readEvent is an event or the error that ended the stream.
type readEvent struct {
	eventstream.RawEvent
	err error
	// reserved is the number of bytes that it takes from the budget.
	reserved int
}

func newReadAhead(events *eventstream.Splitter, budget *memoryBudget) *readAhead {
	a := &readAhead{events: events, budget: budget, done: make(chan struct{}), changed: make(chan struct{}, 1), closed: make(chan struct{})}
	a.timer = time.AfterFunc(readAheadDelay, a.start)
	a.timer.Stop()
	return a
}

// beginWrite and endWrite enclose a write to the caller.
func (a *readAhead) beginWrite() {
	a.mu.Lock()
	a.writing = true
	a.mu.Unlock()
	a.timer.Reset(readAheadDelay)
}

func (a *readAhead) endWrite() {
	a.timer.Stop()
	a.mu.Lock()
	a.writing = false
	a.mu.Unlock()
}

// start starts the goroutine, unless the write has ended: then next may be reading.
func (a *readAhead) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.writing || a.ahead {
		return
	}
	a.ahead = true
	go a.run()
}

func (a *readAhead) run() {
	defer close(a.done)
	// The last event is still being written.
	a.events.Detach()
	for {
		ev, err := a.events.Next()
		a.events.Detach()
		if !a.push(readEvent{RawEvent: ev, err: err}) || err != nil {
			return
		}
	}
}

// push queues an event once there is room for it, or reports that nobody will read it.
func (a *readAhead) push(ev readEvent) bool {
	retry := time.NewTicker(roomInterval)
	defer retry.Stop()
	for !a.tryPush(ev) {
		select {
		case <-retry.C:
		case <-a.closed:
			return false
		}
	}
	a.signal()
	return true
}

func (a *readAhead) tryPush(ev readEvent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// One event needs no budget, as without reading ahead.
	if len(a.queue) > 0 {
		ev.reserved = len(ev.Bytes) + eventOverhead
		if a.held+ev.reserved > maxReadAheadBytes || !a.budget.Reserve(ev.reserved) {
			return false
		}
	}
	a.queue = append(a.queue, ev)
	a.held += ev.reserved
	return true
}

func (a *readAhead) signal() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// next returns the next event. Its bytes are valid until the next call.
func (a *readAhead) next() (eventstream.RawEvent, error) {
	a.mu.Lock()
	ahead := a.ahead
	a.mu.Unlock()
	if !ahead {
		return a.events.Next()
	}
	for {
		if ev, ok := a.pop(); ok {
			return ev.RawEvent, ev.err
		}
		<-a.changed
	}
}

func (a *readAhead) pop() (readEvent, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) == 0 {
		return readEvent{}, false
	}
	ev := a.queue[0]
	a.queue = a.queue[1:]
	a.held -= ev.reserved
	a.budget.Release(ev.reserved)
	return ev, true
}

// close ends reading; abort interrupts a pending read of the response.
func (a *readAhead) close(abort func()) {
	a.timer.Stop()
	a.mu.Lock()
	ahead := a.ahead
	a.mu.Unlock()
	if !ahead {
		return
	}
	close(a.closed)
	abort()
	<-a.done
	a.budget.Release(a.held)
}
