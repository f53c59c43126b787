package caller

import "sync"

// gate limits the number of running requests and rejects new ones once the server stops.
type gate struct {
	mu       sync.Mutex
	limit    int
	running  int
	draining bool
	stopped  bool
	idle     chan struct{}
}

// admission is the gate's decision on a request.
type admission int

const (
	admitted admission = iota
	gateFull
	gateStopped
)

func newGate(limit int) *gate {
	return &gate{limit: limit, idle: make(chan struct{})}
}

// Enter admits or rejects a request. An admitted request calls Leave when it ends.
func (g *gate) Enter() admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped:
		return gateStopped
	case g.running >= g.limit:
		return gateFull
	}
	g.running++
	return admitted
}

// Leave ends a request that Enter admitted.
func (g *gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.closeIdle()
}

// Drain marks the instance as shutting down; requests are still admitted.
func (g *gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Draining reports whether Drain was called.
func (g *gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Stop rejects all further requests. The returned channel is closed when no request runs.
func (g *gate) Stop() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.stopped = true
		g.closeIdle()
	}
	return g.idle
}

func (g *gate) closeIdle() {
	if !g.stopped || g.running > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}
