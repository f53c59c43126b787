//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	contact       = 3 * time.Second
	drainBound    = 2 * time.Second
	bookingRoute  = "/pule252/"
	bookingsRate  = 60.0
	servedLonger  = 6 * time.Second
	serviceName   = "wuno96b"
	watchLimit    = 1000 * time.Millisecond
	beforeRemoval = 8 * time.Second
)

func deskConfig(timeoutMillis int) string {
	return fmt.Sprintf(configText, host, bookingRoute, timeoutMillis, serviceName, serviceName, key)
}

// serveStore serves the store on a loopback address.
func serveStore(s *store) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// runDrain removes the entry of a server that never reports that it drains, and checks that no request
// reaches it later than drain_ms after the removal. The disruption are watches that the store cuts off.
func runDrain(ctx context.Context, s setup) (bool, error) {
	st := newStore()
	address, stop, err := serveStore(st)
	if err != nil {
		return false, err
	}
	defer stop()
	st.put("config", "main", deskConfig(3000))
	var desks []*desk
	for i := range 4 {
		d, err := newDesk(s.rec, fmt.Sprintf("i-%08x", rand.Uint32()), serviceName, zones[i%len(zones)], deskWork)
		if err != nil {
			return false, err
		}
		defer d.server.Close()
		st.put("servers", d.id, d.entry("ready"))
		desks = append(desks, d)
	}
	f, err := newFleet(s.rec, s.binary, s.dir, address, 3, memoryMegabytes)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	if s.trouble {
		st.setWatchLimit(watchLimit)
		s.rec.say("the store cuts off watches that wait for %v", watchLimit)
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	c := &clients{f: f, rec: s.rec}
	go c.follow(loadCtx)
	var mu sync.Mutex
	statuses := map[int]int{}
	var lost []outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(loadCtx, bookingsRate, func() call {
			return call{method: http.MethodPost, path: bookingRoute + "2f", body: make([]byte, 600), deadline: 3 * time.Second}
		}, func(_ call, o outcome) {
			mu.Lock()
			defer mu.Unlock()
			statuses[o.status]++
			if o.status == http.StatusBadGateway || o.status == 0 {
				lost = append(lost, o)
			}
		})
	}()
	if err := pause(ctx, beforeRemoval); err != nil {
		return false, err
	}
	gone := desks[0]
	st.remove("servers", gone.id)
	removedAt := time.Now()
	s.rec.say("the store has acknowledged the removal of server %s", gone.id)
	if err := pause(ctx, drainBound+servedLonger); err != nil {
		return false, err
	}
	gone.exit()
	if err := pause(ctx, 2*time.Second); err != nil {
		return false, err
	}
	endLoad()
	<-done
	late, last := 0, time.Duration(0)
	for _, a := range gone.runs() {
		if after := a.at.Sub(removedAt); after > drainBound {
			late++
			last = max(last, after)
		}
	}
	calls, cuts := st.counts()
	s.rec.say("calls to the store: %d, watches cut off: %d", calls, cuts)
	s.rec.say("answers by status: %v; without an answer, or with 502: %d", statuses, len(lost))
	s.rec.say("requests that reached server %s later than %v after its removal: %d, the last one %v after it", gone.id, drainBound, late, last.Round(time.Millisecond))
	return late == 0, nil
}
