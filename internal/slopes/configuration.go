package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

const (
	// followFor is how long a follower is watched with nothing to learn.
	followFor = 4 * time.Second
	// followTimeout bounds the wait for a change to arrive.
	followTimeout = 10 * time.Second
	// mergeTries is how often the cost of a change is timed.
	mergeTries = 3
)

// configuration measures what a change costs a follower, and what the whole
// costs in memory.
func configuration(ctx context.Context, _ Options) ([]Series, error) {
	var failed error
	note := func(v float64, err error) float64 {
		if err != nil && failed == nil {
			failed = err
		}
		return v
	}
	out := []Series{
		over("one change put in force", "µs", "servers", fullServers, serverSizes, func(n int) float64 {
			return note(changeTime(ctx, n, fullWorkspaces))
		}),
		over("one change put in force at 200 servers", "µs", "workspaces", fullWorkspaces, workspaceSizes, func(n int) float64 {
			return note(changeTime(ctx, 200, n))
		}),
		over("configuration in memory", "KB", "servers", fullServers, serverSizes, func(n int) float64 {
			return note(storeMemory(ctx, n, fullWorkspaces))
		}),
		over("configuration in memory at 200 servers", "KB", "workspaces", fullWorkspaces, workspaceSizes, func(n int) float64 {
			return note(storeMemory(ctx, 200, n))
		}),
		over("ring of one model in memory", "KB", "servers", fullServers/fullModels, []int{33, 83, 167, 333}, func(n int) float64 {
			return kept(func() any { return ringOf(n) }) / 1000
		}),
		over("ring of one model, built after a change", "µs", "servers", fullServers/fullModels, []int{33, 83, 167, 333}, func(n int) float64 {
			return micros(func() { ringOf(n) })
		}),
		over("follower of the platform, bytes both ways", "bytes", "changes", 12000, []int{0, 5, 10, 20, 40}, func(n int) float64 {
			return note(changeBytes(ctx, n))
		}),
	}
	idleBytes, idleCalls, err := idleFollower(ctx)
	out = append(out,
		Series{What: "follower with no change, bytes both ways", Unit: "bytes/s", Over: "one instance", Points: idleBytes, Size: 1},
		Series{What: "follower with no change", Unit: "calls/s", Over: "one instance", Points: idleCalls, Size: 1})
	if failed == nil {
		failed = err
	}
	return out, failed
}

func ringOf(n int) *placement.Ring {
	snap := config.NewSnapshot(1, fleet(n, 1))
	return placement.NewRing(snap.ServersByService[service])
}

// published is a platform that holds a configuration.
type published struct {
	handler *platform.Handler
	client  *objectapi.Client
	version int64
	close   func()
}

func newClient(url string, onCall func(objectapi.Call)) *objectapi.Client {
	return objectapi.NewClient(url, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6, OnCall: onCall})
}

func publish(ctx context.Context, servers, workspaces int) (*published, error) {
	h := platform.NewHandler(platform.Options{})
	s, _ := serve(h)
	p := &published{handler: h, client: newClient(s.URL, nil)}
	p.close = func() {
		p.client.Close()
		s.Close()
	}
	cfg := fleet(servers, workspaces)
	var err error
	p.version, err = config.Apply(ctx, p.client, config.Change{Config: cfg, Author: "slopes", Summary: "all"})
	if err != nil {
		p.close()
		return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return p, nil
}

// change changes one server and returns the version.
func (p *published) change(ctx context.Context, servers, workspaces, i int) error {
	cfg := fleet(servers, workspaces)
	cfg.Servers[i%servers].WarmLimit += 1 + i
	v, err := config.Apply(ctx, p.client, config.Change{Config: cfg, BaseVersion: p.version, Author: "slopes", Summary: fmt.Sprint("change ", i)})
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	p.version = v
	return nil
}

// follow runs a store until stop is called.
func follow(ctx context.Context, client *objectapi.Client) (s *config.Store, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	s = config.NewStore(config.StoreOptions{Objects: client})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	return s, func() {
		cancel()
		<-done
	}
}

// await waits until the store has a version in force.
func await(ctx context.Context, s *config.Store, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for s.Version() < version {
		if err := objectapi.Sleep(ctx, 5*time.Millisecond); err != nil {
			return merry.Wrap(ErrMeasure, merry.AppendMessage("change not in force"))
		}
	}
	return nil
}

// twoVersions returns the objects that lead to a configuration, and those that
// lead from it to one change more.
func twoVersions(ctx context.Context, servers, workspaces int) (base, change []config.Object, err error) {
	p, err := publish(ctx, servers, workspaces)
	if err != nil {
		return nil, nil, err
	}
	defer p.close()
	s, stop := follow(ctx, p.client)
	defer stop()
	if err := await(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	first, base, err := s.ObjectsAfter(0)
	if err != nil {
		return nil, nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := p.change(ctx, servers, workspaces, 1); err != nil {
		return nil, nil, err
	}
	if err := await(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	_, change, err = s.ObjectsAfter(first)
	if err != nil {
		return nil, nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return base, change, nil
}

// changeTime returns the processor time of one change at a follower.
func changeTime(ctx context.Context, servers, workspaces int) (float64, error) {
	base, change, err := twoVersions(ctx, servers, workspaces)
	if err != nil {
		return 0, err
	}
	best := time.Hour
	for range mergeTries {
		s := config.NewStore(config.StoreOptions{})
		if _, err := s.Merge(time.Now(), base); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		start := time.Now()
		if _, err := s.Merge(start, change); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / 1000, nil
}

// storeMemory returns what a store keeps in memory.
func storeMemory(ctx context.Context, servers, workspaces int) (float64, error) {
	base, _, err := twoVersions(ctx, servers, workspaces)
	if err != nil {
		return 0, err
	}
	bytes := kept(func() any {
		s := config.NewStore(config.StoreOptions{})
		// The values are copied, since each store of a process has its own.
		own := make([]config.Object, len(base))
		for i, o := range base {
			own[i] = o
			own[i].Value = append([]byte(nil), o.Value...)
		}
		if _, merr := s.Merge(time.Now(), own); merr != nil {
			err = merry.Wrap(ErrMeasure, merry.WithCause(merr))
		}
		return s
	})
	return bytes / 1000, err
}

// changeBytes returns the bytes that a follower exchanges with the platform
// while n changes are made.
func changeBytes(ctx context.Context, n int) (float64, error) {
	const servers = 200
	p, err := publish(ctx, servers, fullWorkspaces)
	if err != nil {
		return 0, err
	}
	defer p.close()
	front, bytes := serve(p.handler)
	defer front.Close()
	client := newClient(front.URL, nil)
	defer client.Close()
	s, stop := follow(ctx, client)
	defer stop()
	if err := await(ctx, s, p.version); err != nil {
		return 0, err
	}
	before := bytes.bytes.Load()
	for i := range n {
		if err := p.change(ctx, servers, fullWorkspaces, i); err != nil {
			return 0, err
		}
		if err := await(ctx, s, p.version); err != nil {
			return 0, err
		}
	}
	return float64(bytes.bytes.Load() - before), nil
}

// idleFollower measures a follower that has nothing to learn.
func idleFollower(ctx context.Context) (bytes, calls []Point, err error) {
	p, err := publish(ctx, 200, fullWorkspaces)
	if err != nil {
		return nil, nil, err
	}
	defer p.close()
	front, count := serve(p.handler)
	defer front.Close()
	made := make(chan struct{}, 1024)
	client := newClient(front.URL, func(objectapi.Call) { made <- struct{}{} })
	defer client.Close()
	s, stop := follow(ctx, client)
	defer stop()
	if err := await(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	before, callsBefore := count.bytes.Load(), len(made)
	if err := objectapi.Sleep(ctx, followFor); err != nil {
		return nil, nil, merry.Wrap(err)
	}
	seconds := followFor.Seconds()
	return []Point{{1, float64(count.bytes.Load()-before) / seconds}},
		[]Point{{1, float64(len(made)-callsBefore) / seconds}}, nil
}
