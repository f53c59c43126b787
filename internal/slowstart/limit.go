// Package slowstart limits how many requests a backend server runs at the same time
// while it is cold (slow start).
//
// It is for servers that have just started, or have silently lost their warm state:
// they can handle a fraction of their load, and crash under full load, which makes
// them cold again. The limit starts at the declared cold limit and grows by one with
// each success, so that it can double within the duration of a request. It doesn't
// grow with time alone, which shows nothing about a server without requests.
//
// # Usage
//
//	l := slowstart.NewLimit(server.ColdLimit, server.WarmLimit)
//	l.RecordIncarnation(report.Incarnation)
//	if running < l.Value() {
//		// one more request may start
//	}
//	l.RecordSuccess(running, firstToken)
package slowstart

import "time"

const (
	// firstTokenWeight is the weight of the newest time to the first token in the
	// average: about the last thirty count.
	firstTokenWeight = 1.0 / 32
	// minSamples is the minimum number of times in the average before slow ones
	// are detected.
	minSamples = 16
	// slowFactor is the ratio to the average above which a time to the first token
	// shows a cold server. Long prompts and a full batch take up to four times the
	// average; a cold start, which loads weights, far longer.
	slowFactor = 8
	// coldAfterSlow is how many consecutive slow first tokens show a cold server. One
	// may be a lost packet; with three, a cold server has got three requests too
	// many.
	coldAfterSlow = 2
	// refusalDivisor divides the limit when a warm server that hasn't restarted refuses
	// a request: it can handle fewer requests than expected, but still some.
	refusalDivisor = 2
)

// Limit is the number of requests that one backend server may run at the same
// time. It is not safe for concurrent use.
type Limit struct {
	cold, warm  int
	value       int
	incarnation string
	// reportedCold is set while the server reports that it is cold.
	reportedCold bool
	// meanFirstToken is the moving average of the time to the first token, and
	// samples the number of times in it.
	meanFirstToken time.Duration
	samples        int
	slowInRow      int
	// ColdStarts counts the resets to the cold limit.
	ColdStarts int
}

// NewLimit returns the limit of a server about which nothing is known, so that it is
// considered cold. Cold and warm are numbers of requests, at least 1.
func NewLimit(cold, warm int) *Limit {
	cold = max(1, cold)
	return &Limit{cold: cold, warm: max(cold, warm), value: cold}
}

// Value returns the current limit.
func (l *Limit) Value() int {
	return l.value
}

// Cold reports whether the limit is still below the warm limit.
func (l *Limit) Cold() bool {
	return l.value < l.warm
}

// SetLimits applies changed limits of the configuration.
func (l *Limit) SetLimits(cold, warm int) {
	l.cold = max(1, cold)
	l.warm = max(l.cold, warm)
	// A higher limit is reached by successes, a lower one applies immediately.
	l.value = min(l.value, l.warm)
}

// RecordIncarnation records the incarnation that a report or an answer came from, and reports
// whether the server has restarted. A new incarnation is considered cold whatever its
// load report says.
func (l *Limit) RecordIncarnation(incarnation string) (restarted bool) {
	if incarnation == "" || incarnation == l.incarnation {
		return false
	}
	restarted = l.incarnation != ""
	l.incarnation = incarnation
	l.Reset()
	return restarted
}

// Reset resets the limit to the cold limit: after a report that the server is
// cold, when the server or its availability zone returns to service, or when the owner
// doesn't know the server's state.
func (l *Limit) Reset() {
	l.value = l.cold
	l.meanFirstToken, l.samples, l.slowInRow = 0, 0, 0
	l.ColdStarts++
}

// SetReportedCold records whether the server reports that it is cold. While it does,
// successes don't raise the limit: only the server knows what it still has to load.
// Requests that succeed within the cold limit don't show that it can handle more;
// raising the limit on them would crash a cold engine repeatedly.
func (l *Limit) SetReportedCold(cold bool) {
	if cold && (!l.reportedCold || l.value > l.cold) {
		l.Reset()
	}
	l.reportedCold = cold
}

// RecordRefusal records that the server refused a request before running it.
func (l *Limit) RecordRefusal() {
	l.value = max(l.cold, min(l.value, l.warm)/refusalDivisor)
}

// RecordSuccess records the time to the first token of a request, and how many requests
// were running when it was sent. It raises the limit by one if at least half of it was
// in use; otherwise the success doesn't show that the server can handle more.
func (l *Limit) RecordSuccess(running int, firstToken time.Duration) {
	if l.becameCold(firstToken) {
		l.Reset()
		return
	}
	if !l.reportedCold && l.slowInRow == 0 && 2*running >= l.value && l.value < l.warm {
		l.value++
	}
}

// becameCold updates the average time to the first token and reports whether the latest
// times show that the server has become cold.
func (l *Limit) becameCold(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	if l.samples >= minSamples && firstToken > slowFactor*l.meanFirstToken {
		l.slowInRow++
		return l.slowInRow >= coldAfterSlow
	}
	l.slowInRow = 0
	l.samples++
	weight := max(firstTokenWeight, 1/float64(l.samples))
	l.meanFirstToken += time.Duration(weight * float64(firstToken-l.meanFirstToken))
	return false
}
