package pushback

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// recentTime is how long a change is sent with each message: several times what it takes to
	// reach all instances.
	recentTime = 15 * time.Second
	// maxRecentEntries and maxOtherEntries limit the entries of one message.
	maxRecentEntries, maxOtherEntries = 16, 8
	// endedTTL is how long the end of a limit is kept.
	endedTTL = time.Minute
)

// Entry is the limit of one server, as instances tell each other. PerSecond is nil after the end of
// a limit.
type Entry struct {
	Server    string   `json:"server"`
	PerSecond *float64 `json:"perSecond,omitempty"`
	// Sequence orders the changes of the limit.
	Sequence int64 `json:"sequence"`
}

func (e Entry) limit() Limit {
	if e.PerSecond == nil {
		return Limit{}
	}
	return Limit{PerSecond: *e.PerSecond, Named: true}
}

// Merge applies the entries of another instance and returns those that were new.
//
// Instances that see a change at the same time give it the same number; the stricter one holds
// until a response corrects it.
func (l *Limits) Merge(now time.Time, entries []Entry) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Entry
	for _, e := range entries {
		if !l.opts.Listed(e.Server) || e.PerSecond != nil && !(*e.PerSecond >= 0) {
			continue
		}
		st, ok := l.servers[e.Server]
		switch limit := e.limit(); {
		case !ok && !limit.Named:
			continue
		case !ok:
			l.servers[e.Server] = &limitState{limit: limit, sequence: e.Sequence, changedAt: now, filledAt: now}
		case e.Sequence < st.sequence, e.Sequence == st.sequence && !limit.stricter(st.limit):
			continue
		default:
			st.change(now, limit, e.Sequence)
		}
		changed = append(changed, e)
	}
	return changed
}

// Entries returns entries for another instance: the latest changes, and some of the others in turn,
// which it may have missed.
func (l *Limits) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.servers, func(server string, st *limitState) bool {
		return !l.opts.Listed(server) || !st.limit.Named && now.Sub(st.changedAt) > endedTTL
	})
	var recent, others []string
	for _, server := range slices.Sorted(maps.Keys(l.servers)) {
		if now.Sub(l.servers[server].changedAt) < recentTime {
			recent = append(recent, server)
		} else {
			others = append(others, server)
		}
	}
	slices.SortStableFunc(recent, func(a, b string) int {
		return cmp.Compare(now.Sub(l.servers[a].changedAt), now.Sub(l.servers[b].changedAt))
	})
	var out []Entry
	for _, server := range recent[:min(len(recent), maxRecentEntries)] {
		out = append(out, l.entry(server))
	}
	for range min(len(others), maxOtherEntries) {
		l.cursor = (l.cursor + 1) % len(others)
		out = append(out, l.entry(others[l.cursor]))
	}
	return out
}

func (l *Limits) entry(server string) Entry {
	st := l.servers[server]
	e := Entry{Server: server, Sequence: st.sequence}
	if st.limit.Named {
		perSecond := st.limit.PerSecond
		e.PerSecond = &perSecond
	}
	return e
}
