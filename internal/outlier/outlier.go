// Package outlier finds servers that fail requests which others answer. It holds no
// sockets; the present time is an argument.
//
// It is for services whose servers fail a part of their requests while their health
// is good, and whose requests come through so many instances that each sees too few
// answers to tell. What all instances of an availability zone see is added up, as
// a server may fail for one zone alone. A server is compared with the others by
// kind of request: some kinds fail more often than others, on every server.
//
// # Usage
//
//	d := outlier.NewDetector()
//	d.Take(now, report)
//	ejected := d.Ejected(now)
package outlier

import (
	"maps"
	"math"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/evidence"
)

const (
	// halfLife is the time in which an answer comes to count half.
	halfLife = 2 * time.Second
	// ejectRatio is the evidence from which a server is ejected.
	ejectRatio = 12.0
	// leastUsual is how many answers of others a comparison needs.
	leastUsual = 10.0
	// maxShare is the part of a service's servers that may be ejected: where more
	// fail it is not the servers.
	maxShare = 0.4
	// ejectLeast is for how long a server is ejected first; each time that it
	// follows soon after the last, the time is doubled up to ejectMost.
	ejectLeast = 4 * time.Second
	ejectMost  = 16 * time.Second
	// trialTime is for how long after that a server gets only requests that may be
	// repeated.
	trialTime = 3 * time.Second
	// forgetAfter is after how long without answers a server is forgotten.
	forgetAfter = time.Minute
)

// Answers counts the answers of one server to one kind of request.
type Answers struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Route   string `json:"route"`
	Number  int    `json:"number"`
	Failed  int    `json:"failed"`
}

// Ejection is a server that isn't to be used, and for how long.
type Ejection struct {
	Server string `json:"server"`
	// ForMillis is how long it isn't used, TrialMillis how long it then gets only
	// requests that may be repeated.
	ForMillis   int64 `json:"forMillis"`
	TrialMillis int64 `json:"trialMillis"`
}

// Found is a server that was just ejected, and why.
type Found struct {
	Service, Server string
	Ratio           float64
	Number, Failed  float64
	For             time.Duration
}

type key struct{ server, route string }

// count is a number that fades.
type count struct {
	share evidence.Share
	at    time.Time
}

func (c *count) fade(now time.Time) {
	if since := now.Sub(c.at); since > 0 {
		f := math.Exp2(-float64(since) / float64(halfLife))
		c.share.Events *= f
		c.share.Number *= f
		c.at = now
	}
}

type server struct {
	service string
	seen    time.Time
	// until is the end of the ejection, lasted how long it was.
	until  time.Time
	lasted time.Duration
}

// Detector adds up answers and ejects servers. It isn't safe for concurrent use.
type Detector struct {
	counts  map[key]*count
	servers map[string]*server
}

// NewDetector returns a detector that has seen nothing.
func NewDetector() *Detector {
	return &Detector{counts: map[key]*count{}, servers: map[string]*server{}}
}

// Take adds answers and returns the servers that are ejected for them.
func (d *Detector) Take(now time.Time, all []Answers) []Found {
	services := map[string]bool{}
	for _, a := range all {
		if a.Number <= 0 {
			continue
		}
		k := key{a.Server, a.Route}
		c, ok := d.counts[k]
		if !ok {
			c = &count{at: now}
			d.counts[k] = c
		}
		c.fade(now)
		c.share = c.share.Plus(evidence.Share{Events: float64(a.Failed), Number: float64(a.Number)})
		s, ok := d.servers[a.Server]
		if !ok {
			s = &server{}
			d.servers[a.Server] = s
		}
		s.service, s.seen = a.Service, now
		if a.Failed > 0 {
			services[a.Service] = true
		}
	}
	d.forget(now)
	var found []Found
	for _, service := range slices.Sorted(maps.Keys(services)) {
		found = append(found, d.judge(now, service)...)
	}
	return found
}

// judge ejects the servers of a service that fail what others answer.
func (d *Detector) judge(now time.Time, service string) []Found {
	ids := d.of(service)
	out := 0
	for _, id := range ids {
		if now.Before(d.servers[id].until) {
			out++
		}
	}
	most := max(1, int(maxShare*float64(len(ids))))
	var found []Found
	for _, id := range ids {
		s := d.servers[id]
		if now.Before(s.until) || out >= most || len(ids) < 2 {
			continue
		}
		pairs, seen := d.compare(now, id, ids)
		ratio := evidence.Ratio(pairs...)
		if ratio < ejectRatio {
			continue
		}
		s.eject(now)
		out++
		found = append(found, Found{Service: service, Server: id, Ratio: ratio, Number: seen.Number, Failed: seen.Events, For: s.lasted})
		d.clear(id)
	}
	return found
}

func (s *server) eject(now time.Time) {
	if s.lasted == 0 || now.Sub(s.until) > s.lasted+trialTime {
		s.lasted = ejectLeast
	} else {
		s.lasted = min(ejectMost, 2*s.lasted)
	}
	s.until = now.Add(s.lasted)
}

// compare returns the answers of a server beside those of the others, by kind of
// request.
func (d *Detector) compare(now time.Time, id string, ids []string) (pairs []evidence.Pair, seen evidence.Share) {
	for _, route := range d.routes(id) {
		k := key{id, route}
		c := d.counts[k]
		c.fade(now)
		var usual evidence.Share
		for _, other := range ids {
			if o, ok := d.counts[key{other, k.route}]; ok && other != id {
				o.fade(now)
				usual = usual.Plus(o.share)
			}
		}
		if usual.Number >= leastUsual {
			pairs = append(pairs, evidence.Pair{Usual: usual, Seen: c.share})
			seen = seen.Plus(c.share)
		}
	}
	return pairs, seen
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

// clear forgets the answers of a server: after its ejection it is judged by new
// ones.
func (d *Detector) clear(id string) {
	for k := range d.counts {
		if k.server == id {
			delete(d.counts, k)
		}
	}
}

func (d *Detector) of(service string) []string {
	var ids []string
	for id, s := range d.servers {
		if s.service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (d *Detector) forget(now time.Time) {
	for id, s := range d.servers {
		if now.Sub(s.seen) > forgetAfter {
			delete(d.servers, id)
			d.clear(id)
		}
	}
}

// Ejected returns the servers that are ejected, or get only requests that may be
// repeated since.
func (d *Detector) Ejected(now time.Time) []Ejection {
	var out []Ejection
	for id, s := range d.servers {
		if left := s.until.Add(trialTime).Sub(now); s.lasted > 0 && left > 0 {
			out = append(out, Ejection{Server: id, ForMillis: max(0, s.until.Sub(now)).Milliseconds(), TrialMillis: min(trialTime, left).Milliseconds()})
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
