package logqueue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// output is an output that is read only while it isn't held.
type output struct {
	hold sync.Mutex
	mu   sync.Mutex
	buf  bytes.Buffer
	err  error
}

func (o *output) Write(p []byte) (int, error) {
	o.hold.Lock()
	defer o.hold.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.buf.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.buf.String(), "\n"), "\n")
}

func writeDropped(w io.Writer, n int64) { fmt.Fprintf(w, "dropped %d\n", n) }

// Guards against lines that are lost as the queue is closed.
func TestCloseWritesWhatWaits(t *testing.T) {
	const writers, each = 8, 200
	out := &output{}
	q := New(out, Options{Capacity: writers * each, Dropped: writeDropped})
	var writing sync.WaitGroup
	for i := range writers {
		writing.Go(func() {
			for n := range each {
				fmt.Fprintf(q, "%d-%d\n", i, n)
			}
		})
	}
	writing.Wait()
	require.NoError(t, q.Close(testTimeout))
	require.Len(t, out.lines(), writers*each)
}

// Guards against lines that are dropped without a word, and against an output that blocks the end.
func TestOutputThatIsNotRead(t *testing.T) {
	const capacity, more = 4, 10
	out := &output{}
	q := New(out, Options{Capacity: capacity, Dropped: writeDropped})
	out.hold.Lock()
	fmt.Fprintln(q, "first")
	require.Eventually(t, func() bool { return len(q.lines) == 0 }, testTimeout, time.Millisecond)
	for n := range capacity + more {
		fmt.Fprintln(q, n)
	}
	require.ErrorIs(t, q.Close(10*time.Millisecond), ErrUnwritten)
	out.hold.Unlock()
	require.NoError(t, q.Close(testTimeout))
	require.Equal(t, []string{"first", fmt.Sprintf("dropped %d", more), "0", "1", "2", "3"}, out.lines())
}

// Guards against an end without a word after an output has failed.
func TestFailedOutput(t *testing.T) {
	out := &output{err: errors.New("broken pipe")}
	q := New(out, Options{Capacity: 1})
	fmt.Fprintln(q, "line")
	require.ErrorIs(t, q.Close(testTimeout), ErrUnwritten)
}
