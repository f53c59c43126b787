package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// Found is what one instance remembers of a request.
type Found struct {
	Instance string
	journal.Record
}

// FindRequest returns what is remembered of the request or generation called
// id, the record of the instance that received it first. It fails with
// [ErrNotFound] or [ErrUnreachable].
func (f *Fleet) FindRequest(ctx context.Context, id string) ([]Found, error) {
	entry, err := f.entryOf(id)
	if err != nil {
		return nil, err
	}
	instances := slices.Clone(f.opts.Members.Roster().Instances)
	i := slices.IndexFunc(instances, func(in roster.Instance) bool { return in.CallerAddress == entry })
	var found []Found
	if i >= 0 {
		first, err := f.findAt(ctx, instances[i], id)
		if err == nil && len(first) > 0 && !movedOn(first) {
			return first, nil
		}
		if err == nil {
			found = first
			instances = slices.Delete(instances, i, i+1)
		}
	}
	more, silent := f.findAtAll(ctx, instances, id)
	found = append(found, more...)
	switch {
	case len(found) > 0:
		return found, nil
	case i < 0:
		return nil, merry.Appendf(ErrNotFound, "instance at %s received it and has left; its memory went with it", entry)
	case silent:
		return nil, merry.Appendf(ErrUnreachable, "the request may be known at %s", entry)
	}
	return nil, merry.Append(ErrNotFound, "it is older than what the instances keep")
}

// entryOf returns the address for callers of the instance that received the
// request. The id is signed, so a made-up one can't cause questions to all.
func (f *Fleet) entryOf(id string) (string, error) {
	if g, err := f.opts.Codec.Parse(id); err == nil {
		return g.Entry, nil
	}
	if r, err := f.opts.Codec.ParseRequest(id); err == nil {
		return r.Entry, nil
	}
	return "", merry.Append(ErrNotFound, "not an id of this deployment")
}

// movedOn reports whether other instances may have steps of the request too:
// its caller went away and may have come back there.
func movedOn(found []Found) bool {
	return slices.ContainsFunc(found, func(f Found) bool {
		return slices.ContainsFunc(f.Steps, func(s journal.Step) bool {
			return s.Kind == journal.CallerGone || s.Kind == journal.TakenOver
		})
	})
}

// findAtAll asks several instances; silent says that one gave no answer.
func (f *Fleet) findAtAll(ctx context.Context, instances []roster.Instance, id string) (found []Found, silent bool) {
	var mu sync.Mutex
	answered := askAll(ctx, instances, func(ctx context.Context, in roster.Instance) error {
		some, err := f.findAt(ctx, in, id)
		mu.Lock()
		defer mu.Unlock()
		found = append(found, some...)
		return err
	})
	return found, answered < len(instances)
}

func (f *Fleet) findAt(ctx context.Context, in roster.Instance, id string) ([]Found, error) {
	if in.ID == f.opts.Self {
		return named(in.ID, f.opts.Journal.Find(id)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	res, err := f.opts.Peers.Client(in.PeerAddress).FindRequest(ctx, &peerv1.FindRequestRequest{Id: id})
	if err != nil {
		return nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	var records []journal.Record
	for _, r := range res.GetRecords() {
		records = append(records, recordOf(r))
	}
	return named(in.ID, records), nil
}

func named(instance string, records []journal.Record) []Found {
	var found []Found
	for _, r := range records {
		found = append(found, Found{Instance: instance, Record: r})
	}
	return found
}

func recordOf(m *peerv1.RequestRecord) journal.Record {
	r := journal.Record{
		ID: m.GetId(), Route: m.GetRoute(), State: journal.State(m.GetState()), Server: m.GetServer(),
		Subject:      journal.Subject{Workspace: m.GetWorkspace(), Model: m.GetModel(), Service: m.GetService()},
		OutputTokens: m.GetOutputTokens(), Dropped: int(m.GetDropped()),
	}
	for _, s := range m.GetSteps() {
		r.Steps = append(r.Steps, journal.Step{
			At: time.UnixMicro(s.GetAtUnixMicros()), Kind: journal.StepKind(s.GetWhat()), Server: s.GetServer(),
			Peer: s.GetPeer(), Reason: s.GetReason(), Count: s.GetCount(),
		})
	}
	return r
}

func messageOf(r journal.Record) *peerv1.RequestRecord {
	m := &peerv1.RequestRecord{
		Id: r.ID, Route: r.Route, Workspace: r.Workspace, Model: r.Model, Service: r.Service,
		State: string(r.State), Server: r.Server, OutputTokens: r.OutputTokens, Dropped: int32(r.Dropped),
	}
	for _, s := range r.Steps {
		m.Steps = append(m.Steps, &peerv1.RequestStep{
			AtUnixMicros: s.At.UnixMicro(), What: string(s.Kind), Server: s.Server,
			Peer: s.Peer, Reason: s.Reason, Count: s.Count,
		})
	}
	return m
}
