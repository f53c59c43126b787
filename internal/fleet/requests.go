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

// InstanceRecord is the record of a request on one instance.
type InstanceRecord struct {
	Instance string
	journal.Record
}

// FindRequest returns the records of the request or generation with this id. The record of the
// instance that received it comes first. It returns [ErrNotFound] or [ErrUnreachable] if there is
// none.
func (f *Fleet) FindRequest(ctx context.Context, id string) ([]InstanceRecord, error) {
	entry, err := f.entryAddress(id)
	if err != nil {
		return nil, err
	}
	instances := slices.Clone(f.opts.Members.Roster().Instances)
	i := slices.IndexFunc(instances, func(in roster.Instance) bool { return in.CallerAddress == entry })
	var found []InstanceRecord
	if i >= 0 {
		first, err := f.findOn(ctx, instances[i], id)
		if err == nil && len(first) > 0 && !mayHaveOtherRecords(first) {
			return first, nil
		}
		if err == nil {
			found = first
			instances = slices.Delete(instances, i, i+1)
		}
	}
	more, incomplete := f.findOnAll(ctx, instances, id)
	found = append(found, more...)
	switch {
	case len(found) > 0:
		return found, nil
	case i < 0:
		return nil, merry.Appendf(ErrNotFound, "instance at %s received it and has left; its memory went with it", entry)
	case incomplete:
		return nil, merry.Appendf(ErrUnreachable, "the request may be known at %s", entry)
	}
	return nil, merry.Append(ErrNotFound, "it is older than what the instances keep")
}

// entryAddress returns the caller address of the instance that received the request. The id is
// signed, so a forged one can't cause queries to all instances.
func (f *Fleet) entryAddress(id string) (string, error) {
	if g, err := f.opts.Codec.Parse(id); err == nil {
		return g.Entry, nil
	}
	if r, err := f.opts.Codec.ParseRequest(id); err == nil {
		return r.Entry, nil
	}
	return "", merry.Append(ErrNotFound, "not an id of this deployment")
}

// mayHaveOtherRecords reports whether other instances may have records of the request too: its caller
// disconnected and may have reconnected to another instance.
func mayHaveOtherRecords(found []InstanceRecord) bool {
	return slices.ContainsFunc(found, func(f InstanceRecord) bool {
		return slices.ContainsFunc(f.Steps, func(s journal.Step) bool {
			return s.Kind == journal.CallerGone || s.Kind == journal.TakenOver
		})
	})
}

// findOnAll queries several instances; incomplete reports that at least one didn't respond.
func (f *Fleet) findOnAll(ctx context.Context, instances []roster.Instance, id string) (found []InstanceRecord, incomplete bool) {
	var mu sync.Mutex
	succeeded := queryAll(ctx, instances, func(ctx context.Context, in roster.Instance) error {
		records, err := f.findOn(ctx, in, id)
		mu.Lock()
		defer mu.Unlock()
		found = append(found, records...)
		return err
	})
	return found, succeeded < len(instances)
}

// findOn returns the records of the request on instance in.
func (f *Fleet) findOn(ctx context.Context, in roster.Instance, id string) ([]InstanceRecord, error) {
	if in.ID == f.opts.Self {
		return withInstance(in.ID, f.opts.Journal.Find(id)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	res, err := f.opts.Peers.Client(in.PeerAddress).FindRequest(ctx, &peerv1.FindRequestRequest{Id: id})
	if err != nil {
		return nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	var records []journal.Record
	for _, r := range res.GetRecords() {
		records = append(records, recordFromProto(r))
	}
	return withInstance(in.ID, records), nil
}

func withInstance(instance string, records []journal.Record) []InstanceRecord {
	var found []InstanceRecord
	for _, r := range records {
		found = append(found, InstanceRecord{Instance: instance, Record: r})
	}
	return found
}

func recordFromProto(m *peerv1.RequestRecord) journal.Record {
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

func recordToProto(r journal.Record) *peerv1.RequestRecord {
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
