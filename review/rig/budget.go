//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lengthOfRun = 80 * time.Second
	// Servers fail a part of the reads from failingFrom to failingTo.
	failingFrom, failingTo = 5 * time.Second, 31 * time.Second
	// A route is added at addedAt, and requested from requestedFrom on.
	addedAt, requestedFrom = 33 * time.Second, 43 * time.Second
	// recoveryTime is how long after the last failure of a server steady state begins again.
	recoveryTime      = 12 * time.Second
	readsPerSecond    = 1500
	bookingsPerSecond = 40
	addedPerSecond    = 20
	// errorShare is the share of the reads that the servers fail.
	errorShare = 0.14
	// minAdded is the number of requests on added routes from which on they count, minServedShare how
	// often they have to be served as a share of the others, maxUnservedShare the share of refused and
	// failed requests that the gate allows.
	minAdded         = 20
	minServedShare   = 0.25
	maxUnservedShare = 0.6
)

// isSteady reports whether a second of the run lies in steady state.
func isSteady(second int) bool {
	at := time.Duration(second) * time.Second
	return at+time.Second <= failingFrom || at >= failingTo+recoveryTime
}

// budgetCase sends reads, of which servers fail a part, and bookings to one instance.
func budgetCase(trouble bool, record func(format string, args ...any)) (broken bool, err error) {
	d, err := newDeployment()
	if err != nil {
		return false, err
	}
	defer d.stop()
	var servers []*plainServer
	for i, zone := range zones {
		servers = append(servers, newPlainServer(d, fmt.Sprintf("i-%d", i+1), zone, 6, 4*time.Millisecond, errorShare))
	}
	if err := d.start(1); err != nil {
		return false, err
	}
	in := d.instances[0]
	var next atomic.Int64
	first := []*load{
		{name: "roster-read", address: in.caller, path: "/roster/", method: http.MethodGet, perSecond: readsPerSecond, next: &next},
		{name: "field-booking", address: in.caller, path: "/booking/", method: http.MethodPost, bodyBytes: 600, perSecond: bookingsPerSecond, next: &next},
	}
	added := &load{name: "ledger-read", address: in.caller, path: "/ledger/", method: http.MethodGet, perSecond: addedPerSecond, after: requestedFrom, next: &next}
	ctx, cancel := context.WithTimeout(context.Background(), lengthOfRun)
	defer cancel()
	fail := func(failing bool) {
		for _, s := range servers {
			s.failing.Store(failing && trouble)
		}
	}
	time.AfterFunc(failingFrom, func() { fail(true) })
	time.AfterFunc(failingTo, func() { fail(false) })
	time.AfterFunc(addedAt, func() { d.configure(2, addedRouteText) })
	all := append([]*load{added}, first...)
	var running sync.WaitGroup
	for _, l := range all {
		running.Go(func() { l.run(ctx, 48) })
	}
	running.Wait()
	var sum, steadyFirst, steadyAdded counts
	for _, l := range all {
		l.record(record)
		sum.add(l.sum(func(int) bool { return true }))
	}
	for _, l := range first {
		steadyFirst.add(l.sum(isSteady))
	}
	steadyAdded = added.sum(isSteady)
	for _, s := range servers {
		record("server %s has run %d requests", s.id, s.total())
	}
	record("instance ready: %v, ended: %v", in.isReady(), in.hasExited())
	record("in steady state, on the first routes: sent %d, served %.3f of them", steadyFirst.sent, steadyFirst.servedShare())
	record("in steady state, on the added route: sent %d, served %.3f of them", steadyAdded.sent, steadyAdded.servedShare())
	record("in all: sent %d, refused and failed %.3f of them", sum.sent, 1-sum.servedShare())
	unserved := steadyAdded.sent >= minAdded && steadyAdded.servedShare() < minServedShare*steadyFirst.servedShare()
	return unserved && 1-sum.servedShare() > maxUnservedShare, nil
}
