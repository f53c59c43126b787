// Package rollout decides how a service's traffic moves to a new version of its servers.
// It does no I/O and starts no goroutines; the present time is an argument.
//
// A rollout starts as a canary: each instance sends a request to the new version with a
// small probability, so that the share holds over all instances, also those that can't
// reach each other. One instance, the coordinator, aggregates the reports of all of them
// and compares the new version with the old one over the same time, route by route (see
// [Compare]). A good version is promoted: all instances stop sending to the old servers
// and migrate their generations away, and the rollout is completed when no request is left
// there. A bad version immediately gets no more requests and is rolled back.
//
// # Usage
//
//	p := rollout.NewParticipant(now, spec)
//	track := p.Track(now, rng.Float64())
//	p.Record(now, rollout.Sample{Route: "plans", Server: id, Track: track, Latency: latency})
//
//	c := rollout.NewController(now, spec, limits)
//	lease := c.Apply(now, report)
//	switch a := c.Step(now, view).(type) {
//	case rollout.Write:
//		...
//	}
package rollout

import (
	"math"
	"time"
)

// Spec describes a rollout: a service's traffic moves to the servers of one version.
type Spec struct {
	// ID identifies the rollout, also among those to the same version.
	ID      string
	Service string
	To      string
	// Duration is the time within which the rollout has to end.
	Duration time.Duration
}

// Track is the version that a request goes to.
type Track int

// The tracks: Stable is the old version, Canary the new one. They are sent to other
// instances as numbers.
const (
	Stable Track = iota
	Canary
)

// Stage is the progress of a rollout. It never decreases.
type Stage int

// The stages. Rolling back ranks above promoting, so that it wins when two instances act
// as coordinator. They are sent to other instances as numbers.
const (
	// StageNone means that there is no rollout.
	StageNone Stage = iota
	// StageCanary sends a small share of the requests to the new version.
	StageCanary
	// StagePromoting sends all requests to the new version; generations migrate to it.
	StagePromoting
	// StageRollingBack sends all requests to the old version; generations migrate to it.
	StageRollingBack
	// StageCompleted and StageRolledBack are the final stages.
	StageCompleted
	StageRolledBack
)

var stageNames = map[Stage]string{
	StageNone: "none", StageCanary: "canary", StagePromoting: "shift", StageRollingBack: "back",
	StageCompleted: "completed", StageRolledBack: "rolledBack",
}

// String returns the stage's name, for logs and operators.
func (s Stage) String() string { return stageNames[s] }

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s >= StageCompleted }

// Later returns the later of two stages. A final stage stays as it is.
func (s Stage) Later(other Stage) Stage {
	if s.Ended() || other <= s {
		return s
	}
	return other
}

// Serves reports whether servers of the new version, or of the old one, get requests other
// than those of the canary.
func (s Stage) Serves(newVersion bool) bool {
	switch s {
	case StageNone:
		return true
	case StagePromoting, StageCompleted:
		return newVersion
	}
	return !newVersion
}

// Drains reports whether requests have to leave the servers of the new version, or of the
// old one.
func (s Stage) Drains(newVersion bool) bool {
	return s > StageCanary && !s.Serves(newVersion)
}

// Limits bounds the effect of bad versions.
type Limits struct {
	// Share is the part of a service's requests that a version may get before it is known to
	// be good, and Slack the number of requests that it may get beyond that.
	Share float64
	Slack float64
	// RollBackTime is the time within which a bad version must get no more requests.
	RollBackTime time.Duration
}

const (
	// shareMargin and slackMargin are the used parts of the allowed share and slack. The rest
	// covers random variation, and requests sent before an instance learns of the decision.
	shareMargin = 0.8
	slackMargin = 0.4
	// maxShare limits the share at low request rates.
	maxShare = 0.25
)

// canaryShare returns the probability with which a request goes to the new version, given
// the number of requests expected during the rollout, or 0 if that is unknown.
func (l Limits) canaryShare(expected float64) float64 {
	share := l.Share * shareMargin
	if expected > 0 {
		share = min(share+l.Slack*slackMargin/expected, max(share, maxShare))
	}
	return share
}

// minCanaryServers is the minimum number of the new version's servers in a canary: with
// only one, a broken server can't be distinguished from a bad version.
const minCanaryServers = 2

// CanaryServers returns the indexes of the n servers of the new version that the canary
// uses in a window: few, so that each gets about its later load, and different ones in
// each window.
func CanaryServers(share float64, window, n int) []int {
	if n == 0 {
		return nil
	}
	k := min(n, max(minCanaryServers, int(math.Ceil(share*float64(n)))))
	out := make([]int, k)
	for i := range out {
		out[i] = (window*k + i) % n
	}
	return out
}
