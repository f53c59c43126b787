package config

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// loadAttempts limits the attempts of a load, which starts over if the base that it reads is
// replaced and deleted meanwhile.
const loadAttempts = 3

// listing holds the result of listing the platform's objects.
type listing struct {
	// watchFrom is the version from which a watch misses nothing.
	watchFrom int64
	// objects holds the listed objects, from which old records are deleted.
	objects []objectapi.Object
	// known holds the records by the names of their objects.
	known map[string]record
	head  head
	// version is that of the head object; 0 if there is none.
	version int64
}

func list(ctx context.Context, objects *objectapi.Client) (listing, error) {
	l := listing{known: map[string]record{}}
	version, all, err := objects.List(ctx, kind)
	if err != nil {
		return l, merry.Wrap(ErrUnreadable, merry.WithCause(err))
	}
	l.watchFrom, l.objects = version, all
	for _, o := range all {
		addRecord(l.known, o)
		if o.Name == headName {
			l.version = o.Version
			if l.head, err = decodeHead(o); err != nil {
				return l, err
			}
		}
	}
	return l, nil
}

func decodeHead(o objectapi.Object) (head, error) {
	var h head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, merry.Wrap(ErrUnreadable, merry.WithCause(err))
	}
	return h, nil
}

// load reads the accepted configuration.
func load(ctx context.Context, objects *objectapi.Client) (*state, listing, error) {
	var l listing
	var err error
	for range loadAttempts {
		l, err = list(ctx, objects)
		if err != nil {
			return nil, l, err
		}
		var s *state
		s, err = advance(ctx, objects, emptyState(), l.head, l.version, l.known)
		if err == nil {
			return s, l, nil
		}
		if !errors.Is(err, objectapi.ErrNotFound) {
			break
		}
	}
	return nil, l, err
}

// advance returns the state at head h, whose object has the given version, starting from the
// earlier state s. It reads from the platform only records that known lacks.
func advance(ctx context.Context, objects *objectapi.Client, s *state, h head, version int64, known map[string]record) (*state, error) {
	if version == s.version && h.Record == s.head.Record {
		return s, nil
	}
	// A platform that was restored may reach the same version with different changes.
	if version <= s.version {
		return nil, merry.Wrap(ErrOlder, merry.AppendMessagef("version %d, in force is %d", version, s.version))
	}
	for {
		records, reached, missing := walk(h, s.head.Record, known)
		if missing != "" {
			o, err := objects.Get(ctx, kind, missing)
			if err != nil {
				return nil, merry.Wrap(ErrUnreadable, merry.WithCause(err))
			}
			addRecord(known, o)
			if _, ok := known[missing]; !ok {
				return nil, merry.Wrap(ErrUnreadable, merry.AppendMessage(missing))
			}
			continue
		}
		if reached {
			return s.apply(version, h, records), nil
		}
		all, err := loadBase(ctx, objects, h.Base)
		if err != nil {
			return nil, err
		}
		from := newState(version, h, all)
		return from.apply(version, h, records), nil
	}
}

func loadBase(ctx context.Context, objects *objectapi.Client, b base) (parts, error) {
	all := parts{}
	for i := range b.Chunks {
		o, err := objects.Get(ctx, baseKind, b.chunkName(i))
		if err != nil {
			return nil, merry.Wrap(ErrUnreadable, merry.WithCause(err))
		}
		chunk := parts{}
		if err := json.Unmarshal(o.Value, &chunk); err != nil {
			return nil, merry.Wrap(ErrUnreadable, merry.WithCause(err))
		}
		for name, value := range chunk {
			all[name] = value
		}
	}
	return all, nil
}

// History returns the newest n accepted changes, newest first. It omits changes whose records the
// platform no longer has.
func History(ctx context.Context, objects *objectapi.Client, n int) ([]Entry, error) {
	l, err := list(ctx, objects)
	if err != nil {
		return nil, err
	}
	return historyEntries(l.head, l.version, l.known, n), nil
}

// Load reads the accepted configuration once, for commands that run outside an entry instance.
func Load(ctx context.Context, objects *objectapi.Client) (*Snapshot, error) {
	s, _, err := load(ctx, objects)
	if err != nil {
		return nil, err
	}
	cfg, err := join(s.parts)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(s.version, cfg), nil
}
