package slopes

import (
	"context"
	"sync/atomic"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// fakeWorld is the platform, the list and the configuration as one member
// sees them when nothing changes. It implements member.Objects, member.List
// and member.Config.
type fakeWorld struct {
	servers   int
	roster    []byte
	list      []instancelist.Instance
	listBytes int
	snapshot  *config.Snapshot

	bytes counter
	beats atomic.Int64
}

// reset begins to count anew.
func (w *fakeWorld) reset() {
	w.bytes.bytes.Store(0)
	w.beats.Store(0)
}

func (w *fakeWorld) object(kind, name string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Version: epoch, Value: w.roster}
}

// Get implements member.Objects.
func (w *fakeWorld) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	return w.object(kind, name), nil
}

// Create implements member.Objects.
func (w *fakeWorld) Create(_ context.Context, kind, name string, _ []byte) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.ConflictError{Current: w.object(kind, name)}
}

// Update implements member.Objects.
func (w *fakeWorld) Update(_ context.Context, kind, name string, _ int64, _ []byte) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.ConflictError{Current: w.object(kind, name)}
}

// Watch implements member.Objects.
func (w *fakeWorld) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (objectapi.Changes, error) {
	return objectapi.Changes{Version: max(after, epoch)}, objectapi.Pause(ctx, wait)
}

// List implements member.List.
func (w *fakeWorld) List(context.Context) ([]instancelist.Instance, error) {
	return w.list, nil
}

// Snapshot implements member.Config.
func (w *fakeWorld) Snapshot() *config.Snapshot { return w.snapshot }

// Version implements member.Config.
func (w *fakeWorld) Version() int64 { return w.snapshot.Version }

// Confirm implements member.Config.
func (w *fakeWorld) Confirm(time.Time) {}

// Confirmed implements member.Config.
func (w *fakeWorld) Confirmed(time.Time, time.Duration) bool { return true }

// ObjectsAfter implements member.Config.
func (w *fakeWorld) ObjectsAfter(int64) (int64, []config.Object, error) {
	return w.snapshot.Version, nil, nil
}

// Merge implements member.Config.
func (w *fakeWorld) Merge(time.Time, []config.Object) (bool, error) { return false, nil }
