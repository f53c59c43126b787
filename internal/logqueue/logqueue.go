// Package logqueue writes log lines in the background, so that an output that nobody reads blocks no
// caller. Lines that find no room are dropped; the output says how many once it is read again.
//
// # Usage
//
//	q := logqueue.New(os.Stdout, logqueue.Options{Capacity: 2048, Dropped: writeDropped})
//	log := zerolog.New(q)
//	...
//	err := q.Close(200 * time.Millisecond)
package logqueue

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnwritten means that lines weren't written in time, or failed to be written.
var ErrUnwritten = merry.Sentinel("log lines were not written")

// Options configures a [Queue].
type Options struct {
	// Capacity is the number of lines that wait to be written; further ones are dropped.
	Capacity int
	// Dropped writes to w how many lines were dropped since it was last called; nil for no such line.
	Dropped func(w io.Writer, n int64)
}

// Queue is an [io.Writer] of whole lines. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	opts    Options
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	// closing is closed by Close, written once all lines were written after that.
	closing   chan struct{}
	closeOnce sync.Once
	written   chan struct{}
}

// New returns a queue that writes to out until it is closed.
func New(out io.Writer, opts Options) *Queue {
	q := &Queue{out: out, opts: opts, lines: make(chan []byte, opts.Capacity), closing: make(chan struct{}), written: make(chan struct{})}
	go q.run()
	return q
}

// Write implements [io.Writer]. It never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, for up to the timeout. Lines that are written to the queue later are lost.
func (q *Queue) Close(timeout time.Duration) error {
	q.closeOnce.Do(func() { close(q.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.written:
	case <-timer.C:
		return merry.Wrap(ErrUnwritten, merry.AppendMessagef("%d wait", len(q.lines)))
	}
	if n := q.failed.Load(); n > 0 {
		return merry.Wrap(ErrUnwritten, merry.AppendMessagef("%d failed", n))
	}
	return nil
}

func (q *Queue) run() {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

func (q *Queue) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.failed.Add(1)
	}
	if n := q.dropped.Swap(0); n > 0 && q.opts.Dropped != nil {
		q.opts.Dropped(q.out, n)
	}
}
