//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	readRoute = "/puxa403/"
	// poisonPath is the path of the request that crashes the servers that begin to run it.
	poisonPath   = readRoute + "crashes"
	poisonPeriod = 6 * time.Second
	downTime     = 3 * time.Second
	entryExpiry  = 3600 * time.Millisecond
	// maxRetries is how often a request may reach servers later than contact after it has crashed the
	// third one.
	maxRetries = 3
	// poisonsEach is how often it comes before the first and after each kill.
	poisonsEach    = 3
	kills          = 2
	backgroundRate = 20.0
)

func readConfig() string {
	read := fmt.Sprintf(readRouteText, host, readRoute, serviceName)
	return strings.Replace(deskConfig(1500), `"routes":[`, read, 1)
}

// crash is the crash of a server by the request.
type crash struct {
	server, id string
	at         time.Time
}

// crashingDesks are servers that crash when they begin to run the request, and come back some seconds
// later as new incarnations.
type crashingDesks struct {
	st  *store
	rec *record

	mu      sync.Mutex
	crashes []crash
	all     []*desk
}

func (c *crashingDesks) add(d *desk) {
	d.onRun = func(r *http.Request) bool {
		if r.URL.Path != poisonPath {
			return false
		}
		c.crash(d, r.Header.Get(wire.Fields.RequestID))
		return true
	}
	c.mu.Lock()
	c.all = append(c.all, d)
	c.mu.Unlock()
	c.st.put("servers", d.id, d.entry("ready"))
}

func (c *crashingDesks) crash(d *desk, id string) {
	c.mu.Lock()
	c.crashes = append(c.crashes, crash{d.id, id, time.Now()})
	n := len(c.crashes)
	c.mu.Unlock()
	c.rec.say("server %s crashes, crash %d", d.id, n)
	d.exit()
	time.AfterFunc(downTime, func() {
		again, err := newDeskAt(c.rec, d.address, fmt.Sprintf("i-%08x", rand.Uint32()), d.service, d.zone, deskWork)
		if err != nil {
			c.rec.say("server %s doesn't start again: %v", d.id, err)
			return
		}
		c.add(again)
	})
	time.AfterFunc(entryExpiry, func() { c.st.remove("servers", d.id) })
}

func (c *crashingDesks) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.all {
		_ = d.server.Close()
	}
}

// runPoison sends a request that crashes servers, kills all instances at once and checks how often the
// request reaches servers later.
func runPoison(ctx context.Context, s setup) (bool, error) {
	st := newStore()
	address, stop, err := serveStore(st)
	if err != nil {
		return false, err
	}
	defer stop()
	st.put("config", "main", readConfig())
	desks := &crashingDesks{st: st, rec: s.rec}
	defer desks.close()
	for _, zone := range zones {
		d, err := newDesk(s.rec, fmt.Sprintf("i-%08x", rand.Uint32()), serviceName, zone, deskWork)
		if err != nil {
			return false, err
		}
		desks.add(d)
	}
	f, err := newFleet(s.rec, s.binary, s.dir, address, allMachines, memoryMegabytes)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	runCtx, end := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() { end(); running.Wait() }()
	c := &clients{f: f, rec: s.rec}
	running.Go(func() { c.follow(runCtx) })
	statuses, lost := map[int]int{}, 0
	var mu sync.Mutex
	running.Go(func() {
		c.load(runCtx, backgroundRate, func() call {
			return call{method: http.MethodPost, path: bookingRoute + "2f", body: make([]byte, usualBodyBytes), deadline: 3 * time.Second}
		}, func(_ call, o outcome) {
			mu.Lock()
			defer mu.Unlock()
			statuses[o.status]++
			if o.status == http.StatusBadGateway {
				lost++
			}
		})
	})
	if err := pause(ctx, contact+time.Second); err != nil {
		return false, err
	}
	if err := s.sendPoison(ctx, c, poisonsEach); err != nil {
		return false, err
	}
	for range kills {
		if s.trouble {
			if err := s.killAll(ctx, f); err != nil {
				return false, err
			}
		}
		if err := s.sendPoison(ctx, c, poisonsEach); err != nil {
			return false, err
		}
	}
	end()
	running.Wait()
	return desks.judge(s.rec, statuses, lost), nil
}

// killAll kills all instances at once and starts them again.
func (s setup) killAll(ctx context.Context, f *fleet) error {
	s.rec.say("all instances are killed at the same moment")
	for _, in := range f.instances {
		in.kill()
	}
	if err := pause(ctx, restartDelay); err != nil {
		return err
	}
	if err := f.startAll(ctx); err != nil {
		return err
	}
	s.rec.say("all instances are ready again")
	return nil
}

// sendPoison sends the request n times, each poisonPeriod after the last one and after a start.
func (s setup) sendPoison(ctx context.Context, c *clients, n int) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range n {
		if err := pause(ctx, poisonPeriod); err != nil {
			return err
		}
		o := send(ctx, client, s.rec, c.address(), call{method: http.MethodGet, path: poisonPath, deadline: 3 * time.Second})
		s.rec.say("the request that crashes servers was answered %d", o.status)
	}
	return nil
}

func (c *crashingDesks) judge(rec *record, statuses map[int]int, lost int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, attempts := 0, map[string]bool{}
	for _, crash := range c.crashes[min(3, len(c.crashes)):] {
		if crash.at.Sub(c.crashes[2].at) > contact {
			late++
			attempts[crash.id] = true
		}
	}
	rec.say("crashes: %d; later than %v after the third crash the request reached servers %d times, in %d attempts of its client", len(c.crashes), contact, late, len(attempts))
	rec.say("bookings by status: %v; lost with a server: %d", statuses, lost)
	return len(attempts) <= maxRetries
}
