// Package connlimit bounds what the connections of clients hold of an instance: their descriptors, and the memory
// of each connection and of the head of its request with all of its copies, before and while the request is handled.
//
// All listeners of a process share an [Account]. It reserves the memory of a connection when it is accepted and that
// of a head before it is parsed. If there is none left, connections that wait for their clients are closed, those
// first that have waited longest. Heads that cost far more than usual share a part of the memory, so that they can't
// keep others out, and are refused beyond it. A part is kept for other instances, the platform and operators.
//
// # Usage
//
//	account := connlimit.New(connlimit.Options{Bytes: 16 << 20, Connections: 1000})
//	lease, err := account.Open(connlimit.Callers, connlimit.LibraryConnBytes, conn.evict)
//	defer lease.Close()
//	err = lease.Reserve(connlimit.HeadCost(head.Bytes, head.Parts))
//	lease.Work() // the request is complete
//	...
//	lease.Wait() // the next one is awaited
package connlimit

import (
	"container/list"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// ErrFull means that there is no room for a connection or a head.
var ErrFull = merry.Sentinel("connections hold too much")

const (
	// headByteCost and partCost are the memory that a byte and a part of a head take in all copies of it, of which
	// freeBytes belong to the connection.
	headByteCost = 8
	partCost     = 320
	freeBytes    = 16 << 10
	// usualBytes is the memory of a head from which on it counts as large.
	usualBytes = 64 << 10
	// largeShare is the share of an account that large heads may take, callerShare that of callers.
	largeShare  = 0.5
	callerShare = 0.75
	// evictionTimeout limits the wait for connections that were closed to return what they hold.
	evictionTimeout = time.Second
	// logInterval is the minimum time between two log lines of one kind.
	logInterval = 10 * time.Second
)

// The memory of a connection with a request whose head is usual, as the HTTP library and net/http hold it.
const (
	LibraryConnBytes = 40 << 10
	NetConnBytes     = 24 << 10
)

// Class says whom a connection serves.
type Class int

// The classes. Connections of callers are closed to make room for any other, and leave a part of the account to the
// internal ones, those of other instances, the platform and operators.
const (
	Callers Class = iota
	Internal
	classes
)

// Options configures an [Account].
type Options struct {
	// Bytes is the memory that connections and heads may take, Connections the number of open connections; 0
	// means no limit.
	Bytes       int64
	Connections int
	Log         zerolog.Logger
	// Scope is where refusals are counted; nil for nowhere.
	Scope tally.Scope
}

// Account is what the connections of a process hold. It is safe for concurrent use.
type Account struct {
	opts Options
	// evictions and refusals log a few of each.
	evictions, refusals zerolog.Logger

	mu sync.Mutex
	// held is what the connections of each class hold.
	held [classes]holding
	// waiting has the leases of each class whose connections wait for their clients, the longest wait first.
	waiting [classes]*list.List
	// released is closed, and replaced, when something is returned.
	released chan struct{}
	// evicting is the number of leases whose connections were closed and that aren't yet.
	evicting int
}

// holding is the memory that is reserved, the part of it for large heads, and the number of connections.
type holding struct {
	bytes, large int64
	connections  int
}

func (h holding) plus(other holding) holding {
	return holding{h.bytes + other.bytes, h.large + other.large, h.connections + other.connections}
}

// New returns an account of which nothing is taken.
func New(opts Options) *Account {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	few := func() zerolog.Sampler { return &zerolog.BurstSampler{Burst: 1, Period: logInterval} }
	return &Account{
		opts: opts, evictions: opts.Log.Sample(few()), refusals: opts.Log.Sample(few()),
		waiting: [classes]*list.List{list.New(), list.New()}, released: make(chan struct{}),
	}
}

// Lease is what a connection has taken of an account.
type Lease struct {
	account *Account
	class   Class
	// bytes is the memory of the connection without that of large heads.
	bytes int64
	// evict closes the connection if it waits for its client, and reports whether it has.
	evict func() bool

	// The account's mu guards these.
	head    int64
	element *list.Element
	evicted bool
	closed  bool
}

// Open reserves the memory of a connection that waits for its client, a number of bytes. evict is called to close it if
// it still waits.
func (a *Account) Open(class Class, bytes int64, evict func() bool) (*Lease, error) {
	l := &Lease{account: a, class: class, bytes: bytes, evict: evict}
	if err := a.reserve(l, holding{bytes: bytes, connections: 1}); err != nil {
		a.refused("connection", class)
		return nil, err
	}
	l.Wait()
	return l, nil
}

// HeadCost returns the memory that a head of a number of bytes and parts takes, with all copies of it.
func HeadCost(bytes, parts int) int64 { return int64(bytes)*headByteCost + int64(parts)*partCost }

// PartialHeadCost returns the memory of n bytes of a head that isn't complete, in a buffer that grows by doubling.
func PartialHeadCost(n int) int64 { return 2 * int64(n) }

// Reserve reserves the memory of a head. The lease keeps that of the head that costs most until [Lease.Shrink] or its
// end.
func (l *Lease) Reserve(cost int64) error {
	cost = max(0, cost-freeBytes)
	a := l.account
	a.mu.Lock()
	before := l.head
	a.mu.Unlock()
	if cost <= before {
		return nil
	}
	if err := a.reserve(l, holding{bytes: cost - before, large: largeBytes(cost) - largeBytes(before)}); err != nil {
		a.refused("head", l.class)
		return err
	}
	return nil
}

// IsLarge reports whether the largest head of the connection costs far more than usual.
func (l *Lease) IsLarge() bool {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.head > usualBytes
}

// Shrink returns the memory of heads.
func (l *Lease) Shrink() {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shrink(l)
}

// Wait says that the connection waits for its client from now on.
func (l *Lease) Wait() {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.element != nil {
		a.waiting[l.class].MoveToBack(l.element)
		return
	}
	if !l.closed {
		l.element = a.waiting[l.class].PushBack(l)
	}
}

// Work says that the connection has a complete request.
func (l *Lease) Work() {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.account.unlist(l)
}

// Close returns all that the connection holds. Its descriptor must be closed.
func (l *Lease) Close() {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	a.unlist(l)
	a.shrink(l)
	a.held[l.class].bytes -= l.bytes
	a.held[l.class].connections--
	if l.evicted {
		a.evicting--
	}
	close(a.released)
	a.released = make(chan struct{})
	a.observe()
}

// reserve takes what a lease needs, and closes connections that wait for their clients if there is too little left.
func (a *Account) reserve(l *Lease, need holding) error {
	var timeout <-chan time.Time
	for {
		a.mu.Lock()
		if !a.allowsLarge(need) {
			a.mu.Unlock()
			return merry.Wrap(ErrFull, merry.AppendMessage("large heads"))
		}
		if a.fits(l.class, need) {
			a.take(l, need)
			a.mu.Unlock()
			return nil
		}
		victim, released, evicting := a.oldest(l), a.released, a.evicting
		a.mu.Unlock()
		if victim != nil {
			a.close(victim)
			continue
		}
		if evicting == 0 {
			return merry.Wrap(ErrFull)
		}
		if timeout == nil {
			timer := time.NewTimer(evictionTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return merry.Wrap(ErrFull)
		}
	}
}

// largeBytes returns the part of the cost of a head that counts as that of a large one.
func largeBytes(cost int64) int64 {
	if cost <= usualBytes {
		return 0
	}
	return cost
}

// allowsLarge reports whether large heads have room for what is needed; mu is held.
func (a *Account) allowsLarge(need holding) bool {
	held := a.total().large + need.large
	return a.opts.Bytes <= 0 || need.large == 0 || held <= int64(float64(a.opts.Bytes)*largeShare)
}

// fits reports whether a class has room for what is needed; mu is held.
func (a *Account) fits(class Class, need holding) bool {
	if class == Callers && !a.within(a.held[Callers].plus(need), callerShare) {
		return false
	}
	return a.within(a.total().plus(need), 1)
}

func (a *Account) within(h holding, share float64) bool {
	return (a.opts.Bytes <= 0 || h.bytes <= int64(float64(a.opts.Bytes)*share)) &&
		(a.opts.Connections <= 0 || h.connections <= int(float64(a.opts.Connections)*share))
}

// total returns what all connections hold; mu is held.
func (a *Account) total() holding { return a.held[Callers].plus(a.held[Internal]) }

// take reserves what a lease needs; mu is held.
func (a *Account) take(l *Lease, need holding) {
	a.held[l.class] = a.held[l.class].plus(need)
	if need.connections == 0 {
		l.head += need.bytes
	}
	a.observe()
}

// oldest takes the lease off its list that has waited longest and that may make room for another one, unless what is
// evicted already may do; mu is held.
func (a *Account) oldest(to *Lease) *Lease {
	if a.evicting > 0 {
		return nil
	}
	for class := Callers; class <= to.class; class++ {
		for e := a.waiting[class].Front(); e != nil; e = e.Next() {
			if l := e.Value.(*Lease); l != to {
				a.unlist(l)
				return l
			}
		}
	}
	return nil
}

// close closes the connection of a lease if it still waits.
func (a *Account) close(l *Lease) {
	if !a.beginEviction(l) {
		return
	}
	if l.evict() {
		a.opts.Scope.Counter("connections_evicted").Inc(1)
		a.evictions.Warn().Int("limit", a.opts.Connections).Int64("bytes", a.opts.Bytes).Msg("connection without a request closed to make room")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.evicted && !l.closed {
		l.evicted = false
		a.evicting--
	}
}

// beginEviction reports whether a lease isn't closed yet.
func (a *Account) beginEviction(l *Lease) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.closed {
		return false
	}
	l.evicted = true
	a.evicting++
	return true
}

// shrink returns the memory of heads; mu is held.
func (a *Account) shrink(l *Lease) {
	a.held[l.class].bytes -= l.head
	a.held[l.class].large -= largeBytes(l.head)
	l.head = 0
}

// unlist takes a lease off the list of those that wait; mu is held.
func (a *Account) unlist(l *Lease) {
	if l.element != nil {
		a.waiting[l.class].Remove(l.element)
		l.element = nil
	}
}

// observe records what is held; mu is held.
func (a *Account) observe() {
	held := a.total()
	a.opts.Scope.Gauge("connection_bytes").Update(float64(held.bytes))
	a.opts.Scope.Gauge("connections").Update(float64(held.connections))
}

// refused counts and logs a refusal.
func (a *Account) refused(kind string, class Class) {
	a.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter("connections_refused").Inc(1)
	a.mu.Lock()
	held := a.total()
	a.mu.Unlock()
	a.refusals.Warn().Str("kind", kind).Bool("caller", class == Callers).Int64("bytes", held.bytes).Int64("maxBytes", a.opts.Bytes).
		Int("connections", held.connections).Int("maxConnections", a.opts.Connections).Msg("no room for connections")
}
