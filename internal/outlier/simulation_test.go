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
	tick          = 100 * time.Millisecond
	reportLag     = 400 * time.Millisecond
	simulatedTime = 30 * time.Second
)

// load simulates the requests of one availability zone to a plain service.
type load struct {
	servers int
	// rate is in requests per second, reads the fraction of them that are reads.
	rate, reads float64
	// baselineBooking and baselineRead are the failure rates on a healthy server.
	baselineBooking, baselineRead float64
	// faulty servers additionally fail the fraction fails of all requests between
	// begin and end.
	faulty     int
	fails      float64
	begin, end time.Duration
	// allFail makes every server fail like the faulty ones.
	allFail bool
}

type result struct{ bookings, failed, ejections, ejectedHealthy int }

// simulate sends requests to random servers that aren't ejected.
func (l load) simulate(seed uint64, detect bool) result {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	begin := now
	d := outlier.NewDetector()
	var r result
	ejected := map[string]outlier.Ejection{}
	updated := now
	type delayedReport struct {
		at      time.Time
		answers []outlier.Answers
	}
	var inFlight []delayedReport
	for ; now.Sub(begin) < simulatedTime; now = now.Add(tick) {
		elapsed := now.Sub(begin)
		var answers []outlier.Answers
		for n := l.rate * tick.Seconds(); rng.Float64() < n; n-- {
			read := rng.Float64() < l.reads
			server := l.choose(rng, read, ejected, now.Sub(updated))
			baseline, route := l.baselineBooking, "bookings"
			if read {
				baseline, route = l.baselineRead, "reads"
			}
			failed := rng.Float64() < baseline
			if (server < l.faulty || l.allFail) && elapsed >= l.begin && elapsed < l.end {
				failed = failed || rng.Float64() < l.fails
			}
			a := outlier.Answers{Service: "desk", Server: strconv.Itoa(server), Route: route, Total: 1}
			if failed {
				a.Failed = 1
			}
			answers = append(answers, a)
			if !read {
				r.bookings++
				r.failed += a.Failed
			}
		}
		inFlight = append(inFlight, delayedReport{now.Add(reportLag), answers})
		for len(inFlight) > 0 && !inFlight[0].at.After(now) && detect {
			for _, f := range d.Apply(now, inFlight[0].answers) {
				r.ejections++
				if id, _ := strconv.Atoi(f.Server); id >= l.faulty {
					r.ejectedHealthy++
				}
			}
			inFlight = inFlight[1:]
			clear(ejected)
			for _, e := range d.Ejected(now) {
				ejected[e.Server] = e
			}
			updated = now
		}
	}
	return r
}

func (l load) choose(rng *rand.Rand, repeatable bool, ejected map[string]outlier.Ejection, elapsed time.Duration) int {
	for range 100 {
		server := rng.IntN(l.servers)
		e, ok := ejected[strconv.Itoa(server)]
		remaining := time.Duration(e.ForMillis)*time.Millisecond - elapsed
		if !ok || remaining <= 0 && (repeatable || remaining+time.Duration(e.TrialMillis)*time.Millisecond <= 0) {
			return server
		}
	}
	return 0
}

// Guards against a detector that misses failing servers or ejects healthy ones. It
// simulates bookings and reads of a zone, where one in seven reads fails on every
// server, and compares the failed bookings with and without the detector.
func TestFailingServers(t *testing.T) {
	baseline := load{servers: 5, rate: 38, reads: 0.4, baselineBooking: 0.004, baselineRead: 0.14, fails: 0.45, begin: 8 * time.Second, end: 16 * time.Second}
	with := func(change func(*load)) load {
		l := baseline
		change(&l)
		return l
	}
	tests := map[string]struct {
		load load
		// maxFailed is the maximum of failed bookings relative to those without the
		// detector, maxHealthy the maximum of healthy servers ejected per simulation.
		maxFailed, maxHealthy float64
	}{
		"one server fails half":      {with(func(l *load) { l.faulty = 1 }), 0.55, 0.3},
		"one server fails all":       {with(func(l *load) { l.faulty, l.fails = 1, 1 }), 0.4, 0.3},
		"one fails few":              {with(func(l *load) { l.faulty, l.fails = 1, 0.1 }), 1, 0.3},
		"two of five fail half":      {with(func(l *load) { l.faulty = 2 }), 0.7, 0.3},
		"one of forty-four":          {with(func(l *load) { l.faulty, l.servers, l.rate = 1, 44, 120 }), 0.8, 0.6},
		"one of three, few requests": {with(func(l *load) { l.faulty, l.servers, l.rate = 1, 3, 13 }), 0.9, 0.3},
		"none fails":                 {baseline, 1.3, 0.3},
		"all servers fail":           {with(func(l *load) { l.allFail = true }), 1.1, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const seeds = 20
			var before, after result
			for seed := range uint64(seeds) {
				b, a := tt.load.simulate(seed, false), tt.load.simulate(seed, true)
				before.failed += b.failed
				after.failed += a.failed
				after.ejections += a.ejections
				after.ejectedHealthy += a.ejectedHealthy
			}
			healthy := float64(after.ejectedHealthy) / seeds
			t.Logf("failed bookings: %d, with the detector %d; ejections per simulation: %.1f, of healthy servers %.2f",
				before.failed/seeds, after.failed/seeds, float64(after.ejections)/seeds, healthy)
			require.LessOrEqual(t, float64(after.failed), tt.maxFailed*float64(before.failed))
			require.LessOrEqual(t, healthy, tt.maxHealthy)
		})
	}
}
