package enginecommand

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"pollenspindle.example/pollenspindle/internal/commandlock"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// kind is the kind of the platform's lock objects.
const kind = "fencing"

// Objects is the part of the object API that locks need.
type Objects interface {
	Get(ctx context.Context, kind, name string) (objectapi.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error)
	Update(ctx context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error)
}

// commandLock is a lock that this instance has acquired, stored as an object of the platform.
type commandLock struct {
	name string
	// fencingToken is the version of the object when the lock was acquired.
	fencingToken int64
	// acquireStarted is the time before the conditional update.
	acquireStarted time.Time
	record         commandlock.Record
}

// lockStore acquires and releases locks.
type lockStore struct {
	objects Objects
	timing  commandlock.Timing
	holder  string

	mu sync.Mutex
	// seen holds the latest version of each object and when this instance first saw it.
	seen map[string]observedVersion
}

type observedVersion struct {
	version int64
	at      time.Time
}

// acquire acquires the lock with this name for a command. It fails with *BusyError, ErrSuperseded,
// or ErrUnavailable.
func (s *lockStore) acquire(ctx context.Context, name string, checksFencing bool, model, version string) (commandLock, error) {
	held, err := s.read(ctx, name)
	if err != nil {
		return commandLock{}, err
	}
	var base int64
	switch d := commandlock.Decide(time.Now(), s.timing, held, checksFencing).(type) {
	case commandlock.Wait:
		return commandLock{}, &BusyError{Holder: held.Record.Holder, RetryAfter: d.Delay}
	case commandlock.Acquire:
		base = d.Version
	}
	lock := commandLock{name: name, acquireStarted: time.Now(), record: commandlock.Record{
		WriteID: uuid.NewString(), Holder: s.holder, Model: model, Version: version,
	}}
	o, err := s.write(ctx, name, base, lock.record)
	var conflict *objectapi.ConflictError
	switch {
	case err == nil:
		lock.fencingToken = o.Version
		return lock, nil
	case errors.As(err, &conflict):
		return commandLock{}, ErrSuperseded
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		return s.confirmWrite(ctx, lock)
	}
	return commandLock{}, unavailable(err)
}

// confirmWrite reads the object back after the response to a write was lost. If the write has not
// taken effect, it may still do so: the lock is unused then, the next holder waits until it
// expires, and no command is sent here.
func (s *lockStore) confirmWrite(ctx context.Context, lock commandLock) (commandLock, error) {
	held, err := s.read(ctx, lock.name)
	if err != nil {
		return commandLock{}, err
	}
	if held.Record.WriteID != lock.record.WriteID {
		return commandLock{}, ErrSuperseded
	}
	lock.fencingToken = held.Version
	return lock, nil
}

// release marks the command as ended. If the platform can't be reached, others wait as if the
// holder had crashed, which is safe.
func (s *lockStore) release(ctx context.Context, lock commandLock) {
	lock.record.Ended = true
	_, _ = s.write(ctx, lock.name, lock.fencingToken, lock.record)
}

func (s *lockStore) read(ctx context.Context, name string) (commandlock.LockState, error) {
	o, err := s.objects.Get(ctx, kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return commandlock.LockState{}, nil
	}
	if err != nil {
		return commandlock.LockState{}, unavailable(err)
	}
	held := commandlock.LockState{Version: o.Version}
	if err := json.Unmarshal(o.Value, &held.Record); err != nil {
		return commandlock.LockState{}, unavailable(err)
	}
	held.ObservedAt = s.firstSeen(time.Now(), name, o.Version)
	return held, nil
}

// firstSeen returns when this instance first saw the version.
func (s *lockStore) firstSeen(now time.Time, name string, version int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.seen[name]; ok && v.version == version {
		return v.at
	}
	s.seen[name] = observedVersion{version, now}
	return now
}

func (s *lockStore) write(ctx context.Context, name string, base int64, record commandlock.Record) (objectapi.Object, error) {
	// The record has strings and a bool only, so encoding can't fail.
	value, _ := json.Marshal(record)
	if base == 0 {
		return s.objects.Create(ctx, kind, name, value)
	}
	return s.objects.Update(ctx, kind, name, base, value)
}
