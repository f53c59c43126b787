package slopes

import (
	"context"
	"sync/atomic"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// fakePlatform is the platform, the instance list and the configuration as seen by one member
// when nothing changes. It implements member.Objects, member.List and member.Config.
type fakePlatform struct {
	servers   int
	roster    []byte
	list      []instancelist.Instance
	listBytes int
	snapshot  *config.Snapshot

	bytes      byteCounter
	heartbeats atomic.Int64
}

// resetCounts sets the counters to zero.
func (w *fakePlatform) resetCounts() {
	w.bytes.total.Store(0)
	w.heartbeats.Store(0)
}

func (w *fakePlatform) object(kind, name string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Version: epoch, Value: w.roster}
}

// Get implements member.Objects.
func (w *fakePlatform) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	return w.object(kind, name), nil
}

// Create implements member.Objects.
func (w *fakePlatform) Create(_ context.Context, kind, name string, _ []byte) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.ConflictError{Current: w.object(kind, name)}
}

// Update implements member.Objects.
func (w *fakePlatform) Update(_ context.Context, kind, name string, _ int64, _ []byte) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.ConflictError{Current: w.object(kind, name)}
}

// Watch implements member.Objects.
func (w *fakePlatform) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (objectapi.Changes, error) {
	return objectapi.Changes{Version: max(after, epoch)}, objectapi.Sleep(ctx, wait)
}

// List implements member.List.
func (w *fakePlatform) List(context.Context) ([]instancelist.Instance, error) {
	return w.list, nil
}

// Snapshot implements member.Config.
func (w *fakePlatform) Snapshot() *config.Snapshot { return w.snapshot }

// Version implements member.Config.
func (w *fakePlatform) Version() int64 { return w.snapshot.Version }

// Confirm implements member.Config.
func (w *fakePlatform) Confirm(time.Time) {}

// Confirmed implements member.Config.
func (w *fakePlatform) Confirmed(time.Time, time.Duration) bool { return true }

// ObjectsAfter implements member.Config.
func (w *fakePlatform) ObjectsAfter(int64) (int64, []config.Object, error) {
	return w.snapshot.Version, nil, nil
}

// Merge implements member.Config.
func (w *fakePlatform) Merge(time.Time, []config.Object) (bool, error) { return false, nil }
