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
	// idleTime is how long an idle follower is measured.
	idleTime = 4 * time.Second
	// followTimeout limits the wait until a follower has a change.
	followTimeout = 10 * time.Second
	// mergeTries is how often the time of a change is measured.
	mergeTries = 3
)

// configurationSeries measures what a configuration change costs a follower of the platform,
// and the memory that the whole configuration takes.
func configurationSeries(ctx context.Context, _ Options) ([]Series, error) {
	var firstErr error
	check := func(v float64, err error) float64 {
		if err != nil && firstErr == nil {
			firstErr = err
		}
		return v
	}
	out := []Series{
		measureSeries("one change applied", "µs", "servers", designServers, serverSizes, func(n int) float64 {
			return check(measureChangeTime(ctx, n, designWorkspaces))
		}),
		measureSeries("one change applied at 200 servers", "µs", "workspaces", designWorkspaces, workspaceSizes, func(n int) float64 {
			return check(measureChangeTime(ctx, 200, n))
		}),
		measureSeries("configuration in memory", "KB", "servers", designServers, serverSizes, func(n int) float64 {
			return check(measureStoreMemory(ctx, n, designWorkspaces))
		}),
		measureSeries("configuration in memory at 200 servers", "KB", "workspaces", designWorkspaces, workspaceSizes, func(n int) float64 {
			return check(measureStoreMemory(ctx, 200, n))
		}),
		measureSeries("ring of one model in memory", "KB", "servers", designServers/designModels, []int{33, 83, 167, 333}, func(n int) float64 {
			return retainedBytes(func() any { return newRing(n) }) / 1000
		}),
		measureSeries("ring of one model, built after a change", "µs", "servers", designServers/designModels, []int{33, 83, 167, 333}, func(n int) float64 {
			return timeMicros(func() { newRing(n) })
		}),
		measureSeries("follower of the platform, bytes both ways", "bytes", "changes", 12000, []int{0, 5, 10, 20, 40}, func(n int) float64 {
			return check(measureChangeBytes(ctx, n))
		}),
	}
	idleBytes, idleCalls, err := measureIdleFollower(ctx)
	out = append(out,
		Series{Name: "follower with no change, bytes both ways", Unit: "bytes/s", SizeName: "one instance", Points: idleBytes, DesignSize: 1},
		Series{Name: "follower with no change", Unit: "calls/s", SizeName: "one instance", Points: idleCalls, DesignSize: 1})
	if firstErr == nil {
		firstErr = err
	}
	return out, firstErr
}

func newRing(n int) *placement.Ring {
	snap := config.NewSnapshot(1, fleetConfig(n, 1))
	return placement.NewRing(snap.ServersByService[serviceName])
}

// publishedConfig is a platform stand-in that holds a configuration.
type publishedConfig struct {
	handler  *platform.Handler
	client   *objectapi.Client
	version  int64
	closeAll func()
}

func newClient(url string, onCall func(objectapi.Call)) *objectapi.Client {
	return objectapi.NewClient(url, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6, OnCall: onCall})
}

func publishConfig(ctx context.Context, servers, workspaces int) (*publishedConfig, error) {
	h := platform.NewHandler(platform.Options{})
	s, _ := serveCounted(h)
	p := &publishedConfig{handler: h, client: newClient(s.URL, nil)}
	p.closeAll = func() {
		p.client.Close()
		s.Close()
	}
	cfg := fleetConfig(servers, workspaces)
	var err error
	p.version, err = config.Apply(ctx, p.client, config.Change{Config: cfg, Author: "slopes", Summary: "all"})
	if err != nil {
		p.closeAll()
		return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return p, nil
}

// applyChange changes the i-th server (modulo servers) and publishes the new version.
func (p *publishedConfig) applyChange(ctx context.Context, servers, workspaces, i int) error {
	cfg := fleetConfig(servers, workspaces)
	cfg.Servers[i%servers].WarmLimit += 1 + i
	v, err := config.Apply(ctx, p.client, config.Change{Config: cfg, BaseVersion: p.version, Author: "slopes", Summary: fmt.Sprint("change ", i)})
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	p.version = v
	return nil
}

// startFollower runs a store that follows the platform until stop is called.
func startFollower(ctx context.Context, client *objectapi.Client) (s *config.Store, stop func()) {
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

// waitForVersion waits until the store has applied version.
func waitForVersion(ctx context.Context, s *config.Store, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for s.Version() < version {
		if err := objectapi.Sleep(ctx, 5*time.Millisecond); err != nil {
			return merry.Wrap(ErrMeasure, merry.AppendMessage("change not applied in time"))
		}
	}
	return nil
}

// baseAndChange returns the objects of a configuration, and those that changed in the next
// version, in which one server differs.
func baseAndChange(ctx context.Context, servers, workspaces int) (base, change []config.Object, err error) {
	p, err := publishConfig(ctx, servers, workspaces)
	if err != nil {
		return nil, nil, err
	}
	defer p.closeAll()
	s, stop := startFollower(ctx, p.client)
	defer stop()
	if err := waitForVersion(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	first, base, err := s.ObjectsAfter(0)
	if err != nil {
		return nil, nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := p.applyChange(ctx, servers, workspaces, 1); err != nil {
		return nil, nil, err
	}
	if err := waitForVersion(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	_, change, err = s.ObjectsAfter(first)
	if err != nil {
		return nil, nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return base, change, nil
}

// measureChangeTime returns the time in µs that a follower takes to apply one change.
func measureChangeTime(ctx context.Context, servers, workspaces int) (float64, error) {
	base, change, err := baseAndChange(ctx, servers, workspaces)
	if err != nil {
		return 0, err
	}
	fastest := time.Hour
	for range mergeTries {
		s := config.NewStore(config.StoreOptions{})
		if _, err := s.Merge(time.Now(), base); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		start := time.Now()
		if _, err := s.Merge(start, change); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		fastest = min(fastest, time.Since(start))
	}
	return float64(fastest.Nanoseconds()) / 1000, nil
}

// measureStoreMemory returns the memory in KB that a store uses.
func measureStoreMemory(ctx context.Context, servers, workspaces int) (float64, error) {
	base, _, err := baseAndChange(ctx, servers, workspaces)
	if err != nil {
		return 0, err
	}
	bytes := retainedBytes(func() any {
		s := config.NewStore(config.StoreOptions{})
		// The values are copied because the store of each process has its own.
		copies := make([]config.Object, len(base))
		for i, o := range base {
			copies[i] = o
			copies[i].Value = append([]byte(nil), o.Value...)
		}
		if _, merr := s.Merge(time.Now(), copies); merr != nil {
			err = merry.Wrap(ErrMeasure, merry.WithCause(merr))
		}
		return s
	})
	return bytes / 1000, err
}

// measureChangeBytes returns the bytes that a follower exchanges with the platform while n
// changes are made.
func measureChangeBytes(ctx context.Context, n int) (float64, error) {
	const servers = 200
	p, err := publishConfig(ctx, servers, designWorkspaces)
	if err != nil {
		return 0, err
	}
	defer p.closeAll()
	server, counter := serveCounted(p.handler)
	defer server.Close()
	client := newClient(server.URL, nil)
	defer client.Close()
	s, stop := startFollower(ctx, client)
	defer stop()
	if err := waitForVersion(ctx, s, p.version); err != nil {
		return 0, err
	}
	before := counter.total.Load()
	for i := range n {
		if err := p.applyChange(ctx, servers, designWorkspaces, i); err != nil {
			return 0, err
		}
		if err := waitForVersion(ctx, s, p.version); err != nil {
			return 0, err
		}
	}
	return float64(counter.total.Load() - before), nil
}

// measureIdleFollower measures a follower while the configuration doesn't change.
func measureIdleFollower(ctx context.Context) (bytes, calls []Point, err error) {
	p, err := publishConfig(ctx, 200, designWorkspaces)
	if err != nil {
		return nil, nil, err
	}
	defer p.closeAll()
	server, counter := serveCounted(p.handler)
	defer server.Close()
	called := make(chan struct{}, 1024)
	client := newClient(server.URL, func(objectapi.Call) { called <- struct{}{} })
	defer client.Close()
	s, stop := startFollower(ctx, client)
	defer stop()
	if err := waitForVersion(ctx, s, p.version); err != nil {
		return nil, nil, err
	}
	before, callsBefore := counter.total.Load(), len(called)
	if err := objectapi.Sleep(ctx, idleTime); err != nil {
		return nil, nil, merry.Wrap(err)
	}
	seconds := idleTime.Seconds()
	return []Point{{1, float64(counter.total.Load()-before) / seconds}},
		[]Point{{1, float64(len(called)-callsBefore) / seconds}}, nil
}
