package admission

import "time"

// deputyRateShare is the part of a server's rate that a deputy grants: the owner may be alive and
// use all of it.
const deputyRateShare = 0.5

// rateLimit keeps the rate of requests that a server takes, without bursts. Its zero value has no
// limit.
type rateLimit struct {
	perSecond float64
	nextAt    time.Time
}

// set applies the rate in a load report; 0 is no limit. A new limit starts with a pause, because
// another instance may have granted up to it just before.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	if l.perSecond <= 0 && perSecond > 0 {
		l.nextAt = now.Add(interval(perSecond))
	}
	l.perSecond = perSecond
}

func (l *rateLimit) admits(now time.Time) bool { return l.perSecond <= 0 || !now.Before(l.nextAt) }

// take counts a grant of an instance that may use share of the rate.
func (l *rateLimit) take(now time.Time, share float64) {
	if l.perSecond > 0 {
		l.nextAt = now.Add(interval(l.perSecond * share))
	}
}

// wait returns the time until the next request is admitted.
func (l *rateLimit) wait(now time.Time) time.Duration {
	if l.admits(now) {
		return 0
	}
	return l.nextAt.Sub(now)
}

func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

func (s *Server) rateShare() float64 {
	if s.share > 0 {
		return deputyRateShare
	}
	return 1
}
