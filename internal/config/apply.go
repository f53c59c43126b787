package config

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// changesPerBase is the number of changes from one base to the next. It limits what a
	// starting instance reads: the chunks of a base and this many records.
	changesPerBase = 64
	// keptRecords is the number of records that are kept for the history.
	keptRecords = 256
	// maxRecordBytes limits the value of a record or of a chunk. The platform accepts twice as
	// much.
	maxRecordBytes = 512 << 10
	// deletesPerChange limits the old records that are deleted after a change. It is more than
	// one, so that records of changes that lost a race are deleted as well.
	deletesPerChange = 4
	// writeAttempts limits the attempts of one write whose response is lost or that the platform
	// doesn't serve. With the backoff between them they take a few seconds, while an operator
	// waits at the terminal.
	writeAttempts   = 6
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = 2 * time.Second
)

// Change is a complete configuration that replaces the active one.
type Change struct {
	Config pollenspindle.Config
	// BaseVersion is the version that the change was made from; 0 if there was none.
	BaseVersion int64
	Author      string
	Summary     string
	// At is the time of the change, shown to operators only.
	At time.Time
}

// Apply activates a change and returns its version. If the configuration equals the active one,
// Apply writes nothing and returns the active version.
//
// The change is accepted when the conditional update of the head succeeds on BaseVersion. On
// [*ConflictError], [ErrNotAccepted], [ErrInvalid] and [ErrUnreadable] the change was certainly not
// accepted; on [ErrAcceptanceUnknown] it may have been.
func Apply(ctx context.Context, objects *objectapi.Client, c Change) (int64, error) {
	updated, err := split(c.Config)
	if err != nil {
		return 0, err
	}
	current, l, err := load(ctx, objects)
	if err != nil {
		return 0, err
	}
	if current.version != c.BaseVersion {
		return 0, newConflictError(c.BaseVersion, l)
	}
	// The platform may have reformatted the JSON, so the parts are decoded and encoded again
	// before they are compared.
	cfg, err := join(current.parts)
	if err != nil {
		return 0, err
	}
	old, err := split(cfg)
	if err != nil {
		return 0, err
	}
	if current.version == 0 {
		old = parts{}
	}
	puts, removed := diff(old, updated)
	if len(puts) == 0 && len(removed) == 0 {
		return current.version, nil
	}
	a := &applier{objects: objects, token: rand.Text(), listing: l}
	next := current.next(current.version, current.head, puts, removed)
	h, err := a.prepare(ctx, c, next.parts, puts, removed)
	if err != nil {
		return 0, err
	}
	version, err := a.accept(ctx, h)
	if err == nil {
		a.collect(ctx, h)
	}
	return version, err
}

func newConflictError(baseVersion int64, l listing) error {
	e := &ConflictError{BaseVersion: baseVersion, CurrentVersion: l.version}
	for _, entry := range historyEntries(l.head, l.version, l.known, keptRecords) {
		if entry.Version > baseVersion {
			e.Since = append(e.Since, entry)
		}
	}
	return e
}

// applier makes the writes of one change.
type applier struct {
	objects *objectapi.Client
	token   string
	listing listing
}

// prepare writes the record of a change, and a base if one is due, and returns the head that names
// them. No instance reads them before the head is written.
func (a *applier) prepare(ctx context.Context, c Change, all, puts parts, removed []string) (head, error) {
	from := a.listing.head
	r := record{
		Number:          from.Number + 1,
		Author:          c.Author,
		Summary:         c.Summary,
		At:              c.At.UTC(),
		Previous:        from.Record,
		PreviousVersion: a.listing.version,
		Puts:            puts,
		Removed:         removed,
		Changed:         changedNames(puts, removed),
	}
	h := head{Number: r.Number, Record: recordName(r.Number, a.token), Base: from.Base}
	value, err := json.Marshal(r)
	if err != nil {
		return h, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	if len(value) > maxRecordBytes {
		r.Puts, r.Removed, r.InBase = nil, nil, true
		if value, err = json.Marshal(r); err != nil {
			return h, merry.Wrap(ErrInvalid, merry.WithCause(err))
		}
	}
	if r.InBase || r.Number-from.Base.Number >= changesPerBase {
		if h.Base, err = a.writeBase(ctx, r.Number, all); err != nil {
			return h, err
		}
	}
	return h, a.create(ctx, kind, h.Record, value)
}

func (a *applier) writeBase(ctx context.Context, number int64, all parts) (base, error) {
	b := base{Number: number, Prefix: "base" + recordName(number, a.token)[len(recordPrefix)-1:]}
	for _, chunk := range chunks(all) {
		value, err := json.Marshal(chunk)
		if err != nil {
			return b, merry.Wrap(ErrInvalid, merry.WithCause(err))
		}
		if err := a.create(ctx, baseKind, b.chunkName(b.Chunks), value); err != nil {
			return b, err
		}
		b.Chunks++
	}
	return b, nil
}

// chunks splits p into groups that fit into one object each.
func chunks(p parts) []parts {
	list := []parts{{}}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(p)) {
		n := len(name) + len(p[name]) + len(`"":,`)
		if size+n > maxRecordBytes && size > 0 {
			list = append(list, parts{})
			size = 0
		}
		list[len(list)-1][name] = p[name]
		size += n
	}
	return list
}

// create stores an object whose name contains the token of this change. An object that exists
// already is therefore its own, from an attempt whose response was lost.
func (a *applier) create(ctx context.Context, kind, name string, value []byte) error {
	backoff := objectapi.Backoff{Min: minWriteBackoff, Max: maxWriteBackoff}
	var err error
	for range writeAttempts {
		_, err = a.objects.Create(ctx, kind, name, value)
		var conflictErr *objectapi.ConflictError
		if err == nil || errors.As(err, &conflictErr) {
			return nil
		}
		if errors.Is(err, objectapi.ErrRefused) || objectapi.Sleep(ctx, backoff.Fail()) != nil {
			break
		}
	}
	return merry.Wrap(ErrNotAccepted, merry.WithCause(err))
}

// accept writes the head. An attempt whose response is lost is repeated with the same condition:
// if the lost one takes effect first, the repeat fails, and the current head shows whose change it
// names.
func (a *applier) accept(ctx context.Context, h head) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, merry.Wrap(ErrNotAccepted, merry.WithCause(err))
	}
	backoff := objectapi.Backoff{Min: minWriteBackoff, Max: maxWriteBackoff}
	uncertain := false
	for range writeAttempts {
		var o objectapi.Object
		o, err = a.putHead(ctx, value)
		var conflictErr *objectapi.ConflictError
		switch {
		case err == nil:
			return o.Version, nil
		case errors.As(err, &conflictErr):
			return a.resolveConflict(ctx, h, uncertain)
		case errors.Is(err, objectapi.ErrRefused):
			return 0, a.writeError(uncertain, err)
		case errors.Is(err, objectapi.ErrUnknownOutcome):
			uncertain = true
		}
		if objectapi.Sleep(ctx, backoff.Fail()) != nil {
			break
		}
	}
	return 0, a.writeError(uncertain, err)
}

func (a *applier) putHead(ctx context.Context, value []byte) (objectapi.Object, error) {
	if a.listing.version == 0 {
		return a.objects.Create(ctx, kind, headName, value)
	}
	return a.objects.Update(ctx, kind, headName, a.listing.version, value)
}

// writeError returns the error of a write that failed; uncertain means that an attempt may have
// taken effect.
func (a *applier) writeError(uncertain bool, cause error) error {
	if uncertain {
		return merry.Wrap(ErrAcceptanceUnknown, merry.WithCause(cause))
	}
	return merry.Wrap(ErrNotAccepted, merry.WithCause(cause))
}

// resolveConflict finds out after a conflict whether the change is in the chain of accepted
// changes, where later ones may follow it.
func (a *applier) resolveConflict(ctx context.Context, h head, uncertain bool) (int64, error) {
	l, err := list(ctx, a.objects)
	if err != nil {
		return 0, a.writeError(uncertain, err)
	}
	version := l.version
	for name := l.head.Record; numberOf(name) >= h.Number; {
		if name == h.Record {
			return version, nil
		}
		r, ok := l.known[name]
		if !ok {
			return 0, a.writeError(uncertain, ErrUnreadable)
		}
		name, version = r.Previous, r.PreviousVersion
	}
	return 0, newConflictError(a.listing.version, l)
}

// collect deletes records that the history no longer shows, including those of changes that lost a
// race, and after a new base the chunks older than the previous base. It deletes a limited number
// and ignores errors; the next change continues.
func (a *applier) collect(ctx context.Context, h head) {
	oldest := min(h.Number-keptRecords, a.listing.head.Base.Number)
	deleted := 0
	for _, o := range a.listing.objects {
		n := numberOf(o.Name)
		if n == 0 || n > oldest || deleted == deletesPerChange {
			continue
		}
		deleted++
		if a.objects.Delete(ctx, kind, o.Name, o.Version) != nil {
			return
		}
	}
	if h.Base == a.listing.head.Base {
		return
	}
	_, old, err := a.objects.List(ctx, baseKind)
	if err != nil {
		return
	}
	for _, o := range old {
		if numberOf(o.Name) < a.listing.head.Base.Number && a.objects.Delete(ctx, baseKind, o.Name, o.Version) != nil {
			return
		}
	}
}
