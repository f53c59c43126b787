// Package rollout decides how a service's traffic moves to a new version of its
// servers. It holds no sockets and starts no goroutines; the present time is an
// argument.
//
// A roll-out begins as a canary: each request goes to the new version with a small
// probability, whichever instance has it, so that the share holds over all
// instances, also those that can't hear each other. One instance collects what
// all of them see and compares the new version with the old one at the same time,
// route by route (see [Judge]). A good version then gets everything: all
// instances stop sending to the old servers and move their generations away, and
// when nothing is left there the roll-out is completed. A bad one loses its
// traffic at once and is rolled back.
//
// # Usage
//
//	p := rollout.NewParticipant(now, order)
//	track := p.Track(now, rng.Float64())
//	p.Note(now, rollout.Sample{Route: "plans", Server: id, Track: track, Took: took})
//
//	c := rollout.NewController(order, limits)
//	lease := c.Take(now, report)
//	switch a := c.Step(now, view).(type) {
//	case rollout.Write:
//		...
//	}
package rollout

import (
	"math"
	"time"
)

// Order asks that a service's traffic be moved to the servers of one version.
type Order struct {
	// ID tells orders apart, also two for the same version.
	ID      string
	Service string
	To      string
	// Duration is the time within which the roll-out is to end.
	Duration time.Duration
}

// Track says which of the versions a request goes to.
type Track int

// The tracks.
const (
	Stable Track = iota
	Canary
)

// Stage is how far a roll-out has come. A stage is never followed by a lower
// one.
type Stage int

// The stages. A bad verdict is above a good one, so that it wins where two
// instances decide.
const (
	// StageNone is that of no roll-out.
	StageNone Stage = iota
	// StageCanary sends a small share of the requests to the new version.
	StageCanary
	// StageShift sends all requests to the new version; generations leave the old
	// one.
	StageShift
	// StageBack sends all requests to the old version; generations leave the new
	// one.
	StageBack
	// StageCompleted and StageRolledBack are the two ends.
	StageCompleted
	StageRolledBack
)

var stageNames = map[Stage]string{
	StageNone: "none", StageCanary: "canary", StageShift: "shift", StageBack: "back",
	StageCompleted: "completed", StageRolledBack: "rolledBack",
}

// String returns the stage's name, for logs.
func (s Stage) String() string { return stageNames[s] }

// Ended reports whether the roll-out is over.
func (s Stage) Ended() bool { return s >= StageCompleted }

// Later returns the later of two stages. Between the two ends, which can't follow
// each other, the first one holds.
func (s Stage) Later(other Stage) Stage {
	if s.Ended() || other <= s {
		return s
	}
	return other
}

// Serves reports whether servers of the new version, or of the old one, get
// requests other than a canary's.
func (s Stage) Serves(newVersion bool) bool {
	switch s {
	case StageNone:
		return true
	case StageShift, StageCompleted:
		return newVersion
	}
	return !newVersion
}

// Vacates reports whether what runs on servers of the new version, or of the old
// one, is to leave them.
func (s Stage) Vacates(newVersion bool) bool {
	return s > StageCanary && !s.Serves(newVersion)
}

// Limits are the deployment's bounds on bad versions.
type Limits struct {
	// Share is the part of a service's requests that a version may get before it
	// is known to be good, Slack how many requests more.
	Share float64
	Slack float64
	// Back is the time within which a version that answers badly gets nothing
	// more.
	Back time.Duration
}

const (
	// shareMargin and slackMargin are the parts of the allowed share and of the
	// slack that are used: the rest is for chance, and for requests that are sent
	// before a verdict is heard.
	shareMargin = 0.8
	slackMargin = 0.4
	// maxShare bounds the share where few requests come.
	maxShare = 0.25
)

// canaryShare is the probability with which a request goes to the new version, of
// all requests that are expected to come during the roll-out; 0 where that isn't
// known.
func (l Limits) canaryShare(expected float64) float64 {
	share := l.Share * shareMargin
	if expected > 0 {
		share = min(share+l.Slack*slackMargin/expected, max(share, maxShare))
	}
	return share
}

// leastCanaries is on how many servers of the new version a canary runs at least:
// with one alone a broken server can't be told from a bad version.
const leastCanaries = 2

// Canaries returns which of n servers of the new version the canary uses in a
// window: few, so that each gets about what it will get later, and others in each
// window.
func Canaries(share float64, window, n int) []int {
	if n == 0 {
		return nil
	}
	k := min(n, max(leastCanaries, int(math.Ceil(share*float64(n)))))
	out := make([]int, k)
	for i := range out {
		out[i] = (window*k + i) % n
	}
	return out
}
