//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryMegabytes = 134
	maxBodyBytes    = 4194304
	usualBodyBytes  = 600
	waves           = 11
	wavePause       = 6 * time.Second
	thinkTime       = 100 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	// maxClosed is how often a machine may close a connection without an answer.
	maxClosed = 3
)

// zoneClients is the number of clients in each zone.
var zoneClients = map[string]int{"kigali-a": 11, "kigali-b": 10, "muhanga-c": 11}

// deskWork draws the time of a booking: 60 ms on average, 450 ms at most.
func deskWork(*http.Request) time.Duration {
	millis := 60 * math.Exp(0.5*rand.NormFloat64()-0.125)
	return time.Duration(min(millis, 450) * float64(time.Millisecond))
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryLimit kills instances that exceed their memory and starts them again, as the platform does.
type memoryLimit struct {
	f   *fleet
	rec *record

	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int64
}

func (p *memoryLimit) watch(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		used := residentBytes(in.pid())
		p.mu.Lock()
		p.peak[in.name] = max(p.peak[in.name], used)
		p.mu.Unlock()
		if used <= memoryMegabytes<<20 {
			continue
		}
		p.rec.say("instance %s uses %d of %d bytes, and is killed", in.name, used, memoryMegabytes<<20)
		p.mu.Lock()
		p.kills[in.name]++
		p.mu.Unlock()
		in.kill()
		time.Sleep(restartDelay)
		if ctx.Err() == nil && p.f.start(in) != nil {
			return
		}
	}
}

// bookings counts bookings on kept connections, by instance.
type bookings struct {
	mu       sync.Mutex
	statuses map[int]int
	closed   map[string][]string
}

func (b *bookings) add(address string, o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statuses[o.status]++
	if o.status == 0 && o.reused && !errors.Is(o.err, context.DeadlineExceeded) {
		b.closed[address] = append(b.closed[address], o.id)
	}
}

// book is one client that books on kept connections until ctx ends.
func (b *bookings) book(ctx context.Context, c *clients) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		address := c.address()
		if address == "" {
			time.Sleep(thinkTime)
			continue
		}
		o := send(context.WithoutCancel(ctx), client, c.rec, address, call{method: http.MethodPost, path: bookingRoute + "2f", body: make([]byte, usualBodyBytes), deadline: 3 * time.Second})
		b.add(address, o)
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
	}
}

// runUploads lets clients send bodies of max_body_bytes at once, several times, and checks how often a
// machine passes a booking on and then closes its connection without an answer.
func runUploads(ctx context.Context, s setup) (bool, error) {
	st := newStore()
	address, stop, err := serveStore(st)
	if err != nil {
		return false, err
	}
	defer stop()
	st.put("config", "main", deskConfig(3000))
	var desks []*desk
	for i := range 6 {
		d, err := newDesk(s.rec, fmt.Sprintf("i-%08x", rand.Uint32()), serviceName, zones[i%len(zones)], deskWork)
		if err != nil {
			return false, err
		}
		defer d.server.Close()
		st.put("servers", d.id, d.entry("ready"))
		desks = append(desks, d)
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
	p := &memoryLimit{f: f, rec: s.rec, kills: map[string]int{}, peak: map[string]int64{}}
	b := &bookings{statuses: map[int]int{}, closed: map[string][]string{}}
	for _, in := range f.instances {
		running.Go(func() { p.watch(runCtx, in) })
	}
	var all []*clients
	for _, zone := range zones {
		c := &clients{f: f, rec: s.rec, zone: zone}
		all = append(all, c)
		running.Go(func() { c.follow(runCtx) })
		for range zoneClients[zone] {
			running.Go(func() { b.book(runCtx, c) })
		}
	}
	if err := pause(ctx, contact+2*time.Second); err != nil {
		return false, err
	}
	for range waves {
		s.uploadAtOnce(ctx, all)
		if err := pause(ctx, wavePause); err != nil {
			return false, err
		}
	}
	end()
	running.Wait()
	ran := map[string]bool{}
	for _, d := range desks {
		for _, a := range d.runs() {
			ran[a.id] = true
		}
	}
	held, failing := true, 0
	for _, in := range f.instances {
		closed := 0
		for _, id := range b.closed[in.caller] {
			if ran[id] {
				closed++
			}
		}
		s.rec.say("instance %s: peak %d bytes, killed for its memory %d times, bookings passed on whose kept connection was closed without an answer: %d", in.name, p.peak[in.name], p.kills[in.name], closed)
		held = held && closed <= maxClosed
		if p.kills[in.name] >= 3 {
			failing++
		}
	}
	s.rec.say("machines whose process ended three times by its own use of memory: %d of %d", failing, len(f.instances))
	s.rec.say("bookings by status: %v", b.statuses)
	return held, nil
}

// uploadAtOnce lets each client of the zones send one request with a large body, to an instance that the
// directory names. Without trouble the bodies are of the usual size.
func (s setup) uploadAtOnce(ctx context.Context, all []*clients) {
	size := maxBodyBytes
	if !s.trouble {
		size = usualBodyBytes
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, c := range all {
		for range zoneClients[c.zone] {
			sending.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				o := send(ctx, client, s.rec, c.address(), call{method: http.MethodPost, path: bookingRoute + "2f", body: make([]byte, size), deadline: 3 * time.Second, chunked: true})
				mu.Lock()
				statuses[o.status]++
				mu.Unlock()
			})
		}
	}
	sending.Wait()
	s.rec.say("each client sent one body of %d bytes: answers by status %v", size, statuses)
}
