package connlimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const connectionBytes = 10 << 10

// conn is a connection that is closed at once when it is evicted.
type conn struct {
	lease   *Lease
	working bool
	evicted bool
}

func (c *conn) evict() bool {
	if c.working {
		return false
	}
	c.evicted = true
	c.lease.Close()
	return true
}

func (c *conn) work() {
	c.working = true
	c.lease.Work()
}

func open(t *testing.T, a *Account, class Class) *conn {
	t.Helper()
	c, err := tryOpen(a, class)
	require.NoError(t, err)
	return c
}

func tryOpen(a *Account, class Class) (c *conn, err error) {
	c = &conn{}
	c.lease, err = a.Open(class, connectionBytes, c.evict)
	return c, err
}

func newAccount(connections int) *Account {
	return New(Options{Bytes: int64(connections) * connectionBytes, Connections: connections})
}

// Guards against a crowd that waits and keeps new connections out.
func TestLongestWaitMakesRoom(t *testing.T) {
	a := newAccount(4)
	first, second, third := open(t, a, Callers), open(t, a, Callers), open(t, a, Callers)
	second.work()
	first.lease.Wait()
	open(t, a, Callers)
	require.True(t, third.evicted, "waits longest")
	open(t, a, Callers)
	require.True(t, first.evicted, "waits longest now")
	require.False(t, second.evicted, "has a request")
	require.Equal(t, 3, a.total().connections)
}

// Guards against connections with requests that are closed for others.
func TestWorkIsNotEvicted(t *testing.T) {
	a := newAccount(4)
	for range 3 {
		open(t, a, Callers).work()
	}
	_, err := tryOpen(a, Callers)
	require.ErrorIs(t, err, ErrFull)
}

// Guards against callers that take the part of other instances, the platform and operators.
func TestInternalPart(t *testing.T) {
	a := newAccount(8)
	for range 6 {
		open(t, a, Callers).work()
	}
	_, err := tryOpen(a, Callers)
	require.ErrorIs(t, err, ErrFull)
	peer := open(t, a, Internal)
	open(t, a, Internal)
	open(t, a, Internal)
	require.True(t, peer.evicted, "an internal connection makes room for another one")
	require.Equal(t, 8, a.total().connections)
}

// Guards against internal connections that are closed for callers.
func TestCallersEvictCallersOnly(t *testing.T) {
	a := newAccount(4)
	peer := open(t, a, Internal)
	for range 10 {
		open(t, a, Callers)
	}
	require.False(t, peer.evicted)
	require.Equal(t, 3, a.held[Callers].connections)
}

// Guards against large heads that keep usual ones out.
func TestLargeHeadsShareAPart(t *testing.T) {
	a := New(Options{Bytes: 8 << 20, Connections: 1000})
	var large []*conn
	for {
		c := open(t, a, Callers)
		if err := c.lease.Reserve(1 << 20); err != nil {
			require.ErrorIs(t, err, ErrFull)
			require.False(t, c.lease.IsLarge())
			break
		}
		require.True(t, c.lease.IsLarge())
		c.work()
		large = append(large, c)
	}
	require.Len(t, large, 4)
	for range 20 {
		require.NoError(t, open(t, a, Callers).lease.Reserve(HeadCost(2000, 40)))
	}
	large[0].lease.Close()
	require.NoError(t, open(t, a, Callers).lease.Reserve(1<<20), "room of one that has ended")
}

// Guards against memory that isn't returned, or is returned twice.
func TestAllIsReturned(t *testing.T) {
	a := New(Options{Bytes: 64 << 20, Connections: 100})
	var opened []*conn
	for i := range 50 {
		c := open(t, a, Class(i%2))
		require.NoError(t, c.lease.Reserve(int64(i)*4<<10))
		require.NoError(t, c.lease.Reserve(1000), "less than before")
		if i%3 == 0 {
			c.lease.Shrink()
		}
		c.lease.Work()
		c.lease.Wait()
		opened = append(opened, c)
	}
	for _, c := range opened {
		c.lease.Close()
		c.lease.Close()
		c.lease.Wait()
	}
	require.Zero(t, a.total())
	require.Zero(t, a.waiting[Callers].Len()+a.waiting[Internal].Len())
}

// Guards against an account without limits that refuses.
func TestNoLimits(t *testing.T) {
	a := New(Options{})
	for range 100 {
		require.NoError(t, open(t, a, Callers).lease.Reserve(1<<30))
	}
}
