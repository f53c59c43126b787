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
		"first it is copied":              {p: Progress{Rest: time.Second}, want: Copy{}},
		"nothing known of its rest":       {p: Progress{Rest: -1}, want: Copy{}},
		"it ends by itself":               {p: Progress{Rest: endsByItself / 2}, want: Stay{}},
		"the link is free":                {p: Progress{Copies: 2, LastTook: quickCopy}, want: Stop{}},
		"others wait for the link":        {p: Progress{Copies: 1, LastTook: time.Second}, want: Copy{}},
		"time is up":                      {after: mustStop, p: Progress{Copies: 1, LastTook: time.Second}, want: Stop{}},
		"nobody has room":                 {p: Progress{Refused: maxTargets, Rest: -1}, want: Stay{}},
		"near its end, but copied":        {p: Progress{Copies: 1, LastTook: quickCopy, Rest: 0}, want: Stop{}},
		"time is up and nothing is there": {after: mustStop, p: Progress{Rest: -1}, want: Copy{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.p.Noticed = start
			require.Equal(t, tt.want, Next(start.Add(tt.after), tt.p))
		})
	}
}

// Five generations of one engine are copied over one link, 200 ms each, from
// instances that don't see each other's. No caller's stream may stand still for
// more than 180 ms, and all must be off within 1.5 s, when the engine is gone.
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
		all[i].p = Progress{Noticed: start, Rest: -1}
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
			o.p.LastTook = o.done - o.asked
			_, o.stopped = Next(start.Add(at), o.p).(Stop)
			ask(o, at)
		}
	}
	for _, o := range all {
		require.True(t, o.stopped)
		require.Zero(t, o.done)
	}
}
