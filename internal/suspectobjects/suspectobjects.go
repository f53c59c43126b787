// Package suspectobjects keeps what is known of requests that crash backend servers in the platform, where
// it outlasts all instances: without it, a kill of all of them would let each such request, or part of
// prompts, crash servers again.
//
// There is one object for each request or part that mustn't run freely. The first holders of its key write it
// when it changes, so that the calls don't grow with the number of instances; each instance reads all objects
// when it starts. Objects of requests that may run again, and old ones, are deleted.
//
// # Usage
//
//	k := suspectobjects.New(suspectobjects.Options{Objects: client, Kind: kind, ...})
//	go k.Run(ctx)
//	k.Changed() // after entries have changed
//	<-k.Read()  // the objects have been read
package suspectobjects

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// maxObjects limits the objects that instances keep, the last changed first.
	maxObjects = 64
	// writesPerSecond and writeBurst limit the writes of one instance: one request that crashes servers
	// changes a few times a second at first, and then no more.
	writesPerSecond, writeBurst = 4, 8
	// changeDelay is the time in which changes are collected for one write.
	changeDelay = 30 * time.Millisecond
	// sweepInterval is the time between two searches for objects to delete.
	sweepInterval   = 30 * time.Second
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	callTimeout     = time.Second
	fingerprintBase = 16
	// maxClockSkew is how far the clock of another instance may be ahead; maxNameBytes limits the names of
	// crashes.
	maxClockSkew         = time.Minute
	maxNameBytes         = 1024
	maxConflictsInARow   = 3
	changeSignalCapacity = 1
)

// ErrConflict means that other instances changed an object again and again while it was written.
var ErrConflict = merry.Sentinel("object changed too often")

// Options configures a [Keeper].
type Options struct {
	Objects *objectapi.Client
	// Kind is the platform's name for the kind of the objects.
	Kind string
	// Entries returns the entries to keep, at most n; Merge adds entries that were read.
	Entries func(now time.Time, n int) []crashsuspect.Entry
	Merge   func(now time.Time, entries []crashsuspect.Entry)
	// Writes reports whether this instance writes the object of a fingerprint.
	Writes func(fingerprint uint64) bool
	Log    zerolog.Logger
	Now    func() time.Time
}

// Keeper keeps entries in the platform. Changed and Read are safe for concurrent use.
type Keeper struct {
	opts    Options
	changed chan struct{}
	read    chan struct{}
	writes  *rate.Limiter
	// stored has what is known of the objects in the platform, by name; only Run uses it.
	stored map[string]stored
}

// stored is an object as it was last read or written.
type stored struct {
	version     int64
	fingerprint uint64
	value       string
}

// New returns a keeper that is ready to run.
func New(opts Options) *Keeper {
	return &Keeper{
		opts: opts, changed: make(chan struct{}, changeSignalCapacity), read: make(chan struct{}),
		writes: rate.NewLimiter(writesPerSecond, writeBurst), stored: map[string]stored{},
	}
}

// Changed tells the keeper that entries have changed. It doesn't block.
func (k *Keeper) Changed() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Read returns a channel that is closed when the objects have been read.
func (k *Keeper) Read() <-chan struct{} { return k.read }

// Run reads the objects and then writes those that change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if !k.load(ctx) {
		return
	}
	close(k.read)
	backoff := objectapi.Backoff{Min: minBackoff, Max: maxBackoff}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-sweep.C:
		}
		if objectapi.Sleep(ctx, changeDelay) != nil {
			return
		}
		err := k.store(ctx)
		if err == nil {
			backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		k.opts.Log.Warn().Err(err).Msg("crash suspects not stored in the platform, repeated later")
		if objectapi.Sleep(ctx, backoff.Fail()) != nil {
			return
		}
		k.Changed()
	}
}

// load reads all objects, again and again until the platform answers.
func (k *Keeper) load(ctx context.Context) bool {
	backoff := objectapi.Backoff{Min: minBackoff, Max: maxBackoff}
	for {
		_, objects, err := k.opts.Objects.List(objectapi.WithTimeout(ctx, callTimeout), k.opts.Kind)
		if err == nil {
			entries := k.decodeAll(objects)
			k.opts.Merge(k.opts.Now(), entries)
			k.opts.Log.Info().Int("entries", len(entries)).Msg("crash suspects read from the platform")
			return true
		}
		k.opts.Log.Info().Err(err).Msg("crash suspects not read from the platform, repeated later")
		if objectapi.Sleep(ctx, backoff.Fail()) != nil {
			return false
		}
	}
}

func (k *Keeper) decodeAll(objects []objectapi.Object) []crashsuspect.Entry {
	var entries []crashsuspect.Entry
	for _, o := range objects {
		var e crashsuspect.Entry
		if err := json.Unmarshal(o.Value, &e); err != nil || objectName(e.Fingerprint) != o.Name || !plausible(k.opts.Now(), e) {
			k.opts.Log.Warn().Str("object", o.Name).Err(err).Msg("object with a crash suspect can't be read")
			continue
		}
		k.stored[o.Name] = stored{o.Version, e.Fingerprint, string(o.Value)}
		entries = append(entries, e)
	}
	return entries
}

// plausible reports whether an instance may have written an entry: one from the future would never
// expire, and the names of crashes are passed on to all instances.
func plausible(now time.Time, e crashsuspect.Entry) bool {
	latest := now.Add(maxClockSkew)
	return !e.ClearedAt.After(latest) && !e.RefusedAt.After(latest) && !slices.ContainsFunc(e.Crashes, func(c crashsuspect.Crash) bool {
		return c.At.After(latest) || len(c.Name) > maxNameBytes
	})
}

func objectName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, fingerprintBase) }

// store writes the objects of entries that have changed, and deletes those of others.
func (k *Keeper) store(ctx context.Context) error {
	now := k.opts.Now()
	kept := map[string]bool{}
	var errs []error
	for _, e := range k.opts.Entries(now, maxObjects) {
		name := objectName(e.Fingerprint)
		kept[name] = true
		if k.opts.Writes(e.Fingerprint) {
			errs = append(errs, k.write(ctx, name, e))
		}
	}
	for name, object := range k.stored {
		if !kept[name] && k.opts.Writes(object.fingerprint) {
			errs = append(errs, k.remove(ctx, name, object.version))
		}
	}
	return errors.Join(errs...)
}

// write writes the object of an entry. If another instance has written it meanwhile, the entry takes over
// what that one knows.
func (k *Keeper) write(ctx context.Context, name string, e crashsuspect.Entry) error {
	for range maxConflictsInARow {
		value, err := json.Marshal(e)
		if err != nil {
			return merry.Prepend(err, "encode a crash suspect")
		}
		known, ok := k.stored[name]
		if ok && known.value == string(value) {
			return nil
		}
		o, err := k.put(ctx, name, known.version, value)
		var conflict *objectapi.ConflictError
		switch {
		case err == nil:
			k.stored[name] = stored{o.Version, e.Fingerprint, string(value)}
			return nil
		case errors.Is(err, objectapi.ErrNotFound) && known.version > 0:
			delete(k.stored, name)
		case !errors.As(err, &conflict):
			return err
		case conflict.Current.Version == 0:
			delete(k.stored, name)
		default:
			k.opts.Merge(k.opts.Now(), k.decodeAll([]objectapi.Object{conflict.Current}))
			k.stored[name] = stored{conflict.Current.Version, e.Fingerprint, string(conflict.Current.Value)}
			all := k.opts.Entries(k.opts.Now(), maxObjects)
			i := slices.IndexFunc(all, func(other crashsuspect.Entry) bool { return other.Fingerprint == e.Fingerprint })
			if i < 0 {
				return nil
			}
			e = all[i]
		}
	}
	return merry.Wrap(ErrConflict)
}

// put creates an object, or replaces it if it has a version.
func (k *Keeper) put(ctx context.Context, name string, version int64, value []byte) (objectapi.Object, error) {
	if err := k.writes.Wait(ctx); err != nil {
		return objectapi.Object{}, err
	}
	ctx = objectapi.WithTimeout(ctx, callTimeout)
	if version == 0 {
		return k.opts.Objects.Create(ctx, k.opts.Kind, name, value)
	}
	return k.opts.Objects.Update(ctx, k.opts.Kind, name, version, value)
}

// remove deletes an object. One that was changed or deleted meanwhile is left to the instance that did.
func (k *Keeper) remove(ctx context.Context, name string, version int64) error {
	if err := k.writes.Wait(ctx); err != nil {
		return err
	}
	err := k.opts.Objects.Delete(objectapi.WithTimeout(ctx, callTimeout), k.opts.Kind, name, version)
	var conflict *objectapi.ConflictError
	if err == nil || errors.Is(err, objectapi.ErrNotFound) || errors.As(err, &conflict) {
		delete(k.stored, name)
		return nil
	}
	return err
}
