package config

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// StoreOptions configures a [Store].
type StoreOptions struct {
	Objects *objectapi.Client
	Log     zerolog.Logger
	// WatchWait is how long one watch waits; 0 means 0.8 s. An instance confirms its configuration
	// once in this time, so it must be well below the time after which an unconfirmed instance
	// refuses new requests.
	WatchWait time.Duration
	// OnVersion is called with each version that becomes active. It must not block or call the
	// store.
	OnVersion func(version int64)
}

// Store holds the active configuration of one instance. Its version never decreases, whether
// updates come from the platform or from a peer. It is safe for concurrent use.
type Store struct {
	opts StoreOptions

	// mu guards state and is held while a version is activated.
	mu    sync.Mutex
	state *state
	// known holds records that the watch delivered before their head. Only the goroutine of Run
	// uses it.
	known map[string]record

	snapshot atomic.Pointer[Snapshot]
	// confirmed is the latest time at which the active version is known to have been the newest.
	confirmed atomic.Pointer[time.Time]
}

// NewStore returns a store with an empty configuration at version 0.
func NewStore(opts StoreOptions) *Store {
	if opts.WatchWait == 0 {
		opts.WatchWait = defaultWatchWait
	}
	s := &Store{opts: opts, state: emptyState(), known: map[string]record{}}
	s.snapshot.Store(NewSnapshot(0, pollenspindle.Config{}))
	return s
}

// Snapshot returns the active configuration; its version is 0 before the first one.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Version returns the active version; 0 before the first one.
func (s *Store) Version() int64 {
	return s.Snapshot().Version
}

// Confirm records that the active version was the newest at now. [Store.Run] confirms with the
// platform. To confirm through peers, more than half of the roster must have reported since now
// that they have no newer version: otherwise a few instances that are partitioned together would
// confirm each other and keep sending to a drained zone.
func (s *Store) Confirm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.confirmed.Load()
	if s.state.version > 0 && (last == nil || now.After(*last)) {
		s.confirmed.Store(&now)
	}
}

// Confirmed reports whether the active version is known to have been the newest at most maxAge
// before now. An instance that can't confirm refuses new requests, since an availability zone may
// have been drained meanwhile. On an instance that has just started it is false, whatever peers
// sent.
func (s *Store) Confirmed(now time.Time, maxAge time.Duration) bool {
	last := s.confirmed.Load()
	return last != nil && now.Sub(*last) <= maxAge
}

// Object is one part of the configuration as sent between instances.
type Object struct {
	Name    string
	Version int64
	Value   []byte
	Deleted bool
}

// peerHead is the value of the object named head, the last object of each response to a peer.
type peerHead struct {
	Head head `json:"head"`
	// After is the version to which the objects have to be applied to reach Head.
	After int64 `json:"after"`
	// Complete means that the objects are all parts of the configuration.
	Complete bool `json:"complete"`
}

// ObjectsAfter returns the active version and the objects that an instance at version after needs
// to reach it, for [Store.Merge]. All objects come from the same version.
func (s *Store) ObjectsAfter(after int64) (int64, []Object, error) {
	s.mu.Lock()
	current := s.state
	s.mu.Unlock()
	if after >= current.version {
		return current.version, nil, nil
	}
	complete := after < current.removedSince
	var objects []Object
	for name, version := range current.changed {
		if complete || version > after {
			objects = append(objects, Object{Name: name, Version: version, Value: current.parts[name]})
		}
	}
	for name, version := range current.removed {
		if version > after {
			objects = append(objects, Object{Name: name, Version: version, Deleted: true})
		}
	}
	value, err := json.Marshal(peerHead{Head: current.head, After: after, Complete: complete})
	if err != nil {
		return 0, nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	return current.version, append(objects, Object{Name: headName, Version: current.version, Value: value}), nil
}

// Merge activates the configuration that a peer sent if it is newer, and reports whether it was.
// It doesn't confirm the version, since the peer may be partitioned from the platform as well.
func (s *Store) Merge(now time.Time, objects []Object) (bool, error) {
	if len(objects) == 0 {
		return false, nil
	}
	last := objects[len(objects)-1]
	var h peerHead
	if last.Name != headName || json.Unmarshal(last.Value, &h) != nil {
		return false, merry.Wrap(ErrUnreadable, merry.AppendMessage("the objects from a peer don't end with a head"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last.Version <= s.state.version {
		return false, nil
	}
	if !h.Complete && s.state.version < h.After {
		return false, merry.Wrap(ErrUnreadable, merry.AppendMessage("the objects from a peer start after the active version"))
	}
	return true, s.activate(now, mergeState(s.state, last.Version, h, objects[:len(objects)-1]))
}

// mergeState returns the state after the objects of a peer.
func mergeState(s *state, version int64, h peerHead, objects []Object) *state {
	puts, removed := parts{}, []string{}
	for _, o := range objects {
		if o.Deleted {
			removed = append(removed, o.Name)
		} else {
			puts[o.Name] = o.Value
		}
	}
	if h.Complete {
		return newState(version, h.Head, puts)
	}
	return s.next(version, h.Head, puts, removed)
}

// activate indexes a state and makes it the active one. The caller holds mu and has checked that
// the version increases. If the state can't be decoded, the active one stays.
func (s *Store) activate(now time.Time, next *state) error {
	cfg, err := join(next.parts)
	if err != nil {
		return err
	}
	s.state = next
	s.snapshot.Store(NewSnapshot(next.version, cfg))
	s.opts.Log.Info().Int64("version", next.version).Time("at", now).Msg("configuration in force")
	if s.opts.OnVersion != nil {
		s.opts.OnVersion(next.version)
	}
	return nil
}
