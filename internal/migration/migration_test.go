package migration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func TestNext(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		p     Progress
		want  Step
	}{
		"first copy":                              {p: Progress{Remaining: time.Second}, want: Copy{}},
		"unknown remaining time":                  {p: Progress{Remaining: -1}, want: Copy{}},
		"about to end":                            {p: Progress{Remaining: minRemaining / 2}, want: Stay{}},
		"link is free":                            {p: Progress{Copies: 2, LastCopyTime: fastCopyTime}, want: Cutover{}},
		"others use the link":                     {p: Progress{Copies: 1, LastCopyTime: time.Second}, want: Copy{}},
		"cutover deadline reached":                {after: cutoverDeadline, p: Progress{Copies: 1, LastCopyTime: time.Second}, want: Cutover{}},
		"no engine has capacity":                  {p: Progress{Refusals: maxTargets, Remaining: -1}, want: Stay{}},
		"about to end, but copied":                {p: Progress{Copies: 1, LastCopyTime: fastCopyTime, Remaining: 0}, want: Cutover{}},
		"cutover deadline reached without a copy": {after: cutoverDeadline, p: Progress{Remaining: -1}, want: Copy{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.p.NoticedAt = start
			require.Equal(t, tt.want, Next(start.Add(tt.after), tt.p))
		})
	}
}

// Guards against paused streams when five generations of one engine are copied over one link, 200
// ms each, by instances that don't see each other's copies: no stream may pause for more than 180
// ms, and all must have moved within 1.5 s, when the engine exits.
func TestGenerationsShareALink(t *testing.T) {
	const copyTime, rest, gone = 200 * time.Millisecond, 5 * time.Millisecond, 1500 * time.Millisecond
	type one struct {
		p       Progress
		done    time.Duration
		asked   time.Duration
		stopped bool
	}
	all := make([]one, 5)
	link := time.Duration(0)
	ask := func(o *one, at time.Duration) {
		o.asked = at
		took := rest
		if o.p.Copies == 0 {
			took = copyTime
		}
		link = max(link, at) + took
		o.done = link
	}
	for i := range all {
		all[i].p = Progress{NoticedAt: start, Remaining: -1}
		ask(&all[i], 0)
	}
	for at := time.Duration(0); at < gone; at += time.Millisecond {
		for i := range all {
			o := &all[i]
			if at < o.done || o.done == 0 {
				continue
			}
			if o.stopped {
				require.LessOrEqual(t, o.done-o.asked, 180*time.Millisecond)
				o.done = 0
				continue
			}
			o.p.Copies++
			o.p.LastCopyTime = o.done - o.asked
			_, o.stopped = Next(start.Add(at), o.p).(Cutover)
			ask(o, at)
		}
	}
	for _, o := range all {
		require.True(t, o.stopped)
		require.Zero(t, o.done)
	}
}
