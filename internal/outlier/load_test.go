package outlier_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/outlier"
)

const (
	tick      = 100 * time.Millisecond
	reportLag = 400 * time.Millisecond
	playFor   = 30 * time.Second
)

// load is one availability zone's requests to a service of plain servers.
type load struct {
	servers int
	// rate is in requests a second, reads how many of them are reads.
	rate, reads float64
	// usual are the failures of bookings and of reads on a sound server.
	usualBooking, usualRead float64
	// grey servers fail a part of all requests between two times.
	grey       int
	fails      float64
	begin, end time.Duration
	// allFail has every server fail as the grey ones do.
	allFail bool
}

type result struct{ bookings, failed, ejections, ejectedGood int }

// play sends requests to servers drawn at random among those that aren't ejected.
func (l load) play(seed uint64, detect bool) result {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	begin := now
	d := outlier.NewDetector()
	var r result
	ejected := map[string]outlier.Ejection{}
	told := now
	type late struct {
		at      time.Time
		answers []outlier.Answers
	}
	var way []late
	for ; now.Sub(begin) < playFor; now = now.Add(tick) {
		age := now.Sub(begin)
		var answers []outlier.Answers
		for n := l.rate * tick.Seconds(); rng.Float64() < n; n-- {
			read := rng.Float64() < l.reads
			server := l.choose(rng, read, ejected, now.Sub(told))
			usual, route := l.usualBooking, "bookings"
			if read {
				usual, route = l.usualRead, "reads"
			}
			failed := rng.Float64() < usual
			if (server < l.grey || l.allFail) && age >= l.begin && age < l.end {
				failed = failed || rng.Float64() < l.fails
			}
			a := outlier.Answers{Service: "desk", Server: strconv.Itoa(server), Route: route, Number: 1}
			if failed {
				a.Failed = 1
			}
			answers = append(answers, a)
			if !read {
				r.bookings++
				r.failed += a.Failed
			}
		}
		way = append(way, late{now.Add(reportLag), answers})
		for len(way) > 0 && !way[0].at.After(now) && detect {
			for _, f := range d.Take(now, way[0].answers) {
				r.ejections++
				if id, _ := strconv.Atoi(f.Server); id >= l.grey {
					r.ejectedGood++
				}
			}
			way = way[1:]
			clear(ejected)
			for _, e := range d.Ejected(now) {
				ejected[e.Server] = e
			}
			told = now
		}
	}
	return r
}

func (l load) choose(rng *rand.Rand, repeatable bool, ejected map[string]outlier.Ejection, age time.Duration) int {
	for range 100 {
		server := rng.IntN(l.servers)
		e, ok := ejected[strconv.Itoa(server)]
		left := time.Duration(e.ForMillis)*time.Millisecond - age
		if !ok || left <= 0 && (repeatable || left+time.Duration(e.TrialMillis)*time.Millisecond <= 0) {
			return server
		}
	}
	return 0
}

// Plays a zone's share of bookings and reads, of which one in seven reads fails on
// every server, and checks how many bookings fail.
func TestFailingServers(t *testing.T) {
	usual := load{servers: 5, rate: 38, reads: 0.4, usualBooking: 0.004, usualRead: 0.14, fails: 0.45, begin: 8 * time.Second, end: 16 * time.Second}
	with := func(change func(*load)) load {
		l := usual
		change(&l)
		return l
	}
	tests := map[string]struct {
		load load
		// most is the part of the failed bookings that may be left, of those that fail
		// without the detector; good is how many sound servers may be ejected in a play.
		most, good float64
	}{
		"one server fails half":           {with(func(l *load) { l.grey = 1 }), 0.55, 0.3},
		"one server fails all":            {with(func(l *load) { l.grey, l.fails = 1, 1 }), 0.4, 0.3},
		"one fails few":                   {with(func(l *load) { l.grey, l.fails = 1, 0.1 }), 1, 0.3},
		"two of five fail half":           {with(func(l *load) { l.grey = 2 }), 0.7, 0.3},
		"one of forty-four":               {with(func(l *load) { l.grey, l.servers, l.rate = 1, 44, 120 }), 0.8, 0.6},
		"one of three, few requests":      {with(func(l *load) { l.grey, l.servers, l.rate = 1, 3, 13 }), 0.9, 0.3},
		"none fails":                      {usual, 1.3, 0.3},
		"all fail: it is not the servers": {with(func(l *load) { l.allFail = true }), 1.1, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const seeds = 20
			var before, after result
			for seed := range uint64(seeds) {
				b, a := tt.load.play(seed, false), tt.load.play(seed, true)
				before.failed += b.failed
				after.failed += a.failed
				after.ejections += a.ejections
				after.ejectedGood += a.ejectedGood
			}
			good := float64(after.ejectedGood) / seeds
			t.Logf("bookings failed %d, %d with the detector; ejections a play %.1f, of sound servers %.2f",
				before.failed/seeds, after.failed/seeds, float64(after.ejections)/seeds, good)
			require.LessOrEqual(t, float64(after.failed), tt.most*float64(before.failed))
			require.LessOrEqual(t, good, tt.good)
		})
	}
}
