// Package outlier detects and ejects servers that fail requests which other servers
// answer, or answer them several times slower. It does no I/O; the present time is an
// argument.
//
// It is for servers that fail a part of their requests while their health checks
// pass, and for requests spread over so many instances that each sees too few answers
// to detect this. The answers seen by all instances of an availability zone are added
// up, since a server may fail for one zone only. Servers are compared separately for
// each kind of request (route), since some kinds fail more often on every server.
//
// # Usage
//
//	d := outlier.NewDetector()
//	d.Apply(now, answers)
//	ejected := d.Ejected(now)
package outlier

import (
	"maps"
	"math"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/likelihood"
)

const (
	// halfLife is the half-life of the weight of an answer.
	halfLife = 2 * time.Second
	// ejectRatio is the minimum likelihood ratio at which a server is ejected; see
	// package likelihood.
	ejectRatio = 12.0
	// minOtherAnswers is the minimum number of answers of other servers for a comparison.
	minOtherAnswers = 10.0
	// maxEjectedShare is the maximum fraction of a service's servers that may be
	// ejected: if more fail, the servers aren't the cause.
	maxEjectedShare = 0.4
	// minEjection is the duration of a first ejection. It doubles with each ejection
	// that follows soon after the previous one, up to maxEjection.
	minEjection = 4 * time.Second
	maxEjection = 16 * time.Second
	// trialDuration is how long after an ejection a server gets only repeatable requests.
	trialDuration = 3 * time.Second
	// retention is how long a server without answers is remembered.
	retention = time.Minute
)

// Answers counts the answers of one server to one kind of request (route).
type Answers struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Route   string `json:"route"`
	Total   int    `json:"number"`
	Failed  int    `json:"failed"`
	// Millis is the sum of the times of the answers that haven't failed, in milliseconds; 0 if
	// they weren't measured, as by older instances.
	Millis int64 `json:"millis,omitempty"`
}

// Ejection is the ejection of a server.
type Ejection struct {
	Server string `json:"server"`
	// ForMillis is the remaining time of the ejection in milliseconds, TrialMillis
	// the time after it in which the server gets only repeatable requests.
	ForMillis   int64 `json:"forMillis"`
	TrialMillis int64 `json:"trialMillis"`
}

// Detection is a new ejection and its evidence.
type Detection struct {
	Service, Server string
	Ratio           float64
	Total, Failed   float64
	For             time.Duration
	// Slow is set if the server was ejected for its times: Mean is its mean time, Others the
	// median of the mean times of the other servers on Route.
	Slow         bool
	Mean, Others time.Duration
	Route        string
}

type key struct{ server, route string }

// decayingShare is a share of failures whose weight decays exponentially.
type decayingShare struct {
	share likelihood.Share
	at    time.Time
}

func (c *decayingShare) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		f := math.Exp2(-float64(elapsed) / float64(halfLife))
		c.share.Events *= f
		c.share.Total *= f
		c.at = now
	}
}

type server struct {
	service    string
	lastAnswer time.Time
	// ejectedUntil and ejectedFor are the end and the duration of the last ejection.
	ejectedUntil time.Time
	ejectedFor   time.Duration
}

// Detector counts answers and ejects servers. It isn't safe for concurrent use.
type Detector struct {
	counts  map[key]*decayingShare
	times   map[key]*decayingTime
	servers map[string]*server
}

// NewDetector returns a detector without any answers.
func NewDetector() *Detector {
	return &Detector{counts: map[key]*decayingShare{}, times: map[key]*decayingTime{}, servers: map[string]*server{}}
}

// Apply adds answers and returns the resulting ejections.
func (d *Detector) Apply(now time.Time, all []Answers) []Detection {
	services := map[string]bool{}
	for _, a := range all {
		if a.Total <= 0 {
			continue
		}
		k := key{a.Server, a.Route}
		c, ok := d.counts[k]
		if !ok {
			c = &decayingShare{at: now}
			d.counts[k] = c
		}
		c.decay(now)
		c.share = c.share.Add(likelihood.Share{Events: float64(a.Failed), Total: float64(a.Total)})
		s, ok := d.servers[a.Server]
		if !ok {
			s = &server{}
			d.servers[a.Server] = s
		}
		s.service, s.lastAnswer = a.Service, now
		if timed := d.addTimes(now, k, a); timed || a.Failed > 0 {
			services[a.Service] = true
		}
	}
	d.removeStale(now)
	var detections []Detection
	for _, service := range slices.Sorted(maps.Keys(services)) {
		detections = append(detections, d.ejectOutliers(now, service)...)
	}
	return detections
}

// ejectOutliers ejects the servers of a service that fail more requests than the
// others.
func (d *Detector) ejectOutliers(now time.Time, service string) []Detection {
	ids := d.serversOf(service)
	ejected := 0
	for _, id := range ids {
		if now.Before(d.servers[id].ejectedUntil) {
			ejected++
		}
	}
	maxEjected := max(1, int(maxEjectedShare*float64(len(ids))))
	var detections []Detection
	for _, id := range ids {
		s := d.servers[id]
		if now.Before(s.ejectedUntil) || ejected >= maxEjected || len(ids) < 2 {
			continue
		}
		pairs, observed := d.compare(now, id, ids)
		ratio := likelihood.Ratio(pairs...)
		found := Detection{Service: service, Server: id, Ratio: ratio, Total: observed.Total, Failed: observed.Events}
		if ratio < ejectRatio && !d.isSlow(now, id, ids, &found) {
			continue
		}
		s.eject(now)
		ejected++
		found.For = s.ejectedFor
		detections = append(detections, found)
		d.clear(id)
	}
	return detections
}

func (s *server) eject(now time.Time) {
	if s.ejectedFor == 0 || now.Sub(s.ejectedUntil) > s.ejectedFor+trialDuration {
		s.ejectedFor = minEjection
	} else {
		s.ejectedFor = min(maxEjection, 2*s.ejectedFor)
	}
	s.ejectedUntil = now.Add(s.ejectedFor)
}

// compare returns the answers of a server paired with those of the other servers,
// by kind of request.
func (d *Detector) compare(now time.Time, id string, ids []string) (pairs []likelihood.Pair, observed likelihood.Share) {
	for _, route := range d.routes(id) {
		k := key{id, route}
		c := d.counts[k]
		c.decay(now)
		var baseline likelihood.Share
		for _, other := range ids {
			if o, ok := d.counts[key{other, k.route}]; ok && other != id {
				o.decay(now)
				baseline = baseline.Add(o.share)
			}
		}
		if baseline.Total >= minOtherAnswers {
			pairs = append(pairs, likelihood.Pair{Baseline: baseline, Observed: c.share})
			observed = observed.Add(c.share)
		}
	}
	return pairs, observed
}

// routes returns the kinds of requests that a server has answered, in a fixed order.
func (d *Detector) routes(id string) []string {
	var routes []string
	for k := range d.counts {
		if k.server == id {
			routes = append(routes, k.route)
		}
	}
	slices.Sort(routes)
	return routes
}

// clear deletes the answers of a server, so that only new ones count after its
// ejection.
func (d *Detector) clear(id string) {
	for k := range d.counts {
		if k.server == id {
			delete(d.counts, k)
			delete(d.times, k)
		}
	}
}

func (d *Detector) serversOf(service string) []string {
	var ids []string
	for id, s := range d.servers {
		if s.service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (d *Detector) removeStale(now time.Time) {
	for id, s := range d.servers {
		if now.Sub(s.lastAnswer) > retention {
			delete(d.servers, id)
			d.clear(id)
		}
	}
}

// Ejected returns the servers that are ejected, or were and get only repeatable
// requests.
func (d *Detector) Ejected(now time.Time) []Ejection {
	var out []Ejection
	for id, s := range d.servers {
		if remaining := s.ejectedUntil.Add(trialDuration).Sub(now); s.ejectedFor > 0 && remaining > 0 {
			out = append(out, Ejection{Server: id, ForMillis: max(0, s.ejectedUntil.Sub(now)).Milliseconds(), TrialMillis: min(trialDuration, remaining).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}
