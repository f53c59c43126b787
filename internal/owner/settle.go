package owner

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// announcement is a set of crash suspects to send to all other instances. done is closed once each
// of them has answered or has had its time to.
type announcement struct {
	entries []crashsuspect.Entry
	done    chan struct{}
}

// runAnnouncements sends the recorded crashes to the other instances until ctx ends. Crashes that
// are recorded meanwhile are sent together afterwards.
func (o *Owner) runAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.opts.Suspects.wake:
		}
		a := o.opts.Suspects.takeAnnouncement(time.Now())
		if len(a.entries) > 0 && o.opts.Announce != nil {
			o.opts.Announce(ctx, a.entries)
		}
		close(a.done)
	}
}

// SettleLosses returns when it is known of each lost request whether its server crashed, and all
// other instances have been told of the crashes, or when ctx ends.
//
// The holder of a lost permit waits for this before the request is repeated, so that the owner of
// the next server knows of the crash, however long news takes.
func (o *Owner) SettleLosses(ctx context.Context, released []*peerv1.Released) {
	since := time.Now()
	for _, r := range released {
		e := o.find(r.GetServer())
		if e == nil || !wasLost(r) {
			continue
		}
		for {
			event := e.nextSettlement(since, r.GetPermitId())
			if event == nil {
				break
			}
			select {
			case <-event:
			case <-ctx.Done():
				return
			}
		}
	}
}

func wasLost(r *peerv1.Released) bool {
	ending := permit.Ending(r.GetEnding())
	return ending == permit.EndingLost || ending == permit.EndingCrashed
}

// nextSettlement returns nil if the loss of a permit's request is settled, and otherwise a channel
// that is closed when more is known. A loss is settled once a load report asked for after since
// shows the server's incarnation, or that nothing listens there any more, and a crash that it shows
// is announced.
func (e *entry) nextSettlement(since time.Time, permitID string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Holds(permitID) && !e.reportAskedAt.After(since) {
		// The next tick polls.
		e.polledAt = time.Time{}
		if e.pollEnded == nil {
			e.pollEnded = make(chan struct{})
		}
		return e.pollEnded
	}
	select {
	case <-e.crashAnnounced:
		return nil
	default:
		return e.crashAnnounced
	}
}
